"""Hand what the store's topics hold to the product's services."""

import math

import msgspec

from marigoldhoist.components.canary.service import CanaryService
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.feeds.feed import FeedUpdate
from marigoldhoist.components.feeds.models import KeyedRecord, Topic
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import emit
from marigoldhoist.platform.const import (
    CONFIGURATION_KEY,
    ROLL_OUT_KEY_PREFIX,
)
from marigoldhoist.platform.events import RECORD_UNREADABLE
from marigoldhoist.platform.records import (
    read_configuration,
    read_order,
    read_replica,
    read_status,
)


class OperatorTopic:
    """Configurations and orders to roll out."""

    def __init__(
        self, configuration: ConfigurationService, canary: CanaryService
    ) -> None:
        self._configuration = configuration
        self._canary = canary

    def tell(self, news: FeedUpdate) -> None:
        """Take what one read found."""
        for record in news.batch.records:
            if record.value is not None:
                self._take(record, record.value, news.previously_confirmed_s)
        if self._configuration.current is not None:
            self._configuration.confirm(news.confirmed_s)

    def _take(self, record: KeyedRecord, raw: bytes, before_s: float) -> None:
        try:
            if record.key == CONFIGURATION_KEY:
                self._configuration.adopt(read_configuration(raw))
            elif record.key.startswith(ROLL_OUT_KEY_PREFIX):
                order = read_order(raw, record.offset)
                self._canary.handle_order(order, _seconds_since(before_s))
        except msgspec.DecodeError as error:
            _note_unreadable(record, str(error))


class ReplicaTopic:
    """Entries of replicas."""

    def __init__(self, directory: DirectoryService, feeds: FeedService) -> None:
        self._directory = directory
        self._feeds = feeds

    def tell(self, news: FeedUpdate) -> None:
        """Take what one read found."""
        healthy_for_s = self._feeds.feed_by_topic[Topic.REPLICAS].healthy_for_s
        newest = {record.key: record for record in news.batch.records}
        for record in newest.values():
            self._take(record, healthy_for_s)
        if news.is_whole:
            self._directory.keep_only(newest, healthy_for_s)

    def _take(self, record: KeyedRecord, healthy_for_s: float) -> None:
        if record.value is None:
            self._directory.remove(record.key, healthy_for_s)
            return
        entry = read_replica(record.key, record.value)
        if entry is None:
            _note_unreadable(record, 'no usable replica')
            self._directory.remove(record.key, float('inf'))
            return
        self._directory.put(entry)


class StatusTopic:
    """States of roll-outs."""

    def __init__(self, canary: CanaryService) -> None:
        self._canary = canary

    def tell(self, news: FeedUpdate) -> None:
        """Take what one read found."""
        for record in news.batch.records:
            status = read_status(record.key, record.value or b'')
            if status is not None:
                self._canary.handle_status(status)


def _seconds_since(before_s: float) -> float | None:
    """Return the seconds since a read, none where there was none."""
    if math.isinf(before_s):
        return None
    return round(SYSTEM_CLOCK.boottime_s() - before_s, 3)


def _note_unreadable(record: KeyedRecord, reason: str) -> None:
    emit(
        RECORD_UNREADABLE,
        key=record.key,
        offset=record.offset,
        reason=reason,
    )
