"""Test the session chooser on one host and on two linked hosts."""

import pytest

from marigoldhoist.components.sessions.models import SessionKey
from marigoldhoist.components.sessions.tokens import SessionTokens
from tests.components.log_fakes import AppendOutcome, FakeLog
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


class HostPair:
    """Two linked hosts that share one log and one table."""

    def __init__(self) -> None:
        self.log = FakeLog()
        self.table = FakeTable()
        self.first = Host('entry-1', self.log, self.table)
        self.second = Host('entry-2', self.log, self.table)
        link(self.first, self.second)


@pytest.fixture
def pair() -> HostPair:
    """Return two linked hosts."""
    return HostPair()


def all_weight_on(version: str) -> dict[str, int]:
    """Return weights that send all new sessions to one version."""
    return dict.fromkeys(VERSIONS, 0) | {version: 1}


class TestPin:
    """Test that a session keeps its version on every host."""

    def test_unlinked_hosts_agree_through_the_log(self, pair: HostPair) -> None:
        link(pair.first)
        link(pair.second)
        pair.table.weights = all_weight_on('small')
        assert pair.first.choose(request('quote')) == 'small'
        pair.table.weights = all_weight_on('large')
        assert pair.second.choose(request('quote')) == 'small'

    def test_linked_hosts_agree_while_the_log_fails(
        self, pair: HostPair
    ) -> None:
        for host in (pair.first, pair.second):
            host.writer.is_failing = True
        pair.table.weights = all_weight_on('small')
        assert pair.first.choose(request('quote')) == 'small'
        pair.table.weights = all_weight_on('large')
        assert pair.second.choose(request('quote')) == 'small'
        for recovered in (pair.second, pair.first):
            recovered.writer.is_failing = False
            recovered.writer.append_unconfirmed(AppendOutcome.CONFIRMED)
            assert recovered.choose(request('quote')) == 'small'

    def test_new_host_queries_peers_while_the_log_fails(
        self, pair: HostPair
    ) -> None:
        pair.table.weights = all_weight_on('small')
        link(pair.first)
        pair.first.choose(request('quote'))
        pair.table.weights = all_weight_on('large')
        pair.second.writer.is_failing = True
        link(pair.first, pair.second)
        assert pair.second.choose(request('quote')) == 'small'

    def test_earlier_of_two_concurrent_pins_wins(self, pair: HostPair) -> None:
        link(pair.first)
        link(pair.second)
        for host in (pair.first, pair.second):
            host.writer.is_failing = True
        pair.table.weights = all_weight_on('small')
        pair.first.choose(request('quote'))
        pair.log.now_ms += 5
        pair.table.weights = all_weight_on('large')
        assert pair.second.choose(request('quote')) == 'large'
        key = SessionKey('bench', MODEL, 'quote')
        earlier = pair.first.pins.find(key)
        later = pair.second.pins.find(key)
        assert earlier is not None
        assert later is not None
        pair.second.pins.merge(earlier)
        pair.first.pins.merge(later)
        for recovered in (pair.second, pair.first):
            recovered.writer.is_failing = False
            recovered.writer.append_unconfirmed(AppendOutcome.CONFIRMED)
            assert recovered.choose(request('quote')) == 'small'

    def test_operator_row_has_precedence_over_the_pin(
        self, pair: HostPair
    ) -> None:
        pair.table.weights = all_weight_on('small')
        pair.first.choose(request('quote'))
        pair.table.put_session('quote', 'medium')
        assert pair.second.choose(request('quote')) == 'medium'
        pair.table.withdrawn.add('medium')
        assert pair.second.choose(request('quote')) == 'small'

    def test_pin_is_renewed_before_it_expires(self, pair: HostPair) -> None:
        pair.table.weights = all_weight_on('small')
        pair.first.choose(request('quote'))
        pair.table.weights = all_weight_on('large')
        for _ in range(4):
            pair.log.advance_time(SETTINGS.ttl_ms * 2 // 3)
            pair.first.writer.catch_up()
            assert pair.first.choose(request('quote')) == 'small'
        pair.log.advance_time(SETTINGS.ttl_ms + 1)
        pair.first.writer.catch_up()
        assert not len(pair.first.pins.fold)


class TestMove:
    """Test that sessions of an unusable version move once and stay."""

    def test_moves_once(self, pair: HostPair) -> None:
        pair.table.weights = all_weight_on('small')
        pair.first.choose(request('quote'))
        pair.table.weights = all_weight_on('large')
        pair.table.withdrawn.add('small')
        assert pair.first.choose(request('quote')) == 'large'
        pair.table.withdrawn.clear()
        pair.table.weights = all_weight_on('medium')
        assert pair.second.choose(request('quote')) == 'large'
        assert pair.first.choose(request('quote')) == 'large'

    def test_moves_from_a_version_held_by_health(self, pair: HostPair) -> None:
        pair.table.weights = all_weight_on('small')
        assert pair.first.choose(request('quote')) == 'small'
        pair.table.weights = all_weight_on('small') | {'large': 1}
        pair.first.holds.hold(MODEL, 'small')
        assert pair.first.choose(request('quote')) == 'large'
        assert pair.second.choose(request('quote')) == 'large'

    def test_move_wins_over_a_version_that_is_live_again(
        self, pair: HostPair
    ) -> None:
        link(pair.first)
        link(pair.second)
        pair.table.weights = dict.fromkeys(VERSIONS, 1) | {'small': 9999}
        assert pair.first.choose(request('quote')) == 'small'
        pair.table.withdrawn.add('small')
        moved = pair.second.choose(request('quote'))
        pair.table.withdrawn.clear()
        assert pair.first.choose(request('quote')) == moved

    def test_version_that_is_live_again_keeps_its_sessions(
        self, pair: HostPair
    ) -> None:
        pair.table.weights = all_weight_on('small')
        assert pair.first.choose(request('quote')) == 'small'
        pair.table.weights = all_weight_on('large')
        pair.table.withdrawn.add('small')
        pair.table.withdrawn.clear()
        for host in (pair.second, pair.first, pair.second):
            assert host.choose(request('quote')) == 'small'
        assert len(pair.log.entries) == 2


class TestSnapshot:
    """Test that a snapshot contains every pin."""

    def test_restores_the_pins(self, pair: HostPair) -> None:
        pair.table.weights = all_weight_on('small')
        pair.first.choose(request('quote'))
        fresh = Host('entry-9', FakeLog(), pair.table)
        fresh.pins.fold.restore(pair.first.pins.fold.dump())
        pair.table.weights = all_weight_on('large')
        assert fresh.choose(request('quote')) == 'small'


class TestToken:
    """Test that a token is accepted for its own session only."""

    def test_token_sets_the_version_on_a_new_host(self, pair: HostPair) -> None:
        pair.table.weights = all_weight_on('small')
        pair.first.choose(request('quote'))
        token = pair.first.chooser.token_of(request('quote'))
        fresh = Host('entry-9', FakeLog(), pair.table)
        pair.table.weights = all_weight_on('large')
        assert fresh.choose(request('quote', token)) == 'small'
        assert fresh.choose(request('quote')) == 'small'

    @pytest.mark.parametrize('workspace', ['bench', 'other'])
    def test_token_of_another_session_is_ignored(
        self, pair: HostPair, workspace: str
    ) -> None:
        pair.table.weights = all_weight_on('small')
        pair.first.choose(request('quote'))
        token = pair.first.chooser.token_of(request('quote'))
        pair.table.weights = all_weight_on('large')
        other_session = 'quote' if workspace == 'other' else 'inventory'
        other_request = request(other_session, token, workspace)
        assert pair.second.choose(other_request) == 'large'

    def test_forged_and_expired_tokens_are_ignored(
        self, pair: HostPair
    ) -> None:
        pair.first.choose(request('quote'))
        key = SessionKey('bench', MODEL, 'quote')
        pin = pair.first.pins.find(key)
        assert pin is not None
        tokens = SessionTokens(KEY, SETTINGS.ttl_ms)
        forged = SessionTokens(b'another key', SETTINGS.ttl_ms).issue(pin)
        now_ms = pair.log.now_ms
        for invalid in (forged, 'no token', '', 'ñ'):
            assert tokens.read(invalid, key, now_ms) is None
        token = tokens.issue(pin)
        assert tokens.read(token, key, now_ms) == pin
        assert tokens.read(token, key, now_ms + SETTINGS.ttl_ms + 1) is None
