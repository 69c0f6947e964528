"""A client connection that a large answer does not fit into."""

import asyncio
import socket
from typing import Final

from marigoldhoist.core.identity import split_address

RECEIVE_BUFFER_BYTES: Final = 64 * 1024
# More than the buffers of both ends of such a connection hold.
LARGE_BYTES: Final = 7 * 1024 * 1024


async def connect_with_small_buffer(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect so that an answer waits for the client to read it."""
    connected = socket.socket()
    connected.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    connected.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connected, split_address(address))
    return await asyncio.open_connection(
        sock=connected, limit=RECEIVE_BUFFER_BYTES
    )
