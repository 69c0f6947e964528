"""Gauges of what a daemon believes, read whenever metrics are fetched."""

from collections.abc import Callable

from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.gateway.request_log import RequestLogLimiter
from marigoldhoist.components.gateway.server import CallerServer
from marigoldhoist.core.metrics import Metrics


class BeliefGauges:
    """The ages and sizes of what requests are decided by."""

    def __init__(
        self,
        configuration: ConfigurationService,
        directory: DirectoryService,
        server: CallerServer,
        logs: RequestLogLimiter,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._server = server
        self._logs = logs

    def register(self, metrics: Metrics) -> None:
        """Show every gauge."""
        shown: tuple[tuple[str, str, Callable[[], float]], ...] = (
            (
                'configuration_age_seconds',
                'Time since the configuration was known to be the newest.',
                self._age_s,
            ),
            (
                'configuration_version',
                'The version in force, 0 for none.',
                self._version,
            ),
            (
                'replicas_known',
                'Replicas that the store lists.',
                self._replicas,
            ),
            (
                'connections_open',
                'Connections of callers that are open.',
                self._connections,
            ),
            (
                'log_lines_dropped',
                'Lines of served requests that were not written.',
                self._dropped,
            ),
        )
        for name, meaning, read in shown:
            metrics.gauge(name, meaning).set_function(read)

    def _age_s(self) -> float:
        return self._configuration.age_s

    def _version(self) -> float:
        current = self._configuration.current
        return current.version if current else 0

    def _replicas(self) -> float:
        return len(self._directory.replica_by_host)

    def _connections(self) -> float:
        return self._server.open_count

    def _dropped(self) -> float:
        return self._logs.dropped
