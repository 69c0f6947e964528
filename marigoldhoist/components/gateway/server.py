"""Listening sockets and open connections of the gateway."""

import asyncio
from functools import partial
from typing import Final

from marigoldhoist.components.configuration.models import CallerLimits
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.gateway.caller import (
    CallerConnection,
    RequestHandler,
)
from marigoldhoist.components.gateway.upload_policy import (
    TAKE_ALL_UPLOADS,
    TAKE_NO_UPLOADS,
    UploadPolicy,
)
from marigoldhoist.components.intake.room import InputRoom
from marigoldhoist.components.intake.settings import IntakeSettings
from marigoldhoist.core.identity import split_address
from marigoldhoist.core.kernel import Kernel

# Length of the queue of connections waiting to be accepted.
BACKLOG: Final = 512


class CallerServer:
    """Accepts connections of callers, load balancer and metrics scrapers."""

    def __init__(
        self, configuration: ConfigurationService, room: InputRoom | None = None
    ) -> None:
        self._configuration = configuration
        self.room = room or InputRoom(IntakeSettings())
        self._connections: set[CallerConnection] = set()
        self._servers: list[asyncio.Server] = []

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests."""
        return self._configuration.limits

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def serving_count(self) -> int:
        """Return the number of connections with a request in flight."""
        return sum(
            1 for connection in self._connections if connection.is_serving
        )

    def add(self, connection: CallerConnection) -> None:
        """Add a new connection."""
        self._connections.add(connection)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    async def listen(
        self,
        address: str,
        handler: RequestHandler,
        uploads: UploadPolicy = TAKE_ALL_UPLOADS,
    ) -> None:
        """Accept connections and pass their requests to the handler.

        A body that has not come with its head is read if `uploads` admits it.
        """
        host, port = split_address(address)
        server = await asyncio.get_running_loop().create_server(
            partial(CallerConnection, self, handler, uploads),
            host,
            port,
            backlog=BACKLOG,
        )
        self._servers.append(server)

    async def listen_for_reports(
        self, address: str, handler: RequestHandler
    ) -> None:
        """Accept connections whose requests have no bodies."""
        await self.listen(address, handler, TAKE_NO_UPLOADS)

    def close_idle(self) -> None:
        """Close connections without a request in flight or unread input."""
        for connection in tuple(self._connections):
            if not connection.is_serving and not connection.has_unread_input:
                connection.close()

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()


def create_caller_server(
    kernel: Kernel, configuration: ConfigurationService
) -> CallerServer:
    """Create the server, with room for input as the settings say."""
    room = InputRoom(kernel.settings.section(IntakeSettings))
    return CallerServer(configuration, room)
