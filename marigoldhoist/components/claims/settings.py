"""Settings of the claims component."""

import msgspec

from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.identity import Seconds
from marigoldhoist.core.settings import settings_section


@settings_section('claims')
class ClaimSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Age limit of non-repeatable requests, and the timeout of a claim.

    Requests whose id is older than `window_s` are refused. The window must
    be the same on all daemons and shorter than the log's retention time.
    `claim_timeout_s` limits the wait until a claim is read from the log.
    """

    window_s: Seconds = 21_600
    claim_timeout_s: Seconds = 2.0

    @property
    def window_ms(self) -> int:
        """Return the age limit in milliseconds."""
        return int(self.window_s * MS_PER_S)
