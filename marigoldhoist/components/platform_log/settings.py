"""Settings of the platform_log component."""

import msgspec

from marigoldhoist.core.identity import Seconds
from marigoldhoist.core.settings import settings_section


@settings_section('platform_log')
class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the log and timeouts of calls to it."""

    url: str = 'http://127.0.0.1:7000'
    connect_timeout_s: Seconds = 1.0
    append_timeout_s: Seconds = 2.0
    long_poll_s: Seconds = 5.0
