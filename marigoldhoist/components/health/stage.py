"""Count successful and failed attempts of every version.

Answers that were cut off and empty streams count as failed.
"""

from marigoldhoist.components.dispatch.stages import Attempt, Stage
from marigoldhoist.components.quality.cells import CellKey
from marigoldhoist.components.quality.const import FAILED, SUCCEEDED
from marigoldhoist.components.quality.service import QualityService
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.verdict import Verdict

NO_TASK = ''
HTTP_OK = 200


class HealthStage(Stage):
    """Records one category for each attempt that its replica may have run."""

    def __init__(
        self, quality: QualityService, upstreams: UpstreamService
    ) -> None:
        self._quality = quality
        self._upstreams = upstreams

    def on_attempt(self, request: CallerRequest, attempt: Attempt) -> None:
        """Count an attempt, unless the replica did not run it."""
        model, _, version = attempt.serving.partition('/')
        if not version or attempt.verdict is Verdict.NOT_RUN:
            return
        key = CellKey(
            model,
            NO_TASK,
            version,
            failure_domain=self._failure_domain(attempt),
        )
        is_success = attempt.is_abandoned or (
            attempt.is_whole and not _is_empty(request, attempt)
        )
        self._quality.note(key, SUCCEEDED if is_success else FAILED)

    def _failure_domain(self, attempt: Attempt) -> str:
        for replica in self._upstreams.replicas_serving(attempt.serving):
            if replica.host == attempt.replica:
                return replica.failure_domain
        return ''


def _is_empty(request: CallerRequest, attempt: Attempt) -> bool:
    """Return whether a stream ended without a token.

    Answers that are not streamed may lack a token count, so they are never
    regarded as empty.
    """
    is_answer = attempt.status == HTTP_OK
    return request.is_streamed and is_answer and not attempt.tokens
