"""Tests of lease handles through pauses, lost replies and clock steps."""

import pytest

from marigoldhoist.components.leases.handle import LeaseHandle
from marigoldhoist.components.leases.models import LeaseAction, LeaseRecord
from marigoldhoist.components.leases.state_machine import LeaseStateMachine
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from tests.fakes import AppendFault, FakeClock, FakeLog
from tools.standins.log import LogStore

NAME = 'rollout'
TTL_S = 10
LONGER_THAN_EXPIRY_WAIT_S = 22


class Contender:
    """A process that tries to hold the lease, with a clock of its own."""

    def __init__(self, store: LogStore, holder: str, clock: FakeClock) -> None:
        self.clock = clock
        self.log = FakeLog(store)
        self.state_machine = LeaseStateMachine()
        self.log.feeds_by_stream[TABLE_STREAM].add_fold(
            self.state_machine.apply
        )
        request = LeaseRecord(NAME, holder, LeaseAction.ACQUIRE, TTL_S * 1000)
        self.handle = LeaseHandle(self.log, self.state_machine, request, clock)

    def step(self) -> None:
        """Catch up with the log, then renew or acquire."""
        self.log.follow(TABLE_STREAM)
        self.handle.renew_or_acquire()


class ContenderPair:
    """Two processes with one log and one clock."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.store = LogStore(clock=self.clock)
        self.first = Contender(self.store, 'first', self.clock)
        self.second = Contender(self.store, 'second', self.clock)

    def pass_time(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.time_s += seconds

    @property
    def holders(self) -> tuple[bool, bool]:
        """Return for each process whether it considers the lease held."""
        return self.first.handle.is_held, self.second.handle.is_held


@pytest.fixture
def pair() -> ContenderPair:
    """Return a pair of which the first process holds the lease."""
    started = ContenderPair()
    started.first.step()
    started.second.step()
    assert started.holders == (True, False)
    return started


class TestLease:
    """At most one process holds the lease; others acquire it after expiry."""

    def test_renewal_keeps_the_fencing_token(self, pair: ContenderPair) -> None:
        fence = pair.first.handle.fence
        for _ in range(20):
            pair.pass_time(TTL_S / 3)
            pair.first.step()
            pair.second.step()
        assert pair.holders == (True, False)
        assert pair.first.handle.fence == fence

    def test_paused_holder_is_replaced(self, pair: ContenderPair) -> None:
        fence = pair.first.handle.fence
        assert fence is not None
        pair.pass_time(LONGER_THAN_EXPIRY_WAIT_S)
        pair.second.step()
        assert pair.holders == (False, True)
        assert pair.second.handle.fence is not None
        assert pair.second.handle.fence > fence
        pair.first.step()
        pair.first.step()
        assert pair.holders == (False, True)

    def test_holder_stops_before_expiry_on_the_log(
        self, pair: ContenderPair
    ) -> None:
        pair.pass_time(TTL_S * 0.95)
        pair.second.step()
        assert pair.holders == (False, False)

    def test_contender_with_fast_clock_is_rejected(
        self, pair: ContenderPair
    ) -> None:
        fast_clock = FakeClock()
        other = Contender(pair.store, 'other', fast_clock)
        other.step()
        fast_clock.time_s += 1000
        other.step()
        assert not other.handle.is_held
        assert pair.first.handle.is_held

    def test_expired_lease_without_contender_is_renewed(
        self, pair: ContenderPair
    ) -> None:
        fence = pair.first.handle.fence
        pair.pass_time(TTL_S * 3)
        pair.first.step()
        assert pair.first.handle.fence == fence

    def test_released_lease_is_available_at_once(
        self, pair: ContenderPair
    ) -> None:
        pair.first.handle.release()
        assert pair.holders == (False, False)
        pair.second.step()
        assert pair.holders == (False, True)

    def test_lost_reply_grants_no_lease_until_renewed(self) -> None:
        pair = ContenderPair()
        pair.first.log.fault = AppendFault.ANSWER_LOST
        pair.first.step()
        assert not pair.first.handle.is_held
        pair.second.step()
        pair.first.log.fault = AppendFault.NONE
        pair.first.step()
        assert pair.holders == (True, False)

    def test_duplicate_acquisition_is_rejected(self) -> None:
        pair = ContenderPair()
        pair.first.step()
        acquisition = pair.store.entries(TABLE_STREAM)[0].record
        pair.first.handle.release()
        pair.store.append(TABLE_STREAM, (acquisition,))
        pair.second.step()
        assert pair.holders == (False, True)

    def test_log_clock_step_back_expires_no_lease(
        self, pair: ContenderPair
    ) -> None:
        pair.pass_time(-500)
        pair.first.step()
        pair.pass_time(500 + TTL_S / 2)
        late = Contender(pair.store, 'late', pair.clock)
        late.log.follow(TABLE_STREAM)
        lease = late.state_machine.lease(NAME)
        assert lease is not None
        assert lease.holder == 'first'
        assert lease.expires_ms >= pair.clock.now_ms()

    def test_snapshot_keeps_leases(self, pair: ContenderPair) -> None:
        restored = LeaseStateMachine()
        restored.restore(pair.first.state_machine.dump())
        assert restored.state == pair.first.state_machine.state
