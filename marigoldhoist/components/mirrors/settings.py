"""Settings of the mirrors component."""

import msgspec

from marigoldhoist.core.identity import HostAndPort
from marigoldhoist.core.settings import settings_section


@settings_section('mirrors')
class MirrorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Own addresses for peers, and the seed addresses for their discovery.

    Without an address, the daemon does not take part in the exchange between
    daemons and reads the store itself. Without a handover address, no daemon
    hands its calls over to this one.
    """

    address: HostAndPort | None = None
    handover_address: HostAndPort | None = None
    seeds: tuple[HostAndPort, ...] = ()
