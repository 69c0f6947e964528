"""Settings of the snapshots component."""

from typing import Annotated

import msgspec

from marigoldhoist.core.identity import Seconds
from marigoldhoist.core.settings import settings_section


@settings_section('snapshots')
class SnapshotSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a stream's state is written to the log again.

    The log must keep records for three intervals at least. After the log
    lost its tail, a daemon waits the rejoin delay, once for its peers to
    level and up to once more at random, before it puts its state back.
    """

    interval_s: Seconds = 300.0
    every_records: Annotated[int, msgspec.Meta(ge=1)] = 5000
    rejoin_delay_s: Seconds = 5.0
