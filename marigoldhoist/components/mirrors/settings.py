"""Settings of the mirrors component."""

import msgspec

from marigoldhoist.core.identity import HostAndPort
from marigoldhoist.core.settings import settings_section


@settings_section('mirrors')
class MirrorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where other daemons reach this one, and whom it asks for others.

    Without an address each daemon reads the store itself.
    """

    address: HostAndPort | None = None
    seeds: tuple[HostAndPort, ...] = ()
