"""Entries of the host list, as they cross the wire."""

import enum

import msgspec

from marigoldhoist.core.identity import Address, Name, Port


class HostRole(enum.Enum):
    """What runs on a host."""

    DAEMON = 'daemon'
    ENGINE = 'engine'
    SERVICE = 'service'


class HostState(enum.Enum):
    """Whether a host takes new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


class HostEntry(msgspec.Struct, frozen=True):
    """One host; an engine serves `model/version` names, a service its own.

    The port of a daemon is its peer port.
    """

    host: Name
    role: HostRole
    address: Address
    port: Port
    failure_domain: Name
    state: HostState = HostState.LIVE
    serves: tuple[str, ...] = ()


class HostList(msgspec.Struct, frozen=True):
    """All hosts that the platform knows."""

    hosts: tuple[HostEntry, ...]
