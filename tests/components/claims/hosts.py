"""Fakes for tests of claim stages of several hosts on one log."""

import time
import uuid

from marigoldhoist.components.claims.settings import ClaimSettings
from marigoldhoist.components.claims.stage import ClaimStage
from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.core.exchange import CallerRequest
from tests.components.log_fakes import FakeLog, FakeWriter

HOUR_MS = 3_600_000
SETTINGS = ClaimSettings(window_s=6 * 3600, claim_timeout_s=0.0005)


def uuid7_at(time_ms: int, number: int) -> str:
    """Return a UUIDv7 with that timestamp, distinct for each number."""
    low_bits = (0b10 << 62) | number
    return str(uuid.UUID(int=(time_ms << 80) | (7 << 76) | low_bits))


def request(request_id: str) -> CallerRequest:
    """Return a non-repeatable request."""
    return CallerRequest(
        workspace='bench',
        request_id=request_id,
        target='pult-narudzbe',
        body=b'',
        deadline_s=time.monotonic() + 60,
        is_repeatable=False,
    )


class HostClock:
    """Clock whose wall time lags behind the fake log's time."""

    def __init__(self, log: FakeLog, lag_ms: int) -> None:
        self._log = log
        self._lag_ms = lag_ms

    def now_ms(self) -> int:
        """Return the host's wall time in milliseconds."""
        return self._log.now_ms - self._lag_ms

    def monotonic_s(self) -> float:
        """Return the real monotonic time in seconds."""
        return time.monotonic()


class Host:
    """The claim stage of one daemon with its own feed of the log."""

    def __init__(self, name: str, log: FakeLog, lag_ms: int) -> None:
        self.feed = Feed('work')
        self.writer = FakeWriter(log, self.feed)
        self.stage = ClaimStage(
            name, SETTINGS, self.feed, self.writer, HostClock(log, lag_ms)
        )
        self.feed.add_fold(self.stage.fold.apply)
