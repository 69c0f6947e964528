"""What every exchange of a daemon uses, and how an exchange is refused."""

import dataclasses
from collections.abc import Callable

from marigoldhoist.components.canary.service import CanaryService
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.gateway.admission import Admission
from marigoldhoist.components.gateway.choosing import ReplicaPicker
from marigoldhoist.components.gateway.models import Dialect
from marigoldhoist.components.gateway.repeats import RepeatBudgets
from marigoldhoist.components.gateway.sending import Sender
from marigoldhoist.components.gateway.stopping import StopClock
from marigoldhoist.core.errors import RequestFailure


@dataclasses.dataclass(frozen=True, slots=True)
class Desk:
    """The services that an exchange asks; there is one for each daemon."""

    admission: Admission
    directory: DirectoryService
    picker: ReplicaPicker
    sender: Sender
    canary: CanaryService
    repeats: RepeatBudgets
    dialect: Dialect
    stop_clock: Callable[[], StopClock | None]


class RefusedError(Exception):
    """The exchange ends with a refusal or failure of the daemon's own."""

    def __init__(self, failure: RequestFailure) -> None:
        super().__init__(failure.message)
        self.failure = failure
