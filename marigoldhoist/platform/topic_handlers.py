"""Decode the records of the store's topics and pass them to the services."""

import contextlib
import math
from collections.abc import Iterator

import msgspec

from marigoldhoist.components.canary.service import CanaryService
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.feeds.feed import FeedUpdate
from marigoldhoist.components.feeds.models import (
    KeyedRecord,
    Position,
    Topic,
)
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import emit
from marigoldhoist.platform.const import (
    CONFIGURATION_KEY,
    ROLL_OUT_KEY_PREFIX,
)
from marigoldhoist.platform.events import RECORD_FAILED, RECORD_UNREADABLE
from marigoldhoist.platform.records import (
    decode_configuration,
    decode_replica,
    decode_roll_out_order,
)
from marigoldhoist.platform.status_records import (
    decode_rejection,
    decode_roll_out_status,
)


class OperatorTopicHandler:
    """Handles the operator's configurations and roll-out orders."""

    def __init__(
        self, configuration: ConfigurationService, canary: CanaryService
    ) -> None:
        self._configuration = configuration
        self._canary = canary

    def handle_update(self, update: FeedUpdate) -> None:
        """Apply the records of one read."""
        if update.is_new_era:
            self._canary.handle_new_era()
        for record in update.batch.records:
            if record.value is not None:
                with _isolated(record):
                    self._apply(record, record.value, update)
        self._canary.release_held_orders()
        if self._configuration.current is not None:
            self._configuration.confirm(update.confirmed_s)

    def _apply(
        self, record: KeyedRecord, raw: bytes, update: FeedUpdate
    ) -> None:
        try:
            if record.key == CONFIGURATION_KEY:
                self._configuration.adopt(
                    decode_configuration(raw), update.source
                )
            elif record.key.startswith(ROLL_OUT_KEY_PREFIX):
                position = Position(record.offset, update.batch.era)
                self._canary.handle_order(
                    decode_roll_out_order(raw, position),
                    _seconds_since(update.previously_confirmed_s),
                    is_restored=update.is_new_era,
                )
        except msgspec.DecodeError as error:
            _log_unreadable(record, str(error))


class ReplicaTopicHandler:
    """Handles the registrations of replicas."""

    def __init__(self, directory: DirectoryService, feeds: FeedService) -> None:
        self._directory = directory
        self._feeds = feeds

    def handle_update(self, update: FeedUpdate) -> None:
        """Apply the records of one read."""
        healthy_for_s = self._feeds.feed_by_topic[Topic.REPLICAS].healthy_for_s
        record_by_key = {record.key: record for record in update.batch.records}
        for record in record_by_key.values():
            with _isolated(record):
                self._apply(
                    record, healthy_for_s, is_restored=update.is_new_era
                )
        if update.is_whole:
            self._directory.keep_only(record_by_key, healthy_for_s)

    def _apply(
        self, record: KeyedRecord, healthy_for_s: float, *, is_restored: bool
    ) -> None:
        if record.value is None:
            self._directory.remove(record.key, healthy_for_s)
            return
        entry = decode_replica(record.key, record.value)
        if entry is None:
            _log_unreadable(record, 'no usable replica')
            self._directory.remove(record.key, float('inf'))
            return
        if is_restored:
            self._directory.put_restored(entry)
            return
        self._directory.put(entry)


class StatusTopicHandler:
    """Handles the stored statuses of roll-outs and the rejections."""

    def __init__(self, canary: CanaryService) -> None:
        self._canary = canary

    def handle_update(self, update: FeedUpdate) -> None:
        """Apply the records of one read."""
        for record in update.batch.records:
            with _isolated(record):
                self._apply(record, update.batch.era)

    def _apply(self, record: KeyedRecord, era: int | None) -> None:
        raw = record.value or b''
        status = decode_roll_out_status(record.key, raw)
        if status is not None:
            self._canary.handle_status(status, era)
        rejection = decode_rejection(record.key, raw)
        if rejection is not None:
            self._canary.handle_rejection(rejection, era)


@contextlib.contextmanager
def _isolated(record: KeyedRecord) -> Iterator[None]:
    """Log an unexpected error, so that no records after this one are lost."""
    try:
        yield
    except Exception as error:
        emit(
            RECORD_FAILED,
            key=record.key,
            offset=record.offset,
            error=repr(error),
        )


def _seconds_since(confirmed_s: float) -> float | None:
    """Return the seconds since a boot time, None for negative infinity."""
    if math.isinf(confirmed_s):
        return None
    return round(SYSTEM_CLOCK.boottime_s() - confirmed_s, 3)


def _log_unreadable(record: KeyedRecord, reason: str) -> None:
    emit(
        RECORD_UNREADABLE,
        key=record.key,
        offset=record.offset,
        reason=reason,
    )
