"""Shares of a limit, with lost, late and repeated loans and partitions."""

import dataclasses

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marigoldhoist.components.limits.const import (
    KEPT_PART,
    LOAN_S,
    MAX_SKEW_S,
)
from marigoldhoist.components.limits.shares import Loan, ShareBook

DAEMONS = 4
ROUNDING = 1e-9
NUMBERS = strategies.integers(0, DAEMONS - 1)
LONG_AGO_S = -1000
SKEWS = (0, 0.9, 0, 0.5)
PARTS = strategies.floats(0, 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A loan on its way."""

    loan_id: str
    receiver: int
    loan: Loan


class SharesMachine(RuleBasedStateMachine):
    """Daemons whose clocks differ, and messages that the network keeps."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 100
        self.skews_s = [MAX_SKEW_S * part for part in SKEWS]
        self.books = [ShareBook(0) for _ in range(DAEMONS)]
        self.sent: list[Message] = []

    def clock_s(self, number: int) -> float:
        """Return the wall time at a daemon."""
        return self.now_s + self.skews_s[number]

    @rule(lender=NUMBERS, borrower=NUMBERS, wanted=PARTS, demand=PARTS)
    def lend(
        self, lender: int, borrower: int, wanted: float, demand: float
    ) -> None:
        """Lend to another; the message is only sent."""
        if lender == borrower:
            return
        loan = self.books[lender].lend(
            wanted, demand, DAEMONS, self.clock_s(lender)
        )
        if loan is not None:
            self.sent.append(Message(str(len(self.sent)), borrower, loan))

    @rule(data=strategies.data())
    def receive(self, data: strategies.DataObject) -> None:
        """Receive any message sent so far, perhaps late or again."""
        if self.sent:
            message = data.draw(strategies.sampled_from(self.sent))
            self.books[message.receiver].borrow(
                message.loan_id, message.loan, self.clock_s(message.receiver)
            )

    @rule(passed_s=strategies.floats(0, LOAN_S * 2))
    def wait(self, passed_s: float) -> None:
        """Let time pass."""
        self.now_s += passed_s

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        """Replace a daemon; what it lent and borrowed is forgotten."""
        self.books[number] = ShareBook(self.clock_s(number))

    @invariant()
    def never_above_the_limit(self) -> None:
        """Check the sum of the shares in use."""
        assert sum(self.shares()) <= 1 + ROUNDING

    @invariant()
    def never_starved(self) -> None:
        """Check the part that a daemon keeps whatever it lent."""
        assert min(self.shares()) >= KEPT_PART / DAEMONS - ROUNDING

    def shares(self) -> list[float]:
        """Return each daemon's share by its own clock."""
        return [
            book.share(DAEMONS, self.clock_s(number))
            for number, book in enumerate(self.books)
        ]


TestShares = SharesMachine.TestCase


class TestShareBook:
    """What a daemon may use."""

    def test_unused_quota_goes_to_who_asks(self) -> None:
        lender = ShareBook(LONG_AGO_S)
        borrower = ShareBook(LONG_AGO_S)
        loan = lender.lend(1, 0, DAEMONS, now_s=0)
        assert loan is not None
        borrower.borrow('1', loan, now_s=0)
        assert borrower.share(DAEMONS, 0) == (2 - KEPT_PART) / DAEMONS

    def test_own_demand_is_not_lent(self) -> None:
        assert ShareBook(LONG_AGO_S).lend(1, 1, DAEMONS, now_s=0) is None

    def test_cut_off_daemon_has_its_quota_back(self) -> None:
        book = ShareBook(LONG_AGO_S)
        book.lend(1, 0, DAEMONS, now_s=0)
        assert book.share(DAEMONS, 0) == KEPT_PART / DAEMONS
        assert book.share(DAEMONS, LOAN_S + MAX_SKEW_S) == 1 / DAEMONS

    def test_new_daemon_waits_for_its_predecessors_loans(self) -> None:
        book = ShareBook(0)
        assert book.share(DAEMONS, 0) == KEPT_PART / DAEMONS
        assert book.lend(1, 0, DAEMONS, now_s=0) is None
        assert book.share(DAEMONS, LOAN_S + MAX_SKEW_S) == 1 / DAEMONS

    def test_fewer_daemons_have_larger_quotas(self) -> None:
        assert ShareBook(LONG_AGO_S).share(DAEMONS - 1, 0) == 1 / (DAEMONS - 1)
