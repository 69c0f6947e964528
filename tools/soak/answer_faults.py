"""Faults of answers and of reads that are longer than one answer."""

import asyncio
import contextlib
import itertools
import random
from typing import TYPE_CHECKING, Final

from tools.platform_standins.replica import ReplicaFault
from tools.platform_standins.slow_client import connect_with_small_buffer
from tools.platform_standins.stutters import StutteringWriter, stutter_by_name
from tools.soak.callers import Caller, encode_request, read_response
from tools.soak.checks import ObservedCall
from tools.soak.const import CALL_TIMEOUT_S, LARGE_PATH
from tools.soak.faults import fault, random_duration_s, temporary_key, withdraw

if TYPE_CHECKING:
    from tools.soak.world import SoakWorld

NEWEST_GENERATION: Final = 5
# Answers of a replica that are drawn ahead while it stutters.
STUTTERED_ANSWERS: Final = 60
ONCE_CALLS: Final = 6
MIN_STALL_S: Final = 1.0
MAX_STALL_S: Final = 5.0
STALLED_PATHS: Final = (LARGE_PATH, '/safe/x', '/safe/x')
# Versions of the configuration that are more than one read returns, with the
# routes that make each of them long.
LONG_VERSIONS: Final = 6
ROUTES_OF_LONG_VERSION: Final = 1000

_extra_callers = itertools.count(1)


@fault(NEWEST_GENERATION)
async def stuttering_replicas(world: 'SoakWorld', rng: random.Random) -> None:
    """Let plain replicas fail half of their requests and answer twice."""
    name = rng.choice(sorted(stutter_by_name))
    replicas = [
        replica
        for host, replica in world.replica_by_name.items()
        if host.startswith('p')
    ]
    for replica in replicas:
        replica.stuttering = StutteringWriter(name, random.Random(rng.random()))
        replica.faults.extend(
            rng.choice((ReplicaFault.NONE, ReplicaFault.ERROR))
            for _ in range(STUTTERED_ANSWERS)
        )
    await asyncio.sleep(random_duration_s(rng))
    for replica in replicas:
        replica.stuttering = None
        replica.faults.clear()


@fault(NEWEST_GENERATION)
async def unsure_streams(world: 'SoakWorld', rng: random.Random) -> None:
    """Request streams that may run once at most, some of unsure models."""
    caller = Caller(
        f'once-{next(_extra_callers)}',
        world.daemons,
        world.observations,
        random.Random(rng.random()),
    )
    for _ in range(ONCE_CALLS):
        await caller.call('once')
    caller.disconnect()


@fault(NEWEST_GENERATION)
async def stalled_caller(world: 'SoakWorld', rng: random.Random) -> None:
    """Read a large answer late, then use the connection for small ones.

    Each answer must be that of the request that was sent last.
    """
    daemon = rng.choice(world.daemons)
    stall_s = rng.uniform(MIN_STALL_S, MAX_STALL_S)
    number = next(_extra_callers)
    expected_errors = (OSError, TimeoutError, asyncio.IncompleteReadError)
    with contextlib.suppress(*expected_errors):
        async with asyncio.timeout(CALL_TIMEOUT_S + MAX_STALL_S):
            reader, writer = await connect_with_small_buffer(
                daemon.caller_address
            )
            with contextlib.closing(writer):
                for index, path in enumerate(STALLED_PATHS):
                    name = f'stalled-{number}-{index}'
                    call = ObservedCall(name, 'safe', 'kept')
                    call.is_affected_by_fault = True
                    writer.write(encode_request(call, path))
                    await asyncio.sleep(stall_s if path == LARGE_PATH else 0)
                    await read_response(reader, call)
                    world.observations.calls.append(call)


@fault(NEWEST_GENERATION)
async def withdrawn_behind_history(
    world: 'SoakWorld', _rng: random.Random
) -> None:
    """Withdraw a key behind more versions than one read returns.

    The daemons cannot read the store meanwhile.
    """
    async with temporary_key(world) as key:
        with world.record_store_fault():
            world.store_proxy.link.is_backward_stalled = True
            world.extra_routes = ROUTES_OF_LONG_VERSION
            for _ in range(LONG_VERSIONS):
                await world.put_configuration([key])
            await withdraw(world, key)
            world.extra_routes = 0
            await asyncio.sleep(6)
            world.store_proxy.link.restore()
        await asyncio.sleep(2)
