"""Retry budgets by service."""

from typing import Final

from marigoldhoist.components.retries.sliding_budget import SlidingRetryBudget
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.objectives import ObjectiveSettings

# Share of the objective `repeat_ratio` that is used; the rest is a margin, as
# the windows of the daemons are not aligned.
RATIO_SHARE: Final = 0.95
# Retries allowed in each window regardless of the number of requests.
MIN_RETRIES_PER_WINDOW: Final = 2
# Share of the budget that optional retries leave for failed requests.
RESERVED_SHARE: Final = 0.35


class RetryBudgets:
    """Sliding windows of requests and retries by service."""

    def __init__(self, objectives: ObjectiveSettings) -> None:
        self._ratio = objectives.repeat_ratio * RATIO_SHARE
        self._window_s = objectives.repeat_window_ms / MS_PER_S
        self._window_by_service: dict[str, SlidingRetryBudget] = {}

    def note_request(self, service: str) -> None:
        """Count a caller's request to a service."""
        self._window(service).note_request(SYSTEM_CLOCK.boottime_s())

    def withdraw_request(self, service: str) -> None:
        """Take back a request that is handed over, and counted there."""
        self._window(service).withdraw_request()

    def try_take(self, service: str) -> bool:
        """Take one retry; return False if the budget is exhausted."""
        return self._window(service).try_take(SYSTEM_CLOCK.boottime_s())

    def try_take_optional(self, service: str) -> bool:
        """Take one retry of a request that did not fail.

        Part of the budget stays reserved for failed requests.
        """
        now_s = SYSTEM_CLOCK.boottime_s()
        return self._window(service).try_take(now_s, RESERVED_SHARE)

    def remaining(self, service: str) -> int:
        """Return the number of retries that the budget allows now."""
        return self._window(service).remaining(SYSTEM_CLOCK.boottime_s())

    def _window(self, service: str) -> SlidingRetryBudget:
        window = self._window_by_service.get(service)
        if window is None:
            window = SlidingRetryBudget(
                self._ratio, self._window_s, MIN_RETRIES_PER_WINDOW
            )
            self._window_by_service[service] = window
        return window
