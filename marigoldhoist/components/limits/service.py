"""The limit service: a stage of every request, and loans between peers."""

import random

import msgspec

from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.dispatch.service import DispatchService
from marigoldhoist.components.dispatch.stages import Outcome, Stage
from marigoldhoist.components.hosts.const import COMPONENT as HOSTS
from marigoldhoist.components.hosts.models import HostRole
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.components.limits.const import (
    ASKED_PEERS,
    EXCHANGE_INTERVAL_S,
    LOANS_TOPIC,
    STAGE_ORDER,
    WANTS_TOPIC,
)
from marigoldhoist.components.limits.desk import LimitDesk
from marigoldhoist.components.limits.models import (
    LimitStatus,
    LoanSent,
    Wants,
)
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.kernel import BaseService, Kernel


class LimitStage(Stage):
    """Refuses requests over a limit before anything else is done."""

    def __init__(self, desk: LimitDesk, table: TableService) -> None:
        self._desk = desk
        self._table = table

    def admit(self, request: CallerRequest) -> RequestFailure | None:
        """Refuse a request over a limit; it did not run."""
        wait_s = self._desk.admit(request, self._table.state)
        if wait_s is None:
            return None
        return RequestFailure(
            ErrorCode.OVER_LIMIT, 'over a limit', retry_after_s=wait_s
        )

    def settle(self, request: CallerRequest, outcome: Outcome) -> None:
        """Count the request out."""
        usage = (outcome.tokens, outcome.cost)
        self._desk.settle(request, self._table.state, usage)


class LimitService(BaseService):
    """Asks some peers for what it lacks, and lends them what it has left."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._hosts = kernel.find(HOSTS, HostService)
        self._peers = kernel.find(PEERS, PeerService)
        self._table = kernel.find(TABLE, TableService)
        self._desk = LimitDesk(SYSTEM_CLOCK, self._count_daemons)
        self._rng = random.Random()
        dispatch = kernel.find(DISPATCH, DispatchService)
        dispatch.add_stage(STAGE_ORDER, LimitStage(self._desk, self._table))

    def start(self) -> None:
        """Answer peers and begin to ask them."""
        self._peers.subscribe(WANTS_TOPIC, self._on_wants)
        self._peers.subscribe(LOANS_TOPIC, self._on_loan)
        self._kernel.spawn('limits', self._exchange)

    def status(self) -> LimitStatus:
        """Return what operators see of the limits."""
        return LimitStatus(self._desk.shares())

    def _count_daemons(self) -> int:
        return max(1, len(self._hosts.with_role(HostRole.DAEMON)))

    def _exchange(self) -> None:
        while not self._kernel.stopping.wait(EXCHANGE_INTERVAL_S):
            wants = self._desk.wants(self._table.state)
            if wants.amount_by_key:
                self._ask(wants)

    def _ask(self, wants: Wants) -> None:
        live = self._peers.linked_peers()
        asked = self._rng.sample(live, min(ASKED_PEERS, len(live)))
        each = {
            key: amount / len(asked)
            for key, amount in wants.amount_by_key.items()
            if asked
        }
        payload = msgspec.msgpack.encode(Wants(each))
        self._peers.publish(WANTS_TOPIC, payload, [peer.host for peer in asked])

    def _on_wants(self, sender: str, payload: bytes) -> None:
        wants = msgspec.msgpack.decode(payload, type=Wants)
        for loan in self._desk.lend(wants, self._table.state):
            encoded = msgspec.msgpack.encode(loan)
            self._peers.publish(LOANS_TOPIC, encoded, [sender])

    def _on_loan(self, _sender: str, payload: bytes) -> None:
        self._desk.borrow(msgspec.msgpack.decode(payload, type=LoanSent))
