"""Hosts that hold copies of bills for each other."""

from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from marigoldhoist.components.billing.const import CONFIRMED_TOPIC, TAKEN
from marigoldhoist.components.billing.copies import CopySender, HeldCopies
from marigoldhoist.components.billing.models import (
    Bill,
    BillBatch,
    ConfirmedBills,
)
from marigoldhoist.components.billing.settings import BillingSettings
from marigoldhoist.components.peers.errors import CallFailure
from marigoldhoist.components.peers.models import Peer
from marigoldhoist.core.identity import DaemonSettings

DOMAINS = ('zg-trnje', 'zg-dubrava', 'zg-susedgrad')
DOMAIN_BY_HOST = {
    f'entry-{number}': DOMAINS[number % len(DOMAINS)] for number in range(9)
}
SETTINGS = BillingSettings(copies=2)


def bill_of(host: str, number: int) -> Bill:
    """Return a bill of a host."""
    return Bill('bench', f'{host}-{number}', 'm/v', 7, 0.5, True, host)


class Net:
    """Hosts that hold copies for each other, and a clock."""

    def __init__(self) -> None:
        self.now_s: float = 0
        self.down: set[str] = set()
        self.held_by_host = {
            host: HeldCopies(SETTINGS, self.monotonic_s)
            for host in DOMAIN_BY_HOST
        }

    def monotonic_s(self) -> float:
        """Return the time."""
        return self.now_s

    def forget(self, host: str) -> None:
        """Start a host anew, without its copies."""
        self.held_by_host[host] = HeldCopies(SETTINGS, self.monotonic_s)

    def sender(self, host: str) -> CopySender:
        """Return the sender of a host."""
        domain = DOMAIN_BY_HOST[host]
        daemon = DaemonSettings(host, domain, '127.0.0.1')
        return CopySender(daemon, SETTINGS, NetPeers(self, host))


class NetPeers:
    """One host's view of the net."""

    def __init__(self, net: Net, host: str) -> None:
        self._net = net
        self._host = host

    def accepting_peers(self) -> tuple[Peer, ...]:
        """Return everyone else that is up."""
        return tuple(
            Peer(host, domain)
            for host, domain in DOMAIN_BY_HOST.items()
            if host not in {self._host, *self._net.down}
        )

    def call(
        self, host: str, _topic: str, payload: bytes, _timeout_s: float
    ) -> Result[bytes, CallFailure]:
        """Deliver copies."""
        if host in self._net.down:
            return Err(CallFailure('down'))
        batch = msgspec.msgpack.decode(payload, type=BillBatch)
        self._net.held_by_host[host].take(batch.bills)
        return Ok(TAKEN)

    def publish(
        self, topic: str, payload: bytes, hosts: Iterable[str] | None = None
    ) -> None:
        """Deliver confirmations."""
        assert topic == CONFIRMED_TOPIC
        confirmed = msgspec.msgpack.decode(payload, type=ConfirmedBills)
        for host in hosts or ():
            self._net.held_by_host[host].drop(confirmed.record_ids)
