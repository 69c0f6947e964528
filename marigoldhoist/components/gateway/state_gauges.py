"""Gauges of a daemon's state, read whenever metrics are scraped."""

from collections.abc import Callable

from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.gateway.request_log import RequestLogLimiter
from marigoldhoist.components.gateway.server import CallerServer
from marigoldhoist.core.metrics import Metrics


class StateGauges:
    """Gauges of configuration age, known replicas and connections."""

    def __init__(
        self,
        configuration: ConfigurationService,
        directory: DirectoryService,
        server: CallerServer,
        log_limiter: RequestLogLimiter,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._server = server
        self._log_limiter = log_limiter

    def register(self, metrics: Metrics) -> None:
        """Register every gauge."""
        gauges: tuple[tuple[str, str, Callable[[], float]], ...] = (
            (
                'configuration_age_seconds',
                'Time since the configuration was known to be the newest.',
                self._configuration_age_s,
            ),
            (
                'configuration_version',
                'The version in force, 0 for none.',
                self._configuration_version,
            ),
            (
                'replicas_known',
                'Replicas that the store lists.',
                self._known_replicas,
            ),
            (
                'connections_open',
                'Connections of callers that are open.',
                self._open_connections,
            ),
            (
                'input_bytes',
                'Memory reserved for the requests of all callers.',
                self._input_bytes,
            ),
            (
                'log_lines_dropped',
                'Lines of served requests that were not written.',
                self._dropped_lines,
            ),
        )
        for name, help_text, read in gauges:
            metrics.gauge(name, help_text).set_function(read)

    def _configuration_age_s(self) -> float:
        return self._configuration.age_s

    def _configuration_version(self) -> float:
        current = self._configuration.current
        return current.version if current else 0

    def _known_replicas(self) -> float:
        return len(self._directory.replica_by_host)

    def _open_connections(self) -> float:
        return self._server.open_count

    def _input_bytes(self) -> float:
        return self._server.room.held_bytes

    def _dropped_lines(self) -> float:
        return self._log_limiter.dropped
