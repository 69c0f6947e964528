"""Stateful test of leases with pauses, lost replies and slow clocks."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marigoldhoist.components.leases.const import TTL_MARGIN_FRACTION
from marigoldhoist.components.leases.order_models import (
    EngineOrder,
    OrderKind,
)
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from tests.components.leases.test_handle import NAME, TTL_S, Contender
from tests.fakes import AppendFault, FakeClock
from tests.machines import state_machine_settings
from tools.model_check.properties import Property
from tools.standins.log import LogStore
from tools.standins.orders import OrderEndpoint

PROCESS_COUNT = 2
CLOCK_JUMP_S = 100
MAX_CLOCK_DRIFT_S = TTL_S * TTL_MARGIN_FRACTION * 0.9

processes = st.integers(0, PROCESS_COUNT - 1)


class LeaseMachine(RuleBasedStateMachine):
    """Two processes compete for a lease and send orders to an engine."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.store = LogStore(clock=self.clock)
        self.contenders = [
            Contender(self.store, f'process {number}', FakeClock())
            for number in range(PROCESS_COUNT)
        ]
        self.clock_offsets_s = [0 for _ in range(PROCESS_COUNT)]
        self.order_endpoint = OrderEndpoint()
        self.fences_in_flight: list[int] = []

    @rule(
        seconds=st.sampled_from((0.5, TTL_S + 0.05, 25)),
        late=processes,
    )
    def pass_time(self, seconds: float, late: int) -> None:
        """Advance the clocks; one falls behind, and the others catch up."""
        self.clock.time_s += seconds
        for number, contender in enumerate(self.contenders):
            lag_s = min(MAX_CLOCK_DRIFT_S, seconds) if number == late else 0
            contender.clock.time_s = (
                self.clock.time_s + self.clock_offsets_s[number] - lag_s
            )

    @rule(process=processes, fault=st.sampled_from(AppendFault))
    def acquire_after_clock_jump(
        self, process: int, fault: AppendFault
    ) -> None:
        """Acquire after a clock jump, which makes every lease look expired."""
        contender = self.contenders[process]
        contender.step()
        self.clock_offsets_s[process] += CLOCK_JUMP_S
        contender.clock.time_s += CLOCK_JUMP_S
        contender.log.fault = fault
        contender.step()

    @rule(
        process=processes,
        fault=st.sampled_from(AppendFault),
        lags=st.booleans(),
    )
    def step(self, process: int, fault: AppendFault, lags: bool) -> None:
        """Renew or acquire, perhaps with an outdated view of the log."""
        contender = self.contenders[process]
        contender.log.fault = fault
        if not lags:
            contender.log.follow(TABLE_STREAM)
        contender.handle.renew_or_acquire()

    @rule(process=processes)
    def release(self, process: int) -> None:
        """Release the lease, then compete for it again."""
        handle = self.contenders[process].handle
        handle.release()
        handle.released.clear()

    @rule()
    def create_orders(self) -> None:
        """Create an order at each process that considers the lease held."""
        for contender in self.contenders:
            fence = contender.handle.fence
            if fence is not None:
                self.fences_in_flight.append(fence)

    @rule()
    def deliver_out_of_order(self) -> None:
        """Deliver the newest order to the engine, then the oldest."""
        for fence in (*self.fences_in_flight[-1:], *self.fences_in_flight[:1]):
            order = EngineOrder('', OrderKind.DRAIN, '', NAME, fence)
            self.order_endpoint.accept(order, is_fencing_ignored=False)

    @invariant()
    def at_most_one_holder(self) -> None:
        """Check that at most one process considers the lease held."""
        held = [
            contender
            for contender in self.contenders
            if contender.handle.is_held
        ]
        assert len(held) <= 1, Property.ONE_HOLDER_ACTS

    @invariant()
    def fences_never_decrease(self) -> None:
        """Check that accepted orders have non-decreasing fencing tokens."""
        fences = [order.fence for order in self.order_endpoint.accepted]
        assert fences == sorted(fences), Property.ORDERS_IN_FENCE_ORDER


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = state_machine_settings(200, 30)
