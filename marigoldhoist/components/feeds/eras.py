"""Track the era of a topic, which rises when its source loses records.

A source that was restored from an older copy assigns offsets again. Its records
and offsets are therefore comparable only within one era.
"""

import math
from collections.abc import Callable

from marigoldhoist.components.feeds.const import ERA_SETTLE_S
from marigoldhoist.components.feeds.errors import (
    EraChangedError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.events import ERA_CHANGED, ERA_REJECTED
from marigoldhoist.components.feeds.models import (
    Batch,
    Position,
    ReadResult,
    Topic,
)
from marigoldhoist.core.events import emit


class EraTracker:
    """Holds the current era of a topic and when it began.

    An era is None while the source reports none.
    """

    def __init__(self, topic: Topic, clock: Callable[[], float]) -> None:
        self._topic = topic
        self._clock = clock
        self._has_read = False
        self._changed_s = -math.inf
        # Source and era of the newest rejected answer, so that each is logged
        # once while the condition lasts.
        self._rejected: tuple[str, int | None] | None = None
        self.current: int | None = None

    @property
    def age_s(self) -> float:
        """Return the seconds since the era changed, infinite if it did not."""
        return self._clock() - self._changed_s

    @property
    def is_settling(self) -> bool:
        """Return whether writers may still have to write lost records again."""
        return self.age_s < ERA_SETTLE_S

    def require_usable(
        self, source: str, position: Position | None, answer: ReadResult
    ) -> None:
        """Raise an error for an answer that must not be applied.

        StoreUnavailableError: it is of an earlier era, or of none after one
        was known. EraChangedError: it continues from an offset of another era.
        """
        era = answer.batch.era
        if self.current is not None and (era is None or era < self.current):
            self._log_rejected(source, era)
            raise StoreUnavailableError(f'era {era} after era {self.current}')
        self._rejected = None
        if answer.is_whole or position is None or position.era == era:
            return
        raise EraChangedError(f'era {era}, expected era {position.era}')

    def advance(self, source: str, batch: Batch) -> bool:
        """Set the era of a usable answer; return whether it replaces another.

        The first answer starts an era without replacing one.
        """
        before = self.current
        is_replaced = self._has_read and batch.era != before
        self._has_read = True
        self.current = batch.era
        if is_replaced:
            self._changed_s = self._clock()
            emit(
                ERA_CHANGED,
                topic=self._topic.value,
                source=source,
                era=batch.era,
                before=before,
                end=batch.end,
            )
        return is_replaced

    def _log_rejected(self, source: str, era: int | None) -> None:
        if self._rejected == (source, era):
            return
        self._rejected = (source, era)
        emit(
            ERA_REJECTED,
            topic=self._topic.value,
            source=source,
            era=era,
            known_era=self.current,
        )
