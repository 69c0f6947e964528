"""Request stages, which other components add to the dispatch."""

import dataclasses

from marigoldhoist.components.dispatch.events import ADMISSION_FAILED
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.events import emit
from marigoldhoist.core.exchange import CallerRequest, CallerResponse
from marigoldhoist.core.verdict import Verdict

Admission = RequestFailure | CallerResponse | None


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt on one replica, reported when it has ended.

    Times are in seconds. is_abandoned means that this daemon ended the
    attempt, not the replica.
    """

    serving: str
    replica: str
    verdict: Verdict
    status: int = 0
    tokens: int = 0
    is_whole: bool = False
    is_abandoned: bool = False
    first_token_s: float = 0
    duration_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Final result of a request, reported once to each stage."""

    verdict: Verdict
    serving: str = ''
    status: int = 0
    tokens: int = 0
    cost: float = 0
    is_whole: bool = False
    failure: RequestFailure | None = None
    content_type: str = ''
    body: bytes = b''


class Stage:
    """Base class of request stages; the default methods do nothing."""

    def admit(self, request: CallerRequest) -> Admission:
        """Return a refusal or an answer, or None to admit the request."""

    def recheck(self, request: CallerRequest) -> RequestFailure | None:
        """Return a refusal to block an attempt about to be sent."""

    def on_attempt(self, request: CallerRequest, attempt: Attempt) -> None:
        """Handle the report of an ended attempt."""

    def settle(self, request: CallerRequest, outcome: Outcome) -> None:
        """Handle the outcome of a request that this stage admitted."""


class StagePipeline:
    """Stages in ascending order, which is the order of admission."""

    def __init__(self) -> None:
        self._ordered_stages: list[tuple[int, Stage]] = []

    def add(self, order: int, stage: Stage) -> None:
        """Add a stage; lower orders admit first and settle last."""
        self._ordered_stages.append((order, stage))
        self._ordered_stages.sort(key=lambda pair: pair[0])

    def enter(self, request: CallerRequest) -> 'StagedRequest':
        """Admit the request stage by stage until one refuses or answers.

        A stage that raises refuses the request, so that the stages before it
        are settled.
        """
        staged = StagedRequest(request)
        for _, stage in self._ordered_stages:
            admission = _admit(stage, request)
            if admission is not None:
                staged.admission = admission
                return staged
            staged.admitting_stages.append(stage)
        return staged


def _admit(stage: Stage, request: CallerRequest) -> Admission:
    try:
        return stage.admit(request)
    except Exception as error:
        emit(ADMISSION_FAILED, stage=type(stage).__name__, error=repr(error))
    return RequestFailure(ErrorCode.INTERNAL, 'internal error', Verdict.NOT_RUN)


class StagedRequest:
    """A request and the stages that admitted it."""

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.admission: Admission = None
        self.admitting_stages: list[Stage] = []
        self._is_settled = False

    def recheck(self) -> RequestFailure | None:
        """Return the first refusal of the next attempt, or None."""
        for stage in self.admitting_stages:
            refusal = stage.recheck(self.request)
            if refusal is not None:
                return refusal
        return None

    def report(self, attempt: Attempt) -> None:
        """Report an ended attempt to the stages."""
        for stage in self.admitting_stages:
            stage.on_attempt(self.request, attempt)

    def settle(self, outcome: Outcome) -> None:
        """Report the outcome to the stages, last admitted first.

        Only the first call has an effect.
        """
        if self._is_settled:
            return
        self._is_settled = True
        for stage in reversed(self.admitting_stages):
            stage.settle(self.request, outcome)
