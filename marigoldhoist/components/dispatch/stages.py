"""Stages that other components add around every request."""

import dataclasses

from marigoldhoist.core.errors import RequestFailure
from marigoldhoist.core.exchange import Answer, CallerRequest
from marigoldhoist.core.verdict import Verdict

Admission = RequestFailure | Answer | None


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One try at one replica, reported when its answer ended or failed.

    Times are in seconds since the try was sent. An abandoned try was ended
    by this daemon, not by the replica.
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
    """How a request ended, reported once."""

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
    """A step around each request; the defaults do nothing."""

    def admit(self, request: CallerRequest) -> Admission:
        """Refuse or answer the request, or return none to let it pass."""

    def recheck(self, request: CallerRequest) -> RequestFailure | None:
        """Refuse the next try, which is about to be sent."""

    def on_attempt(self, request: CallerRequest, attempt: Attempt) -> None:
        """Learn of one try."""

    def settle(self, request: CallerRequest, outcome: Outcome) -> None:
        """Learn how a request that this stage admitted ended."""


class Stages:
    """The stages in their order; a request passes each on its way in."""

    def __init__(self) -> None:
        self._ordered: list[tuple[int, Stage]] = []

    def add(self, order: int, stage: Stage) -> None:
        """Add a stage; lower orders admit first and settle last."""
        self._ordered.append((order, stage))
        self._ordered.sort(key=lambda pair: pair[0])

    def enter(self, request: CallerRequest) -> 'Passage':
        """Pass the request through every stage until one stops it."""
        passage = Passage(request)
        for _, stage in self._ordered:
            admission = stage.admit(request)
            if admission is not None:
                passage.stopped_by = admission
                return passage
            passage.entered.append(stage)
        return passage


class Passage:
    """One request's way through the stages; it settles each of them once."""

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.stopped_by: Admission = None
        self.entered: list[Stage] = []
        self._is_settled = False

    def recheck(self) -> RequestFailure | None:
        """Return the first refusal of the next try, if any."""
        for stage in self.entered:
            refusal = stage.recheck(self.request)
            if refusal is not None:
                return refusal
        return None

    def report(self, attempt: Attempt) -> None:
        """Tell the stages of one try."""
        for stage in self.entered:
            stage.on_attempt(self.request, attempt)

    def settle(self, outcome: Outcome) -> None:
        """Tell the stages how the request ended; later calls do nothing."""
        if self._is_settled:
            return
        self._is_settled = True
        for stage in reversed(self.entered):
            stage.settle(self.request, outcome)
