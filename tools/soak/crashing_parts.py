"""Send requests that crash replicas, and restart the replicas.

Either a part of their prompts does, or each request as a whole.
"""

import asyncio
import random
from typing import TYPE_CHECKING

from marigoldhoist.core.identity import split_address
from tools.soak.checks import CrashingArrival
from tools.soak.const import CALL_TIMEOUT_S, REQUEST_PREFIX, RESTART_S
from tools.soak.daemons import DaemonProcess

if TYPE_CHECKING:
    from tools.soak.world import SoakWorld

SHARED_PART = 'aaaa01'
MAX_PAUSE_S = 0.25


class CrashingParts:
    """The prompt parts and the requests that crash replicas in one run.

    A request as a whole is known by the last segment of its path.
    """

    def __init__(self, world: 'SoakWorld') -> None:
        self._world = world
        self._daemon_by_request: dict[str, DaemonProcess] = {}
        self._restarts: set[asyncio.Task[None]] = set()
        self.part_ids: set[str] = set()
        self.paths: set[str] = set()

    async def send_part(self, rng: random.Random, count: int) -> None:
        """Send requests with a new part to random daemons, which overlap."""
        part_id = f'dead{rng.getrandbits(32):08x}'
        self.part_ids.add(part_id)
        await self._send(rng, count, part_id, _prompt_lines(part_id))

    async def send_request(self, rng: random.Random, count: int) -> None:
        """Send one plain request again and again to random daemons."""
        segment = f'{REQUEST_PREFIX}{rng.getrandbits(32):08x}'
        path = f'/safe/{segment}'
        self.paths.add(path)
        await self._send(rng, count, segment, (f'GET {path} HTTP/1.1',))

    async def _send(
        self,
        rng: random.Random,
        count: int,
        cause: str,
        lines: tuple[str, ...],
    ) -> None:
        calls = []
        for number in range(count):
            daemon = rng.choice(self._world.daemons)
            request_id = f'{cause}-{number}'
            self._daemon_by_request[request_id] = daemon
            calls.append(asyncio.create_task(_call(daemon, request_id, lines)))
            await asyncio.sleep(rng.random() * MAX_PAUSE_S)
        await asyncio.gather(*calls)
        await asyncio.gather(*self._restarts)

    def note_arrival(self, request_id: str) -> None:
        """Record a request at a replica if it has a crashing part."""
        daemon = self._daemon_by_request.get(request_id)
        if daemon is None:
            return
        now_s = asyncio.get_running_loop().time()
        self._world.observations.crashing_arrivals.append(
            CrashingArrival(
                request_id.partition('-')[0],
                now_s,
                self._is_excused(daemon, now_s),
            )
        )

    def note_crash(self, name: str, cause: str) -> None:
        """Record a crash and start the replica again after a while."""
        now_s = asyncio.get_running_loop().time()
        segment = cause.rpartition('/')[2]
        times_s = self._world.observations.crash_times_s_by_part[segment]
        times_s.append(now_s)
        self._world.proxy_by_replica[name].stop()
        restart = asyncio.create_task(self._restart(name))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart(self, name: str) -> None:
        await asyncio.sleep(RESTART_S)
        if name in self._world.replica_by_name:
            await self._world.add_replica(name)

    def _is_excused(self, daemon: DaemonProcess, now_s: float) -> bool:
        """Return whether a fault may have kept the news from the daemon."""
        return (
            daemon.had_fault_since(now_s)
            or daemon.is_stopping
            or self._world.is_disturbed
        )


def _prompt_lines(part_id: str) -> tuple[str, ...]:
    """Return the lines of a request with a crashing part in its prompt."""
    return (
        'POST /stream/x HTTP/1.1',
        'Model: *',
        'Token-Count: 100,10',
        f'Prefix-Hash: {SHARED_PART}:50,{part_id}:40,{{own_part}}:10',
    )


async def _call(
    daemon: DaemonProcess, request_id: str, own_lines: tuple[str, ...]
) -> None:
    """Send one request and read the response to its end."""
    host, port = split_address(daemon.caller_address)
    lines = (
        *(line.format(own_part=f'{request_id[-2:]}ff') for line in own_lines),
        'Host: calls.example',
        f'Request-Id: {request_id}',
        'Request-Deadline: 6000',
        'X-Api-Key: kept',
        'Connection: close',
    )
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
            await reader.read(-1)
            writer.close()
    except (OSError, TimeoutError):
        # The daemon was killed, paused or stopped meanwhile.
        return
