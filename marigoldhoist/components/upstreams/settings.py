"""Settings of the upstreams component."""

import msgspec

from marigoldhoist.core.identity import Seconds
from marigoldhoist.core.settings import settings_section


@settings_section('upstreams')
class UpstreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timeouts of calls to upstreams."""

    connect_timeout_s: Seconds = 0.5
    no_progress_s: Seconds = 10.0
