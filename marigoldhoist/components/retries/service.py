"""The retry service: whether a further try is within the budget."""

from marigoldhoist.components.retries.budget import RetryBudget
from marigoldhoist.components.retries.delays import FirstTokenDelays
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.kernel import BaseService, Kernel


class RetryService(BaseService):
    """Budgets by model or plain service, delays by version."""

    def __init__(self, kernel: Kernel) -> None:
        self._budget_by_target: dict[str, RetryBudget] = {}
        self._delays_by_serving: dict[str, FirstTokenDelays] = {}
        self._extra_tries = kernel.metrics.counter(
            'extra_tries',
            'Retries, hedges and resumed streams that were asked for.',
            ('kind', 'granted'),
        )

    def note_request(self, target: str) -> None:
        """Count a request towards the budget of its target."""
        self._budget(target).deposit()

    def try_take(self, target: str, kind: str) -> bool:
        """Take one further try of the kind from the target's budget."""
        now_s = SYSTEM_CLOCK.monotonic_s()
        granted = self._budget(target).try_take(now_s)
        self._extra_tries.labels(kind, str(granted).lower()).inc()
        return granted

    def note_first_token(self, serving: str, delay_s: float) -> None:
        """Count the delay of a first token."""
        now_s = SYSTEM_CLOCK.monotonic_s()
        delays = self._delays_by_serving.setdefault(
            serving, FirstTokenDelays(now_s)
        )
        delays.record(delay_s, now_s)

    def hedge_delay_s(self, serving: str) -> float | None:
        """Return how long to wait before a hedge, none for no hedge."""
        delays = self._delays_by_serving.get(serving)
        return delays.hedge_delay_s() if delays else None

    def _budget(self, target: str) -> RetryBudget:
        known = self._budget_by_target.get(target)
        if known is not None:
            return known
        created = RetryBudget(SYSTEM_CLOCK.monotonic_s())
        return self._budget_by_target.setdefault(target, created)
