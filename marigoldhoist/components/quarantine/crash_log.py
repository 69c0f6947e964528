"""Crashes that this daemon or others noticed, merged by replica."""

from collections.abc import Iterable, Iterator, Mapping

from marigoldhoist.components.directory.models import ReplicaStart
from marigoldhoist.components.quarantine.const import (
    CRASH_MEMORY_S,
    MAX_CRASHES,
    MAX_PARTS_PER_CRASH,
    REFUTATION_S,
)
from marigoldhoist.components.quarantine.models import Crash


class CrashLog:
    """The newest crashes, of a bounded number, each with its parts."""

    def __init__(self) -> None:
        self._crash_by_replica: dict[ReplicaStart, Crash] = {}

    @property
    def crashes(self) -> list[Crash]:
        """Return the crashes, the oldest first."""
        return sorted(self._crash_by_replica.values(), key=_time_of)

    def add(self, crash: Crash) -> bool:
        """Merge what one daemon saw of a crash; return whether it is new.

        Daemons notice the same crash at slightly different times; the earliest
        one counts.
        """
        known = self._crash_by_replica.get(crash.replica)
        if known is None:
            self._crash_by_replica[crash.replica] = crash
            self._drop_oldest()
            return crash.replica in self._crash_by_replica
        known.at_s = min(known.at_s, crash.at_s)
        return _add_parts(known, crash.depth_by_part)

    @property
    def is_empty(self) -> bool:
        """Return whether no crash is remembered."""
        return not self._crash_by_replica

    def has(self, part_id: str) -> bool:
        """Return whether a part was in flight at any of the crashes."""
        return any(
            part_id in crash.depth_by_part
            for crash in self._crash_by_replica.values()
        )

    def unexplained(self, part_ids: Iterable[str]) -> Iterator[Crash]:
        """Yield the crashes at which none of the parts was in flight."""
        explained = set(part_ids)
        for crash in self.crashes:
            if explained.isdisjoint(crash.depth_by_part):
                yield crash

    def refute(
        self, answered_s_by_replica: Mapping[ReplicaStart, float]
    ) -> list[Crash]:
        """Mark the crashes of replicas that answered later; return new ones."""
        refuted = [
            crash
            for crash in self._crash_by_replica.values()
            if not crash.is_refuted
            and answered_s_by_replica.get(crash.replica, crash.at_s)
            > crash.at_s + REFUTATION_S
        ]
        for crash in refuted:
            crash.is_refuted = True
        return refuted

    def drop_expired(self, now_s: float) -> None:
        """Drop crashes that are too old to count."""
        self._crash_by_replica = {
            replica: crash
            for replica, crash in self._crash_by_replica.items()
            if not is_expired(crash, now_s)
        }

    def _drop_oldest(self) -> None:
        for crash in self.crashes[:-MAX_CRASHES]:
            self._crash_by_replica.pop(crash.replica)


def is_expired(crash: Crash, now_s: float) -> bool:
    """Return whether a crash is too old to count."""
    return now_s - crash.at_s >= CRASH_MEMORY_S


def _add_parts(crash: Crash, depth_by_part: Mapping[str, int]) -> bool:
    """Add parts to a crash up to its limit; return whether any is new."""
    known = crash.depth_by_part
    new = [part_id for part_id in depth_by_part if part_id not in known]
    room = max(0, MAX_PARTS_PER_CRASH - len(known))
    for part_id in new[:room]:
        known[part_id] = depth_by_part[part_id]
    return bool(new[:room])


def _time_of(crash: Crash) -> float:
    return crash.at_s
