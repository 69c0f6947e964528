"""Refuse requests after a pause until the table has caught up."""

from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.dispatch.service import DispatchService
from marigoldhoist.components.dispatch.stages import Stage
from marigoldhoist.components.freshness.const import (
    CATCH_UP_TIMEOUT_S,
    RETRY_AFTER_S,
    RETRY_PAUSE_S,
    STAGE_ORDER,
    TICK_S,
)
from marigoldhoist.components.freshness.events import (
    CAUGHT_UP,
    PAUSE_NOTICED,
    SERVING_STALE,
)
from marigoldhoist.components.freshness.pauses import PauseDetector
from marigoldhoist.components.platform_log.const import (
    COMPONENT as LOG,
)
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.components.relay.const import COMPONENT as RELAY
from marigoldhoist.components.relay.service import RelayService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.events import emit
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.kernel import BaseService, Kernel


class FreshnessStage(Stage):
    """Refuses requests, and tries under way, while the table is suspect."""

    def __init__(self, pauses: PauseDetector) -> None:
        self._pauses = pauses

    def admit(self, request: CallerRequest) -> RequestFailure | None:
        """Refuse the request while the table is suspect."""
        return self.recheck(request)

    def recheck(self, _request: CallerRequest) -> RequestFailure | None:
        """Refuse the next try while the table is suspect."""
        if not self._pauses.is_suspect:
            return None
        return RequestFailure(
            ErrorCode.STALE_TABLE,
            'this daemon stood still and is catching up',
            retry_after_s=RETRY_AFTER_S,
        )


class FreshnessService(BaseService):
    """Watches for pauses and catches up after each."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._log = kernel.find(LOG, LogService)
        self._relay = kernel.find(RELAY, RelayService)
        self._pauses = PauseDetector()
        dispatch = kernel.find(DISPATCH, DispatchService)
        dispatch.add_stage(STAGE_ORDER, FreshnessStage(self._pauses))

    def start(self) -> None:
        """Begin to watch."""
        self._kernel.spawn('freshness', self._watch)

    def _watch(self) -> None:
        while not self._kernel.stopping.wait(TICK_S):
            if self._pauses.tick():
                emit(PAUSE_NOTICED)
                self._catch_up()

    def _catch_up(self) -> None:
        deadline_s = SYSTEM_CLOCK.monotonic_s() + CATCH_UP_TIMEOUT_S
        is_level = False
        while not is_level and SYSTEM_CLOCK.monotonic_s() < deadline_s:
            is_level = self._read_to_the_head()
            self._pauses.tick()
            if not is_level:
                self._kernel.stopping.wait(RETRY_PAUSE_S)
        self._pauses.make_good()
        emit(CAUGHT_UP if is_level else SERVING_STALE)

    def _read_to_the_head(self) -> bool:
        """Read the log, or else a peer, until it has no more entries."""
        from_log = self._log.read_to_end(TABLE_STREAM)
        return from_log or self._relay.catch_up(TABLE_STREAM)
