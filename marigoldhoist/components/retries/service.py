"""Decide whether the retry budget permits a further attempt."""

from marigoldhoist.components.retries.budget import RetryBudget
from marigoldhoist.components.retries.delays import FirstTokenDelays
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.kernel import BaseService, Kernel


class RetryService(BaseService):
    """Holds a retry budget per target and a hedge delay per version.

    A target is a model or a plain service; `serving` identifies one version of
    a target.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._budget_by_target: dict[str, RetryBudget] = {}
        self._delays_by_serving: dict[str, FirstTokenDelays] = {}
        self._extra_attempts = kernel.metrics.counter(
            'extra_tries',
            'Retries, hedges and resumed streams that were asked for.',
            ('kind', 'granted'),
        )

    def note_request(self, target: str) -> None:
        """Add a request to the budget of its target."""
        self._budget(target).deposit()

    def try_take(self, target: str, kind: str) -> bool:
        """Take one attempt from the budget; return False if it is exhausted.

        `kind` is a retry, a hedged request or a resumed stream.
        """
        now_s = SYSTEM_CLOCK.monotonic_s()
        granted = self._budget(target).try_take(now_s)
        self._extra_attempts.labels(kind, str(granted).lower()).inc()
        return granted

    def note_first_token(self, serving: str, delay_s: float) -> None:
        """Record the delay of a first token, in seconds."""
        now_s = SYSTEM_CLOCK.monotonic_s()
        delays = self._delays_by_serving.setdefault(
            serving, FirstTokenDelays(now_s)
        )
        delays.record(delay_s, now_s)

    def hedge_delay_s(self, serving: str) -> float | None:
        """Return the seconds before a hedged request, None for no hedging."""
        delays = self._delays_by_serving.get(serving)
        return delays.hedge_delay_s() if delays else None

    def _budget(self, target: str) -> RetryBudget:
        budget = self._budget_by_target.get(target)
        if budget is not None:
            return budget
        created = RetryBudget(SYSTEM_CLOCK.monotonic_s())
        return self._budget_by_target.setdefault(target, created)
