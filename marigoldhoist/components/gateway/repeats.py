"""Budgets of repeats by service."""

from marigoldhoist.components.retries.window import RepeatWindow
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.promises import PromiseSettings

# Left of the promised ratio, as daemons count their windows apart.
USED_PART = 0.9


class RepeatBudgets:
    """A sliding window of requests and repeats for each service."""

    def __init__(self, promises: PromiseSettings) -> None:
        self._ratio = promises.repeat_ratio * USED_PART
        self._window_s = promises.repeat_window_ms / MS_PER_S
        self._window_by_service: dict[str, RepeatWindow] = {}

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._window(service).note_request(SYSTEM_CLOCK.boottime_s())

    def try_take(self, service: str) -> bool:
        """Take one repeat, or tell that the budget is spent."""
        return self._window(service).try_take(SYSTEM_CLOCK.boottime_s())

    def _window(self, service: str) -> RepeatWindow:
        window = self._window_by_service.get(service)
        if window is None:
            window = RepeatWindow(self._ratio, self._window_s)
            self._window_by_service[service] = window
        return window
