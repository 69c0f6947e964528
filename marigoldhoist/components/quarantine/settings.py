"""Settings of the quarantine component."""

import msgspec

from marigoldhoist.core.settings import settings_section


@settings_section('quarantine')
class QuarantineSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Whether prompt parts are held back, and which ones never are."""

    is_enabled: bool = True
    allowed_parts: tuple[str, ...] = ()
