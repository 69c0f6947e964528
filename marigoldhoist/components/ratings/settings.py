"""Settings of the ratings component."""

import msgspec

from marigoldhoist.core.identity import Seconds
from marigoldhoist.core.settings import settings_section


@settings_section('ratings')
class RatingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address and poll interval of the rating service.

    No ratings are fetched without a URL.
    """

    url: str = ''
    poll_interval_s: Seconds = 5.0
