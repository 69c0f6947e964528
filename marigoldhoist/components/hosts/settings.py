"""Settings of the hosts component."""

import msgspec

from marigoldhoist.core.identity import Seconds
from marigoldhoist.core.settings import settings_section


@settings_section('hosts')
class HostSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The URL of the host list and its poll interval in seconds."""

    url: str = 'http://127.0.0.1:7001'
    poll_interval_s: Seconds = 1.0
