"""Faults that the soak injects, registered by name.

A seed selects faults by their position in the sorted names. Faults that were
added later are of a later generation, so that a kept seed still does what it
did when it failed.
"""

import asyncio
import contextlib
import random
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TYPE_CHECKING

from tools.platform_standins.replica import ReplicaFault
from tools.platform_standins.store import (
    OPERATOR_TOPIC,
    REPLICAS_TOPIC,
    StoreFault,
)
from tools.soak.const import MAX_FAULT_S, STOP_GRACE_S

if TYPE_CHECKING:
    from tools.soak.proxy import Proxy
    from tools.soak.world import SoakWorld

# Share of the key withdrawals during which the daemons cannot read the store.
STORE_STALL_PROBABILITY = 0.8

# Longest time for which a restored store lacks records, and after which their
# writers write them again.
MAX_LOST_S = 3.0
MAX_REWRITE_DELAY_S = 1.0

Fault = Callable[['SoakWorld', random.Random], Awaitable[None]]

FIRST_GENERATION = 1

fault_by_name: dict[str, Fault] = {}
_generation_by_name: dict[str, int] = {}


def fault(generation: int = FIRST_GENERATION) -> Callable[[Fault], Fault]:
    """Register a fault of a generation under its function's name."""

    def register(inject: Fault) -> Fault:
        fault_by_name[inject.__name__] = inject
        _generation_by_name[inject.__name__] = generation
        return inject

    return register


def fault_names(generation: int) -> list[str]:
    """Return the sorted names of the faults up to a generation."""
    return sorted(
        name
        for name, added_in in _generation_by_name.items()
        if added_in <= generation
    )


def random_duration_s(rng: random.Random) -> float:
    """Return how long a fault lasts, in seconds."""
    return rng.uniform(0.3, MAX_FAULT_S)


@fault()
async def store_away(world: 'SoakWorld', rng: random.Random) -> None:
    """Make the store refuse, reset, ignore or lose calls for a while."""
    faults = (
        StoreFault.BUSY,
        StoreFault.RESET,
        StoreFault.SILENT,
        StoreFault.LOST,
    )
    with world.record_store_fault():
        world.store.fault = rng.choice(faults)
        await asyncio.sleep(random_duration_s(rng))
        world.store.fault = StoreFault.NONE


@fault()
async def store_slow(world: 'SoakWorld', rng: random.Random) -> None:
    """Make the store respond slowly for a while."""
    with world.record_store_fault():
        world.store.delay_s = rng.uniform(0.05, 0.4)
        await asyncio.sleep(random_duration_s(rng))
        world.store.delay_s = 0


@fault()
async def history_lost(world: 'SoakWorld', rng: random.Random) -> None:
    """Compact all topics of the store, so that old offsets are gone."""
    for topic in world.store.topic_by_name.values():
        topic.compact()
    await asyncio.sleep(rng.random())


@fault()
async def store_link(world: 'SoakWorld', rng: random.Random) -> None:
    """Delay, reset, stall or refuse connections to the store."""
    with world.record_store_fault():
        await _disturb_link(world.store_proxy, rng)


@fault()
async def replica_link(world: 'SoakWorld', rng: random.Random) -> None:
    """Delay, reset, stall or refuse connections to one replica."""
    with world.record_replica_fault(), world.disturb():
        await _disturb_link(
            rng.choice(list(world.proxy_by_replica.values())), rng
        )


@fault()
async def wrong_answers(world: 'SoakWorld', rng: random.Random) -> None:
    """Queue three random faults at every replica."""
    for replica in world.replica_by_name.values():
        kinds = [
            kind for kind in ReplicaFault if kind is not ReplicaFault.SILENT
        ]
        replica.faults.extend(rng.choice(kinds) for _ in range(3))
    await asyncio.sleep(random_duration_s(rng))


@fault()
async def killed(world: 'SoakWorld', rng: random.Random) -> None:
    """Kill a daemon and restart it."""
    daemon = rng.choice(world.daemons)
    daemon.note_fault()
    daemon.send_signal(signal.SIGKILL)
    await daemon.wait_for_exit(STOP_GRACE_S)
    await asyncio.sleep(rng.random())
    daemon.start(world.peer_seeds)
    await daemon.wait_until_ready()


@fault()
async def paused(world: 'SoakWorld', rng: random.Random) -> None:
    """Suspend a daemon for a while."""
    daemon = rng.choice(world.daemons)
    daemon.note_fault()
    daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.5, 7))
    daemon.send_signal(signal.SIGCONT)
    daemon.note_fault()


@fault()
async def stopped(world: 'SoakWorld', rng: random.Random) -> None:
    """Stop a daemon gracefully and restart it."""
    daemon = rng.choice(world.daemons)
    if daemon.is_stopping or daemon.is_paused or not daemon.is_running:
        return
    daemon.is_stopping = True
    daemon.send_signal(signal.SIGTERM)
    has_exited = await daemon.wait_for_exit(STOP_GRACE_S + 1)
    if not has_exited and not daemon.is_paused:
        world.violations.append(
            f'{daemon.name}: still running after the stop grace time'
        )
    daemon.kill()
    await asyncio.sleep(rng.random())
    daemon.start(world.peer_seeds)
    await daemon.wait_until_ready()


