"""Replicas: what the store lists of them and what this daemon knows."""

import dataclasses
import math

from marigoldhoist.components.directory.const import (
    FAILURE_HALF_LIFE_S,
    SUSPECT_S,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaEntry:
    """One replica as it lists itself.

    `started_ms` tells one start of the replica from another under the same
    name; `warm_up_s` is how much longer it stays slow after its start.
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


@dataclasses.dataclass(slots=True)
class LoadReport:
    """What a replica said of its load, and this daemon's part in it."""

    running: int
    waiting: int
    slots: int
    counted_s: float
    own_in_flight: int

    @property
    def in_flight(self) -> int:
        """Return the requests at the replica."""
        return self.running + self.waiting


@dataclasses.dataclass(slots=True)
class Replica:
    """A replica and what this daemon saw of it.

    `pending_prefill_s` is the expected prefill time, in seconds, of this
    daemon's requests that have not produced a first event yet.
    """

    entry: ReplicaEntry
    first_seen_s: float = -math.inf
    in_flight: int = 0
    pending_prefill_s: float = 0
    report: LoadReport | None = None
    is_gone: bool = False
    usable_until_s: float = math.inf
    suspected_until_s: float = -math.inf
    suspect_s: float = SUSPECT_S
    _failures: float = 0
    _failures_at_s: float = 0

    @property
    def host(self) -> str:
        """Return the replica's name."""
        return self.entry.host

    @property
    def failure_domain(self) -> str:
        """Return the replica's failure domain."""
        return self.entry.failure_domain

    @property
    def slots(self) -> int:
        """Return how many requests the replica runs at once."""
        return max(1, self.entry.slots)

    def takes_work(self, now_s: float) -> bool:
        """Tell whether the replica may get new work."""
        return (
            not self.is_gone
            and not self.entry.is_draining
            and now_s < self.usable_until_s
        )

    def failures(self, now_s: float) -> float:
        """Return the failures seen, recent ones counting most."""
        age_s = now_s - self._failures_at_s
        return self._failures * math.exp2(-age_s / FAILURE_HALF_LIFE_S)

    def note_failure(self, now_s: float) -> None:
        """Count a failure."""
        self._failures = self.failures(now_s) + 1
        self._failures_at_s = now_s

    def note_success(self, now_s: float) -> None:
        """Count a success, which halves what earlier failures count for."""
        self._failures = self.failures(now_s) / 2
        self.suspect_s = SUSPECT_S
        self._failures_at_s = now_s
