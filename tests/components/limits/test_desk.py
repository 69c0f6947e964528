"""Limits between daemons that lend to each other."""

import time

from marigoldhoist.components.limits.const import (
    KEPT_PART,
    LOAN_S,
    MAX_SKEW_S,
)
from marigoldhoist.components.limits.desk import LimitDesk
from marigoldhoist.components.limits.models import Wants
from marigoldhoist.components.table.models import (
    LimitColumns,
    ModelRow,
    StoredRow,
    WorkspaceRow,
)
from marigoldhoist.components.table.state import TableState
from marigoldhoist.core.exchange import CallerRequest
from tests.fakes import FakeClock

REQUEST = CallerRequest(
    'bench', 'id-1', 'pult-model', b'', deadline_s=time.monotonic() + 60
)
DAEMONS = 4
RATE = 40.0
RUN_S = 60
TICKS_PER_S = 100
NOTHING: tuple[int, float] = (0, 0)
EVEN = (RATE, RATE, RATE, RATE)
ONE_BUSY = (RATE * 2, 0, 0, 0)
FAIR = 0.9


def table(**limits: float) -> TableState:
    """Return a table whose workspace has the limits."""
    columns = LimitColumns(**limits)  # type: ignore[arg-type]
    return TableState(
        revision=0,
        rows_by_key={
            'workspace/bench': StoredRow(0, WorkspaceRow((), limits=columns)),
            'model/pult-model': StoredRow(0, ModelRow({})),
        },
    )


def count_daemons() -> int:
    """Return the daemons of the fleet."""
    return DAEMONS


class Fleet:
    """Four daemons; the first has most of the callers."""

    def __init__(self, state: TableState) -> None:
        self.clock = FakeClock()
        self.state = state
        self.desks = [
            LimitDesk(self.clock, count_daemons) for _ in range(DAEMONS)
        ]
        self.admitted = [0 for _ in self.desks]

    def run(
        self, rates: tuple[float, ...], run_s: int, is_cut: bool = False
    ) -> None:
        """Send requests at each daemon's rate and settle them at once."""
        self.admitted = [0 for _ in self.desks]
        due: list[float] = [0 for _ in self.desks]
        for tick in range(run_s * TICKS_PER_S):
            self.clock.time_s += 1 / TICKS_PER_S
            for number, rate in enumerate(rates):
                due[number] += rate / TICKS_PER_S
                while due[number] >= 1:
                    due[number] -= 1
                    self._send(number)
            if tick % TICKS_PER_S == 0 and not is_cut:
                self.exchange()

    def exchange(self) -> None:
        """Let every daemon ask all the others."""
        for asking in self.desks:
            wants = asking.wants(self.state).amount_by_key
            each = Wants({key: part / 3 for key, part in wants.items()})
            for other in self.desks:
                if other is not asking:
                    for loan in other.lend(each, self.state):
                        asking.borrow(loan)

    def _send(self, number: int) -> None:
        desk = self.desks[number]
        if desk.admit(REQUEST, self.state) is None:
            self.admitted[number] += 1
            desk.settle(REQUEST, self.state, NOTHING)


class TestRequestRate:
    """The rate holds over all daemons, wherever the callers are."""

    def test_one_busy_daemon_gets_most_of_the_limit(self) -> None:
        fleet = Fleet(table(requests_per_s=RATE))
        fleet.run(ONE_BUSY, run_s=20)
        fleet.run(ONE_BUSY, RUN_S)
        rate = fleet.admitted[0] / RUN_S
        assert RATE * (1 - KEPT_PART) * FAIR <= rate <= RATE

    def test_flood_at_all_stays_within_the_limit(self) -> None:
        fleet = Fleet(table(requests_per_s=RATE))
        fleet.run(EVEN, run_s=20)
        fleet.run(EVEN, RUN_S)
        assert sum(fleet.admitted) <= RATE * RUN_S
        assert sum(fleet.admitted) >= RATE * RUN_S * FAIR

    def test_cut_off_daemon_has_its_quota(self) -> None:
        fleet = Fleet(table(requests_per_s=RATE))
        fleet.run(ONE_BUSY, run_s=20)
        fleet.run(ONE_BUSY, int(LOAN_S + MAX_SKEW_S) + 1, True)
        fleet.run(EVEN, RUN_S, is_cut=True)
        quota = RATE * RUN_S / DAEMONS
        assert min(fleet.admitted) >= quota * FAIR
        assert sum(fleet.admitted) <= RATE * RUN_S + RATE * 2


class TestOtherLimits:
    """Concurrency, tokens and spend."""

    def test_concurrency(self) -> None:
        desk = LimitDesk(FakeClock(), lambda: 1)
        state = table(concurrent=8)
        admitted = [desk.admit(REQUEST, state) for _ in range(10)]
        # A new daemon keeps to a quarter of its quota for some seconds.
        assert admitted.count(None) == 2
        desk.settle(REQUEST, state, NOTHING)
        assert desk.admit(REQUEST, state) is None

    def test_tokens_are_charged_after_the_fact(self) -> None:
        clock = FakeClock()
        desk = LimitDesk(clock, lambda: 1)
        state = table(tokens_per_s=100)
        desk.admit(REQUEST, state)
        clock.time_s += 10
        desk.settle(REQUEST, state, (1200, 0))
        wait_s = desk.admit(REQUEST, state)
        assert wait_s is not None
        clock.time_s += wait_s
        assert desk.admit(REQUEST, state) is None

    def test_spend_stops_at_the_day(self) -> None:
        clock = FakeClock()
        desk = LimitDesk(clock, lambda: 1)
        state = table(spend_per_day=24)
        spent = 0
        for _ in range(24 * 60):
            clock.time_s += 60
            if desk.admit(REQUEST, state) is None:
                spent += 1
                desk.settle(REQUEST, state, (0, 1.0))
        assert 20 <= spent <= 26
