"""Tests of orders from paused holders, to engines with and without fencing."""

import dataclasses
from collections.abc import Iterator

import pytest
from result import Err, Ok

from marigoldhoist.components.leases.const import MAX_PROCESS_PAUSE_S
from marigoldhoist.components.leases.order_models import OrderKind
from marigoldhoist.components.leases.orders import OrderSender
from marigoldhoist.core.verdict import Verdict
from tests.components.leases.test_handle import (
    LONGER_THAN_EXPIRY_WAIT_S,
    TTL_S,
    ContenderPair,
)
from tools.standins.engine import EngineFaults, EngineServer
from tools.world.addresses import next_address


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address of the engine under test."""

    host: str
    address: str
    port: int


class OrderScenario:
    """An engine and two contenders for a lease, which the first one holds."""

    def __init__(self) -> None:
        self.engine = EngineServer(next_address(), 0)
        self.engine.server.start()
        server = self.engine.server
        self.address = Address('engine-1', server.address, server.port)
        self.pair = ContenderPair()
        self.sender = OrderSender()
        self.pair.first.step()

    def send(self, kind: OrderKind, first: bool) -> Ok[object] | Err[object]:
        """Send an order as the first or the second contender."""
        contender = self.pair.first if first else self.pair.second
        return self.sender.send(
            self.address, kind, 'pult-model/small', contender.handle
        )

    def fail_over(self) -> None:
        """Let the second contender acquire the lease while the first pauses."""
        self.pair.second.step()
        self.pair.pass_time(LONGER_THAN_EXPIRY_WAIT_S)
        self.pair.second.step()

    def renew_for(self, seconds: float) -> None:
        """Let the second contender renew the lease for some seconds."""
        for _ in range(int(seconds) + 1):
            self.pair.pass_time(1)
            self.pair.second.step()


class StaleHandle:
    """A lost lease that its holder, paused before sending, sees as held."""

    name = 'rollout'
    ttl_s = TTL_S
    held_s = 1000

    def __init__(self, fence: int) -> None:
        self.fence = fence


@pytest.fixture
def scenario() -> Iterator[OrderScenario]:
    """Yield a scenario and stop its engine afterwards."""
    started = OrderScenario()
    yield started
    started.engine.server.stop()


class TestFencingEngine:
    """An engine that checks fencing tokens."""

    def test_accepts_only_orders_of_the_holder(
        self, scenario: OrderScenario
    ) -> None:
        assert isinstance(scenario.send(OrderKind.DRAIN, first=True), Ok)
        scenario.fail_over()
        assert isinstance(scenario.send(OrderKind.DRAIN, first=False), Ok)
        refused = scenario.send(OrderKind.DRAIN, first=True)
        assert isinstance(refused, Err)
        assert len(scenario.engine.orders.accepted) == 2

    def test_rejects_a_delayed_order_of_a_paused_holder(
        self, scenario: OrderScenario
    ) -> None:
        fence = scenario.pair.first.handle.fence
        assert fence is not None
        scenario.fail_over()
        scenario.send(OrderKind.DRAIN, first=False)
        late = scenario.sender.send(
            scenario.address,
            OrderKind.CHANGE_ROLE,
            'prefill',
            StaleHandle(fence),
        )
        assert isinstance(late, Err)
        assert late.err_value.verdict is Verdict.NOT_RUN
        assert [order.kind for order in scenario.engine.orders.accepted] == [
            OrderKind.DRAIN
        ]


class TestEngineWithoutFencing:
    """An engine that ignores fencing tokens."""

    def test_receives_repeat_safe_orders_at_once(
        self, scenario: OrderScenario
    ) -> None:
        scenario.engine.faults = EngineFaults(is_fencing_ignored=True)
        assert isinstance(scenario.send(OrderKind.LOAD_MODEL, first=True), Ok)

    def test_receives_other_orders_after_the_max_pause(
        self, scenario: OrderScenario
    ) -> None:
        scenario.engine.faults = EngineFaults(is_fencing_ignored=True)
        scenario.fail_over()
        withheld = scenario.send(OrderKind.DRAIN, first=False)
        assert isinstance(withheld, Err)
        assert not scenario.engine.orders.accepted
        scenario.renew_for(TTL_S + MAX_PROCESS_PAUSE_S)
        assert isinstance(scenario.send(OrderKind.DRAIN, first=False), Ok)


class TestFailure:
    """An order that the engine did not accept."""

    def test_stopped_engine(self, scenario: OrderScenario) -> None:
        scenario.engine.server.stop()
        failed = scenario.send(OrderKind.DRAIN, first=True)
        assert isinstance(failed, Err)
