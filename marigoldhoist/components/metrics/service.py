"""Record metrics of every request that passes through dispatch."""

from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.dispatch.service import DispatchService
from marigoldhoist.components.dispatch.stages import (
    Attempt,
    Outcome,
    Stage,
)
from marigoldhoist.components.metrics.const import (
    ANSWERED,
    CUT,
    STAGE_ORDER,
)
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.kernel import BaseService, Kernel


class RequestMetrics(Stage):
    """Dispatch stage that records outcomes, attempts, tokens and latencies."""

    def __init__(self, kernel: Kernel) -> None:
        metrics = kernel.metrics
        self._requests = metrics.counter(
            'requests', 'Requests by how they ended.', ('outcome',)
        )
        self._attempts = metrics.counter(
            'attempts', 'Tries at replicas by verdict.', ('verdict',)
        )
        self._tokens = metrics.counter(
            'tokens', 'Tokens delivered.', ('serving',)
        )
        self._first_token = metrics.latency(
            'first_token_seconds', 'Time from a try to its first bytes.'
        )
        self._duration = metrics.latency(
            'answer_seconds', 'Time from a try to the end of its answer.'
        )

    def on_attempt(self, _request: CallerRequest, attempt: Attempt) -> None:
        """Count an attempt; record its latencies if it produced a token."""
        self._attempts.labels(attempt.verdict.value).inc()
        if attempt.first_token_s:
            self._first_token.record(attempt.first_token_s)
            self._duration.record(attempt.duration_s)

    def settle(self, _request: CallerRequest, outcome: Outcome) -> None:
        """Count a finished request and the tokens that it delivered."""
        self._requests.labels(_outcome_label(outcome)).inc()
        if outcome.tokens:
            self._tokens.labels(outcome.serving).inc(outcome.tokens)


class MetricsService(BaseService):
    """Registers the metrics stage with dispatch."""

    def __init__(self, kernel: Kernel) -> None:
        stage = RequestMetrics(kernel)
        kernel.find(DISPATCH, DispatchService).add_stage(STAGE_ORDER, stage)


def _outcome_label(outcome: Outcome) -> str:
    if outcome.failure is not None:
        return outcome.failure.code.value
    return ANSWERED if outcome.is_whole else CUT
