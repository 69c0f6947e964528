"""Services shared by the exchanges of a daemon."""

import dataclasses
import random
from collections.abc import Callable

from marigoldhoist.components.canary.const import COMPONENT as CANARY
from marigoldhoist.components.canary.service import CanaryService
from marigoldhoist.components.configuration.const import (
    COMPONENT as CONFIGURATION,
)
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.directory.service import (
    DirectoryService,
    find_directory,
)
from marigoldhoist.components.gateway.admission import Admission
from marigoldhoist.components.gateway.metrics import GatewayMetrics
from marigoldhoist.components.gateway.models import Dialect
from marigoldhoist.components.gateway.peer_sender import (
    PeerSender,
    create_peer_sender,
)
from marigoldhoist.components.gateway.pool import ReplicaPool
from marigoldhoist.components.gateway.replica_picker import ReplicaPicker
from marigoldhoist.components.gateway.request_log import RequestLogLimiter
from marigoldhoist.components.gateway.retry_budgets import RetryBudgets
from marigoldhoist.components.gateway.sender import Sender
from marigoldhoist.components.gateway.shutdown import (
    CallTimeouts,
    ShutdownProgress,
)
from marigoldhoist.components.mirrors.service import find_membership
from marigoldhoist.components.quarantine.service import (
    QuarantineService,
    find_quarantine,
)
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import Kernel
from marigoldhoist.core.objectives import ObjectiveSettings


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayContext:
    """The services that exchanges use; there is one instance per daemon."""

    host: str
    admission: Admission
    directory: DirectoryService
    picker: ReplicaPicker
    sender: Sender
    peer_sender: PeerSender
    canary: CanaryService
    quarantine: QuarantineService
    retry_budgets: RetryBudgets
    dialect: Dialect
    shutdown_progress: Callable[[], ShutdownProgress | None]
    call_timeouts: CallTimeouts
    metrics: GatewayMetrics
    log_limiter: RequestLogLimiter


def create_context(
    kernel: Kernel,
    dialect: Dialect,
    pool: ReplicaPool,
    shutdown_progress: Callable[[], ShutdownProgress | None],
) -> GatewayContext:
    """Create the services that the exchanges of a daemon share."""
    rng = random.Random()
    objectives = kernel.settings.section(ObjectiveSettings)
    daemon = kernel.settings.section(DaemonSettings)
    directory = find_directory(kernel)
    membership = find_membership(kernel)
    configuration = kernel.find(CONFIGURATION, ConfigurationService)
    return GatewayContext(
        host=daemon.host,
        admission=Admission(configuration, objectives, rng),
        directory=directory,
        picker=ReplicaPicker(daemon.failure_domain, rng),
        sender=Sender(
            dialect,
            pool,
            directory,
            membership.fleet_size,
            rng,
        ),
        peer_sender=create_peer_sender(kernel, dialect),
        canary=kernel.find(CANARY, CanaryService),
        quarantine=find_quarantine(kernel),
        retry_budgets=RetryBudgets(objectives),
        dialect=dialect,
        shutdown_progress=shutdown_progress,
        call_timeouts=CallTimeouts(),
        metrics=GatewayMetrics(kernel.metrics),
        log_limiter=RequestLogLimiter(),
    )
