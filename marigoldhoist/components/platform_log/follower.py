"""Follow one stream of the log into its feed."""

import time

from marigoldhoist.components.platform_log.client import LogClient
from marigoldhoist.components.platform_log.const import RETRY_PAUSE_S
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
from marigoldhoist.components.platform_log.models import ReadReply
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import Kernel


class Follower:
    """Reads one stream by long polls until the kernel stops."""

    def __init__(self, kernel: Kernel, client: LogClient, feed: Feed) -> None:
        self._kernel = kernel
        self._client = client
        self._feed = feed
        self._reachable = True
        self.last_read_s: float = 0

    def run(self, long_poll_s: float) -> None:
        """Read until the kernel stops."""
        while not self._kernel.stopping.is_set():
            if not self.read_once(long_poll_s):
                self._kernel.stopping.wait(RETRY_PAUSE_S)

    def read_once(self, wait_s: float) -> bool:
        """Read one batch; False where the log did not answer usefully."""
        try:
            reply = self._client.read(
                self._feed.stream, self._feed.next_offset, wait_s
            )
        except (LogUnavailableError, LogRefusedError) as error:
            self._note_reachable(False, str(error))
            return False
        self._note_reachable(True, '')
        return self._take(reply)

    def _take(self, reply: ReadReply) -> bool:
        position = self._feed.next_offset
        if reply.next_offset < position:
            emit(
                LOG_SHORTENED,
                stream=self._feed.stream,
                log_end=reply.next_offset,
                position=position,
            )
            return False
        if reply.first_offset > position:
            emit(
                LOG_GAP,
                stream=self._feed.stream,
                first=reply.first_offset,
                position=position,
            )
            return False
        self.last_read_s = time.monotonic()
        self._feed.offer(reply.entries)
        return True

    def _note_reachable(self, reachable: bool, error: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = LOG_REACHABLE if reachable else LOG_UNREACHABLE
        emit(event, stream=self._feed.stream, error=error)
