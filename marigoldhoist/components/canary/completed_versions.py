"""Log the failures of versions that were completed a short time ago.

A completed roll-out cannot be undone, as the old replicas stop. A version that
fails after that was completed by evidence that was wrong.
"""

import dataclasses
from collections.abc import Callable
from typing import Final

from marigoldhoist.components.canary.events import COMPLETED_VERSION_FAILS
from marigoldhoist.components.canary.models import RollOutOrder
from marigoldhoist.core.events import emit

# Time after the first answer of a completed version in which it is watched.
WATCH_S: Final = 60.0
# Failures are counted over this time and logged in one line.
COUNT_INTERVAL_S: Final = 5.0


@dataclasses.dataclass(slots=True)
class _Watch:
    """Counts of the current interval; the times are boot times."""

    order: RollOutOrder
    ends_s: float
    interval_ends_s: float
    answers: int = 0
    failures: int = 0


class CompletedVersions:
    """Counts the answers of completed versions at this daemon."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._watch_by_service: dict[str, _Watch] = {}

    def record(self, order: RollOutOrder, *, is_failure: bool) -> None:
        """Record an answer of the target of a completed order."""
        now_s = self._clock()
        watch = self._watch_by_service.get(order.service)
        if watch is None or watch.order != order:
            watch = _Watch(order, now_s + WATCH_S, now_s + COUNT_INTERVAL_S)
            self._watch_by_service[order.service] = watch
        if now_s > watch.ends_s:
            return
        if now_s > watch.interval_ends_s:
            _log_failures(watch)
            watch.interval_ends_s = now_s + COUNT_INTERVAL_S
            watch.answers = 0
            watch.failures = 0
        watch.answers += 1
        watch.failures += is_failure


def _log_failures(watch: _Watch) -> None:
    if watch.failures:
        emit(
            COMPLETED_VERSION_FAILS,
            service=watch.order.service,
            version=watch.order.target,
            answers=watch.answers,
            failures=watch.failures,
            interval_s=COUNT_INTERVAL_S,
        )
