"""Connections to replicas: kept while idle, opened when needed."""

import asyncio
import dataclasses
import socket
from typing import Final

from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.gateway.connection import HttpConnection
from marigoldhoist.components.gateway.const import (
    CONNECT_TIMEOUT_S,
    DEFAULT_IDLE_S,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    KEPT_SHARE,
    KEPT_SHARE_AT_MOST_ONCE,
    USER_TIMEOUT_MS,
)
from marigoldhoist.components.gateway.errors import AttemptError
from marigoldhoist.components.gateway.messages import ResponseParser
from marigoldhoist.core.verdict import Verdict

SOCKET_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def probe_peer(transport: asyncio.BaseTransport) -> None:
    """Let the kernel end the connection once its peer is silent."""
    opened = transport.get_extra_info('socket')
    for level, option, content in SOCKET_OPTIONS:
        opened.setsockopt(level, option, content)


class ReplicaConnection(HttpConnection):
    """A connection to a replica; what comes while it is idle ends it."""

    def __init__(self) -> None:
        super().__init__(ResponseParser())
        self.is_idle = False
        self.idle_timeout_s = DEFAULT_IDLE_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and have the peer probed."""
        super().connection_made(transport)
        probe_peer(transport)

    def data_received(self, data: bytes) -> None:
        """Take bytes, which nothing asked for while the connection is idle."""
        super().data_received(data)
        if self.is_idle:
            self.close()


@dataclasses.dataclass(slots=True)
class _Idle:
    """An idle connection, and since when on the loop's clock."""

    connection: ReplicaConnection
    since_s: float


class ReplicaPool:
    """Idle connections by replica, the newest first."""

    def __init__(self) -> None:
        self._idle_by_host: dict[str, list[_Idle]] = {}

    async def take(
        self, replica: Replica, *, is_repeatable: bool
    ) -> ReplicaConnection:
        """Return a connection; AttemptError where none can be opened."""
        share = KEPT_SHARE if is_repeatable else KEPT_SHARE_AT_MOST_ONCE
        kept = self._take_idle(replica.host, share)
        if kept is not None:
            return kept
        return await _open(replica)

    def give_back(
        self, replica: Replica, connection: ReplicaConnection
    ) -> None:
        """Keep a connection whose answer was read to its end."""
        if replica.is_gone:
            connection.close()
            return
        connection.is_idle = True
        now_s = asyncio.get_running_loop().time()
        idle = self._idle_by_host.setdefault(replica.host, [])
        idle.append(_Idle(connection, now_s))

    def drop(self, replica: Replica) -> None:
        """Close every idle connection to a replica."""
        for idle in self._idle_by_host.pop(replica.host, ()):
            idle.connection.close()

    def drop_old(self) -> None:
        """Close connections that were idle for too long."""
        now_s = asyncio.get_running_loop().time()
        for host, kept in tuple(self._idle_by_host.items()):
            fresh = [
                idle for idle in kept if _is_fresh(idle, now_s, KEPT_SHARE)
            ]
            for idle in kept:
                if idle not in fresh:
                    idle.connection.close()
            self._idle_by_host[host] = fresh

    def _take_idle(self, host: str, share: float) -> ReplicaConnection | None:
        kept = self._idle_by_host.get(host, [])
        now_s = asyncio.get_running_loop().time()
        while kept:
            if not _is_fresh(kept[-1], now_s, share):
                return None
            connection = kept.pop().connection
            if connection.is_quiet:
                connection.is_idle = False
                return connection
            connection.close()
        return None


def _is_fresh(idle: _Idle, now_s: float, share: float) -> bool:
    timeout_s = idle.connection.idle_timeout_s * share
    return now_s - idle.since_s < timeout_s


async def _open(replica: Replica) -> ReplicaConnection:
    loop = asyncio.get_running_loop()
    entry = replica.entry
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                ReplicaConnection, entry.address, entry.port
            )
    except TimeoutError as error:
        raise _unreached('connect timed out') from error
    except OSError as error:
        raise _unreached('connect failed') from error
    return connection


def _unreached(reason: str) -> AttemptError:
    return AttemptError(reason, Verdict.NOT_RUN, was_sent=False)
