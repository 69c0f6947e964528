"""Settings of the operator component."""

import msgspec

from marigoldhoist.components.table.models import Digest
from marigoldhoist.core.identity import Port
from marigoldhoist.core.settings import settings_section


@settings_section('operator')
class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The port of the operator API, and SHA-256 digests (hex) of its keys."""

    port: Port = 7300
    key_digests: tuple[Digest, ...] = ()
