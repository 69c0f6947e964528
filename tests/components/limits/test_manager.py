"""Tests of limits across daemons that lend quota to each other."""

import time

from marigoldhoist.components.limits.const import (
    LOAN_DURATION_S,
    MAX_CLOCK_SKEW_S,
    RETAINED_QUOTA_FRACTION,
)
from marigoldhoist.components.limits.manager import LimitManager
from marigoldhoist.components.limits.models import LoanRequest
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
DAEMON_COUNT = 4
RATE_PER_S = 40.0
RUN_S = 60
TICKS_PER_S = 100
NO_USAGE: tuple[int, float] = (0, 0)
EVEN_RATES = (RATE_PER_S, RATE_PER_S, RATE_PER_S, RATE_PER_S)
ONE_BUSY_RATES = (RATE_PER_S * 2, 0, 0, 0)
MIN_UTILIZATION = 0.9


def table(**limits: float) -> TableState:
    """Return a table with a workspace that has the limits."""
    columns = LimitColumns(**limits)  # type: ignore[arg-type]
    return TableState(
        revision=0,
        rows_by_key={
            'workspace/bench': StoredRow(0, WorkspaceRow((), limits=columns)),
            'model/pult-model': StoredRow(0, ModelRow({})),
        },
    )


def count_daemons() -> int:
    """Return the number of daemons in the fleet."""
    return DAEMON_COUNT


class Fleet:
    """Four daemons that share the limits of one table."""

    def __init__(self, state: TableState) -> None:
        self.clock = FakeClock()
        self.state = state
        self.managers = [
            LimitManager(self.clock, count_daemons) for _ in range(DAEMON_COUNT)
        ]
        self.admitted = [0 for _ in self.managers]

    def run(
        self, rates: tuple[float, ...], run_s: int, is_partitioned: bool = False
    ) -> None:
        """Send requests at each daemon's rate and end them immediately."""
        self.admitted = [0 for _ in self.managers]
        due: list[float] = [0 for _ in self.managers]
        for tick in range(run_s * TICKS_PER_S):
            self.clock.time_s += 1 / TICKS_PER_S
            for number, rate in enumerate(rates):
                due[number] += rate / TICKS_PER_S
                while due[number] >= 1:
                    due[number] -= 1
                    self._send(number)
            if tick % TICKS_PER_S == 0 and not is_partitioned:
                self.exchange()

    def exchange(self) -> None:
        """Let every daemon request loans from all others."""
        for borrower in self.managers:
            missing_by_key = borrower.loan_request(self.state).amount_by_key
            request = LoanRequest(
                {key: missing / 3 for key, missing in missing_by_key.items()}
            )
            for lender in self.managers:
                if lender is not borrower:
                    for loan in lender.lend(request, self.state):
                        borrower.borrow(loan)

    def _send(self, number: int) -> None:
        manager = self.managers[number]
        if manager.admit(REQUEST, self.state) is None:
            self.admitted[number] += 1
            manager.settle(REQUEST, self.state, NO_USAGE)


class TestRequestRate:
    """The request rate limit holds in sum, whichever daemons are busy."""

    def test_one_busy_daemon_gets_most_of_the_limit(self) -> None:
        fleet = Fleet(table(requests_per_s=RATE_PER_S))
        fleet.run(ONE_BUSY_RATES, run_s=20)
        fleet.run(ONE_BUSY_RATES, RUN_S)
        rate = fleet.admitted[0] / RUN_S
        assert (
            RATE_PER_S * (1 - RETAINED_QUOTA_FRACTION) * MIN_UTILIZATION
            <= rate
            <= RATE_PER_S
        )

    def test_even_overload_stays_within_the_limit(self) -> None:
        fleet = Fleet(table(requests_per_s=RATE_PER_S))
        fleet.run(EVEN_RATES, run_s=20)
        fleet.run(EVEN_RATES, RUN_S)
        assert sum(fleet.admitted) <= RATE_PER_S * RUN_S
        assert sum(fleet.admitted) >= RATE_PER_S * RUN_S * MIN_UTILIZATION

    def test_partitioned_daemon_keeps_its_quota(self) -> None:
        fleet = Fleet(table(requests_per_s=RATE_PER_S))
        fleet.run(ONE_BUSY_RATES, run_s=20)
        fleet.run(
            ONE_BUSY_RATES, int(LOAN_DURATION_S + MAX_CLOCK_SKEW_S) + 1, True
        )
        fleet.run(EVEN_RATES, RUN_S, is_partitioned=True)
        quota = RATE_PER_S * RUN_S / DAEMON_COUNT
        assert min(fleet.admitted) >= quota * MIN_UTILIZATION
        assert sum(fleet.admitted) <= RATE_PER_S * RUN_S + RATE_PER_S * 2


class TestOtherLimits:
    """Limits of concurrency, tokens and spend."""

    def test_concurrency_limit(self) -> None:
        manager = LimitManager(FakeClock(), lambda: 1)
        state = table(concurrent=8)
        admitted = [manager.admit(REQUEST, state) for _ in range(10)]
        # A new daemon uses a quarter of its quota until earlier loans expire.
        assert admitted.count(None) == 2
        manager.settle(REQUEST, state, NO_USAGE)
        assert manager.admit(REQUEST, state) is None

    def test_tokens_are_charged_after_the_fact(self) -> None:
        clock = FakeClock()
        manager = LimitManager(clock, lambda: 1)
        state = table(tokens_per_s=100)
        manager.admit(REQUEST, state)
        clock.time_s += 10
        manager.settle(REQUEST, state, (1200, 0))
        wait_s = manager.admit(REQUEST, state)
        assert wait_s is not None
        clock.time_s += wait_s
        assert manager.admit(REQUEST, state) is None

    def test_spend_stays_within_the_daily_limit(self) -> None:
        clock = FakeClock()
        manager = LimitManager(clock, lambda: 1)
        state = table(spend_per_day=24)
        spent = 0
        for _ in range(24 * 60):
            clock.time_s += 60
            if manager.admit(REQUEST, state) is None:
                spent += 1
                manager.settle(REQUEST, state, (0, 1.0))
        assert 20 <= spent <= 26
