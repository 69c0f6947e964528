"""What the tasks need that store states and rejections."""

import dataclasses
from collections.abc import Mapping

from marigoldhoist.components.canary.analysis import CanaryAnalysis
from marigoldhoist.components.canary.codec import StatusCodec
from marigoldhoist.components.canary.models import RollOut
from marigoldhoist.components.canary.rejections import RejectedVersions
from marigoldhoist.components.canary.traffic_split import RampSchedule
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.components.mirrors.service import MirrorService


@dataclasses.dataclass(frozen=True, slots=True)
class StorageContext:
    """The roll-outs, what decides their states, and where they are stored."""

    roll_out_by_service: Mapping[str, RollOut]
    rejections: RejectedVersions
    schedule: RampSchedule
    analysis: CanaryAnalysis
    directory: DirectoryService
    feeds: FeedService
    mirrors: MirrorService
    codec: StatusCodec
