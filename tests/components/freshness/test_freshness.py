"""Pauses are noticed, whichever thread runs first afterwards."""

import pathlib
import time
from collections.abc import Iterator

import pytest
import urllib3

from marigoldhoist.components.freshness.pauses import PauseDetector
from tools.world.caller import Caller
from tools.world.daemons import DaemonProcesses
from tools.world.samples import change_of
from tools.world.world import World, wait_until

HOST = 'entry-1'
DOMAIN = 'zg-trnje'
FROZEN_S = 1.5
SLOW_LOG_S = 0.5
SMALL = 'pult-model/small'
LARGE = 'pult-model/large'


class FakeClock:
    """A clock that tests move."""

    def __init__(self) -> None:
        self.now_s: float = 0

    def now_ms(self) -> int:
        """Return wall-clock time in milliseconds since 1970."""
        return 0

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds."""
        return self.now_s


class TestPauseDetector:
    """A gap between ticks is suspect until made good."""

    def test_request_thread_runs_first(self) -> None:
        clock = FakeClock()
        pauses = PauseDetector(clock)
        clock.now_s = 0.9
        assert not pauses.is_suspect
        clock.now_s = 1.1
        assert pauses.is_suspect

    def test_stays_suspect_until_made_good(self) -> None:
        clock = FakeClock()
        pauses = PauseDetector(clock)
        clock.now_s = 5
        assert pauses.tick()
        clock.now_s = 5.1
        assert pauses.tick()
        assert pauses.is_suspect
        pauses.make_good()
        assert not pauses.is_suspect


class TestFrozenDaemon:
    """A daemon that stood still gives no work to a withdrawn version."""

    @pytest.fixture
    def world(self) -> Iterator[World]:
        """Start the stand-ins with one engine."""
        with World() as started:
            started.add_engine('engine-1', DOMAIN, SMALL, LARGE)
            yield started

    @pytest.fixture
    def daemons(
        self, world: World, tmp_path: pathlib.Path
    ) -> Iterator[DaemonProcesses]:
        """Start a daemon as a process of its own."""
        with DaemonProcesses(world, tmp_path) as started:
            started.start(HOST, DOMAIN)
            yield started

    def test_withdrawal_while_frozen(
        self, world: World, daemons: DaemonProcesses
    ) -> None:
        caller = daemons.caller(HOST)
        wait_until(lambda: _is_answered(caller), 'an answer')
        daemons.processes.freeze(HOST)
        # The read under way ends without the change, and the next one is slow.
        time.sleep(FROZEN_S)
        world.log.faults.delay_s = SLOW_LOG_S
        row = {'state': 'withdrawn'}
        world.change_table(
            change_of({f'version/{SMALL}': row}, base_revision=0)
        )
        before = len(world.engines_by_host['engine-1'].served)
        daemons.processes.thaw(HOST)
        for _ in range(20):
            caller.chat()
        wait_until(lambda: _is_answered(caller), 'an answer after the pause')
        served = world.engines_by_host['engine-1'].served[before:]
        assert {one.serving for one in served} == {LARGE}


def _is_answered(caller: Caller) -> bool:
    try:
        return caller.chat().status == 200
    except urllib3.exceptions.HTTPError:
        return False
