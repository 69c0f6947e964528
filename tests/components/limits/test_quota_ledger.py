"""Tests of quotas with lost, late and duplicate loans and partitions."""

import dataclasses

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marigoldhoist.components.limits.const import (
    LOAN_DURATION_S,
    MAX_CLOCK_SKEW_S,
    RETAINED_QUOTA_FRACTION,
)
from marigoldhoist.components.limits.quota_ledger import Loan, QuotaLedger

DAEMON_COUNT = 4
ROUNDING = 1e-9
DAEMON_NUMBERS = strategies.integers(0, DAEMON_COUNT - 1)
LONG_AGO_S = -1000
SKEW_FRACTIONS = (0, 0.9, 0, 0.5)
FRACTIONS = strategies.floats(0, 1)


@dataclasses.dataclass(frozen=True, slots=True)
class LoanMessage:
    """A loan in transit."""

    loan_id: str
    receiver: int
    loan: Loan


class QuotaMachine(RuleBasedStateMachine):
    """Daemons with skewed clocks, on a network that delays and duplicates."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 100
        self.skews_s = [
            MAX_CLOCK_SKEW_S * fraction for fraction in SKEW_FRACTIONS
        ]
        self.ledgers = [QuotaLedger(0) for _ in range(DAEMON_COUNT)]
        self.sent: list[LoanMessage] = []

    def clock_s(self, number: int) -> float:
        """Return the wall time at a daemon, in seconds."""
        return self.now_s + self.skews_s[number]

    @rule(
        lender=DAEMON_NUMBERS,
        borrower=DAEMON_NUMBERS,
        requested=FRACTIONS,
        demand=FRACTIONS,
    )
    def lend(
        self, lender: int, borrower: int, requested: float, demand: float
    ) -> None:
        """Send a loan to another daemon, without delivering it."""
        if lender == borrower:
            return
        loan = self.ledgers[lender].lend(
            requested, demand, DAEMON_COUNT, self.clock_s(lender)
        )
        if loan is not None:
            self.sent.append(LoanMessage(str(len(self.sent)), borrower, loan))

    @rule(data=strategies.data())
    def receive(self, data: strategies.DataObject) -> None:
        """Deliver any loan sent so far, perhaps late or repeatedly."""
        if self.sent:
            message = data.draw(strategies.sampled_from(self.sent))
            self.ledgers[message.receiver].borrow(
                message.loan_id, message.loan, self.clock_s(message.receiver)
            )

    @rule(elapsed_s=strategies.floats(0, LOAN_DURATION_S * 2))
    def wait(self, elapsed_s: float) -> None:
        """Advance the clock."""
        self.now_s += elapsed_s

    @rule(number=DAEMON_NUMBERS)
    def restart(self, number: int) -> None:
        """Restart a daemon, which forgets its loans."""
        self.ledgers[number] = QuotaLedger(self.clock_s(number))

    @invariant()
    def shares_never_exceed_the_limit(self) -> None:
        """Check that the shares in use do not exceed the limit in sum."""
        assert sum(self.shares()) <= 1 + ROUNDING

    @invariant()
    def retained_quota_is_never_lent(self) -> None:
        """Check that every daemon keeps the retained part of its quota."""
        assert (
            min(self.shares())
            >= RETAINED_QUOTA_FRACTION / DAEMON_COUNT - ROUNDING
        )

    def shares(self) -> list[float]:
        """Return the share of each daemon at its own clock."""
        return [
            ledger.share(DAEMON_COUNT, self.clock_s(number))
            for number, ledger in enumerate(self.ledgers)
        ]


TestQuotaMachine = QuotaMachine.TestCase


class TestQuotaLedger:
    """Shares of a daemon that lends, borrows or has just started."""

    def test_unused_quota_is_lent(self) -> None:
        lender = QuotaLedger(LONG_AGO_S)
        borrower = QuotaLedger(LONG_AGO_S)
        loan = lender.lend(1, 0, DAEMON_COUNT, now_s=0)
        assert loan is not None
        borrower.borrow('1', loan, now_s=0)
        assert (
            borrower.share(DAEMON_COUNT, 0)
            == (2 - RETAINED_QUOTA_FRACTION) / DAEMON_COUNT
        )

    def test_own_demand_is_not_lent(self) -> None:
        assert QuotaLedger(LONG_AGO_S).lend(1, 1, DAEMON_COUNT, now_s=0) is None

    def test_partitioned_daemon_recovers_its_quota(self) -> None:
        ledger = QuotaLedger(LONG_AGO_S)
        ledger.lend(1, 0, DAEMON_COUNT, now_s=0)
        assert (
            ledger.share(DAEMON_COUNT, 0)
            == RETAINED_QUOTA_FRACTION / DAEMON_COUNT
        )
        assert (
            ledger.share(DAEMON_COUNT, LOAN_DURATION_S + MAX_CLOCK_SKEW_S)
            == 1 / DAEMON_COUNT
        )

    def test_new_daemon_waits_for_previous_loans_to_expire(self) -> None:
        ledger = QuotaLedger(0)
        assert (
            ledger.share(DAEMON_COUNT, 0)
            == RETAINED_QUOTA_FRACTION / DAEMON_COUNT
        )
        assert ledger.lend(1, 0, DAEMON_COUNT, now_s=0) is None
        assert (
            ledger.share(DAEMON_COUNT, LOAN_DURATION_S + MAX_CLOCK_SKEW_S)
            == 1 / DAEMON_COUNT
        )

    def test_fewer_daemons_have_larger_quotas(self) -> None:
        assert QuotaLedger(LONG_AGO_S).share(DAEMON_COUNT - 1, 0) == 1 / (
            DAEMON_COUNT - 1
        )
