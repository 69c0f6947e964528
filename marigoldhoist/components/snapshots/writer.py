"""Write one stream's snapshots, and put its state back on a cut log."""

import random

from result import Ok

from marigoldhoist.components.platform_log.errors import (
    LogRefusedError,
    LogUnavailableError,
)
from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.models import (
    FeedDump,
    Record,
    new_record,
)
from marigoldhoist.components.platform_log.service import LogAccess
from marigoldhoist.components.snapshots.chunks import split_dump
from marigoldhoist.components.snapshots.const import (
    APPEND_TIMEOUT_S,
    FILLER_KIND,
    FILLERS_PER_APPEND,
)
from marigoldhoist.components.snapshots.events import (
    SNAPSHOT_FAILED,
    SNAPSHOT_WRITTEN,
)
from marigoldhoist.components.snapshots.recovery import StreamRecovery
from marigoldhoist.components.snapshots.settings import SnapshotSettings
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.events import emit


class SnapshotWriter:
    """Decides when a stream needs a snapshot, and appends it."""

    def __init__(
        self,
        feed: Feed,
        recovery: StreamRecovery,
        log: LogAccess,
        settings: SnapshotSettings,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        self._feed = feed
        self._recovery = recovery
        self._log = log
        self._settings = settings
        self._clock = clock
        self._rejoin_s: float | None = None

    @property
    def is_due(self) -> bool:
        """Tell whether the newest snapshot is old or far behind."""
        if self._feed.is_diverged or not self._feed.next_offset:
            return False
        seen = self._recovery.seen
        if seen is None:
            return True
        age_s = (self._clock.now_ms() - seen.time_ms) / MS_PER_S
        is_old = age_s >= self._settings.interval_s
        lag = self._feed.next_offset - seen.end_offset
        return is_old or lag > self._settings.every_records

    def write(self) -> bool:
        """Append a snapshot; False where the log did not confirm it."""
        return self._append(split_dump(self._feed.dump()))

    def rejoin(self) -> bool:
        """Put the state back on a log that lost its tail, when it is time.

        Fillers move the log past every offset that was in use, so that no
        revision and no fencing number is given twice.
        """
        if not self._is_time_to_rejoin():
            return False
        dump = self._feed.dump()
        while self._feed.is_diverged:
            fillers = tuple(
                new_record(FILLER_KIND, None) for _ in range(FILLERS_PER_APPEND)
            )
            end = self._append_past_divergence(fillers)
            if end is None:
                return False
            if end >= dump.offset:
                return self._put_back(dump)
        return False

    def _put_back(self, dump: FeedDump) -> bool:
        """Append the state, then what only the other history has.

        Every daemon folds those records after the state; where they clash
        with it, they are rejected as any late change is.
        """
        try:
            others = self._recovery.other_records()
        except (LogUnavailableError, LogRefusedError):
            return False
        records = (*split_dump(dump, is_to_adopt=True), *others)
        return self._append_past_divergence(records) is not None

    def _is_time_to_rejoin(self) -> bool:
        if not self._feed.is_diverged:
            self._rejoin_s = None
            return False
        now_s = self._clock.monotonic_s()
        if self._rejoin_s is None:
            factor = random.uniform(1, 2)
            self._rejoin_s = now_s + self._settings.rejoin_delay_s * factor
        if now_s < self._rejoin_s:
            return False
        self._rejoin_s = None
        return True

    def _append(self, records: tuple[Record, ...]) -> bool:
        stream = self._feed.stream
        appended = self._log.append(stream, records, APPEND_TIMEOUT_S)
        is_written = isinstance(appended, Ok)
        event = SNAPSHOT_WRITTEN if is_written else SNAPSHOT_FAILED
        emit(event, stream=stream, records=len(records))
        return is_written

    def _append_past_divergence(
        self, records: tuple[Record, ...]
    ) -> int | None:
        """Append to the other history; return the offset of the last."""
        appended = self._log.append_despite_divergence(
            self._feed.stream, records, APPEND_TIMEOUT_S
        )
        return appended.ok_value[-1] if isinstance(appended, Ok) else None
