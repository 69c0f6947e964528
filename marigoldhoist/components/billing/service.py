"""Billing service: keeps bills until they are on the log."""

import threading

import msgspec
from result import Ok

from marigoldhoist.components.billing.const import (
    ACCEPTED,
    APPEND_BATCH_SIZE,
    APPEND_INTERVAL_S,
    APPEND_TIMEOUT_S,
    BILL_KIND,
    CONFIRMED_TOPIC,
    COPY_TOPIC,
    HAND_OVER_CALL_TIMEOUT_S,
    HAND_OVER_TOPIC,
)
from marigoldhoist.components.billing.copies import CopySender, HeldCopies
from marigoldhoist.components.billing.events import BILLS_LEFT
from marigoldhoist.components.billing.models import (
    Bill,
    BillBatch,
    BillingStatus,
    ConfirmedBills,
)
from marigoldhoist.components.billing.pending import PendingBills
from marigoldhoist.components.billing.settings import BillingSettings
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.platform_log.const import BILL_STREAM
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.platform_log.models import new_record
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.decoding import decode_msgpack
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
        self._append_lock = threading.Lock()
        self._pending = PendingBills()
        self._copy_sender = CopySender(
            kernel.settings.section(DaemonSettings),
            self._settings,
            self._peers,
        )
        self._held = HeldCopies(self._settings, SYSTEM_CLOCK.monotonic_s)

    @property
    def pending_count(self) -> int:
        """Return the number of bills that are not on the log yet."""
        return len(self._pending)

    def start(self) -> None:
        """Subscribe to peer messages and start to append bills."""
        self._peers.subscribe(COPY_TOPIC, self._on_copy)
        self._peers.subscribe(CONFIRMED_TOPIC, self._on_confirmed)
        self._peers.subscribe(HAND_OVER_TOPIC, self._on_hand_over)
        self._kernel.spawn('bills', self._append_periodically)

    def hand_over(self) -> None:
        """Append or hand over the pending bills and the held copies."""
        for copy in self._held.pop_all():
            self._pending.add(copy)
        deadline_s = (
            SYSTEM_CLOCK.monotonic_s() + self._settings.hand_over_timeout_s
        )
        while self.pending_count and SYSTEM_CLOCK.monotonic_s() < deadline_s:
            if not (self.append_batch() or self._hand_over_batch()):
                self._kernel.stopping.wait(APPEND_INTERVAL_S)
        if self.pending_count:
            emit(BILLS_LEFT, count=self.pending_count)

    def status(self) -> BillingStatus:
        """Return the billing status for operators."""
        return BillingStatus(self.pending_count, len(self._held))

    def charge(self, bill: Bill) -> None:
        """Add a bill and copy it to peers, waiting a bounded time.

        Another pending bill for the same request is ignored.
        """
        if self._pending.add(bill):
            self._copy_sender.send((bill,))

    def append_batch(self) -> bool:
        """Append one batch of bills; return False if it was not confirmed."""
        with self._append_lock:
            batch = self._pending.batch(APPEND_BATCH_SIZE)
            if not batch:
                return True
            records = tuple(
                new_record(BILL_KIND, bill, bill.record_id) for bill in batch
            )
            appended = self._log.append(BILL_STREAM, records, APPEND_TIMEOUT_S)
            if not isinstance(appended, Ok):
                return False
            self._confirm_batch(batch)
        return True

    def _hand_over_batch(self) -> bool:
        batch = self._pending.batch(APPEND_BATCH_SIZE)
        payload = msgspec.msgpack.encode(BillBatch(batch))
        for peer in self._copy_sender.ranked_peers():
            reply = self._peers.call(
                peer.host, HAND_OVER_TOPIC, payload, HAND_OVER_CALL_TIMEOUT_S
            )
            if isinstance(reply, Ok) and reply.ok_value == ACCEPTED:
                # No confirmation to the holders of copies yet: the bills are
                # not on the log.
                self._pending.remove([bill.record_id for bill in batch])
                return True
        return False

    def _confirm_batch(self, batch: tuple[Bill, ...]) -> None:
        self._pending.remove([bill.record_id for bill in batch])
        self._copy_sender.confirm(batch)

    def _append_periodically(self) -> None:
        while not self._kernel.stopping.wait(APPEND_INTERVAL_S):
            live = [peer.host for peer in self._peers.linked_peers()]
            for orphan in self._held.pop_due(live):
                self._pending.add(orphan)
            if not self.append_batch():
                self._copy_sender.send_missing(
                    self._pending.batch(APPEND_BATCH_SIZE)
                )

    def _on_copy(self, _sender: str, payload: bytes) -> bytes:
        if self._kernel.draining.is_set():
            return b''
        self._held.add(decode_msgpack(payload, BillBatch).bills)
        return ACCEPTED

    def _on_confirmed(self, _sender: str, payload: bytes) -> None:
        confirmed = decode_msgpack(payload, ConfirmedBills)
        self._held.discard(confirmed.record_ids)

    def _on_hand_over(self, _sender: str, payload: bytes) -> bytes:
        if self._kernel.draining.is_set():
            return b''
        for bill in decode_msgpack(payload, BillBatch).bills:
            self._pending.add(bill)
        return ACCEPTED
