"""A server that sends its last answer again before the next one."""

import asyncio
from collections.abc import Callable

from tools.platform_standins.http import (
    ReceivedRequest,
    StandInServer,
    read_request,
)


class RepeatingServer(StandInServer):
    """Sends its last answer again once the next request has come."""

    def __init__(
        self, encode_answer: Callable[[ReceivedRequest], bytes], copies: int
    ) -> None:
        super().__init__()
        self._encode_answer = encode_answer
        self._copies = copies
        self.connections = 0
        self.reused_connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.connections += 1
        last = b''
        request = await read_request(reader)
        while request is not None:
            self.reused_connections += bool(last)
            writer.write(last * self._copies)
            await asyncio.sleep(0.01)
            last = self._encode_answer(request)
            writer.write(last)
            request = await read_request(reader)
