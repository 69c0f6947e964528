"""The log service: one feed for each followed stream, and appends."""

from functools import partial
from typing import Protocol

from result import Err, Ok, Result

from marigoldhoist.components.platform_log.client import LogClient
from marigoldhoist.components.platform_log.const import (
    FOLLOWED_STREAMS,
    RETRY_PAUSE_S,
)
from marigoldhoist.components.platform_log.errors import (
    AppendUnknown,
    LogRefusedError,
    LogUnavailableError,
)
from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.follower import Follower
from marigoldhoist.components.platform_log.models import (
    LogStatus,
    Record,
    StreamStatus,
)
from marigoldhoist.components.platform_log.settings import LogSettings
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.kernel import BaseService, Kernel


class LogAccess(Protocol):
    """Interface of the log service for readers and writers of streams."""

    feeds_by_stream: dict[str, Feed]

    def append(
        self, stream: str, records: tuple[Record, ...], timeout_s: float
    ) -> Result[tuple[int, ...], AppendUnknown]:
        """Append records within the timeout and return their offsets."""

    def append_despite_divergence(
        self, stream: str, records: tuple[Record, ...], timeout_s: float
    ) -> Result[tuple[int, ...], AppendUnknown]:
        """Append records also if the log has lost entries folded here."""


class LogService(BaseService):
    """Owns the feeds of the followed streams and retries appends."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings.section(LogSettings)
        self.client = LogClient(self._settings)
        self.feeds_by_stream = {
            stream: Feed(stream) for stream in FOLLOWED_STREAMS
        }
        self.followers_by_stream = {
            stream: Follower(self.client, feed)
            for stream, feed in self.feeds_by_stream.items()
        }

    def ready(self) -> None:
        """Start reading the streams; all folds are registered by now."""
        for stream, follower in self.followers_by_stream.items():
            work = partial(
                follower.run,
                self._kernel.stopping,
                self._settings.long_poll_s,
            )
            self._kernel.spawn(f'follow-{stream}', work)

    def read_to_end(self, stream: str) -> bool:
        """Read a stream up to its end; return False if a read fails."""
        follower = self.followers_by_stream[stream]
        return self.feeds_by_stream[stream].drain(
            partial(follower.read_once, 0)
        )

    def status(self) -> LogStatus:
        """Return position, reachability and divergence of each stream."""
        return LogStatus(
            {
                stream: StreamStatus(
                    feed.next_offset,
                    self.followers_by_stream[stream].is_reachable,
                    feed.is_diverged,
                )
                for stream, feed in self.feeds_by_stream.items()
            }
        )

    def append(
        self, stream: str, records: tuple[Record, ...], timeout_s: float
    ) -> Result[tuple[int, ...], AppendUnknown]:
        """Append records and return their offsets.

        Retries with the same record ids until the log confirms or the timeout
        expires. Fails at once if the log has lost entries folded here.
        """
        feed = self.feeds_by_stream.get(stream)
        if feed is not None and feed.is_diverged:
            return Err(AppendUnknown('the log lost records that are in force'))
        return self.append_despite_divergence(stream, records, timeout_s)

    def append_despite_divergence(
        self, stream: str, records: tuple[Record, ...], timeout_s: float
    ) -> Result[tuple[int, ...], AppendUnknown]:
        """Append records also if the log has lost entries folded here.

        Retries with the same record ids until the log confirms or the timeout
        expires.
        """
        deadline_s = SYSTEM_CLOCK.monotonic_s() + timeout_s
        while True:
            try:
                reply = self.client.append(stream, records)
            except (LogUnavailableError, LogRefusedError) as error:
                if SYSTEM_CLOCK.monotonic_s() + RETRY_PAUSE_S >= deadline_s:
                    return Err(AppendUnknown(str(error)))
                self._kernel.stopping.wait(RETRY_PAUSE_S)
            else:
                return Ok(reply.offsets)
