"""One session at one or two hosts, step by step."""

import pytest

from marigoldhoist.components.sessions.models import SessionKey
from marigoldhoist.components.sessions.tokens import SessionTokens
from tests.components.log_fakes import FakeLog, Fate
from tests.components.sessions.hosts import (
    KEY,
    MODEL,
    SETTINGS,
    VERSIONS,
    FakeTable,
    Host,
    link,
    request,
)


class Pair:
    """Two linked hosts that read one log and one table."""

    def __init__(self) -> None:
        self.log = FakeLog()
        self.table = FakeTable()
        self.first = Host('entry-1', self.log, self.table)
        self.second = Host('entry-2', self.log, self.table)
        link(self.first, self.second)


@pytest.fixture
def pair() -> Pair:
    """Return two hosts."""
    return Pair()


def only(version: str) -> dict[str, int]:
    """Return weights that send everything to one version."""
    return dict.fromkeys(VERSIONS, 0) | {version: 1}


class TestPin:
    """A session keeps its version at every host."""

    def test_cut_hosts_agree_by_the_log(self, pair: Pair) -> None:
        link(pair.first)
        link(pair.second)
        pair.table.weights = only('small')
        assert pair.first.ask(request('quote')) == 'small'
        pair.table.weights = only('large')
        assert pair.second.ask(request('quote')) == 'small'

    def test_peers_agree_without_the_log(self, pair: Pair) -> None:
        for host in (pair.first, pair.second):
            host.writer.is_failing = True
        pair.table.weights = only('small')
        assert pair.first.ask(request('quote')) == 'small'
        pair.table.weights = only('large')
        assert pair.second.ask(request('quote')) == 'small'
        for healed in (pair.second, pair.first):
            healed.writer.is_failing = False
            healed.writer.ship(Fate.CONFIRMED)
            assert healed.ask(request('quote')) == 'small'

    def test_new_host_asks_peers_while_the_log_fails(self, pair: Pair) -> None:
        pair.table.weights = only('small')
        link(pair.first)
        pair.first.ask(request('quote'))
        pair.table.weights = only('large')
        pair.second.writer.is_failing = True
        link(pair.first, pair.second)
        assert pair.second.ask(request('quote')) == 'small'

    def test_crossed_first_requests_settle_on_the_earlier(
        self, pair: Pair
    ) -> None:
        link(pair.first)
        link(pair.second)
        for host in (pair.first, pair.second):
            host.writer.is_failing = True
        pair.table.weights = only('small')
        pair.first.ask(request('quote'))
        pair.log.now_ms += 5
        pair.table.weights = only('large')
        assert pair.second.ask(request('quote')) == 'large'
        key = SessionKey('bench', MODEL, 'quote')
        earlier = pair.first.pins.find(key)
        later = pair.second.pins.find(key)
        assert earlier is not None
        assert later is not None
        pair.second.pins.learn(earlier)
        pair.first.pins.learn(later)
        for healed in (pair.second, pair.first):
            healed.writer.is_failing = False
            healed.writer.ship(Fate.CONFIRMED)
            assert healed.ask(request('quote')) == 'small'

    def test_operators_row_beats_the_pin(self, pair: Pair) -> None:
        pair.table.weights = only('small')
        pair.first.ask(request('quote'))
        pair.table.put_session('quote', 'medium')
        assert pair.second.ask(request('quote')) == 'medium'
        pair.table.withdrawn.add('medium')
        assert pair.second.ask(request('quote')) == 'small'

    def test_pin_is_written_again_before_it_is_forgotten(
        self, pair: Pair
    ) -> None:
        pair.table.weights = only('small')
        pair.first.ask(request('quote'))
        pair.table.weights = only('large')
        for _ in range(4):
            pair.log.pause(SETTINGS.ttl_ms * 2 // 3)
            pair.first.writer.catch_up()
            assert pair.first.ask(request('quote')) == 'small'
        pair.log.pause(SETTINGS.ttl_ms + 1)
        pair.first.writer.catch_up()
        assert not len(pair.first.pins.fold)


class TestMove:
    """A withdrawn version's sessions move once and stay."""

    def test_moves_once_and_stays(self, pair: Pair) -> None:
        pair.table.weights = only('small')
        pair.first.ask(request('quote'))
        pair.table.weights = only('large')
        pair.table.withdrawn.add('small')
        assert pair.first.ask(request('quote')) == 'large'
        pair.table.withdrawn.clear()
        pair.table.weights = only('medium')
        assert pair.second.ask(request('quote')) == 'large'
        assert pair.first.ask(request('quote')) == 'large'

    def test_leaves_a_version_held_by_health(self, pair: Pair) -> None:
        pair.table.weights = only('small')
        assert pair.first.ask(request('quote')) == 'small'
        pair.table.weights = only('small') | {'large': 1}
        pair.first.holds.hold(MODEL, 'small')
        assert pair.first.ask(request('quote')) == 'large'
        assert pair.second.ask(request('quote')) == 'large'

    def test_version_that_comes_back_before_the_move_is_read(
        self, pair: Pair
    ) -> None:
        link(pair.first)
        link(pair.second)
        pair.table.weights = dict.fromkeys(VERSIONS, 1) | {'small': 9999}
        assert pair.first.ask(request('quote')) == 'small'
        pair.table.withdrawn.add('small')
        moved = pair.second.ask(request('quote'))
        pair.table.withdrawn.clear()
        assert pair.first.ask(request('quote')) == moved

    def test_version_that_comes_back_keeps_its_sessions(
        self, pair: Pair
    ) -> None:
        pair.table.weights = only('small')
        assert pair.first.ask(request('quote')) == 'small'
        pair.table.weights = only('large')
        pair.table.withdrawn.add('small')
        pair.table.withdrawn.clear()
        for host in (pair.second, pair.first, pair.second):
            assert host.ask(request('quote')) == 'small'
        assert len(pair.log.entries) == 2


class TestSnapshot:
    """A snapshot carries every pin."""

    def test_restores_the_pins(self, pair: Pair) -> None:
        pair.table.weights = only('small')
        pair.first.ask(request('quote'))
        fresh = Host('entry-9', FakeLog(), pair.table)
        fresh.pins.fold.restore(pair.first.pins.fold.dump())
        pair.table.weights = only('large')
        assert fresh.ask(request('quote')) == 'small'


class TestToken:
    """A token is proof of its own session's version, and of no other's."""

    def test_carries_the_version_to_a_fresh_host(self, pair: Pair) -> None:
        pair.table.weights = only('small')
        pair.first.ask(request('quote'))
        token = pair.first.chooser.token_of(request('quote'))
        fresh = Host('entry-9', FakeLog(), pair.table)
        pair.table.weights = only('large')
        assert fresh.ask(request('quote', token)) == 'small'
        assert fresh.ask(request('quote')) == 'small'

    @pytest.mark.parametrize('workspace', ['bench', 'other'])
    def test_rides_on_no_other_session(
        self, pair: Pair, workspace: str
    ) -> None:
        pair.table.weights = only('small')
        pair.first.ask(request('quote'))
        token = pair.first.chooser.token_of(request('quote'))
        pair.table.weights = only('large')
        asked = 'quote' if workspace == 'other' else 'inventory'
        theirs = request(asked, token, workspace)
        assert pair.second.ask(theirs) == 'large'

    def test_forged_and_old_tokens_are_ignored(self, pair: Pair) -> None:
        pair.first.ask(request('quote'))
        key = SessionKey('bench', MODEL, 'quote')
        pin = pair.first.pins.find(key)
        assert pin is not None
        tokens = SessionTokens(KEY, SETTINGS.ttl_ms)
        forged = SessionTokens(b'another key', SETTINGS.ttl_ms).issue(pin)
        now_ms = pair.log.now_ms
        for bad in (forged, 'no token', '', 'ñ'):
            assert tokens.read(bad, key, now_ms) is None
        token = tokens.issue(pin)
        assert tokens.read(token, key, now_ms) == pin
        assert tokens.read(token, key, now_ms + SETTINGS.ttl_ms + 1) is None
