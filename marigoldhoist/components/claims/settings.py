"""Settings of the claims component."""

import msgspec

from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.identity import Seconds
from marigoldhoist.core.settings import settings_section


@settings_section('claims')
class ClaimSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How old an order may be, and how long to wait for its claim.

    The window must be the same at every daemon and shorter than the time
    for which the log keeps its records.
    """

    window_s: Seconds = 21_600
    claim_timeout_s: Seconds = 2.0

    @property
    def window_ms(self) -> int:
        """Return the window in milliseconds."""
        return int(self.window_s * MS_PER_S)
