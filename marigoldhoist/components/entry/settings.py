"""Settings of the entry component."""

from typing import Annotated

import msgspec

from marigoldhoist.components.entry.const import DEFAULT_HEAD_TIMEOUT_S
from marigoldhoist.core.identity import Port, Seconds
from marigoldhoist.core.settings import settings_section

Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Bytes = Annotated[int, msgspec.Meta(ge=1024, le=1 << 30)]


@settings_section('entry')
class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Port for callers, request limits and timeouts.

    Each request in flight holds a thread, so `max_requests` limits both. A
    head has to come within `head_timeout_s` of its first bytes.
    """

    port: Port = 7100
    max_requests: Count = 64
    max_header_bytes: Bytes = 32_768
    max_body_bytes: Bytes = 4_194_304
    socket_timeout_s: Annotated[int, msgspec.Meta(ge=1, le=600)] = 10
    head_timeout_s: Seconds = DEFAULT_HEAD_TIMEOUT_S
    balancer_grace_s: Seconds = 1.0
    drain_timeout_s: Seconds = 60.0
