"""The entry of a replica in the store and its state in this daemon."""

import dataclasses
import math
from typing import TypeAlias

from marigoldhoist.components.directory.const import (
    FAILURE_HALF_LIFE_S,
    FIRST_SUSPICION_S,
)
from marigoldhoist.components.directory.rate_limit import SharedRateLimit
from marigoldhoist.components.directory.shared_room import (
    COUNT_TTL_S,
    SharedRoom,
)
from marigoldhoist.components.placement.prefill_backlog import PrefillBacklog

# Name and start time, in milliseconds since 1970.
ReplicaStart: TypeAlias = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaEntry:
    """The entry by which a replica registers itself in the store.

    `started_ms` distinguishes restarts of a replica under the same name.
    `warm_up_s` is how long it stays slow after its start.
    """

    host: str
    service: str
    address: str
    port: int
    failure_domain: str
    version: str
    slots: int
    is_draining: bool
    started_ms: int
    warm_up_s: float = 0

    @property
    def start(self) -> ReplicaStart:
        """Return what tells this start of the replica from others."""
        return self.host, self.started_ms

    def is_same_start(self, other: 'ReplicaEntry') -> bool:
        """Return whether two entries are of one start at one address."""
        return (self.start, self.address, self.port) == (
            other.start,
            other.address,
            other.port,
        )


@dataclasses.dataclass(slots=True)
class LoadReport:
    """The load that a replica reported and this daemon's part of it.

    `counted_s` is the boot time at which this daemon received the report.
    """

    running: int
    waiting: int
    slots: int
    counted_s: float
    own_in_flight: int

    @property
    def in_flight(self) -> int:
        """Return the number of running and waiting requests."""
        return self.running + self.waiting


@dataclasses.dataclass(slots=True)
class Replica:
    """A replica and the state that this daemon keeps about it.

    `usable_until_s` is the boot time at which an expired entry is dropped.
    `suspicion_s` is how long the next suspicion lasts. `warm_up_s` is how long
    the replica is slow after it was first seen. `backlog` is what this daemon
    knows of the prompts that wait there. `rate_limit` is None while it names no
    limit of its own, `room` while it does not say that it is brittle.
    `is_leaving` is set once it announced that in an answer. Before the boot
    time `closed_until_s` it wants no requests of this daemon. It is
    `is_unreachable` from a connect that failed until one succeeds.
    """

    entry: ReplicaEntry
    first_seen_s: float = -math.inf
    warm_up_s: float = 0
    in_flight: int = 0
    backlog: PrefillBacklog = dataclasses.field(default_factory=PrefillBacklog)
    report: LoadReport | None = None
    rate_limit: SharedRateLimit | None = None
    room: SharedRoom | None = None
    is_leaving: bool = False
    closed_until_s: float = -math.inf
    is_gone: bool = False
    is_unreachable: bool = False
    usable_until_s: float = math.inf
    suspected_until_s: float = -math.inf
    suspicion_s: float = FIRST_SUSPICION_S
    _failures: float = 0
    _failures_at_s: float = 0

    @property
    def host(self) -> str:
        """Return the name of the replica."""
        return self.entry.host

    @property
    def failure_domain(self) -> str:
        """Return the failure domain of the replica."""
        return self.entry.failure_domain

    @property
    def slots(self) -> int:
        """Return how many requests the replica runs at once."""
        return max(1, self.entry.slots)

    def renew(self, entry: ReplicaEntry) -> None:
        """Take over an entry that the same start has written."""
        self.entry = entry
        self.usable_until_s = math.inf

    def known_for_s(self, now_s: float) -> float:
        """Return the seconds since it was first seen, for log lines."""
        return round(now_s - self.first_seen_s, 3)

    def accepts_requests(self, now_s: float) -> bool:
        """Return whether the replica may get new requests."""
        return (
            not self.is_gone
            and not self.is_leaving
            and not self.entry.is_draining
            and now_s < self.usable_until_s
        )

    def has_turn(self, now_s: float) -> bool:
        """Return whether it wants a request of this daemon now."""
        if now_s < self.closed_until_s:
            return False
        if self.room is not None and not self._has_room(self.room, now_s):
            return False
        return self.rate_limit is None or self.rate_limit.allows(now_s)

    def take_turn(self, now_s: float) -> None:
        """Count a request that is sent now against a limit that it named."""
        if self.rate_limit is not None:
            self.rate_limit.take(now_s)

    def _has_room(self, room: SharedRoom, now_s: float) -> bool:
        """Return whether the replica will hardly turn a request away."""
        report = self.report
        if room.is_closed(now_s):
            return False
        if report is None:
            # It was not heard of yet, and other daemons may begin with it too.
            return not self.in_flight
        slots = report.slots
        if self.in_flight >= room.share(slots):
            return False
        if now_s - report.counted_s > COUNT_TTL_S:
            return True
        own_since = self.in_flight - report.own_in_flight
        return report.in_flight + own_since < slots

    def failures(self, now_s: float) -> float:
        """Return the failure score, the number of failures decayed by age."""
        age_s = now_s - self._failures_at_s
        return self._failures * math.exp2(-age_s / FAILURE_HALF_LIFE_S)

    def note_failure(self, now_s: float) -> None:
        """Record a failure, which adds one to the failure score."""
        self._failures = self.failures(now_s) + 1
        self._failures_at_s = now_s

    def note_reachable(self) -> None:
        """Record a connection that succeeded after one had failed."""
        self.is_unreachable = False
        self.suspected_until_s = -math.inf

    def note_success(self, now_s: float) -> None:
        """Record a success: halve the failure score, reset the suspicion."""
        self._failures = self.failures(now_s) / 2
        self.suspicion_s = FIRST_SUSPICION_S
        self._failures_at_s = now_s
