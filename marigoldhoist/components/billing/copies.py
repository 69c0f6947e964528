"""Copies of bills at peers, which hold them until they are on the log."""

import dataclasses
import threading
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

import msgspec
import xxhash
from result import Ok, Result

from marigoldhoist.components.billing.const import (
    ACCEPTED,
    CONFIRMED_TOPIC,
    COPY_TOPIC,
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
    """Interface of the peer service that billing uses."""

    def accepting_peers(self) -> tuple[Peer, ...]:
        """Return the linked peers that are not stopping."""

    def call(
        self, host: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, CallFailure]:
        """Send a message to one peer and wait for its reply."""

    def publish(
        self, topic: str, payload: bytes, hosts: Iterable[str] | None = None
    ) -> None:
        """Send a message to the named peers, without a reply."""


class CopySender:
    """Sends copies of bills to peers, and confirms when they are on the log."""

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
        # Holders are told apart by link as well: behind a new link there may be
        # a daemon that was started anew under the name, without copies.
        self._holders_by_record_id: dict[str, set[Peer]] = {}

    def send(self, bills: Collection[Bill]) -> None:
        """Copy bills to the configured number of peers.

        The wait for each peer is bounded by `copy_timeout_s`.
        """
        for peer in self.ranked_peers()[: self._settings.copies]:
            self._copy(peer, bills)

    def send_missing(self, bills: Collection[Bill]) -> None:
        """Copy bills again that a preferred peer has not acknowledged.

        A peer becomes preferred when it replaces a lost holder. A holder with
        a new link may have been started anew and have lost its copies.
        """
        holders = set(self.ranked_peers()[: self._settings.copies])
        with self._lock:
            missing = [
                bill
                for bill in bills
                if holders
                - self._holders_by_record_id.get(bill.record_id, set())
            ]
        if missing:
            self.send(missing)

    def confirm(self, bills: Collection[Bill]) -> None:
        """Notify the holders that the bills are on the log."""
        ids_by_holder: defaultdict[str, list[str]] = defaultdict(list)
        with self._lock:
            for bill in bills:
                record_id = bill.record_id
                for peer in self._holders_by_record_id.pop(record_id, ()):
                    ids_by_holder[peer.host].append(record_id)
        for holder, record_ids in ids_by_holder.items():
            confirmed = ConfirmedBills(tuple(record_ids))
            payload = msgspec.msgpack.encode(confirmed)
            self._peers.publish(CONFIRMED_TOPIC, payload, (holder,))

    def ranked_peers(self) -> list[Peer]:
        """Return the peers in the order of preference for copies.

        The first is in another failure domain, so that a copy survives the
        loss of this one; then come the peers in the same domain, then the
        rest. A hash of the two host names orders the peers within a domain.
        """
        same_domain: list[Peer] = []
        other_domains: list[Peer] = []
        for peer in sorted(self._peers.accepting_peers(), key=self._score):
            is_same_domain = peer.failure_domain == self._daemon.failure_domain
            (same_domain if is_same_domain else other_domains).append(peer)
        return [*other_domains[:1], *same_domain, *other_domains[1:]]

    def _score(self, peer: Peer) -> int:
        pair = f'{self._daemon.host}\0{peer.host}'
        return xxhash.xxh3_64_intdigest(pair.encode())

    def _copy(self, peer: Peer, bills: Collection[Bill]) -> None:
        payload = msgspec.msgpack.encode(BillBatch(tuple(bills)))
        timeout_s = self._settings.copy_timeout_s
        reply = self._peers.call(peer.host, COPY_TOPIC, payload, timeout_s)
        with self._lock:
            for bill in bills:
                # A peer that did not acknowledge may hold a copy as well.
                held = self._holders_by_record_id.setdefault(
                    bill.record_id, set()
                )
                if isinstance(reply, Ok) and reply.ok_value == ACCEPTED:
                    held.add(peer)


@dataclasses.dataclass(frozen=True, slots=True)
class HeldCopy:
    """Copy of another daemon's bill.

    `since_s` is the monotonic time of its arrival, in seconds.
    """

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
        """Return the number of copies held."""
        return len(self._copy_by_record_id)

    def add(self, bills: Iterable[Bill]) -> None:
        """Add copies of bills."""
        now_s = self._now_s()
        with self._lock:
            for bill in bills:
                copy = HeldCopy(bill, now_s)
                self._copy_by_record_id.setdefault(bill.record_id, copy)
                self._seen_s_by_owner[bill.host] = now_s

    def discard(self, record_ids: Iterable[str]) -> None:
        """Remove copies of bills that are on the log."""
        with self._lock:
            for record_id in record_ids:
                self._copy_by_record_id.pop(record_id, None)

    def pop_due(self, live: Collection[str]) -> tuple[Bill, ...]:
        """Remove and return the copies that this daemon must append itself.

        Their owner was not among the live hosts for `owner_dead_s`, or has
        not confirmed them for `longest_held_s` and so may have restarted
        without them.
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
            self._prune_owners()
        return tuple(due)

    def pop_all(self) -> tuple[Bill, ...]:
        """Remove and return all copies, for a planned stop."""
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

    def _prune_owners(self) -> None:
        owners = {copy.bill.host for copy in self._copy_by_record_id.values()}
        for owner in self._seen_s_by_owner.keys() - owners:
            self._seen_s_by_owner.pop(owner)
