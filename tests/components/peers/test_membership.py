"""Links within and between failure domains."""

import pytest

from marigoldhoist.components.hosts.models import HostEntry, HostRole
from marigoldhoist.components.peers.const import (
    LONGEST_BACKOFF_S,
    SHORTEST_BACKOFF_S,
)
from marigoldhoist.components.peers.selection import backoff_s, links_of
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.core.identity import DaemonSettings
from tests.components.peers.proxy import SilentProxy
from tools.world.addresses import next_address
from tools.world.world import PEER_PORT, World, wait_until

DOMAINS = 15
PER_DOMAIN = 12
FEW = 2


@pytest.fixture
def listed() -> list[HostEntry]:
    """Return the daemons of fifteen domains."""
    return [
        HostEntry(
            f'entry-{domain}-{number}',
            HostRole.DAEMON,
            '127.0.0.1',
            PEER_PORT,
            f'domain-{domain}',
        )
        for domain in range(DOMAINS)
        for number in range(PER_DOMAIN)
    ]


def dialled(entry: HostEntry, listed: list[HostEntry]) -> set[str]:
    """Return whom a host dials."""
    daemon = DaemonSettings(entry.host, entry.failure_domain, entry.address)
    return links_of(daemon, listed, FEW)


class TestSelection:
    """Full within a domain, few between, and stable."""

    def test_counts(self, listed: list[HostEntry]) -> None:
        for entry in listed:
            assert len(dialled(entry, listed)) == (
                PER_DOMAIN - 1 + FEW * (DOMAINS - 1)
            )

    def test_every_pair_of_domains_is_linked(
        self, listed: list[HostEntry]
    ) -> None:
        domain_of = {entry.host: entry.failure_domain for entry in listed}
        pairs = {
            (entry.failure_domain, domain_of[host])
            for entry in listed
            for host in dialled(entry, listed)
        }
        assert len(pairs) == DOMAINS * DOMAINS

    def test_a_lost_host_moves_only_its_links(
        self, listed: list[HostEntry]
    ) -> None:
        lost, *left = listed
        for entry in left:
            before = dialled(entry, listed)
            after = dialled(entry, left)
            assert before - after <= {lost.host}


class TestBackoff:
    """Waits grow, and differ between daemons."""

    def test_bounds(self) -> None:
        waits = [backoff_s(failures) for failures in range(50)]
        assert all(
            SHORTEST_BACKOFF_S / 2 <= wait <= LONGEST_BACKOFF_S
            for wait in waits
        )
        assert len(set(waits)) > 1


class TestSilentLink:
    """A connection that went silent is replaced; its peer stays linked."""

    def test_fresh_connection_replaces_it(self) -> None:
        with World() as world:
            world.add_daemon('entry-2', 'zg-dubrava')
            address = next_address()
            proxy = SilentProxy(address, PEER_PORT, world.address_of('entry-2'))
            world.list_host(
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
            seen: list[int] = []
            self.force_relink(peers, proxy, seen)
            proxy.close()
        assert set(seen) == {1}

    def force_relink(
        self, peers: PeerService, proxy: SilentProxy, seen: list[int]
    ) -> None:
        """Mute the link and watch until a fresh one carries calls."""

        def is_relinked() -> bool:
            seen.append(len(peers.linked_peers()))
            return proxy.accepted > opened

        opened = proxy.accepted
        proxy.mute()
        wait_until(is_relinked, 'a fresh connection')
        wait_until(
            lambda: peers.call('entry-2', 'none', b'', 1).is_ok(), 'a reply'
        )
