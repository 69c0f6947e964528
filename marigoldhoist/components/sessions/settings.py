"""Settings of the sessions component."""

from typing import Annotated

import msgspec

from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.identity import Seconds
from marigoldhoist.core.settings import settings_section


@settings_section('sessions')
class SessionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Lifetime of session pins, and limits while they are agreed on.

    `ttl_s` is the time after which the pin of an unused session expires. It
    must be the same on all daemons and shorter than the log's retention
    time. `pin_timeout_s` limits the wait for the log when a pin is
    proposed. `max_unlogged` limits the pins that are held while they are
    not on the log; the oldest are dropped first.
    """

    ttl_s: Seconds = 43_200
    pin_timeout_s: Seconds = 0.3
    max_unlogged: Annotated[int, msgspec.Meta(ge=100)] = 50_000

    @property
    def ttl_ms(self) -> int:
        """Return the time to live of a pin in milliseconds."""
        return int(self.ttl_s * MS_PER_S)
