"""Write one stream's snapshots, also after the log has lost its tail."""

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
    """Decides when a stream needs a snapshot and appends it."""

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
        self._rejoin_at_s: float | None = None

    @property
    def is_due(self) -> bool:
        """Return whether the newest snapshot is too old or too far behind."""
        if self._feed.is_diverged or not self._feed.next_offset:
            return False
        newest = self._recovery.newest
        if newest is None:
            return True
        age_s = (self._clock.now_ms() - newest.time_ms) / MS_PER_S
        is_old = age_s >= self._settings.interval_s
        lag = self._feed.next_offset - newest.end_offset
        return is_old or lag > self._settings.every_records

    def write(self) -> bool:
        """Append a snapshot; return False if the log did not confirm it."""
        return self._append(split_dump(self._feed.dump()))

    def rejoin(self) -> bool:
        """Append the state to a log that lost its tail, after the delay.

        Filler records first advance the log past every offset that was folded
        here. Otherwise revisions and fencing tokens, which are offsets, would
        be issued twice. Returns whether the state was appended.
        """
        if not self._is_time_to_rejoin():
            return False
        dump = self._feed.dump()
        while self._feed.is_diverged:
            fillers = tuple(
                new_record(FILLER_KIND, None) for _ in range(FILLERS_PER_APPEND)
            )
            last_offset = self._append_to_diverged_log(fillers)
            if last_offset is None:
                return False
            if last_offset >= dump.offset:
                return self._append_state(dump)
        return False

    def _append_state(self, dump: FeedDump) -> bool:
        """Append the state, then the records that it lacks.

        The log got those records after it lost its tail. Every daemon folds
        them after the state; one that conflicts with the state is rejected
        like any late change.
        """
        try:
            unfolded = self._recovery.unfolded_records()
        except (LogUnavailableError, LogRefusedError):
            return False
        records = (*split_dump(dump, is_to_adopt=True), *unfolded)
        return self._append_to_diverged_log(records) is not None

    def _is_time_to_rejoin(self) -> bool:
        if not self._feed.is_diverged:
            self._rejoin_at_s = None
            return False
        now_s = self._clock.monotonic_s()
        if self._rejoin_at_s is None:
            factor = random.uniform(1, 2)
            self._rejoin_at_s = now_s + self._settings.rejoin_delay_s * factor
        if now_s < self._rejoin_at_s:
            return False
        self._rejoin_at_s = None
        return True

    def _append(self, records: tuple[Record, ...]) -> bool:
        stream = self._feed.stream
        appended = self._log.append(stream, records, APPEND_TIMEOUT_S)
        is_written = isinstance(appended, Ok)
        event = SNAPSHOT_WRITTEN if is_written else SNAPSHOT_FAILED
        emit(event, stream=stream, records=len(records))
        return is_written

    def _append_to_diverged_log(
        self, records: tuple[Record, ...]
    ) -> int | None:
        """Append to a diverged log; return the last offset, if confirmed."""
        appended = self._log.append_despite_divergence(
            self._feed.stream, records, APPEND_TIMEOUT_S
        )
        return appended.ok_value[-1] if isinstance(appended, Ok) else None
