"""Lease records of the log, the lease state and its status report."""

import enum

import msgspec

from marigoldhoist.components.leases.const import NO_FENCE


class LeaseAction(enum.Enum):
    """Action that a lease record requests."""

    ACQUIRE = 'acquire'
    RENEW = 'renew'
    RELEASE = 'release'


class LeaseRecord(msgspec.Struct, frozen=True):
    """Request to acquire, renew or release a lease.

    The state machine grants or rejects it. To acquire, `fence` is the latest
    fencing token that the requester has read for the name; to renew or
    release, it is the token of the requester's own lease.
    """

    name: str
    holder: str
    action: LeaseAction
    ttl_ms: int
    fence: int = NO_FENCE


class Lease(msgspec.Struct, frozen=True):
    """A lease at some log offset; `expires_ms` is in log time."""

    holder: str
    fence: int
    ttl_ms: int
    expires_ms: int
    is_released: bool = False


class LeaseState(msgspec.Struct, frozen=True):
    """All leases by name, and the log time.

    The log time is the latest timestamp of the applied entries, in
    milliseconds since the Unix epoch.
    """

    lease_by_name: dict[str, Lease] = {}
    log_time_ms: int = 0


class LeaseStatus(msgspec.Struct, frozen=True):
    """Status report: all leases, and the names of those held here."""

    lease_by_name: dict[str, Lease]
    held: tuple[str, ...]
