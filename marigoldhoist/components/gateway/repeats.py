"""Budgets of repeats by service."""

from typing import Final

from marigoldhoist.components.retries.sliding_budget import SlidingRetryBudget
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.promises import PromiseSettings

# Part of the promised ratio that is used, as daemons' windows lie apart.
USED_PART: Final = 0.95
# Repeats in each window that are allowed however few the requests are.
FLOOR: Final = 2
# Part of the budget that is left for failures.
RESERVED_PART: Final = 0.35


class RepeatBudgets:
    """A sliding window of requests and repeats for each service."""

    def __init__(self, promises: PromiseSettings) -> None:
        self._ratio = promises.repeat_ratio * USED_PART
        self._window_s = promises.repeat_window_ms / MS_PER_S
        self._window_by_service: dict[str, SlidingRetryBudget] = {}

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._window(service).note_request(SYSTEM_CLOCK.boottime_s())

    def try_take(self, service: str) -> bool:
        """Take one repeat, or tell that the budget is spent."""
        return self._window(service).try_take(SYSTEM_CLOCK.boottime_s())

    def try_take_spare(self, service: str) -> bool:
        """Take one repeat that is not needed, leaving some for failures."""
        now_s = SYSTEM_CLOCK.boottime_s()
        return self._window(service).try_take(now_s, RESERVED_PART)

    def left(self, service: str) -> int:
        """Return how many repeats the service's budget allows now."""
        return self._window(service).remaining(SYSTEM_CLOCK.boottime_s())

    def _window(self, service: str) -> SlidingRetryBudget:
        window = self._window_by_service.get(service)
        if window is None:
            window = SlidingRetryBudget(self._ratio, self._window_s, FLOOR)
            self._window_by_service[service] = window
        return window
