"""Replicas, their load reports and calls to them."""

import collections
import dataclasses
import threading

import msgspec

from marigoldhoist.components.placement.const import SLOW_START_S
from marigoldhoist.components.upstreams.const import (
    DEFAULT_SLOTS,
    MAX_IN_FLIGHT_SAMPLES,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK


class LoadReply(msgspec.Struct, frozen=True):
    """Body of a replica's response to `GET /load`.

    The counts were `age_ms` old when the replica answered; `slots` is the
    number of requests that it batches without slowing down.
    """

    running: int = 0
    waiting: int = 0
    slots: int = DEFAULT_SLOTS
    age_ms: int = 0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A replica's load at `counted_s` on this daemon's monotonic clock.

    `in_flight` counts the requests of all daemons that are running or queued
    at the replica; `own_in_flight` is this daemon's part of them.
    """

    in_flight: int
    slots: int
    own_in_flight: int
    counted_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightSample:
    """This daemon's in-flight requests from `since_s` (monotonic) on."""

    since_s: float
    in_flight: int


def _new_history() -> collections.deque[InFlightSample]:
    return collections.deque(maxlen=MAX_IN_FLIGHT_SAMPLES)


@dataclasses.dataclass(slots=True, eq=False)
class Replica:
    """One upstream process and this daemon's in-flight requests to it.

    `last_considered_s` is the monotonic time at which routing last had this
    replica among its candidates; the load is polled for a while after that.
    """

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
    in_flight_history: collections.deque[InFlightSample] = dataclasses.field(
        default_factory=_new_history
    )

    @property
    def slots(self) -> int:
        """Return how many requests the replica batches at full speed."""
        return self.report.slots if self.report else DEFAULT_SLOTS

    @property
    def warm_up_s(self) -> float:
        """Return how long it gets less load after it was first seen."""
        return SLOW_START_S

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self.address}:{self.port}'

    def begin_request(self) -> None:
        """Add one to the in-flight count."""
        self._count(1)

    def end_request(self) -> None:
        """Subtract one from the in-flight count."""
        self._count(-1)

    def in_flight_at(self, time_s: float) -> int:
        """Return this daemon's in-flight count at an earlier monotonic time.

        Times before the history yield its oldest count, or 0 if it is empty.
        """
        with self.lock:
            for sample in reversed(self.in_flight_history):
                if sample.since_s <= time_s:
                    return sample.in_flight
            return (
                self.in_flight_history[0].in_flight
                if self.in_flight_history
                else 0
            )

    def _count(self, change: int) -> None:
        with self.lock:
            self.in_flight += change
            now_s = SYSTEM_CLOCK.monotonic_s()
            self.in_flight_history.append(InFlightSample(now_s, self.in_flight))


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One HTTP request to a replica.

    If `is_streamed`, a read times out after `no_progress_s` of the settings or
    `timeout_s`, whichever is shorter.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
    is_streamed: bool = False
