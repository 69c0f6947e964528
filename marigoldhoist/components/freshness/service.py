"""Refuse requests after a process pause until the table is current."""

from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.dispatch.service import DispatchService
from marigoldhoist.components.dispatch.stages import Stage
from marigoldhoist.components.freshness.const import (
    CATCH_UP_RETRY_DELAY_S,
    CATCH_UP_TIMEOUT_S,
    RETRY_AFTER_S,
    STAGE_ORDER,
    TICK_INTERVAL_S,
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
    """Refuses new requests and further attempts while the table is stale."""

    def __init__(self, pauses: PauseDetector) -> None:
        self._pauses = pauses

    def admit(self, request: CallerRequest) -> RequestFailure | None:
        """Refuse the request while the table may be stale."""
        return self.recheck(request)

    def recheck(self, _request: CallerRequest) -> RequestFailure | None:
        """Refuse the next attempt while the table may be stale."""
        if not self._pauses.is_stale:
            return None
        return RequestFailure(
            ErrorCode.STALE_TABLE,
            'this daemon stood still and is catching up',
            retry_after_s=RETRY_AFTER_S,
        )


class FreshnessService(BaseService):
    """Detects pauses and brings the table up to date after each."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._log = kernel.find(LOG, LogService)
        self._relay = kernel.find(RELAY, RelayService)
        self._pauses = PauseDetector()
        dispatch = kernel.find(DISPATCH, DispatchService)
        dispatch.add_stage(STAGE_ORDER, FreshnessStage(self._pauses))

    def start(self) -> None:
        """Start the thread that detects pauses."""
        self._kernel.spawn('freshness', self._run_detector)

    def _run_detector(self) -> None:
        while not self._kernel.stopping.wait(TICK_INTERVAL_S):
            if self._pauses.tick():
                emit(PAUSE_NOTICED)
                self._catch_up()

    def _catch_up(self) -> None:
        deadline_s = SYSTEM_CLOCK.monotonic_s() + CATCH_UP_TIMEOUT_S
        is_caught_up = False
        while not is_caught_up and SYSTEM_CLOCK.monotonic_s() < deadline_s:
            is_caught_up = self._read_remaining_entries()
            self._pauses.tick()
            if not is_caught_up:
                self._kernel.stopping.wait(CATCH_UP_RETRY_DELAY_S)
        self._pauses.end_pause()
        emit(CAUGHT_UP if is_caught_up else SERVING_STALE)

    def _read_remaining_entries(self) -> bool:
        """Read all remaining entries from the log, or else from a peer."""
        is_log_read = self._log.read_to_end(TABLE_STREAM)
        return is_log_read or self._relay.catch_up(TABLE_STREAM)
