"""Service level objectives of a deployment."""

from typing import Annotated

import msgspec

from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.settings import settings_section

Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=86_400_000)]


@settings_section('promises')
class ObjectiveSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Service level objectives promised to the operators."""

    key_withdrawal_ms: Milliseconds = 5000
    change_in_force_ms: Milliseconds = 2000
    replica_drain_ms: Milliseconds = 2000
    session_gap_ms: Milliseconds = 5000
    repeat_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    repeat_window_ms: Milliseconds = 10_000
    canary_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    roll_back_ms: Milliseconds = 5000

    @property
    def session_gap_s(self) -> float:
        """Return the seconds without a call after which a session ends."""
        return self.session_gap_ms / MS_PER_S
