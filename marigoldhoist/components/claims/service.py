"""Service that claims non-repeatable requests on the log."""

from marigoldhoist.components.claims.const import (
    COMPONENT,
    HAND_OVER_TOPIC,
    STAGE_ORDER,
)
from marigoldhoist.components.claims.models import ClaimStatus
from marigoldhoist.components.claims.settings import ClaimSettings
from marigoldhoist.components.claims.stage import ClaimStage
from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.dispatch.service import DispatchService
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.handover import RecordHandover
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.platform_log.const import WORK_STREAM
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.components.platform_log.work_writer import WorkWriter
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel


class ClaimService(BaseService):
    """Add the claim stage to the dispatch of every request."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        log = kernel.find(LOG, LogService)
        feed = log.feeds_by_stream[WORK_STREAM]
        self._writer = WorkWriter(kernel, log, WORK_STREAM)
        self._handover = RecordHandover(
            kernel, HAND_OVER_TOPIC, kernel.find(PEERS, PeerService)
        )
        self.stage = ClaimStage(
            kernel.settings.section(DaemonSettings).host,
            kernel.settings.section(ClaimSettings),
            feed,
            self._writer,
        )
        fold = self.stage.fold
        feed.add_fold(fold.apply)
        feed.add_part(COMPONENT, fold.dump, fold.restore)
        dispatch = kernel.find(DISPATCH, DispatchService)
        dispatch.add_stage(STAGE_ORDER, self.stage)

    def start(self) -> None:
        """Start the writer of claims and outcomes."""
        self._handover.subscribe(self._writer)
        self._kernel.spawn('claims', self._writer.run)

    def hand_over(self) -> None:
        """Append the remaining outcomes to the log, or pass them to a peer."""
        self._handover.hand_over(self._writer)

    def status(self) -> ClaimStatus:
        """Return the claim counts that operators see."""
        fold = self.stage.fold
        unshipped = len(self._writer.unconfirmed())
        return ClaimStatus(len(fold), fold.covered_from_ms, unshipped)
