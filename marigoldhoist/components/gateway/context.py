"""What every exchange of a daemon uses, and how an exchange is refused."""

import dataclasses
import random
from collections.abc import Callable

from marigoldhoist.components.canary.const import COMPONENT as CANARY
from marigoldhoist.components.canary.service import CanaryService
from marigoldhoist.components.configuration.const import (
    COMPONENT as CONFIGURATION,
)
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.directory.const import COMPONENT as DIRECTORY
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.gateway.admission import Admission
from marigoldhoist.components.gateway.choosing import ReplicaPicker
from marigoldhoist.components.gateway.metrics import GatewayMetrics
from marigoldhoist.components.gateway.models import Dialect
from marigoldhoist.components.gateway.pool import ReplicaPool
from marigoldhoist.components.gateway.repeats import RepeatBudgets
from marigoldhoist.components.gateway.request_log import RequestLogLimiter
from marigoldhoist.components.gateway.sending import Sender
from marigoldhoist.components.gateway.stopping import StopClock
from marigoldhoist.core.errors import RequestFailure
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import Kernel
from marigoldhoist.core.promises import PromiseSettings


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayContext:
    """The services that an exchange asks; there is one for each daemon."""

    admission: Admission
    directory: DirectoryService
    picker: ReplicaPicker
    sender: Sender
    canary: CanaryService
    repeats: RepeatBudgets
    dialect: Dialect
    stop_clock: Callable[[], StopClock | None]
    metrics: GatewayMetrics
    logs: RequestLogLimiter


class RefusedError(Exception):
    """The exchange ends with a refusal or failure of the daemon's own."""

    def __init__(self, failure: RequestFailure) -> None:
        super().__init__(failure.message)
        self.failure = failure


def create_context(
    kernel: Kernel,
    dialect: Dialect,
    pool: ReplicaPool,
    stop_clock: Callable[[], StopClock | None],
) -> GatewayContext:
    """Put together what the exchanges of a daemon use."""
    rng = random.Random()
    promises = kernel.settings.section(PromiseSettings)
    daemon = kernel.settings.section(DaemonSettings)
    directory = kernel.find(DIRECTORY, DirectoryService)
    configuration = kernel.find(CONFIGURATION, ConfigurationService)
    return GatewayContext(
        admission=Admission(configuration, promises, rng),
        directory=directory,
        picker=ReplicaPicker(daemon.failure_domain, rng),
        sender=Sender(dialect, pool, directory),
        canary=kernel.find(CANARY, CanaryService),
        repeats=RepeatBudgets(promises),
        dialect=dialect,
        stop_clock=stop_clock,
        metrics=GatewayMetrics(kernel.metrics),
        logs=RequestLogLimiter(),
    )
