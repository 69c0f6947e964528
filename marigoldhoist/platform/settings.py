"""Settings of the platform's adapter."""

import msgspec

from marigoldhoist.core.identity import HostAndPort
from marigoldhoist.core.settings import settings_section


@settings_section('store')
class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform's store listens; the gateway deployment needs it."""

    address: HostAndPort | None = None
