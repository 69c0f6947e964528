"""Settings of the gateway component."""

import msgspec

from marigoldhoist.core.identity import HostAndPort
from marigoldhoist.core.objectives import Milliseconds
from marigoldhoist.core.settings import settings_section


@settings_section('gateway')
class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Listen addresses of the gateway and the grace period of a stop."""

    callers: HostAndPort = '127.0.0.1:8080'
    readiness: HostAndPort = '127.0.0.1:8081'
    stop_grace_ms: Milliseconds = 8000
    metrics: HostAndPort | None = None
