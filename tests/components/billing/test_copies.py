"""Copies of bills at peers."""

import itertools

import pytest

from marigoldhoist.components.billing.aggregator import BillAggregator
from marigoldhoist.components.billing.const import BILL_KIND
from marigoldhoist.components.billing.copies import HeldCopies
from marigoldhoist.components.billing.models import Bill
from marigoldhoist.components.platform_log.models import LogEntry, new_record
from tests.components.billing.net import (
    DOMAIN_BY_HOST,
    DOMAINS,
    SETTINGS,
    Net,
    bill_of,
)

BILLS_EACH = 5


@pytest.fixture
def net() -> Net:
    """Return a net whose hosts have all copied their bills."""
    started = Net()
    for host in DOMAIN_BY_HOST:
        bills = [bill_of(host, number) for number in range(BILLS_EACH)]
        started.sender(host).send(bills)
    return started


def lost_bills(net: Net, lost: tuple[str, ...]) -> int:
    """Return how many bills are left nowhere when these hosts are lost."""
    left = {
        bill.record_id
        for host, held in net.held_by_host.items()
        if host not in lost
        for bill in _peek(held)
    }
    return sum(
        bill_of(host, number).record_id not in left
        for host in lost
        for number in range(BILLS_EACH)
    )


def _peek(held: HeldCopies) -> tuple[Bill, ...]:
    bills = held.release_all()
    held.take(bills)
    return bills


class TestLoss:
    """What the loss of hosts at once can cost while the log is down."""

    @pytest.mark.parametrize('count', [1, 2])
    def test_as_many_as_there_are_copies_cost_nothing(
        self, net: Net, count: int
    ) -> None:
        for lost in itertools.combinations(DOMAIN_BY_HOST, count):
            assert lost_bills(net, lost) == 0

    def test_one_more_can_cost_their_bills(self, net: Net) -> None:
        worst = max(
            lost_bills(net, lost)
            for lost in itertools.combinations(DOMAIN_BY_HOST, 3)
        )
        assert BILLS_EACH <= worst <= 3 * BILLS_EACH

    @pytest.mark.parametrize('domain', DOMAINS)
    def test_a_failure_domain_costs_nothing(
        self, net: Net, domain: str
    ) -> None:
        lost = tuple(
            host for host, of in DOMAIN_BY_HOST.items() if of == domain
        )
        assert lost_bills(net, lost) == 0


class TestHolder:
    """A holder writes what its owner no longer can."""

    def test_dead_owner(self, net: Net) -> None:
        live = set(DOMAIN_BY_HOST) - {'entry-0'}
        net.now_s = SETTINGS.owner_dead_s + 1
        released = [
            bill
            for host in live
            for bill in net.held_by_host[host].release(live)
        ]
        assert {bill.host for bill in released} == {'entry-0'}
        assert len(released) == SETTINGS.copies * BILLS_EACH

    def test_owner_that_forgot(self, net: Net) -> None:
        net.now_s = SETTINGS.longest_held_s + 1
        held = net.held_by_host['entry-1']
        count = len(held)
        assert count
        assert len(held.release(set(DOMAIN_BY_HOST))) == count

    def test_confirmed_copies_are_dropped(self, net: Net) -> None:
        sender = net.sender('entry-0')
        bill = bill_of('entry-0', BILLS_EACH)
        before = sum(len(held) for held in net.held_by_host.values())
        sender.send([bill])
        sender.withdraw([bill])
        after = sum(len(held) for held in net.held_by_host.values())
        assert after == before

    def test_lost_holder_is_replaced(self, net: Net) -> None:
        sender = net.sender('entry-0')
        bill = bill_of('entry-0', BILLS_EACH)
        sender.send([bill])
        net.down = {sender.ranked()[0]}
        sender.restore([bill])
        left = [
            host
            for host, held in net.held_by_host.items()
            if bill in _peek(held) and host not in net.down
        ]
        assert len(left) == SETTINGS.copies


class TestFold:
    """billed_once: the first copy of a bill counts, others do not."""

    def test_totals(self) -> None:
        bills = [bill_of('entry-0', number) for number in (0, 1, 0)]
        cut = Bill('other', 'r', 'm/v', 3, 0.25, False, 'entry-1')
        fold = BillAggregator()
        for offset, bill in enumerate((*bills, cut)):
            record = new_record(BILL_KIND, bill, bill.record_id)
            fold.apply(LogEntry(offset, 0, record))
        shown = {
            one.workspace: (one.bills, one.cut, one.tokens, one.cost)
            for one in fold.totals()
        }
        assert shown == {'bench': (2, 0, 14, 1.0), 'other': (1, 1, 3, 0.25)}
        assert fold.second_copies == 1
