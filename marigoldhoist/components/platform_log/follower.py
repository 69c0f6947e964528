"""Follow one stream of the log into its feed."""

import math
import threading
from typing import Protocol

from marigoldhoist.components.platform_log.const import (
    FAR_BEHIND_RECORDS,
    GAP_PAUSE_S,
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
    """Reads streams of the log."""

    def read(
        self,
        stream: str,
        offset: int,
        wait_s: float = 0,
        limit: int = READ_LIMIT_RECORDS,
    ) -> ReadReply:
        """Read entries from offset on; wait up to wait_s for the first."""


class Recovery(Protocol):
    """What a follower asks for when the log alone does not bring it on."""

    def catch_up(self, reply: ReadReply) -> bool:
        """Step ahead to a snapshot on the log; False if there is none."""

    def watch(self, entry: LogEntry) -> bool:
        """Look in another history for the way back; True once found."""


class Follower:
    """Reads one stream by long polls."""

    def __init__(
        self, client: LogReader, feed: Feed, clock: Clock = SYSTEM_CLOCK
    ) -> None:
        self.recovery: Recovery | None = None
        self.last_read_s: float = 0
        self._client = client
        self._feed = feed
        self._clock = clock
        self._reachable = True
        self._has_gap = False
        self._verified_s = -math.inf
        self._watched_offset = 0

    @property
    def is_reachable(self) -> bool:
        """Tell whether the log answered the last read."""
        return self._reachable

    def run(self, stopping: threading.Event, long_poll_s: float) -> None:
        """Read until told to stop."""
        while not stopping.is_set():
            if not self.read_once(long_poll_s):
                pause_s = GAP_PAUSE_S if self._has_gap else RETRY_PAUSE_S
                stopping.wait(pause_s)

    def read_once(self, wait_s: float) -> bool:
        """Read one batch; False where the log did not answer usefully."""
        try:
            is_taken = self._read(wait_s)
        except (LogUnavailableError, LogRefusedError) as error:
            self._verified_s = -math.inf
            self._note_reachable(False, str(error))
            return False
        self._note_reachable(True, '')
        return is_taken

    def _read(self, wait_s: float) -> bool:
        if self._feed.is_diverged:
            return self._watch(wait_s)
        position = self._feed.next_offset
        reply = self._client.read(self._feed.stream, position, wait_s)
        if self._is_another_history(reply, position):
            return False
        return self._take(reply, position)

    def _take(self, reply: ReadReply, position: int) -> bool:
        has_gap = reply.first_offset > position
        is_far = not position and reply.next_offset > FAR_BEHIND_RECORDS
        if (has_gap or is_far) and self._catch_up(reply):
            return True
        self._note_gap(has_gap, reply)
        if has_gap:
            return False
        self.last_read_s = self._clock.monotonic_s()
        self._feed.offer(reply.entries)
        return True

    def _catch_up(self, reply: ReadReply) -> bool:
        return self.recovery is not None and self.recovery.catch_up(reply)

    def _is_another_history(self, reply: ReadReply, position: int) -> bool:
        """Tell whether the log lost entries that were folded."""
        is_shorter = reply.next_offset < position
        if not is_shorter and self._is_verified(reply, position):
            return False
        # A peer may have moved the feed on meanwhile; then read once more.
        if self._feed.next_offset == position:
            self._feed.is_diverged = True
            self._watched_offset = position
            emit(
                LOG_SHORTENED,
                stream=self._feed.stream,
                log_end=reply.next_offset,
                position=position,
            )
        return True

    def _is_verified(self, reply: ReadReply, position: int) -> bool:
        """Compare the last entry folded, before any is folded after it."""
        now_s = self._clock.monotonic_s()
        is_recent = now_s - self._verified_s < VERIFY_INTERVAL_S
        if not position or (is_recent and not reply.entries):
            return True
        last_id = self._feed.last_id
        kept = self._client.read(self._feed.stream, position - 1, limit=1)
        self._verified_s = now_s
        if kept.next_offset < position:
            return False
        # An entry that has expired cannot be compared.
        if kept.first_offset >= position or not kept.entries:
            return True
        return kept.entries[0].record.id == last_id

    def _watch(self, wait_s: float) -> bool:
        recovery = self.recovery
        if recovery is None:
            return False
        reply = self._client.read(
            self._feed.stream, self._watched_offset, wait_s
        )
        self._watched_offset = max(self._watched_offset, reply.first_offset)
        for entry in reply.entries:
            if recovery.watch(entry):
                self._feed.offer((entry,))
                return True
            self._watched_offset = entry.offset + 1
        return bool(reply.entries)

    def _note_gap(self, has_gap: bool, reply: ReadReply) -> None:
        if has_gap and not self._has_gap:
            emit(
                LOG_GAP,
                stream=self._feed.stream,
                first=reply.first_offset,
                position=self._feed.next_offset,
            )
        self._has_gap = has_gap

    def _note_reachable(self, reachable: bool, error: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = LOG_REACHABLE if reachable else LOG_UNREACHABLE
        emit(event, stream=self._feed.stream, error=error)
