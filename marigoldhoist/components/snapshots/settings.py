"""Settings of the snapshots component."""

from typing import Annotated

import msgspec

from marigoldhoist.core.identity import Seconds
from marigoldhoist.core.settings import settings_section


@settings_section('snapshots')
class SnapshotSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a snapshot of a stream's state is written to the log.

    The log must retain records for at least three intervals. After the log
    lost its tail, a daemon waits between one and two rejoin delays (random)
    before it appends its state: one delay lets peers exchange their entries.
    """

    interval_s: Seconds = 300.0
    every_records: Annotated[int, msgspec.Meta(ge=1)] = 5000
    rejoin_delay_s: Seconds = 5.0
