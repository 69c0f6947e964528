"""Fold lease records; every daemon names the same holder at an offset."""

import msgspec

from marigoldhoist.components.leases.const import LEASE_KIND, NO_FENCE
from marigoldhoist.components.leases.models import (
    Lease,
    LeaseAction,
    LeaseRecord,
    LeaseState,
)
from marigoldhoist.components.platform_log.models import LogEntry


class LeaseFold:
    """The leases after the entries folded so far."""

    def __init__(self) -> None:
        self.state = LeaseState()

    def lease(self, name: str) -> Lease | None:
        """Return the last lease of that name, lapsed or not."""
        return self.state.lease_by_name.get(name)

    def apply(self, entry: LogEntry) -> None:
        """Fold one entry; its time counts, whatever its kind."""
        # The log's clock may step back, but no lease grows older by it.
        now_ms = max(self.state.log_time_ms, entry.time_ms)
        lease_by_name = self.state.lease_by_name
        if entry.record.kind == LEASE_KIND:
            asked = msgspec.json.decode(entry.record.body, type=LeaseRecord)
            decided = _decide(
                lease_by_name.get(asked.name), asked, entry.offset, now_ms
            )
            if decided is not None:
                lease_by_name = lease_by_name | {asked.name: decided}
        self.state = LeaseState(lease_by_name, now_ms)

    def dump(self) -> msgspec.Raw:
        """Return the state for a snapshot."""
        return msgspec.Raw(msgspec.json.encode(self.state))

    def restore(self, dumped: msgspec.Raw) -> None:
        """Continue from a snapshot's state."""
        self.state = msgspec.json.decode(dumped, type=LeaseState)


def _decide(
    current: Lease | None, asked: LeaseRecord, offset: int, now_ms: int
) -> Lease | None:
    """Return the lease after a record, or none where it changes nothing."""
    last_fence = current.fence if current else NO_FENCE
    # A record that names another fence is old, or a second copy.
    if asked.fence != last_fence:
        return None
    expires_ms = now_ms + asked.ttl_ms
    if asked.action is LeaseAction.ACQUIRE:
        if current and not _may_be_taken(current, now_ms):
            return None
        return Lease(asked.holder, offset, asked.ttl_ms, expires_ms)
    if current is None or current.is_released:
        return None
    if current.holder != asked.holder:
        return None
    return Lease(
        current.holder,
        current.fence,
        asked.ttl_ms,
        max(current.expires_ms, expires_ms),
        is_released=asked.action is LeaseAction.RELEASE,
    )


def _may_be_taken(lease: Lease, now_ms: int) -> bool:
    return lease.is_released or now_ms > lease.expires_ms
