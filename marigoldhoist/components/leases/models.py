"""Lease records on the log, and what operators see of leases."""

import enum

import msgspec

from marigoldhoist.components.leases.const import NO_FENCE


class LeaseAction(enum.Enum):
    """What a record asks for."""

    ACQUIRE = 'acquire'
    RENEW = 'renew'
    RELEASE = 'release'


class LeaseRecord(msgspec.Struct, frozen=True):
    """Ask for a lease; the fold decides.

    To acquire, the fence is the last one that the holder has read for the
    name; otherwise it is the holder's own.
    """

    name: str
    holder: str
    action: LeaseAction
    ttl_ms: int
    fence: int = NO_FENCE


class Lease(msgspec.Struct, frozen=True):
    """A lease as of one offset; expiry is in the log's time."""

    holder: str
    fence: int
    ttl_ms: int
    expires_ms: int
    is_released: bool = False


class LeaseState(msgspec.Struct, frozen=True):
    """All leases, and the latest time (ms since 1970) met on the log."""

    lease_by_name: dict[str, Lease] = {}
    log_time_ms: int = 0


class LeaseStatus(msgspec.Struct, frozen=True):
    """All leases, and the names of those held by this daemon."""

    lease_by_name: dict[str, Lease]
    held: tuple[str, ...]
