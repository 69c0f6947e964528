"""State machine of the leases, replicated through the log.

Daemons that have applied the log up to the same offset agree on the holder of
every lease.
"""

import msgspec

from marigoldhoist.components.leases.const import LEASE_KIND, NO_FENCE
from marigoldhoist.components.leases.models import (
    Lease,
    LeaseAction,
    LeaseRecord,
    LeaseState,
)
from marigoldhoist.components.platform_log.models import LogEntry
from marigoldhoist.core.decoding import decode_json


class LeaseStateMachine:
    """Leases that result from the log entries applied so far."""

    def __init__(self) -> None:
        self.state = LeaseState()

    def lease(self, name: str) -> Lease | None:
        """Return the latest lease of a name, even if expired or released."""
        return self.state.lease_by_name.get(name)

    def apply(self, entry: LogEntry) -> None:
        """Apply one log entry; entries of any kind advance the log time."""
        # The clock of the log may step back. The log time does not follow it,
        # or a lease granted meanwhile would expire too early afterwards.
        now_ms = max(self.state.log_time_ms, entry.time_ms)
        lease_by_name = self.state.lease_by_name
        if entry.record.kind == LEASE_KIND:
            request = decode_json(entry.record.body, LeaseRecord)
            updated = _next_lease(
                lease_by_name.get(request.name), request, entry.offset, now_ms
            )
            if updated is not None:
                lease_by_name = lease_by_name | {request.name: updated}
        self.state = LeaseState(lease_by_name, now_ms)

    def dump(self) -> msgspec.Raw:
        """Return the state for a snapshot."""
        return msgspec.Raw(msgspec.json.encode(self.state))

    def restore(self, dumped: msgspec.Raw) -> None:
        """Replace the state with that of a snapshot."""
        self.state = decode_json(dumped, LeaseState)


def _next_lease(
    current: Lease | None, request: LeaseRecord, offset: int, now_ms: int
) -> Lease | None:
    """Return the lease after a request, or None if it is rejected."""
    last_fence = current.fence if current else NO_FENCE
    # Compare-and-set: a request with another fencing token is outdated, or a
    # duplicate of a request that has been applied.
    if request.fence != last_fence:
        return None
    expires_ms = now_ms + request.ttl_ms
    if request.action is LeaseAction.ACQUIRE:
        if current and not _is_available(current, now_ms):
            return None
        return Lease(request.holder, offset, request.ttl_ms, expires_ms)
    if current is None or current.is_released:
        return None
    if current.holder != request.holder:
        return None
    return Lease(
        current.holder,
        current.fence,
        request.ttl_ms,
        max(current.expires_ms, expires_ms),
        is_released=request.action is LeaseAction.RELEASE,
    )


def _is_available(lease: Lease, now_ms: int) -> bool:
    return lease.is_released or now_ms > lease.expires_ms
