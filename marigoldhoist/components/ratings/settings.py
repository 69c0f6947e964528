"""Settings of the ratings component."""

import msgspec

from marigoldhoist.core.identity import Seconds
from marigoldhoist.core.settings import settings_section


@settings_section('ratings')
class RatingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where ratings are and how often to read them; no address, no ratings."""

    url: str = ''
    poll_interval_s: Seconds = 5.0
