"""Gateway service: callers, readiness, metrics and graceful stop."""

import asyncio

from marigoldhoist.components.configuration.const import (
    COMPONENT as CONFIGURATION,
)
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.directory.service import find_directory
from marigoldhoist.components.gateway.call_handlers import CallHandlers
from marigoldhoist.components.gateway.caller import CallerConnection
from marigoldhoist.components.gateway.const import (
    BALANCER_DETECTION_S,
    STOP_EXIT_RESERVE_S,
    STOP_POLL_INTERVAL_S,
)
from marigoldhoist.components.gateway.context import (
    GatewayContext,
    create_context,
)
from marigoldhoist.components.gateway.events import (
    GATEWAY_LISTENING,
    READINESS_CHANGED,
    STOP_BEGUN,
    STOP_ENDED,
)
from marigoldhoist.components.gateway.messages import (
    MessageHead,
    response_bytes,
)
from marigoldhoist.components.gateway.models import Dialect
from marigoldhoist.components.gateway.pool import ReplicaPool
from marigoldhoist.components.gateway.prober import ReplicaProber
from marigoldhoist.components.gateway.server import create_caller_server
from marigoldhoist.components.gateway.settings import GatewaySettings
from marigoldhoist.components.gateway.shutdown import (
    LAST_ANSWERS_S,
    ShutdownProgress,
)
from marigoldhoist.components.gateway.state_gauges import StateGauges
from marigoldhoist.core.background import start_background
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.errors import KernelError
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel

HOUSEKEEPING_INTERVAL_S = 0.25
OK = 200
NOT_READY = 503


class GatewayService(BaseService):
    """Serves callers, readiness checks and metrics scrapes."""

    def __init__(self, kernel: Kernel) -> None:
        self._settings = kernel.settings.section(GatewaySettings)
        self._kernel = kernel
        self._configuration = kernel.find(CONFIGURATION, ConfigurationService)
        self._directory = find_directory(kernel)
        self._pool = ReplicaPool()
        self._prober = ReplicaProber(self._directory, self._pool)
        self._context: GatewayContext | None = None
        self._server = create_caller_server(kernel, self._configuration)
        self._tasks: list[asyncio.Task[None]] = []
        self._was_ready = False
        self.is_stopping = False
        self._stop_started_s: float = 0
        self._directory.on_gone(self._remove_replica)

    @property
    def context(self) -> GatewayContext:
        """Return the shared services; raise KernelError before `attach`."""
        if self._context is None:
            raise KernelError('no dialect is attached to the gateway')
        return self._context

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return (
            not self.is_stopping
            and self._configuration.current is not None
            and self.context.admission.is_fresh
            and bool(self._directory.replica_by_host)
        )

    def attach(self, dialect: Dialect) -> None:
        """Attach the message dialect and register the gauges."""
        self._context = create_context(
            self._kernel, dialect, self._pool, self._shutdown_progress
        )
        StateGauges(
            self._configuration,
            self._directory,
            self._server,
            self._context.log_limiter,
        ).register(self._kernel.metrics)

    async def listen(self) -> None:
        """Start accepting callers, readiness checks and metrics scrapes."""
        await self._server.listen_for_reports(
            self._settings.readiness, self._serve_readiness
        )
        handlers = CallHandlers(self.context, lambda: self.is_stopping)
        await self._server.listen(
            self._settings.callers, handlers.serve_caller, handlers
        )
        handover_address = self.context.peer_sender.selector.own_address
        if handover_address:
            await self._server.listen(
                handover_address, handlers.serve_handover, handlers
            )
        if self._settings.metrics:
            await self._server.listen_for_reports(
                self._settings.metrics, self._serve_metrics
            )
        self._tasks += (
            start_background('housekeeping', self._run_housekeeping),
            start_background('prober', self._prober.run),
        )
        emit(GATEWAY_LISTENING, callers=self._settings.callers)

    async def stop_gracefully(self) -> None:
        """Complete the requests in flight within the stop grace period."""
        self.is_stopping = True
        self._stop_started_s = SYSTEM_CLOCK.monotonic_s()
        timed_out = self.context.call_timeouts.end_within(
            self._grace_s - LAST_ANSWERS_S
        )
        emit(
            STOP_BEGUN,
            open=self._server.open_count,
            serving=self._server.serving_count,
            timed_out=timed_out,
        )
        await asyncio.sleep(min(BALANCER_DETECTION_S, self._grace_s))
        while SYSTEM_CLOCK.monotonic_s() < self._stop_started_s + self._grace_s:
            self._server.close_idle()
            if not self._server.open_count:
                break
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        emit(STOP_ENDED, cut=self._server.serving_count)

    def stop(self) -> None:
        """Stop listening and cancel the housekeeping task."""
        self._server.close()
        self._prober.stop()
        for task in self._tasks:
            task.cancel()

    @property
    def _grace_s(self) -> float:
        return self._settings.stop_grace_ms / MS_PER_S - STOP_EXIT_RESERVE_S

    def _shutdown_progress(self) -> ShutdownProgress | None:
        if not self.is_stopping:
            return None
        elapsed_s = SYSTEM_CLOCK.monotonic_s() - self._stop_started_s
        return ShutdownProgress(elapsed_s, self._grace_s - elapsed_s)

    async def _serve_readiness(
        self, connection: CallerConnection, head: MessageHead, _body: object
    ) -> bool:
        is_ready = self.is_ready
        if is_ready is not self._was_ready:
            emit(
                READINESS_CHANGED,
                is_ready=is_ready,
                configuration_age_s=round(self._configuration.age_s, 3),
                replicas=len(self._directory.replica_by_host),
            )
            self._was_ready = is_ready
        await connection.write(
            response_bytes(OK if is_ready else NOT_READY, ())
        )
        return head.is_keep_alive

    async def _serve_metrics(
        self, connection: CallerConnection, head: MessageHead, _body: object
    ) -> bool:
        exposition = self._kernel.metrics.exposition()
        headers = [(b'Content-Type', b'text/plain; version=0.0.4')]
        await connection.write(response_bytes(OK, headers, exposition))
        return head.is_keep_alive

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._directory.drop_lapsed()
            self._pool.close_expired()
            self.context.peer_sender.close_expired()

    def _remove_replica(self, replica: Replica) -> None:
        self._pool.close_idle(replica)
        if self._context is not None:
            self._context.picker.prefixes.forget(replica.host)
