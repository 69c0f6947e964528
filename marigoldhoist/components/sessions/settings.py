"""Settings of the sessions component."""

from typing import Annotated

import msgspec

from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.identity import Seconds
from marigoldhoist.core.settings import settings_section


@settings_section('sessions')
class SessionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long a session is remembered, and how long to wait for its pin.

    The time to live must be the same at every daemon and shorter than the
    time for which the log keeps its records.
    """

    ttl_s: Seconds = 43_200
    pin_timeout_s: Seconds = 0.3
    max_unlogged: Annotated[int, msgspec.Meta(ge=100)] = 50_000

    @property
    def ttl_ms(self) -> int:
        """Return the time to live in milliseconds."""
        return int(self.ttl_s * MS_PER_S)
