"""Settings that identify this daemon, and types that settings share."""

from typing import Annotated

import msgspec

from marigoldhoist.core.settings import settings_section

Name = Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9._-]{0,62}$')]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Address = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-fA-F.:]{2,45}$')]
# A numeric IPv4 address and a port, such as 127.0.0.1:8080.
HostAndPort = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]{7,15}:[0-9]{1,5}$')]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]


@settings_section('daemon')
class DaemonSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The daemon's host name, failure domain, address and log level."""

    host: Name
    failure_domain: Name
    address: Address
    log_level: str = 'info'


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port` into the host and the port number."""
    host, _, port = address.rpartition(':')
    return host, int(port)
