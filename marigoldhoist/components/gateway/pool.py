"""Pool of keep-alive connections to replicas."""

import array
import asyncio
import dataclasses
import fcntl
import socket
import termios
from collections.abc import Sequence
from typing import Final

from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.gateway.connection import HttpConnection
from marigoldhoist.components.gateway.const import (
    CONNECT_TIMEOUT_S,
    DEFAULT_IDLE_TIMEOUT_S,
    IDLE_REUSE_SHARE,
    IDLE_REUSE_SHARE_AT_MOST_ONCE,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    TCP_USER_TIMEOUT_MS,
)
from marigoldhoist.components.gateway.errors import AttemptError
from marigoldhoist.components.gateway.events import (
    INPUT_AFTER_RESPONSE,
    SEND_QUEUE_UNKNOWN,
)
from marigoldhoist.components.gateway.models import Call
from marigoldhoist.components.gateway.parsers import ResponseParser
from marigoldhoist.core.body import Body
from marigoldhoist.core.events import emit
from marigoldhoist.core.verdict import Verdict

# Reason of an attempt whose connect was not answered.
CONNECT_TIMED_OUT: Final = 'connect timed out'

SOCKET_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Enable TCP keepalive so that the kernel detects a dead peer."""
    connected_socket = transport.get_extra_info('socket')
    for level, option, content in SOCKET_OPTIONS:
        connected_socket.setsockopt(level, option, content)


class ReplicaConnection(HttpConnection):
    """A connection to a replica, closed by unsolicited input while idle."""

    def __init__(self) -> None:
        super().__init__(ResponseParser())
        self.is_idle = False
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._request_count = 0
        self._is_writing = False
        self._refused_id = ''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keepalive."""
        super().connection_made(transport)
        enable_keepalive(transport)

    async def write_request(self, head: bytes, body: Body) -> None:
        """Write a request, part by part as the write buffer drains.

        A replica that closes the connection meanwhile may have answered, but
        an answer that ends with its connection is not complete then.
        """
        self._request_count += 1
        self._is_writing = True
        parts = iter(body.parts)
        part = head + next(parts, b'')
        while part and not self.is_closed:
            await self.write(part)
            part = next(parts, b'')
        self._is_writing = False

    def take_refusal(self, request_id: str, answered_id: str) -> bool:
        """Note a refusal; return whether it is certainly of this request.

        A copy of an earlier one has another id or none, or the id of a request
        that was refused before on this connection.
        """
        is_repeated = self._refused_id == request_id
        self._refused_id = request_id
        if answered_id:
            return not is_repeated
        return self._request_count == 1

    def eof_received(self) -> bool:
        """Note whether the replica ended before it had the whole request."""
        if self._parser.is_in_message:
            self.was_reset = self._is_writing or self._unsent_bytes() > 0
        return super().eof_received()

    def _unsent_bytes(self) -> int:
        """Return the bytes that the replica's host has not acknowledged."""
        buffered = self.transport.get_write_buffer_size()
        connected_socket = self.transport.get_extra_info('socket')
        count = array.array('i', (0,))
        try:
            fcntl.ioctl(connected_socket.fileno(), termios.TIOCOUTQ, count)
        except OSError as error:
            emit(SEND_QUEUE_UNKNOWN, error=str(error))
        return buffered + count[0]

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if it is idle."""
        super().data_received(data)
        if self.is_idle:
            self.close()


@dataclasses.dataclass(slots=True)
class _IdleConnection:
    """An idle connection and the loop time since which it is idle."""

    connection: ReplicaConnection
    since_s: float


class ReplicaPool:
    """Idle connections by replica; the most recently used are reused first."""

    def __init__(self) -> None:
        self._idle_by_host: dict[str, list[_IdleConnection]] = {}

    async def acquire(
        self, call: Call, replica: Replica, *, is_repeatable: bool
    ) -> ReplicaConnection:
        """Return an idle or new connection and note it in the call.

        A call is never sent on one connection twice: a second answer to its
        first send may still come there, and it has the same id. Raise
        AttemptError if no connection can be opened.
        """
        share = _reuse_share(is_repeatable=is_repeatable)
        connection = self._acquire_idle(replica.host, share, call.connections)
        if connection is None:
            connection = await open_connection(replica)
        call.connections.append(connection)
        return connection

    def has_idle(self, replica: Replica, *, is_repeatable: bool) -> bool:
        """Return whether an idle connection can be reused."""
        idle_connections = self._idle_by_host.get(replica.host)
        if not idle_connections:
            return False
        newest = idle_connections[-1]
        now_s = asyncio.get_running_loop().time()
        share = _reuse_share(is_repeatable=is_repeatable)
        return newest.connection.is_reusable and _is_unexpired(
            newest, now_s, share
        )

    def release(self, replica: Replica, connection: ReplicaConnection) -> None:
        """Return a connection to the pool after its response was read.

        One that cannot be used again is aborted.
        """
        if not connection.is_reusable:
            _discard(replica.host, connection)
            return
        if replica.is_gone:
            connection.close()
            return
        connection.is_idle = True
        now_s = asyncio.get_running_loop().time()
        idle = self._idle_by_host.setdefault(replica.host, [])
        idle.append(_IdleConnection(connection, now_s))

    def close_idle(self, replica: Replica) -> None:
        """Close all idle connections to a replica."""
        for idle in self._idle_by_host.pop(replica.host, ()):
            idle.connection.close()

    def close_expired(self) -> None:
        """Close connections whose idle timeout has expired."""
        now_s = asyncio.get_running_loop().time()
        for host, idle_connections in tuple(self._idle_by_host.items()):
            reusable = [
                idle
                for idle in idle_connections
                if _is_unexpired(idle, now_s, IDLE_REUSE_SHARE)
            ]
            for idle in idle_connections:
                if idle not in reusable:
                    idle.connection.close()
            self._idle_by_host[host] = reusable

    def _acquire_idle(
        self, host: str, share: float, excluded: Sequence[HttpConnection]
    ) -> ReplicaConnection | None:
        idle_connections = self._idle_by_host.get(host, [])
        now_s = asyncio.get_running_loop().time()
        for idle in reversed(tuple(idle_connections)):
            if not _is_unexpired(idle, now_s, share):
                return None
            connection = idle.connection
            if connection in excluded:
                continue
            idle_connections.remove(idle)
            if connection.is_reusable:
                connection.is_idle = False
                return connection
            _discard(host, connection)
        return None


def _discard(host: str, connection: ReplicaConnection) -> None:
    """Abort a connection that cannot be used again."""
    if connection.has_unread_input:
        emit(INPUT_AFTER_RESPONSE, replica=host)
    connection.abort()


def _reuse_share(*, is_repeatable: bool) -> float:
    return IDLE_REUSE_SHARE if is_repeatable else IDLE_REUSE_SHARE_AT_MOST_ONCE


def _is_unexpired(idle: _IdleConnection, now_s: float, share: float) -> bool:
    timeout_s = idle.connection.idle_timeout_s * share
    return now_s - idle.since_s < timeout_s


async def open_connection(replica: Replica) -> ReplicaConnection:
    """Return a new connection; raise AttemptError if there is none."""
    loop = asyncio.get_running_loop()
    entry = replica.entry
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                ReplicaConnection, entry.address, entry.port
            )
    except TimeoutError as error:
        raise _connect_failure(CONNECT_TIMED_OUT) from error
    except OSError as error:
        raise _connect_failure('connect failed') from error
    return connection


def _connect_failure(reason: str) -> AttemptError:
    return AttemptError(reason, Verdict.NOT_RUN, was_sent=False)
