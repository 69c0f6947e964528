"""Replicas, their load reports and calls to them."""

import collections
import dataclasses
import threading

import msgspec

from marigoldhoist.components.upstreams.const import (
    DEFAULT_SLOTS,
    HISTORY_ENTRIES,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK


class LoadReply(msgspec.Struct, frozen=True):
    """What a replica answers to `GET /load`.

    The counts were taken age_ms before the answer; slots is how many requests
    it batches without slowing down.
    """

    running: int = 0
    waiting: int = 0
    slots: int = DEFAULT_SLOTS
    age_ms: int = 0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A replica's own count of its requests, as this daemon met it.

    The time is that of the count on this daemon's monotonic clock, in
    seconds; own_in_flight is this daemon's part of the count.
    """

    in_flight: int
    slots: int
    own_in_flight: int
    counted_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PastCount:
    """This daemon's requests at a replica from a time on, in seconds."""

    since_s: float
    in_flight: int


def _history() -> collections.deque[PastCount]:
    return collections.deque(maxlen=HISTORY_ENTRIES)


@dataclasses.dataclass(slots=True, eq=False)
class Replica:
    """One upstream process and this daemon's requests in flight at it."""

    host: str
    address: str
    port: int
    failure_domain: str
    serves: tuple[str, ...]
    is_leaving: bool = False
    in_flight: int = 0
    first_seen_s: float = 0
    last_considered_s: float = 0
    report: LoadReport | None = None
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    history: collections.deque[PastCount] = dataclasses.field(
        default_factory=_history
    )

    @property
    def slots(self) -> int:
        """Return how many requests it batches without slowing down."""
        return self.report.slots if self.report else DEFAULT_SLOTS

    @property
    def url(self) -> str:
        """Return the base address."""
        return f'http://{self.address}:{self.port}'

    def begin_request(self) -> None:
        """Count a request in."""
        self._count(1)

    def end_request(self) -> None:
        """Count a request out."""
        self._count(-1)

    def in_flight_at(self, time_s: float) -> int:
        """Return this daemon's requests here at an earlier time."""
        with self.lock:
            for past in reversed(self.history):
                if past.since_s <= time_s:
                    return past.in_flight
            return self.history[0].in_flight if self.history else 0

    def _count(self, change: int) -> None:
        with self.lock:
            self.in_flight += change
            now_s = SYSTEM_CLOCK.monotonic_s()
            self.history.append(PastCount(now_s, self.in_flight))


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One HTTP request to a replica.

    A streamed answer that makes no progress is given up before the timeout.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
    is_streamed: bool = False
