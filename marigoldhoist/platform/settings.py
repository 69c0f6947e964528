"""Settings of the platform adapter."""

import msgspec

from marigoldhoist.core.identity import HostAndPort
from marigoldhoist.core.settings import settings_section


@settings_section('store')
class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the platform's store, required by the gateway deployment."""

    address: HostAndPort | None = None
