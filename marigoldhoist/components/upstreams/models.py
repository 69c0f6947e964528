"""Replicas, their load reports and calls to them, inside the daemon."""

import dataclasses
import threading

from marigoldhoist.components.upstreams.const import DEFAULT_SLOTS


@dataclasses.dataclass(frozen=True, slots=True)
class SeenReport:
    """A replica's own count of its requests, as this daemon met it.

    The time is that of the count on this daemon's monotonic clock, in
    seconds; own_in_flight is this daemon's part of the count.
    """

    in_flight: int
    slots: int
    own_in_flight: int
    counted_s: float


@dataclasses.dataclass(slots=True)
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
    report: SeenReport | None = None
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    @property
    def slots(self) -> int:
        """Return how many requests it batches without slowing down."""
        return self.report.slots if self.report else DEFAULT_SLOTS

    def begin(self) -> None:
        """Count a request in."""
        with self.lock:
            self.in_flight += 1

    def end(self) -> None:
        """Count a request out."""
        with self.lock:
            self.in_flight -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One HTTP request to a replica."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
