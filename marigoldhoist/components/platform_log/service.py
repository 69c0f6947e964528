"""The log service: one feed per followed stream, and appends."""

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
    """What readers and writers of the log use of its service."""

    feeds_by_stream: dict[str, Feed]

    def append(
        self, stream: str, records: tuple[Record, ...], timeout_s: float
    ) -> Result[tuple[int, ...], AppendUnknown]:
        """Append records; the offsets, or an unknown outcome."""

    def append_despite_divergence(
        self, stream: str, records: tuple[Record, ...], timeout_s: float
    ) -> Result[tuple[int, ...], AppendUnknown]:
        """Append even where the log holds another history."""


class LogService(BaseService):
    """Feeds of the followed streams, and appends that retry by record id."""

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
        """Start reading, now that every fold is added."""
        for stream, follower in self.followers_by_stream.items():
            work = partial(
                follower.run,
                self._kernel.stopping,
                self._settings.long_poll_s,
            )
            self._kernel.spawn(f'follow-{stream}', work)

    def read_to_end(self, stream: str) -> bool:
        """Read a stream until nothing is left; False where it cannot be."""
        follower = self.followers_by_stream[stream]
        return self.feeds_by_stream[stream].drain(
            partial(follower.read_once, 0)
        )

    def status(self) -> LogStatus:
        """Return what operators see of the streams followed."""
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
        """Append, sending the same ids again until answered or out of time."""
        feed = self.feeds_by_stream.get(stream)
        if feed is not None and feed.is_diverged:
            return Err(AppendUnknown('the log lost records that are in force'))
        return self.append_despite_divergence(stream, records, timeout_s)

    def append_despite_divergence(
        self, stream: str, records: tuple[Record, ...], timeout_s: float
    ) -> Result[tuple[int, ...], AppendUnknown]:
        """Append even where the log holds another history."""
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
