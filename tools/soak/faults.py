"""Faults that the soak injects from outside; each is registered by name."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from tools.platform_standins.replica import ReplicaFault
from tools.platform_standins.store import (
    OPERATOR_TOPIC,
    REPLICAS_TOPIC,
    StoreFault,
)
from tools.soak.const import LONGEST_FAULT_S, STOP_GRACE_S

if TYPE_CHECKING:
    from tools.soak.proxy import Proxy
    from tools.soak.world import SoakWorld

# Of the withdrawals of a key, those that daemons cannot read of at once.
CUT_SHARE = 0.8

Fault = Callable[['SoakWorld', random.Random], Awaitable[None]]

fault_by_name: dict[str, Fault] = {}


def fault(inject: Fault) -> Fault:
    """Register a fault under its function's name."""
    fault_by_name[inject.__name__] = inject
    return inject


def _span_s(rng: random.Random) -> float:
    return rng.uniform(0.3, LONGEST_FAULT_S)


@fault
async def store_away(world: 'SoakWorld', rng: random.Random) -> None:
    """Have the store refuse, reset, swallow or lose calls for a while."""
    faults = (
        StoreFault.BUSY,
        StoreFault.RESET,
        StoreFault.SILENT,
        StoreFault.LOST,
    )
    with world.store_trouble():
        world.store.fault = rng.choice(faults)
        await asyncio.sleep(_span_s(rng))
        world.store.fault = StoreFault.NONE


@fault
async def store_slow(world: 'SoakWorld', rng: random.Random) -> None:
    """Have the store take long."""
    with world.store_trouble():
        world.store.delay_s = rng.uniform(0.05, 0.4)
        await asyncio.sleep(_span_s(rng))
        world.store.delay_s = 0


@fault
async def history_lost(world: 'SoakWorld', rng: random.Random) -> None:
    """Have the store forget all but the newest of each key."""
    for topic in world.store.topic_by_name.values():
        topic.compact()
    await asyncio.sleep(rng.random())


@fault
async def store_link(world: 'SoakWorld', rng: random.Random) -> None:
    """Delay, reset or cut the way to the store, one way or both."""
    with world.store_trouble():
        await _harm(world.store_proxy, rng)


@fault
async def replica_link(world: 'SoakWorld', rng: random.Random) -> None:
    """Delay, reset or cut the way to one replica."""
    with world.replica_trouble():
        await _harm(rng.choice(list(world.replica_proxies.values())), rng)


@fault
async def wrong_answers(world: 'SoakWorld', rng: random.Random) -> None:
    """Have replicas answer wrongly a few times."""
    for replica in world.replicas.values():
        kinds = [one for one in ReplicaFault if one is not ReplicaFault.SILENT]
        replica.faults.extend(rng.choice(kinds) for _ in range(3))
    await asyncio.sleep(_span_s(rng))


@fault
async def killed(world: 'SoakWorld', rng: random.Random) -> None:
    """Kill a daemon and start it again."""
    daemon = rng.choice(world.daemons)
    daemon.note_hurt()
    daemon.signal(signal.SIGKILL)
    await daemon.wait_until_ended(STOP_GRACE_S)
    await asyncio.sleep(rng.random())
    daemon.start(world.seeds)
    await daemon.wait_until_ready()


@fault
async def paused(world: 'SoakWorld', rng: random.Random) -> None:
    """Let a daemon stand still for a while."""
    daemon = rng.choice(world.daemons)
    daemon.note_hurt()
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.5, 7))
    daemon.signal(signal.SIGCONT)
    daemon.note_hurt()


@fault
async def stopped(world: 'SoakWorld', rng: random.Random) -> None:
    """Stop a daemon as planned and start it again."""
    daemon = rng.choice(world.daemons)
    if daemon.is_stopping or daemon.is_paused or not daemon.is_running:
        return
    daemon.is_stopping = True
    daemon.signal(signal.SIGTERM)
    has_ended = await daemon.wait_until_ended(STOP_GRACE_S + 1)
    if not has_ended and not daemon.is_paused:
        world.found.append(f'{daemon.name}: still runs after its grace time')
    daemon.end()
    await asyncio.sleep(rng.random())
    daemon.start(world.seeds)
    await daemon.wait_until_ready()


@fault
async def key_withdrawn(world: 'SoakWorld', rng: random.Random) -> None:
    """Give callers a key, then take it away while they use it.

    Mostly no daemon reaches the store when that happens.
    """
    key = f'gone-{world.version}'
    await world.put_configuration([key])
    await asyncio.sleep(1)
    for caller in world.callers:
        caller.keys.append(key)
    await asyncio.sleep(1)
    with world.store_trouble():
        world.store_proxy.link.is_backward_cut = rng.random() < CUT_SHARE
        await world.put_configuration([])
        now_s = asyncio.get_running_loop().time()
        world.evidence.withdrawn_s_by_key[key] = now_s
        await asyncio.sleep(8)
        world.store_proxy.link.heal()
    await asyncio.sleep(2)
    for caller in world.callers:
        caller.keys.remove(key)


@fault
async def replica_leaves(world: 'SoakWorld', rng: random.Random) -> None:
    """Have a replica drain and leave; another comes in its place."""
    staying = set(world.replicas) - set(world.evidence.left_s_by_replica)
    name = rng.choice(sorted(staying))
    service = 'plain' if name.startswith('p') else 'model'
    await world.add_replica(f'{name}x', service)
    entry = world.entry(name, service)
    await world.store.put(REPLICAS_TOPIC, name, {**entry, 'state': 'draining'})
    world.note_left(name)
    await asyncio.sleep(5)
    await world.store.put_raw(REPLICAS_TOPIC, name, b'')
    world.drop_replica(name)


@fault
async def foreign_entry(world: 'SoakWorld', rng: random.Random) -> None:
    """Store entries that name no replica."""
    raw = rng.choice((b'\xff', b'null', b'{"service":1}', b'[]'))
    await world.store.put_raw(REPLICAS_TOPIC, f'foreign-{rng.random()}', raw)
    await world.store.put_raw(OPERATOR_TOPIC, 'other', raw)


async def _harm(proxy: 'Proxy', rng: random.Random) -> None:
    link = proxy.link
    kind = rng.choice(('delay', 'reset', 'forward', 'backward', 'refuse'))
    link.delay_s = rng.uniform(0.02, 0.3) if kind == 'delay' else 0
    link.is_forward_cut = kind == 'forward'
    link.is_backward_cut = kind == 'backward'
    link.refuses = kind == 'refuse'
    if kind in {'reset', 'refuse'}:
        proxy.reset()
    await asyncio.sleep(_span_s(rng))
    link.heal()
