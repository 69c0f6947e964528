"""Peer selection, backoff and replacement of silent links."""

import pytest

from marigoldhoist.components.hosts.models import HostEntry, HostRole
from marigoldhoist.components.peers.const import (
    MAX_BACKOFF_S,
    MIN_BACKOFF_S,
)
from marigoldhoist.components.peers.selection import backoff_s, select_peers
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.core.identity import DaemonSettings
from tests.components.peers.proxy import SilentProxy
from tools.world.addresses import next_address
from tools.world.world import PEER_PORT, World, wait_until

DOMAINS = 15
HOSTS_PER_DOMAIN = 12
LINKS_PER_FOREIGN_DOMAIN = 2


@pytest.fixture
def daemons() -> list[HostEntry]:
    """Return the host entries of fifteen failure domains."""
    return [
        HostEntry(
            f'entry-{domain}-{number}',
            HostRole.DAEMON,
            '127.0.0.1',
            PEER_PORT,
            f'domain-{domain}',
        )
        for domain in range(DOMAINS)
        for number in range(HOSTS_PER_DOMAIN)
    ]


def selected_peers(entry: HostEntry, daemons: list[HostEntry]) -> set[str]:
    """Return the hosts that a daemon dials."""
    daemon = DaemonSettings(entry.host, entry.failure_domain, entry.address)
    return select_peers(daemon, daemons, LINKS_PER_FOREIGN_DOMAIN)


class TestSelection:
    """All hosts of the own domain, a few of others, stable under changes."""

    def test_counts(self, daemons: list[HostEntry]) -> None:
        for entry in daemons:
            assert len(selected_peers(entry, daemons)) == (
                HOSTS_PER_DOMAIN - 1 + LINKS_PER_FOREIGN_DOMAIN * (DOMAINS - 1)
            )

    def test_every_pair_of_domains_is_linked(
        self, daemons: list[HostEntry]
    ) -> None:
        domain_of = {entry.host: entry.failure_domain for entry in daemons}
        pairs = {
            (entry.failure_domain, domain_of[host])
            for entry in daemons
            for host in selected_peers(entry, daemons)
        }
        assert len(pairs) == DOMAINS * DOMAINS

    def test_removed_host_changes_only_its_links(
        self, daemons: list[HostEntry]
    ) -> None:
        removed, *remaining = daemons
        for entry in remaining:
            before = selected_peers(entry, daemons)
            after = selected_peers(entry, remaining)
            assert before - after <= {removed.host}


class TestBackoff:
    """Backoff stays within its bounds and is randomized."""

    def test_bounds(self) -> None:
        waits = [backoff_s(failures) for failures in range(50)]
        assert all(MIN_BACKOFF_S / 2 <= wait <= MAX_BACKOFF_S for wait in waits)
        assert len(set(waits)) > 1


class TestSilentLink:
    """A silent connection is replaced while the peer stays linked."""

    def test_new_connection_replaces_silent_one(self) -> None:
        with World() as world:
            world.add_daemon('entry-2', 'zg-dubrava')
            address = next_address()
            proxy = SilentProxy(address, PEER_PORT, world.address_of('entry-2'))
            world.register_host(
                HostEntry(
                    'entry-2',
                    HostRole.DAEMON,
                    address,
                    PEER_PORT,
                    'zg-dubrava',
                )
            )
            kernel = world.add_daemon('entry-1', 'zg-trnje')
            peers = kernel.find('peers', PeerService)
            wait_until(lambda: bool(peers.linked_peers()), 'the first link')
            assert proxy.accepted == 1
            link_counts: list[int] = []
            self.force_relink(peers, proxy, link_counts)
            proxy.close()
        assert set(link_counts) == {1}

    def force_relink(
        self, peers: PeerService, proxy: SilentProxy, link_counts: list[int]
    ) -> None:
        """Mute the link and wait until a new one carries calls."""

        def is_relinked() -> bool:
            link_counts.append(len(peers.linked_peers()))
            return proxy.accepted > accepted_before

        accepted_before = proxy.accepted
        proxy.mute()
        wait_until(is_relinked, 'a new connection')
        wait_until(
            lambda: peers.call('entry-2', 'none', b'', 1).is_ok(), 'a reply'
        )
