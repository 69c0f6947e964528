"""Leases through pauses, lost answers and restarts."""

import pytest

from marigoldhoist.components.leases.fold import LeaseFold
from marigoldhoist.components.leases.keeper import LeaseHandle
from marigoldhoist.components.leases.models import LeaseAction, LeaseRecord
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from tests.fakes import FakeClock, FakeLog, Fault
from tools.standins.log import LogStore

NAME = 'rollout'
TTL_S = 10
LONGER_THAN_PATIENCE_S = 22


class Contender:
    """A process that wants the lease; its clock can run on its own."""

    def __init__(self, store: LogStore, holder: str, clock: FakeClock) -> None:
        self.clock = clock
        self.log = FakeLog(store)
        self.fold = LeaseFold()
        self.log.feeds_by_stream[TABLE_STREAM].add_fold(self.fold.apply)
        wanted = LeaseRecord(NAME, holder, LeaseAction.ACQUIRE, TTL_S * 1000)
        self.handle = LeaseHandle(self.log, self.fold, wanted, clock)

    def step(self) -> None:
        """Read the log to its end and act."""
        self.log.follow(TABLE_STREAM)
        self.handle.step()


class Contest:
    """Two processes, one log, one true time."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.store = LogStore(clock=self.clock)
        self.first = Contender(self.store, 'first', self.clock)
        self.second = Contender(self.store, 'second', self.clock)

    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.time_s += seconds

    @property
    def holders(self) -> tuple[bool, bool]:
        """Tell who believes to hold the lease."""
        return self.first.handle.is_held, self.second.handle.is_held


@pytest.fixture
def contest() -> Contest:
    """Return a contest that the first contender has won."""
    started = Contest()
    started.first.step()
    started.second.step()
    assert started.holders == (True, False)
    return started


class TestLease:
    """At most one process may act, and the lease moves on."""

    def test_renewal_keeps_it(self, contest: Contest) -> None:
        fence = contest.first.handle.fence
        for _ in range(20):
            contest.pass_time(TTL_S / 3)
            contest.first.step()
            contest.second.step()
        assert contest.holders == (True, False)
        assert contest.first.handle.fence == fence

    def test_paused_holder_loses_it_to_a_higher_fence(
        self, contest: Contest
    ) -> None:
        fence = contest.first.handle.fence
        assert fence is not None
        contest.pass_time(LONGER_THAN_PATIENCE_S)
        contest.second.step()
        assert contest.holders == (False, True)
        assert contest.second.handle.fence is not None
        assert contest.second.handle.fence > fence
        contest.first.step()
        contest.first.step()
        assert contest.holders == (False, True)

    def test_holder_stops_before_the_log_lets_another_in(
        self, contest: Contest
    ) -> None:
        contest.pass_time(TTL_S * 0.95)
        contest.second.step()
        assert contest.holders == (False, False)

    def test_fast_clock_of_a_contender_takes_nothing(
        self, contest: Contest
    ) -> None:
        hurried = FakeClock()
        other = Contender(contest.store, 'other', hurried)
        other.step()
        hurried.time_s += 1000
        other.step()
        assert not other.handle.is_held
        assert contest.first.handle.is_held

    def test_expired_lease_without_contender_is_renewed(
        self, contest: Contest
    ) -> None:
        fence = contest.first.handle.fence
        contest.pass_time(TTL_S * 3)
        contest.first.step()
        assert contest.first.handle.fence == fence

    def test_release_hands_it_on_at_once(self, contest: Contest) -> None:
        contest.first.handle.release()
        assert contest.holders == (False, False)
        contest.second.step()
        assert contest.holders == (False, True)

    def test_lost_answer_gives_no_lease_until_read_back(self) -> None:
        contest = Contest()
        contest.first.log.fault = Fault.ANSWER_LOST
        contest.first.step()
        assert not contest.first.handle.is_held
        contest.second.step()
        contest.first.log.fault = Fault.NONE
        contest.first.step()
        assert contest.holders == (True, False)

    def test_second_copy_of_a_claim_takes_nothing(self) -> None:
        contest = Contest()
        contest.first.step()
        claim = contest.store.entries(TABLE_STREAM)[0].record
        contest.first.handle.release()
        contest.store.append(TABLE_STREAM, (claim,))
        contest.second.step()
        assert contest.holders == (False, True)

    def test_log_clock_that_steps_back_lets_nobody_in(
        self, contest: Contest
    ) -> None:
        contest.pass_time(-500)
        contest.first.step()
        contest.pass_time(500 + TTL_S / 2)
        late = Contender(contest.store, 'late', contest.clock)
        late.log.follow(TABLE_STREAM)
        lease = late.fold.lease(NAME)
        assert lease is not None
        assert lease.holder == 'first'
        assert lease.expires_ms >= contest.clock.now_ms()

    def test_snapshot_keeps_leases(self, contest: Contest) -> None:
        restored = LeaseFold()
        restored.restore(contest.first.fold.dump())
        assert restored.state == contest.first.fold.state
