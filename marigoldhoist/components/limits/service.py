"""Limit service: admission control for requests, and loans between peers."""

import random

import msgspec

from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.dispatch.service import DispatchService
from marigoldhoist.components.dispatch.stages import Outcome, Stage
from marigoldhoist.components.hosts.const import COMPONENT as HOSTS
from marigoldhoist.components.hosts.models import HostRole
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.components.limits.const import (
    EXCHANGE_INTERVAL_S,
    LOAN_GRANT_TOPIC,
    LOAN_REQUEST_FANOUT,
    LOAN_REQUEST_TOPIC,
    STAGE_ORDER,
)
from marigoldhoist.components.limits.manager import LimitManager
from marigoldhoist.components.limits.models import (
    LimitStatus,
    LoanGrant,
    LoanRequest,
)
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.decoding import decode_msgpack
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.kernel import BaseService, Kernel


class LimitStage(Stage):
    """Stage that rejects requests over a limit before they are dispatched."""

    def __init__(self, manager: LimitManager, table: TableService) -> None:
        self._manager = manager
        self._table = table

    def admit(self, request: CallerRequest) -> RequestFailure | None:
        """Return a failure with a retry delay if a limit is exceeded."""
        wait_s = self._manager.admit(request, self._table.state)
        if wait_s is None:
            return None
        return RequestFailure(
            ErrorCode.OVER_LIMIT, 'over a limit', retry_after_s=wait_s
        )

    def settle(self, request: CallerRequest, outcome: Outcome) -> None:
        """Record the end of the request and its usage."""
        usage = (outcome.tokens, outcome.cost)
        self._manager.settle(request, self._table.state, usage)


class LimitService(BaseService):
    """Enforces limits, and exchanges unused quota with peers."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._hosts = kernel.find(HOSTS, HostService)
        self._peers = kernel.find(PEERS, PeerService)
        self._table = kernel.find(TABLE, TableService)
        self._manager = LimitManager(SYSTEM_CLOCK, self._count_daemons)
        self._rng = random.Random()
        dispatch = kernel.find(DISPATCH, DispatchService)
        dispatch.add_stage(STAGE_ORDER, LimitStage(self._manager, self._table))

    def start(self) -> None:
        """Subscribe to loan messages and start to request loans."""
        self._peers.subscribe(LOAN_REQUEST_TOPIC, self._on_loan_request)
        self._peers.subscribe(LOAN_GRANT_TOPIC, self._on_loan_grant)
        self._kernel.spawn('limits', self._request_loans_periodically)

    def status(self) -> LimitStatus:
        """Return the limit status for operators."""
        return LimitStatus(self._manager.shares())

    def _count_daemons(self) -> int:
        return max(1, len(self._hosts.with_role(HostRole.DAEMON)))

    def _request_loans_periodically(self) -> None:
        while not self._kernel.stopping.wait(EXCHANGE_INTERVAL_S):
            request = self._manager.loan_request(self._table.state)
            if request.amount_by_key:
                self._request_loans(request)

    def _request_loans(self, request: LoanRequest) -> None:
        live = self._peers.linked_peers()
        lenders = self._rng.sample(live, min(LOAN_REQUEST_FANOUT, len(live)))
        amount_per_lender = {
            key: amount / len(lenders)
            for key, amount in request.amount_by_key.items()
            if lenders
        }
        payload = msgspec.msgpack.encode(LoanRequest(amount_per_lender))
        self._peers.publish(
            LOAN_REQUEST_TOPIC, payload, [peer.host for peer in lenders]
        )

    def _on_loan_request(self, sender: str, payload: bytes) -> None:
        request = decode_msgpack(payload, LoanRequest)
        for loan in self._manager.lend(request, self._table.state):
            encoded = msgspec.msgpack.encode(loan)
            self._peers.publish(LOAN_GRANT_TOPIC, encoded, [sender])

    def _on_loan_grant(self, _sender: str, payload: bytes) -> None:
        self._manager.borrow(decode_msgpack(payload, LoanGrant))
