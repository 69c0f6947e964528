"""Whether the reads of a topic succeed, and the backoff while they fail."""

import math
from collections.abc import Mapping
from typing import Final

from marigoldhoist.components.feeds.const import MAX_BACKOFF_S, MIN_BACKOFF_S
from marigoldhoist.components.feeds.events import STORE_LOST, STORE_REGAINED
from marigoldhoist.components.feeds.models import Topic
from marigoldhoist.core.clock import SystemClock
from marigoldhoist.core.events import emit

BACKOFF_GROWTH: Final = 2


class FeedHealth:
    """Tracks since when the reads of one topic fail or succeed."""

    def __init__(self, topic: Topic, clock: SystemClock) -> None:
        self._topic = topic
        self._clock = clock
        self._lost_since_s: float | None = None
        self._regained_s = -math.inf
        self._backoff_s = MIN_BACKOFF_S

    @property
    def is_lost(self) -> bool:
        """Return whether the last read failed or left records unread."""
        return self._lost_since_s is not None

    @property
    def healthy_for_s(self) -> float:
        """Return the seconds since reads succeed again, 0 while they fail.

        Infinite if no read has failed so far.
        """
        if self.is_lost:
            return 0
        return self._clock.boottime_s() - self._regained_s

    def note_lost(
        self, reason_by_source: Mapping[str, str], age_s: float | None
    ) -> float:
        """Note that a read failed; return the seconds until the next."""
        pause_s = self._backoff_s
        self._backoff_s = min(MAX_BACKOFF_S, pause_s * BACKOFF_GROWTH)
        if self._lost_since_s is not None:
            return pause_s
        self._lost_since_s = self._clock.boottime_s()
        emit(
            STORE_LOST,
            topic=self._topic.value,
            reasons=dict(reason_by_source),
            age_s=age_s,
        )
        return pause_s

    def note_healthy(self) -> None:
        """Note that a read succeeded."""
        self._backoff_s = MIN_BACKOFF_S
        if self._lost_since_s is None:
            return
        now_s = self._clock.boottime_s()
        emit(
            STORE_REGAINED,
            topic=self._topic.value,
            lost_for_s=round(now_s - self._lost_since_s, 3),
        )
        self._lost_since_s = None
        self._regained_s = now_s