@fault()
async def key_withdrawn(world: 'SoakWorld', rng: random.Random) -> None:
    """Withdraw an API key while callers use it.

    In most cases, the daemons cannot read the store when that happens and have
    to stop accepting the key because their copy of the configuration is stale.
    """
    async with temporary_key(world) as key:
        with world.record_store_fault():
            world.store_proxy.link.is_backward_stalled = (
                rng.random() < STORE_STALL_PROBABILITY
            )
            await withdraw(world, key)
            await asyncio.sleep(8)
            world.store_proxy.link.restore()
        await asyncio.sleep(2)


@fault()
async def replica_leaves(world: 'SoakWorld', rng: random.Random) -> None:
    """Drain and remove a replica after another was added in its place."""
    staying = set(world.replica_by_name) - set(
        world.observations.drain_start_s_by_replica
    )
    name = rng.choice(sorted(staying))
    await world.add_replica(f'{name}x')
    world.note_draining(name)
    await world.register(name)
    await asyncio.sleep(5)
    await world.store.put_raw(REPLICAS_TOPIC, name, b'')
    world.remove_replica(name)


@fault()
async def foreign_entry(world: 'SoakWorld', rng: random.Random) -> None:
    """Store malformed entries in the topics of replicas and operator."""
    raw = rng.choice((b'\xff', b'null', b'{"service":1}', b'[]'))
    await world.store.put_raw(REPLICAS_TOPIC, f'foreign-{rng.random()}', raw)
    await world.store.put_raw(OPERATOR_TOPIC, 'other', raw)


@fault(generation=2)
async def store_restored(world: 'SoakWorld', rng: random.Random) -> None:
    """Restore the store from an older copy; its writers write again later."""
    copy = world.store.take_copy()
    await asyncio.sleep(rng.uniform(0.3, MAX_LOST_S))
    with world.record_store_fault():
        world.store.fault = StoreFault.RESET
        await asyncio.sleep(rng.uniform(0.1, 1))
        world.store.restore(copy)
        world.store.fault = StoreFault.NONE
        await asyncio.sleep(rng.uniform(0.1, MAX_REWRITE_DELAY_S))
        await world.write_again()


@fault(generation=2)
async def withdrawal_lost(world: 'SoakWorld', rng: random.Random) -> None:
    """Withdraw a key in the seconds that a restored store has lost.

    The operator writes the withdrawal again before any daemon reads, at an
    offset that the daemons have already read.
    """
    copy = world.store.take_copy()
    async with temporary_key(world) as key:
        with world.record_store_fault():
            world.store.fault = StoreFault.RESET
            world.store.reset()
            await withdraw(world, key)
            await asyncio.sleep(rng.uniform(0.1, 1))
            world.store.restore(copy)
            await world.write_again()
            world.store.fault = StoreFault.NONE
        await asyncio.sleep(8)


@fault(generation=3)
async def crashing_part(world: 'SoakWorld', rng: random.Random) -> None:
    """Send requests with a part that crashes replicas, which start again."""
    with world.record_replica_fault():
        await world.crashing_parts.send_part(rng, rng.randint(20, 60))


@fault(generation=4)
async def crashing_request(world: 'SoakWorld', rng: random.Random) -> None:
    """Send one request that crashes replicas again and again."""
    with world.record_replica_fault():
        await world.crashing_parts.send_request(rng, rng.randint(60, 100))


@contextlib.asynccontextmanager
async def temporary_key(world: 'SoakWorld') -> AsyncIterator[str]:
    """Add a key, yield it once callers use it, and stop using it at the end."""
    key = f'gone-{world.config_version}'
    await world.put_configuration([key])
    await asyncio.sleep(1)
    for caller in world.callers:
        caller.keys.append(key)
    await asyncio.sleep(1)
    yield key
    for caller in world.callers:
        caller.keys.remove(key)


async def withdraw(world: 'SoakWorld', key: str) -> None:
    """Withdraw a key and note when the store had acknowledged it."""
    await world.put_configuration([])
    now_s = asyncio.get_running_loop().time()
    world.observations.withdrawn_s_by_key[key] = now_s


async def _disturb_link(proxy: 'Proxy', rng: random.Random) -> None:
    link = proxy.link
    kind = rng.choice(('delay', 'reset', 'forward', 'backward', 'refuse'))
    link.delay_s = rng.uniform(0.02, 0.3) if kind == 'delay' else 0
    link.is_forward_stalled = kind == 'forward'
    link.is_backward_stalled = kind == 'backward'
    link.is_refusing = kind == 'refuse'
    if kind in {'reset', 'refuse'}:
        proxy.reset()
    await asyncio.sleep(random_duration_s(rng))
    link.restore()
