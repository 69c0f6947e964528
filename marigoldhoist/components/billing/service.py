"""Keep bills until the log has them."""

import threading

import msgspec
from result import Ok

from marigoldhoist.components.billing.book import BillBook
from marigoldhoist.components.billing.const import (
    BILL_KIND,
    CONFIRMED_TOPIC,
    COPY_TOPIC,
    HAND_OVER_CALL_S,
    HAND_OVER_TOPIC,
    SHIP_BATCH,
    SHIP_INTERVAL_S,
    SHIP_TIMEOUT_S,
    TAKEN,
)
from marigoldhoist.components.billing.copies import CopySender, HeldCopies
from marigoldhoist.components.billing.events import BILLS_LEFT
from marigoldhoist.components.billing.models import (
    Bill,
    BillBatch,
    BillingStatus,
    ConfirmedBills,
)
from marigoldhoist.components.billing.settings import BillingSettings
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.platform_log.const import BILL_STREAM
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.platform_log.models import new_record
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import emit
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel


class BillingService(BaseService):
    """Collects bills, copies them to peers and appends them in batches."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings.section(BillingSettings)
        self._log = kernel.find(LOG, LogService)
        self._peers = kernel.find(PEERS, PeerService)
        self._ship_lock = threading.Lock()
        self._book = BillBook()
        self._sender = CopySender(
            kernel.settings.section(DaemonSettings),
            self._settings,
            self._peers,
        )
        self._held = HeldCopies(self._settings, SYSTEM_CLOCK.monotonic_s)

    @property
    def pending_count(self) -> int:
        """Return how many bills are not on the log yet."""
        return len(self._book)

    def start(self) -> None:
        """Take peers' copies and begin to ship bills."""
        self._peers.subscribe(COPY_TOPIC, self._on_copy)
        self._peers.subscribe(CONFIRMED_TOPIC, self._on_confirmed)
        self._peers.subscribe(HAND_OVER_TOPIC, self._on_hand_over)
        self._kernel.spawn('bills', self._ship_all)

    def hand_over(self) -> None:
        """Ship what is left, or give it to a peer that stays."""
        for copy in self._held.release_all():
            self._book.add(copy)
        deadline_s = (
            SYSTEM_CLOCK.monotonic_s() + self._settings.hand_over_timeout_s
        )
        while self.pending_count and SYSTEM_CLOCK.monotonic_s() < deadline_s:
            if not (self.ship() or self._give_batch()):
                self._kernel.stopping.wait(SHIP_INTERVAL_S)
        if self.pending_count:
            emit(BILLS_LEFT, count=self.pending_count)

    def status(self) -> BillingStatus:
        """Return what operators see of the bills."""
        return BillingStatus(self.pending_count, len(self._held))

    def charge(self, bill: Bill) -> None:
        """Take a bill and wait a bounded time for its copies.

        A second bill for the request is ignored.
        """
        if self._book.add(bill):
            self._sender.send((bill,))

    def ship(self) -> bool:
        """Append one batch; False where the log did not confirm it."""
        with self._ship_lock:
            batch = self._book.batch(SHIP_BATCH)
            if not batch:
                return True
            records = tuple(
                new_record(BILL_KIND, bill, bill.record_id) for bill in batch
            )
            appended = self._log.append(BILL_STREAM, records, SHIP_TIMEOUT_S)
            if not isinstance(appended, Ok):
                return False
            self._forget(batch)
        return True

    def _give_batch(self) -> bool:
        batch = self._book.batch(SHIP_BATCH)
        payload = msgspec.msgpack.encode(BillBatch(batch))
        for host in self._sender.ranked():
            reply = self._peers.call(
                host, HAND_OVER_TOPIC, payload, HAND_OVER_CALL_S
            )
            if isinstance(reply, Ok) and reply.ok_value == TAKEN:
                # The copies stay until the log has the bills.
                self._book.remove([bill.record_id for bill in batch])
                return True
        return False

    def _forget(self, batch: tuple[Bill, ...]) -> None:
        self._book.remove([bill.record_id for bill in batch])
        self._sender.withdraw(batch)

    def _ship_all(self) -> None:
        while not self._kernel.stopping.wait(SHIP_INTERVAL_S):
            live = [peer.host for peer in self._peers.linked_peers()]
            for orphan in self._held.release(live):
                self._book.add(orphan)
            if not self.ship():
                self._sender.restore(self._book.batch(SHIP_BATCH))

    def _on_copy(self, _sender: str, payload: bytes) -> bytes:
        if self._kernel.draining.is_set():
            return b''
        self._held.take(msgspec.msgpack.decode(payload, type=BillBatch).bills)
        return TAKEN

    def _on_confirmed(self, _sender: str, payload: bytes) -> None:
        confirmed = msgspec.msgpack.decode(payload, type=ConfirmedBills)
        self._held.drop(confirmed.record_ids)

    def _on_hand_over(self, _sender: str, payload: bytes) -> bytes:
        if self._kernel.draining.is_set():
            return b''
        for bill in msgspec.msgpack.decode(payload, type=BillBatch).bills:
            self._book.add(bill)
        return TAKEN
