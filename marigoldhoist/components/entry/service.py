"""The entry service: the HTTP server for callers and its shutdown."""

import time
from functools import partial

from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.dispatch.service import DispatchService
from marigoldhoist.components.entry.app import CallerApp
from marigoldhoist.components.entry.const import (
    DRAIN_POLL_S,
    SPARE_THREADS,
    STOP_TIMEOUT_S,
)
from marigoldhoist.components.entry.gateway import CallerGateway
from marigoldhoist.components.entry.server import CallerServer
from marigoldhoist.components.entry.settings import EntrySettings
from marigoldhoist.components.intake.room import InputRoom
from marigoldhoist.components.intake.settings import IntakeSettings
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel


class EntryService(BaseService):
    """Serves callers on the entry port."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings.section(EntrySettings)
        self._app = CallerApp(
            self._settings,
            kernel.find(TABLE, TableService),
            kernel.find(DISPATCH, DispatchService),
            InputRoom(kernel.settings.section(IntakeSettings)),
        )
        address = kernel.settings.section(DaemonSettings).address
        self._server = CallerServer(
            (address, self._settings.port),
            partial(CallerGateway, self._app),
            minthreads=self._settings.max_requests + SPARE_THREADS,
        )
        self._server.timeout = self._settings.socket_timeout_s
        self._server.head_timeout_s = self._settings.head_timeout_s
        self._server.request_queue_size = self._settings.max_requests
        self._server.shutdown_timeout = STOP_TIMEOUT_S
        self._server.max_request_header_size = self._settings.max_header_bytes
        self._server.max_request_body_size = self._settings.max_body_bytes

    def ready(self) -> None:
        """Listen for callers once every component has started."""
        self._server.prepare()
        self._kernel.spawn('entry', self._server.serve)

    def drain(self) -> None:
        """Refuse new requests and wait for those in flight.

        Requests are accepted for `balancer_grace_s` first, then the wait lasts
        up to `drain_timeout_s`.
        """
        time.sleep(self._settings.balancer_grace_s)
        self._app.is_draining = True
        deadline_s = time.monotonic() + self._settings.drain_timeout_s
        while self._is_busy and time.monotonic() < deadline_s:
            time.sleep(DRAIN_POLL_S)

    def stop(self) -> None:
        """Stop the HTTP server."""
        self._server.stop()

    @property
    def _is_busy(self) -> bool:
        return self._app.in_flight > 0
