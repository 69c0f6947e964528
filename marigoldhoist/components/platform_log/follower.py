"""Read one stream of the log continuously into its feed."""

import math
import threading
from typing import Protocol

from marigoldhoist.components.platform_log.const import (
    GAP_PAUSE_S,
    MAX_REPLAY_RECORDS,
    READ_LIMIT_RECORDS,
    RETRY_PAUSE_S,
    VERIFY_INTERVAL_S,
)
from marigoldhoist.components.platform_log.errors import (
    LogRefusedError,
    LogUnavailableError,
)
from marigoldhoist.components.platform_log.events import (
    LOG_GAP,
    LOG_REACHABLE,
    LOG_SHORTENED,
    LOG_UNREACHABLE,
)
from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.models import LogEntry, ReadReply
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock
from marigoldhoist.core.events import emit


class LogReader(Protocol):
    """Interface for reading streams of the log."""

    def read(
        self,
        stream: str,
        offset: int,
        wait_s: float = 0,
        limit: int = READ_LIMIT_RECORDS,
    ) -> ReadReply:
        """Read entries from offset on; wait up to wait_s for the first one."""


class Recovery(Protocol):
    """Snapshot recovery, for when replaying the log is not enough."""

    def catch_up(self, reply: ReadReply) -> bool:
        """Restore a newer snapshot from the log; False if there is none."""

    def scan_entry(self, entry: LogEntry) -> bool:
        """Scan an entry of a diverged log; True if a state was adopted."""


class Follower:
    """Reads one stream by long polling and detects gaps and lost entries."""

    def __init__(
        self, client: LogReader, feed: Feed, clock: Clock = SYSTEM_CLOCK
    ) -> None:
        self.recovery: Recovery | None = None
        self.last_read_s: float = 0
        self._client = client
        self._feed = feed
        self._clock = clock
        self._is_reachable = True
        self._has_gap = False
        self._last_verified_s = -math.inf
        self._scan_offset = 0

    @property
    def is_reachable(self) -> bool:
        """Return whether the log answered the last read."""
        return self._is_reachable

    def run(self, stopping: threading.Event, long_poll_s: float) -> None:
        """Read batches until the stop event is set."""
        while not stopping.is_set():
            if not self.read_once(long_poll_s):
                pause_s = GAP_PAUSE_S if self._has_gap else RETRY_PAUSE_S
                stopping.wait(pause_s)

    def read_once(self, wait_s: float) -> bool:
        """Read one batch; return False if the caller should pause.

        That is the case if the log did not answer, if the next records have
        expired from it, or if it has diverged and holds no new entries.
        """
        try:
            is_usable = self._read(wait_s)
        except (LogUnavailableError, LogRefusedError) as error:
            self._last_verified_s = -math.inf
            self._report_reachability(False, str(error))
            return False
        self._report_reachability(True, '')
        return is_usable

    def _read(self, wait_s: float) -> bool:
        if self._feed.is_diverged:
            return self._scan_diverged_log(wait_s)
        position = self._feed.next_offset
        reply = self._client.read(self._feed.stream, position, wait_s)
        if self._detect_divergence(reply, position):
            return False
        return self._process_reply(reply, position)

    def _process_reply(self, reply: ReadReply, position: int) -> bool:
        has_gap = reply.first_offset > position
        is_long_replay = not position and reply.next_offset > MAX_REPLAY_RECORDS
        if (has_gap or is_long_replay) and self._catch_up(reply):
            return True
        self._report_gap(has_gap, reply)
        if has_gap:
            return False
        self.last_read_s = self._clock.monotonic_s()
        self._feed.offer(reply.entries)
        return True

    def _catch_up(self, reply: ReadReply) -> bool:
        return self.recovery is not None and self.recovery.catch_up(reply)

    def _detect_divergence(self, reply: ReadReply, position: int) -> bool:
        """Return whether a reply does not continue the folded entries.

        Marks the feed as diverged if the log lost entries that were folded.
        """
        is_shorter = reply.next_offset < position
        if not is_shorter and self._is_verified(reply, position):
            return False
        # If a peer's entries have advanced the feed since the read, the
        # comparison is not valid; the next read repeats it.
        if self._feed.next_offset == position:
            self._feed.is_diverged = True
            self._scan_offset = position
            emit(
                LOG_SHORTENED,
                stream=self._feed.stream,
                log_end=reply.next_offset,
                position=position,
            )
        return True

    def _is_verified(self, reply: ReadReply, position: int) -> bool:
        """Return whether the log still holds the entry folded last.

        Checked before new entries are folded, otherwise at most once per
        `VERIFY_INTERVAL_S`.
        """
        now_s = self._clock.monotonic_s()
        is_recent = now_s - self._last_verified_s < VERIFY_INTERVAL_S
        if not position or (is_recent and not reply.entries):
            return True
        last_id = self._feed.last_id
        last_reply = self._client.read(self._feed.stream, position - 1, limit=1)
        self._last_verified_s = now_s
        if last_reply.next_offset < position:
            return False
        # An expired entry cannot be compared.
        if last_reply.first_offset >= position or not last_reply.entries:
            return True
        return last_reply.entries[0].record.id == last_id

    def _scan_diverged_log(self, wait_s: float) -> bool:
        recovery = self.recovery
        if recovery is None:
            return False
        reply = self._client.read(self._feed.stream, self._scan_offset, wait_s)
        self._scan_offset = max(self._scan_offset, reply.first_offset)
        for entry in reply.entries:
            if recovery.scan_entry(entry):
                self._feed.offer((entry,))
                return True
            self._scan_offset = entry.offset + 1
        return bool(reply.entries)

    def _report_gap(self, has_gap: bool, reply: ReadReply) -> None:
        if has_gap and not self._has_gap:
            emit(
                LOG_GAP,
                stream=self._feed.stream,
                first=reply.first_offset,
                position=self._feed.next_offset,
            )
        self._has_gap = has_gap

    def _report_reachability(self, is_reachable: bool, error: str) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        event = LOG_REACHABLE if is_reachable else LOG_UNREACHABLE
        emit(event, stream=self._feed.stream, error=error)
