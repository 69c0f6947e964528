"""Copies of bills at peers, until the log has them."""

import dataclasses
import threading
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

import msgspec
import xxhash
from result import Ok, Result

from marigoldhoist.components.billing.const import (
    CONFIRMED_TOPIC,
    COPY_TOPIC,
    TAKEN,
)
from marigoldhoist.components.billing.models import (
    Bill,
    BillBatch,
    ConfirmedBills,
)
from marigoldhoist.components.billing.settings import BillingSettings
from marigoldhoist.components.peers.errors import CallFailure
from marigoldhoist.components.peers.models import Peer
from marigoldhoist.core.identity import DaemonSettings


class BillPeers(Protocol):
    """What billing asks of the peer service."""

    def accepting_peers(self) -> tuple[Peer, ...]:
        """Return the linked peers that are not leaving."""

    def call(
        self, host: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, CallFailure]:
        """Send to one peer and wait for its reply."""

    def publish(
        self, topic: str, payload: bytes, hosts: Iterable[str] | None = None
    ) -> None:
        """Send to the named peers."""


class CopySender:
    """Puts copies of this daemon's bills at peers and withdraws them."""

    def __init__(
        self,
        daemon: DaemonSettings,
        settings: BillingSettings,
        peers: BillPeers,
    ) -> None:
        self._daemon = daemon
        self._settings = settings
        self._peers = peers
        self._lock = threading.Lock()
        self._holders_by_record_id: dict[str, set[str]] = {}

    def send(self, bills: Collection[Bill]) -> None:
        """Copy bills to as many peers as are set, waiting a bounded time."""
        wanted = self._settings.copies
        for host in self.ranked()[:wanted]:
            self._copy(host, bills)

    def restore(self, bills: Collection[Bill]) -> None:
        """Copy again those bills of which a holder was lost."""
        holders = set(self.ranked()[: self._settings.copies])
        with self._lock:
            short = [
                bill
                for bill in bills
                if holders
                - self._holders_by_record_id.get(bill.record_id, set())
            ]
        if short:
            self.send(short)

    def withdraw(self, bills: Collection[Bill]) -> None:
        """Tell the holders that the log has the bills."""
        ids_by_holder: defaultdict[str, list[str]] = defaultdict(list)
        with self._lock:
            for bill in bills:
                record_id = bill.record_id
                for host in self._holders_by_record_id.pop(record_id, ()):
                    ids_by_holder[host].append(record_id)
        for holder, record_ids in ids_by_holder.items():
            confirmed = ConfirmedBills(tuple(record_ids))
            payload = msgspec.msgpack.encode(confirmed)
            self._peers.publish(CONFIRMED_TOPIC, payload, (holder,))

    def ranked(self) -> list[str]:
        """Return the peers in the order that copies go to them.

        One of another failure domain comes first, then one of the own.
        """
        near: list[str] = []
        far: list[str] = []
        for peer in sorted(self._peers.accepting_peers(), key=self._score):
            is_near = peer.failure_domain == self._daemon.failure_domain
            (near if is_near else far).append(peer.host)
        return [*far[:1], *near, *far[1:]]

    def _score(self, peer: Peer) -> int:
        pair = f'{self._daemon.host}\0{peer.host}'
        return xxhash.xxh3_64_intdigest(pair.encode())

    def _copy(self, host: str, bills: Collection[Bill]) -> None:
        payload = msgspec.msgpack.encode(BillBatch(tuple(bills)))
        timeout_s = self._settings.copy_timeout_s
        reply = self._peers.call(host, COPY_TOPIC, payload, timeout_s)
        with self._lock:
            for bill in bills:
                # A holder that did not answer may have the copy as well.
                held = self._holders_by_record_id.setdefault(
                    bill.record_id, set()
                )
                if isinstance(reply, Ok) and reply.ok_value == TAKEN:
                    held.add(host)


@dataclasses.dataclass(frozen=True, slots=True)
class HeldCopy:
    """A peer's bill, and since when it is held, in monotonic seconds."""

    bill: Bill
    since_s: float


class HeldCopies:
    """Copies of other daemons' bills, by record id."""

    def __init__(
        self, settings: BillingSettings, now_s: Callable[[], float]
    ) -> None:
        self._settings = settings
        self._now_s = now_s
        self._lock = threading.Lock()
        self._copy_by_record_id: dict[str, HeldCopy] = {}
        self._seen_s_by_owner: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many copies are held."""
        return len(self._copy_by_record_id)

    def take(self, bills: Iterable[Bill]) -> None:
        """Hold copies."""
        now_s = self._now_s()
        with self._lock:
            for bill in bills:
                copy = HeldCopy(bill, now_s)
                self._copy_by_record_id.setdefault(bill.record_id, copy)
                self._seen_s_by_owner[bill.host] = now_s

    def drop(self, record_ids: Iterable[str]) -> None:
        """Forget copies of bills that are on the log."""
        with self._lock:
            for record_id in record_ids:
                self._copy_by_record_id.pop(record_id, None)

    def release(self, live: Collection[str]) -> tuple[Bill, ...]:
        """Give out the copies that this daemon must write itself.

        Their owner was not linked for a while, or did not confirm them for
        so long that it may have been replaced.
        """
        now_s = self._now_s()
        with self._lock:
            for owner in self._seen_s_by_owner.keys() & set(live):
                self._seen_s_by_owner[owner] = now_s
            due = [
                copy.bill
                for copy in self._copy_by_record_id.values()
                if self._is_due(copy, now_s)
            ]
            for bill in due:
                self._copy_by_record_id.pop(bill.record_id)
            self._forget_owners()
        return tuple(due)

    def release_all(self) -> tuple[Bill, ...]:
        """Give out every copy, at a planned stop."""
        with self._lock:
            copies = tuple(self._copy_by_record_id.values())
            self._copy_by_record_id.clear()
        return tuple(copy.bill for copy in copies)

    def _is_due(self, copy: HeldCopy, now_s: float) -> bool:
        unseen_s = now_s - self._seen_s_by_owner[copy.bill.host]
        held_s = now_s - copy.since_s
        return (
            unseen_s > self._settings.owner_dead_s
            or held_s > self._settings.longest_held_s
        )

    def _forget_owners(self) -> None:
        owners = {copy.bill.host for copy in self._copy_by_record_id.values()}
        for owner in self._seen_s_by_owner.keys() - owners:
            self._seen_s_by_owner.pop(owner)
