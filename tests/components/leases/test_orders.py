"""Orders of paused holders, to engines that check and that do not."""

import dataclasses
from collections.abc import Iterator

import pytest
from result import Err, Ok

from marigoldhoist.components.leases.const import LARGEST_PAUSE_S
from marigoldhoist.components.leases.order_models import OrderKind
from marigoldhoist.components.leases.orders import OrderSender
from marigoldhoist.core.verdict import Verdict
from tests.components.leases.test_keeper import (
    LONGER_THAN_PATIENCE_S,
    TTL_S,
    Contest,
)
from tools.standins.engine import EngineFaults, EngineServer
from tools.world.addresses import next_address


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where the engine under test listens."""

    host: str
    address: str
    port: int


class Shop:
    """An engine and two holders of a lease, of whom the first was paused."""

    def __init__(self) -> None:
        self.engine = EngineServer(next_address(), 0)
        self.engine.server.start()
        server = self.engine.server
        self.address = Address('engine-1', server.address, server.port)
        self.contest = Contest()
        self.sender = OrderSender()
        self.contest.first.step()

    def send(self, kind: OrderKind, first: bool) -> Ok[object] | Err[object]:
        """Send an order under one of the two leases."""
        contender = self.contest.first if first else self.contest.second
        return self.sender.send(
            self.address, kind, 'pult-model/small', contender.handle
        )

    def hand_over(self) -> None:
        """Let the second holder win the lease while the first is paused."""
        self.contest.second.step()
        self.contest.pass_time(LONGER_THAN_PATIENCE_S)
        self.contest.second.step()

    def keep_for(self, seconds: float) -> None:
        """Let the second holder keep its lease for a while."""
        for _ in range(int(seconds) + 1):
            self.contest.pass_time(1)
            self.contest.second.step()


class UnawareHandle:
    """A lease as its paused holder sees it between check and send."""

    name = 'rollout'
    ttl_s = TTL_S
    held_s = 1000

    def __init__(self, fence: int) -> None:
        self.fence = fence


@pytest.fixture
def shop() -> Iterator[Shop]:
    """Return a shop and stop its engine at the end."""
    started = Shop()
    yield started
    started.engine.server.stop()


class TestCheckingEngine:
    """An engine that checks fencing numbers."""

    def test_takes_orders_of_the_holder_only(self, shop: Shop) -> None:
        assert isinstance(shop.send(OrderKind.DRAIN, first=True), Ok)
        shop.hand_over()
        assert isinstance(shop.send(OrderKind.DRAIN, first=False), Ok)
        refused = shop.send(OrderKind.DRAIN, first=True)
        assert isinstance(refused, Err)
        assert len(shop.engine.orders.taken) == 2

    def test_refuses_the_late_order_of_a_paused_holder(
        self, shop: Shop
    ) -> None:
        fence = shop.contest.first.handle.fence
        assert fence is not None
        shop.hand_over()
        shop.send(OrderKind.DRAIN, first=False)
        late = shop.sender.send(
            shop.address,
            OrderKind.CHANGE_ROLE,
            'prefill',
            UnawareHandle(fence),
        )
        assert isinstance(late, Err)
        assert late.err_value.verdict is Verdict.NOT_RUN
        assert [one.kind for one in shop.engine.orders.taken] == [
            OrderKind.DRAIN
        ]


class TestIgnoringEngine:
    """An engine that ignores fencing numbers."""

    def test_gets_repeat_safe_orders_at_once(self, shop: Shop) -> None:
        shop.engine.faults = EngineFaults(is_fencing_ignored=True)
        assert isinstance(shop.send(OrderKind.LOAD_MODEL, first=True), Ok)

    def test_gets_others_when_no_pause_can_outlast(self, shop: Shop) -> None:
        shop.engine.faults = EngineFaults(is_fencing_ignored=True)
        shop.hand_over()
        withheld = shop.send(OrderKind.DRAIN, first=False)
        assert isinstance(withheld, Err)
        assert not shop.engine.orders.taken
        shop.keep_for(TTL_S + LARGEST_PAUSE_S)
        assert isinstance(shop.send(OrderKind.DRAIN, first=False), Ok)


class TestFailure:
    """An order that nobody took."""

    def test_stopped_engine(self, shop: Shop) -> None:
        shop.engine.server.stop()
        failed = shop.send(OrderKind.DRAIN, first=True)
        assert isinstance(failed, Err)
