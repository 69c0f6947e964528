"""Claim stages of several hosts on one fake log."""

import time
import uuid

from marigoldhoist.components.claims.settings import ClaimSettings
from marigoldhoist.components.claims.stage import ClaimStage
from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.core.exchange import CallerRequest
from tests.components.log_fakes import FakeLog, FakeWriter

HOUR_MS = 3_600_000
SETTINGS = ClaimSettings(window_s=6 * 3600, claim_timeout_s=0.0005)


def order_id(time_ms: int, number: int) -> str:
    """Return a UUIDv7 of that time."""
    low = (0b10 << 62) | number
    return str(uuid.UUID(int=(time_ms << 80) | (7 << 76) | low))


def request(request_id: str) -> CallerRequest:
    """Return an order that may run once."""
    return CallerRequest(
        workspace='bench',
        request_id=request_id,
        target='pult-narudzbe',
        body=b'',
        deadline_s=time.monotonic() + 60,
        is_repeatable=False,
    )


class HostClock:
    """A host's clock: some are hours slow."""

    def __init__(self, log: FakeLog, slow_ms: int) -> None:
        self._log = log
        self._slow_ms = slow_ms

    def now_ms(self) -> int:
        """Return the host's idea of the time."""
        return self._log.now_ms - self._slow_ms

    def monotonic_s(self) -> float:
        """Return monotonic time."""
        return time.monotonic()


class Host:
    """One daemon's claim stage and its view of the log."""

    def __init__(self, name: str, log: FakeLog, slow_ms: int) -> None:
        self.feed = Feed('work')
        self.writer = FakeWriter(log, self.feed)
        self.stage = ClaimStage(
            name, SETTINGS, self.feed, self.writer, HostClock(log, slow_ms)
        )
        self.feed.add_fold(self.stage.fold.apply)
