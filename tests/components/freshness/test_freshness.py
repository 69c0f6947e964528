"""Detection of pauses and refusal of requests until the table is current."""

import pathlib
import time
from collections.abc import Iterator

import pytest
import urllib3

from marigoldhoist.components.freshness.pauses import PauseDetector
from tools.world.caller import Caller
from tools.world.daemons import DaemonProcesses
from tools.world.samples import make_table_change
from tools.world.world import World, wait_until

HOST = 'entry-1'
DOMAIN = 'zg-trnje'
FREEZE_S = 1.5
LOG_DELAY_S = 0.5
SMALL = 'pult-model/small'
LARGE = 'pult-model/large'


class FakeClock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.now_s: float = 0

    def now_ms(self) -> int:
        """Return wall-clock time in milliseconds since 1970."""
        return 0

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds."""
        return self.now_s


class TestPauseDetector:
    """A gap between ticks makes the state stale until the pause is ended."""

    def test_stale_before_the_next_tick(self) -> None:
        clock = FakeClock()
        pauses = PauseDetector(clock)
        clock.now_s = 0.9
        assert not pauses.is_stale
        clock.now_s = 1.1
        assert pauses.is_stale

    def test_stays_stale_until_the_pause_is_ended(self) -> None:
        clock = FakeClock()
        pauses = PauseDetector(clock)
        clock.now_s = 5
        assert pauses.tick()
        clock.now_s = 5.1
        assert pauses.tick()
        assert pauses.is_stale
        pauses.end_pause()
        assert not pauses.is_stale


class TestFrozenDaemon:
    """A frozen daemon must not route to a version withdrawn meanwhile."""

    @pytest.fixture
    def world(self) -> Iterator[World]:
        """Start the fake log and one fake engine."""
        with World() as started:
            started.add_engine('engine-1', DOMAIN, SMALL, LARGE)
            yield started

    @pytest.fixture
    def daemons(
        self, world: World, tmp_path: pathlib.Path
    ) -> Iterator[DaemonProcesses]:
        """Start a daemon in its own process."""
        with DaemonProcesses(world, tmp_path) as started:
            started.start(HOST, DOMAIN)
            yield started

    def test_withdrawal_while_frozen(
        self, world: World, daemons: DaemonProcesses
    ) -> None:
        caller = daemons.caller(HOST)
        wait_until(lambda: _is_served(caller), 'an answer')
        daemons.processes.freeze(HOST)
        # The pending log read ends without the change; the next one is slow.
        time.sleep(FREEZE_S)
        world.log.faults.delay_s = LOG_DELAY_S
        row = {'state': 'withdrawn'}
        world.change_table(
            make_table_change({f'version/{SMALL}': row}, base_revision=0)
        )
        served_before = len(world.engines_by_host['engine-1'].served)
        daemons.processes.thaw(HOST)
        for _ in range(20):
            caller.chat()
        wait_until(lambda: _is_served(caller), 'an answer after the pause')
        served = world.engines_by_host['engine-1'].served[served_before:]
        assert {request.serving for request in served} == {LARGE}


def _is_served(caller: Caller) -> bool:
    try:
        return caller.chat().status == 200
    except urllib3.exceptions.HTTPError:
        return False
