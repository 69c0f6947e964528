"""Settings of the billing component."""

from typing import Annotated

import msgspec

from marigoldhoist.core.identity import Seconds
from marigoldhoist.core.settings import settings_section

CopyCount = Annotated[int, msgspec.Meta(ge=0, le=8)]


@settings_section('billing')
class BillingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Number of copies of each bill at peers, and the timeouts of billing."""

    copies: CopyCount = 2
    copy_timeout_s: Seconds = 0.1
    owner_dead_s: Seconds = 5.0
    longest_held_s: Seconds = 30.0
    hand_over_timeout_s: Seconds = 10.0
