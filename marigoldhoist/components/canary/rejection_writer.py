"""Store the rejections, as all daemons may be replaced at once.

They are records of the topic of states, which daemons follow while a roll-out
is open, so that one that starts later reads them with the states.
"""

import asyncio
import random
from typing import Final

from marigoldhoist.components.canary.const import (
    STATUS_CHECK_INTERVAL_S,
    STATUS_PAUSE_S,
)
from marigoldhoist.components.canary.context import StorageContext
from marigoldhoist.components.canary.events import (
    REJECTION_NOT_STORED,
    REJECTION_STORED,
)
from marigoldhoist.components.feeds.errors import (
    ConditionFailedError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.models import NewRecord, Topic
from marigoldhoist.core.events import emit

# A random delay up to this long spreads the writes of the readers, so that most
# of them read the record instead.
REJECTION_WRITE_JITTER_S: Final = 1.0


class RejectionWriter:
    """Background task that stores rejections at the readers of the store.

    One writer for each failure domain is enough.
    """

    def __init__(self, context: StorageContext) -> None:
        self._rejections = context.rejections
        self._feeds = context.feeds
        self._mirrors = context.mirrors
        self._codec = context.codec

    async def run(self) -> None:
        """Store what the store does not have, until cancelled."""
        while True:
            await asyncio.sleep(STATUS_CHECK_INTERVAL_S)
            unstored = self._rejections.unstored(self._feeds.era)
            if unstored and self._mirrors.is_reader:
                await asyncio.sleep(random.random() * REJECTION_WRITE_JITTER_S)
                await self._store_first()

    async def _store_first(self) -> None:
        feed = self._feeds.feed_by_topic.get(Topic.STATUS)
        end = feed.position if feed else None
        unstored = self._rejections.unstored(self._feeds.era)
        # Without an end in the newest era, the store may have the records.
        if not unstored or end is None or end.era != self._feeds.era:
            return
        rejection = unstored[0]
        record = NewRecord(*self._codec.encode_rejection(rejection))
        try:
            await self._feeds.store.append(Topic.STATUS, (record,), end)
        except (ConditionFailedError, StoreUnavailableError) as error:
            emit(
                REJECTION_NOT_STORED,
                reason=str(error),
                **rejection.identity_fields(),
            )
            await asyncio.sleep(STATUS_PAUSE_S)
            return
        self._rejections.note_stored(rejection, end.era)
        emit(REJECTION_STORED, era=end.era, **rejection.identity_fields())
