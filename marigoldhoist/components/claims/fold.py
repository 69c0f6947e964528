"""Fold claims and outcomes from the log into who may run each order.

Every daemon folds the same entries and so names the same winner: the claim
at the lowest offset, until an outcome of `not_run` frees the order.
"""

import dataclasses
import threading

import msgspec

from marigoldhoist.components.claims.const import (
    CLAIM_KIND,
    FUTURE_TOLERANCE_MS,
    OUTCOME_KIND,
)
from marigoldhoist.components.claims.events import COVERAGE_SHORT
from marigoldhoist.components.claims.ids import order_time_ms
from marigoldhoist.components.claims.models import (
    ClaimBody,
    KeptClaims,
    KeptOrder,
    OrderKey,
    OutcomeBody,
)
from marigoldhoist.components.platform_log.models import LogEntry
from marigoldhoist.core.events import emit
from marigoldhoist.core.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class OrderState:
    """Who holds an order, and the claims that can never hold it again."""

    holder: str = ''
    outcome: OutcomeBody | None = None
    spent_ids: frozenset[str] = frozenset()
    touched_ms: int = 0


FREE = OrderState()


class ClaimFold:
    """Orders by key; those older than the window are forgotten.

    Ages are taken from the log's own times, so that a daemon with a wrong
    clock judges as the others do.
    """

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._lock = threading.Lock()
        self._order_by_key: dict[OrderKey, OrderState] = {}
        self._next_offset = 0
        self.newest_ms = 0
        self.covered_from_ms = 0

    def __len__(self) -> int:
        """Return how many orders are known."""
        return len(self._order_by_key)

    def find(self, key: OrderKey) -> OrderState:
        """Return an order's state; an unknown order is free."""
        return self._order_by_key.get(key, FREE)

    def covers(self, order_ms: int) -> bool:
        """Tell whether any earlier claim of such an order was read."""
        earliest_claim_ms = order_ms - 2 * FUTURE_TOLERANCE_MS
        return not self.covered_from_ms or (
            earliest_claim_ms >= self.covered_from_ms
        )

    def apply(self, entry: LogEntry) -> None:
        """Fold one entry of the work stream."""
        with self._lock:
            self._note_position(entry)
            if entry.record.kind == CLAIM_KIND:
                self._claim(entry)
            elif entry.record.kind == OUTCOME_KIND:
                self._settle(entry)
            self._forget_old()

    def dump(self) -> msgspec.Raw:
        """Return everything, for a snapshot."""
        with self._lock:
            orders = tuple(
                _kept(key, order) for key, order in self._order_by_key.items()
            )
            kept = KeptClaims(
                self.covered_from_ms, self.newest_ms, self._next_offset, orders
            )
        return msgspec.Raw(msgspec.json.encode(kept))

    def restore(self, dumped: msgspec.Raw) -> None:
        """Replace everything by a snapshot's content."""
        kept = msgspec.json.decode(dumped, type=KeptClaims)
        with self._lock:
            self._next_offset = kept.next_offset
            self.newest_ms = kept.newest_ms
            self.covered_from_ms = kept.covered_from_ms
            self._order_by_key = {
                OrderKey(one.workspace, one.request_id): _restored(one)
                for one in kept.orders
            }

    def _note_position(self, entry: LogEntry) -> None:
        if entry.offset != self._next_offset:
            self.covered_from_ms = entry.time_ms
            emit(COVERAGE_SHORT, offset=entry.offset)
        self._next_offset = entry.offset + 1
        self.newest_ms = max(self.newest_ms, entry.time_ms)

    def _claim(self, entry: LogEntry) -> None:
        body = msgspec.json.decode(entry.record.body, type=ClaimBody)
        key = OrderKey(body.workspace, body.request_id)
        order = self.find(key)
        claim_id = entry.record.id
        if claim_id in order.spent_ids:
            return
        wins = not order.holder and self._is_in_window(key)
        self._put(
            key,
            dataclasses.replace(
                order,
                holder=claim_id if wins else order.holder,
                spent_ids=order.spent_ids | {claim_id},
            ),
        )

    def _settle(self, entry: LogEntry) -> None:
        body = msgspec.json.decode(entry.record.body, type=OutcomeBody)
        key = OrderKey(body.workspace, body.request_id)
        order = self.find(key)
        # A claim that was released before it arrived must not win later.
        spent = order.spent_ids | {body.claim_id}
        settled = dataclasses.replace(order, spent_ids=spent)
        if body.claim_id == order.holder:
            settled = _with_outcome(settled, body)
        self._put(key, settled)

    def _put(self, key: OrderKey, order: OrderState) -> None:
        self._order_by_key.pop(key, None)
        self._order_by_key[key] = dataclasses.replace(
            order, touched_ms=self.newest_ms
        )

    def _is_in_window(self, key: OrderKey) -> bool:
        order_ms = order_time_ms(key.request_id)
        return order_ms is not None and (
            order_ms >= self.newest_ms - self._window_ms
        )

    def _forget_old(self) -> None:
        kept_ms = self._window_ms + 2 * FUTURE_TOLERANCE_MS
        oldest_ms = self.newest_ms - kept_ms
        while self._order_by_key:
            key = next(iter(self._order_by_key))
            if self._order_by_key[key].touched_ms >= oldest_ms:
                return
            self._order_by_key.pop(key)


def _with_outcome(order: OrderState, body: OutcomeBody) -> OrderState:
    known = order.outcome
    if known is not None and known.verdict is Verdict.RAN:
        return order
    if body.verdict is not Verdict.NOT_RUN:
        return dataclasses.replace(order, outcome=body)
    if known is not None:
        return order
    return dataclasses.replace(order, holder='')


def _kept(key: OrderKey, order: OrderState) -> KeptOrder:
    return KeptOrder(
        key.workspace,
        key.request_id,
        order.holder,
        order.outcome,
        tuple(sorted(order.spent_ids)),
        order.touched_ms,
    )


def _restored(kept: KeptOrder) -> OrderState:
    return OrderState(
        kept.holder,
        kept.outcome,
        frozenset(kept.spent_ids),
        kept.touched_ms,
    )
