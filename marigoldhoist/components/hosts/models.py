"""The host list, as the platform sends it."""

import enum

import msgspec

from marigoldhoist.core.identity import Address, Name, Port


class HostRole(enum.Enum):
    """The kind of process that runs on a host."""

    DAEMON = 'daemon'
    ENGINE = 'engine'
    SERVICE = 'service'


class HostState(enum.Enum):
    """Whether a host accepts new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


class HostEntry(msgspec.Struct, frozen=True):
    """A host, with the address and the port at which it is reached.

    The port of a daemon is its peer port. `serves` holds the `model/version`
    names that an engine serves, or the name of a plain service.
    """

    host: Name
    role: HostRole
    address: Address
    port: Port
    failure_domain: Name
    state: HostState = HostState.LIVE
    serves: tuple[str, ...] = ()


class HostList(msgspec.Struct, frozen=True):
    """All hosts that the platform lists."""

    hosts: tuple[HostEntry, ...]
