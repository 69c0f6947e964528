"""Listen for callers and keep their connections."""

import asyncio
from functools import partial
from typing import Final

from marigoldhoist.components.configuration.models import CallerLimits
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.gateway.caller import CallerConnection, Serve
from marigoldhoist.core.identity import split_address

# Connections that wait to be accepted.
BACKLOG: Final = 512


class CallerServer:
    """The open connections of callers and of the balancer."""

    def __init__(self, configuration: ConfigurationService) -> None:
        self._configuration = configuration
        self._connections: set[CallerConnection] = set()
        self._servers: list[asyncio.Server] = []

    @property
    def limits(self) -> CallerLimits:
        """Return what callers may send."""
        return self._configuration.limits

    @property
    def open_count(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    @property
    def serving_count(self) -> int:
        """Return how many connections wait for an answer."""
        return sum(1 for one in self._connections if one.is_serving)

    def opened(self, connection: CallerConnection) -> None:
        """Take note of a new connection."""
        self._connections.add(connection)

    def closed(self, connection: CallerConnection) -> None:
        """Take note that a connection is over."""
        self._connections.discard(connection)

    async def listen(self, address: str, serve: Serve) -> None:
        """Accept connections and have their requests served."""
        host, port = split_address(address)
        server = await asyncio.get_running_loop().create_server(
            partial(CallerConnection, self, serve), host, port, backlog=BACKLOG
        )
        self._servers.append(server)

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in tuple(self._connections):
            if not connection.is_serving and not connection.has_unread_input:
                connection.close()

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()
