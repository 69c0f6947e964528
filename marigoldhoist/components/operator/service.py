"""Serve the operator API over HTTP."""

import msgspec
from cheroot import wsgi
from result import Ok

from marigoldhoist import __version__
from marigoldhoist.components.hosts.const import COMPONENT as HOSTS
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.components.operator.app import (
    OK,
    TEXT_TYPE,
    UNAVAILABLE,
    HttpResponse,
    OperatorApp,
    json_response,
)
from marigoldhoist.components.operator.const import (
    MAX_BODY_BYTES,
    SERVER_THREADS,
    STATUS_TOPIC,
    STOP_TIMEOUT_S,
)
from marigoldhoist.components.operator.fleet import FleetStatusCollector
from marigoldhoist.components.operator.models import (
    ChangeOutcome,
    DaemonStatus,
    RowView,
    TableView,
)
from marigoldhoist.components.operator.settings import OperatorSettings
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.errors import ChangeRejected
from marigoldhoist.components.table.models import TableChange
from marigoldhoist.components.table.service import TableService
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel


class OperatorService(BaseService):
    """Runs the HTTP server of the operator API."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._daemon = kernel.settings.section(DaemonSettings)
        settings = kernel.settings.section(OperatorSettings)
        self._table = kernel.find(TABLE, TableService)
        self._peers = kernel.find(PEERS, PeerService)
        self._fleet = FleetStatusCollector(
            kernel.find(HOSTS, HostService), self._peers
        )
        self.app = OperatorApp(settings)
        self._add_routes()
        self._server = wsgi.Server(
            (self._daemon.address, settings.port),
            self.app,
            numthreads=SERVER_THREADS,
        )
        self._server.shutdown_timeout = STOP_TIMEOUT_S
        self._server.max_request_body_size = MAX_BODY_BYTES

    def start(self) -> None:
        """Start to answer status requests from peers."""
        self._peers.subscribe(
            STATUS_TOPIC,
            lambda *_: msgspec.json.encode(self._own_status()),
        )

    def ready(self) -> None:
        """Start the HTTP server once all components are started."""
        self._server.prepare()
        self._kernel.spawn('operator', self._server.serve)

    def stop(self) -> None:
        """Stop the HTTP server."""
        self._server.stop()

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this daemon."""
        return not (
            self._table.state.is_empty or self._kernel.draining.is_set()
        )

    def _add_routes(self) -> None:
        self.app.add('GET /live', self._show_live, is_public=True)
        self.app.add('GET /ready', self._show_ready, is_public=True)
        self.app.add('GET /metrics', self._show_metrics)
        self.app.add('GET /status', self._show_status)
        self.app.add('GET /fleet', self._show_fleet)
        self.app.add('GET /table', self._show_table)
        self.app.add('POST /table', self._change_table)
        self.app.add('GET /audit', self._show_audit)

    def _show_live(self, _body: bytes) -> HttpResponse:
        return json_response({'live': True})

    def _show_ready(self, _body: bytes) -> HttpResponse:
        if self.is_ready:
            return json_response({'ready': True})
        return json_response({'ready': False}, UNAVAILABLE)

    def _show_status(self, _body: bytes) -> HttpResponse:
        return json_response(self._own_status())

    def _show_fleet(self, _body: bytes) -> HttpResponse:
        return json_response(self._fleet.collect(self._own_status()))

    def _own_status(self) -> DaemonStatus:
        return DaemonStatus(
            host=self._daemon.host,
            failure_domain=self._daemon.failure_domain,
            version=__version__,
            is_ready=self.is_ready,
            table_revision=self._table.state.revision,
            services_by_name=self._service_status(),
        )

    def _service_status(self) -> dict[str, msgspec.Struct]:
        statuses = (
            (name, service.status())
            for name, service in self._kernel.services_by_name.items()
        )
        return {name: status for name, status in statuses if status is not None}

    def _show_metrics(self, _body: bytes) -> HttpResponse:
        return HttpResponse(self._kernel.metrics.exposition(), OK, TEXT_TYPE)

    def _show_table(self, _body: bytes) -> HttpResponse:
        state = self._table.state
        rows = tuple(
            RowView(key, stored.revision, stored.row)
            for key, stored in sorted(state.rows_by_key.items())
        )
        return json_response(TableView(state.revision, rows))

    def _change_table(self, body: bytes) -> HttpResponse:
        change = decode_json(body, TableChange)
        submission = self._table.submit(change)
        if isinstance(submission, Ok):
            offset = submission.ok_value.offset
            return json_response(ChangeOutcome('accepted', offset))
        failure = submission.err_value
        if isinstance(failure, ChangeRejected):
            return json_response(
                ChangeOutcome(
                    'rejected', reason=failure.reason, winner=failure.winner
                )
            )
        return json_response(ChangeOutcome('unknown', reason=failure.reason))

    def _show_audit(self, _body: bytes) -> HttpResponse:
        return json_response(list(self._table.fold.audit))
