"""Settings of the intake component."""

from typing import Annotated

import msgspec

from marigoldhoist.core.settings import settings_section

RoomBytes = Annotated[int, msgspec.Meta(ge=1 << 20, le=1 << 40)]


@settings_section('intake')
class IntakeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Memory for the input of all callers together, in bytes.

    It is raised to twice the largest body, so that a single one is taken.
    """

    max_bytes: RoomBytes = 32 * 1024 * 1024
