"""Who this daemon is and how it logs."""

from typing import Annotated

import msgspec

from marigoldhoist.core.settings import settings_section

Name = Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9._-]{0,62}$')]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Address = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-fA-F.:]{2,45}$')]
# An address by number and a port.
HostAndPort = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]{7,15}:[0-9]{1,5}$')]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]


@settings_section('daemon')
class DaemonSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The daemon's name, failure domain and address."""

    host: Name
    failure_domain: Name
    address: Address
    log_level: str = 'info'


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port."""
    host, _, port = address.rpartition(':')
    return host, int(port)
