"""Fake clock and in-memory log client for tests."""

import enum

from result import Err, Ok, Result

from marigoldhoist.components.platform_log.const import FOLLOWED_STREAMS
from marigoldhoist.components.platform_log.errors import (
    AppendUnknown,
    LogUnavailableError,
)
from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.models import ReadReply, Record
from tools.standins.log import LogStore

READ_BATCH_RECORDS = 500


class FakeClock:
    """A clock that advances only when a test changes `time_s`."""

    def __init__(self) -> None:
        self.time_s: float = 1000

    def now_ms(self) -> int:
        """Return wall-clock time in milliseconds."""
        return int(self.time_s * 1000)

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds."""
        return self.time_s


class AppendFault(enum.Enum):
    """Outcome of an append.

    LOST stores nothing and ANSWER_LOST stores the records; both report an
    unknown outcome. TWICE stores the records twice and reports success.
    """

    NONE = 'none'
    LOST = 'lost'
    ANSWER_LOST = 'answer_lost'
    TWICE = 'twice'


class FakeLog:
    """One daemon's client of a log store, with injected faults.

    While `is_down` is set, read() fails; append() and follow() do not.
    """

    def __init__(self, store: LogStore) -> None:
        self.store = store
        self.feeds_by_stream = {name: Feed(name) for name in FOLLOWED_STREAMS}
        self.fault = AppendFault.NONE
        self.reads_after_append = True
        self.is_down = False
        self.read_batch_records = READ_BATCH_RECORDS

    def append(
        self, stream: str, records: tuple[Record, ...], timeout_s: float
    ) -> Result[tuple[int, ...], AppendUnknown]:
        """Append as `fault` says, then follow the stream to its end.

        It does not follow if `reads_after_append` is false.
        """
        if self.fault is AppendFault.LOST:
            return Err(AppendUnknown('lost'))
        offsets = self.store.append(stream, records)
        if self.fault is AppendFault.TWICE:
            self.store.append(stream, records)
        if self.reads_after_append:
            self.follow(stream)
        if self.fault is AppendFault.ANSWER_LOST:
            return Err(AppendUnknown('answer lost'))
        return Ok(tuple(offsets))

    def append_despite_divergence(
        self, stream: str, records: tuple[Record, ...], timeout_s: float
    ) -> Result[tuple[int, ...], AppendUnknown]:
        """Append without following the stream."""
        if self.fault is AppendFault.LOST:
            return Err(AppendUnknown('lost'))
        return Ok(tuple(self.store.append(stream, records)))

    def read(
        self,
        stream: str,
        offset: int,
        wait_s: float = 0,
        limit: int = READ_BATCH_RECORDS,
    ) -> ReadReply:
        """Return entries without waiting, at most `read_batch_records`."""
        if self.is_down:
            raise LogUnavailableError('down')
        return self.store.read(
            stream, offset, min(limit, self.read_batch_records), 0
        )

    def follow(self, stream: str) -> None:
        """Offer the feed all entries up to the end of the stream."""
        feed = self.feeds_by_stream[stream]
        while True:
            reply = self.store.read(
                stream, feed.next_offset, READ_BATCH_RECORDS, 0
            )
            if not feed.offer(reply.entries):
                return
