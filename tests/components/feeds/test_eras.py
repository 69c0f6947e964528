"""Feeds of a store that comes back from an older copy."""

import pytest

from marigoldhoist.components.feeds.const import ERA_SETTLE_S
from marigoldhoist.components.feeds.errors import HistoryLostError
from marigoldhoist.components.feeds.models import Position, ReadResult
from tests.components.feeds.scripted_feed import Fixture, result

WHOLE = result(5, 'a', 'b', is_whole=True, era=3)


def read_all(*script: ReadResult | Exception) -> Fixture:
    """Return a feed that read each item of the script from the store."""
    fixture = Fixture()
    fixture.add('store', *script)
    for _ in script:
        fixture.read()
    return fixture


class TestChange:
    """Offsets and records never cross eras."""

    @pytest.mark.parametrize('end', (2, 5, 9))
    def test_tail_of_a_new_era_is_not_applied(self, end: int) -> None:
        fixture = read_all(WHOLE, result(end, 'c', era=4))
        assert [update.batch.end for update in fixture.updates] == [5]
        assert fixture.feed.position is None

    def test_topic_is_read_whole_in_the_new_era(self) -> None:
        fixture = read_all(
            WHOLE, result(9, 'c', era=4), result(3, 'a', is_whole=True, era=4)
        )
        assert [update.is_new_era for update in fixture.updates] == [
            False,
            True,
        ]
        assert fixture.feed.position == Position(3, 4)
        assert [record.key for record in fixture.feed.records_from(0)] == ['a']

    def test_offset_that_the_store_does_not_have(self) -> None:
        fixture = read_all(
            WHOLE, HistoryLostError('gone'), result(2, is_whole=True, era=4)
        )
        assert fixture.feed.position == Position(2, 4)
        assert fixture.updates[-1].is_new_era

    def test_several_eras_at_once(self) -> None:
        fixture = read_all(WHOLE, result(2, is_whole=True, era=9))
        assert fixture.feed.era == 9

    def test_first_answer_with_an_era_replaces_answers_without(self) -> None:
        fixture = read_all(
            result(5, 'a', is_whole=True), result(5, is_whole=True, era=1)
        )
        assert fixture.updates[-1].is_new_era

    def test_every_change_is_counted(self) -> None:
        fixture = read_all(
            WHOLE,
            result(2, is_whole=True, era=4),
            result(2, is_whole=True, era=5),
        )
        assert fixture.outcomes.count('era_changed') == 2


class TestRejection:
    """Answers of earlier eras and without an era are ignored."""

    @pytest.mark.parametrize('era', (None, 2))
    @pytest.mark.parametrize('is_whole', (True, False))
    def test_answer_is_not_applied(
        self, era: int | None, is_whole: bool
    ) -> None:
        fixture = read_all(WHOLE, result(9, 'c', is_whole=is_whole, era=era))
        assert fixture.feed.position == Position(5, 3)
        assert len(fixture.updates) == 1
        assert fixture.feed.is_lost is False

    def test_next_source_is_asked(self) -> None:
        fixture = read_all(WHOLE)
        fixture.sources.clear()
        fixture.add('store', result(9, 'c', era=2))
        peer = fixture.add('peer', result(6, 'c', era=3))
        assert fixture.read()
        assert peer.offsets_read == [5]


class TestSettling:
    """Records are not confirmed until lost ones had time to return."""

    def test_age_is_not_reset_before_the_end(self) -> None:
        fixture = read_all(
            WHOLE,
            result(3, is_whole=True, era=4),
            result(3, era=4),
            result(3, era=4),
        )
        ages = [update.confirmed_s for update in fixture.updates]
        # Each read takes a second: the third one after the change is the first
        # to start no sooner than the settling time after it.
        assert ages == [100, 100, 100, 103]
        assert ERA_SETTLE_S == 2

    def test_peer_that_settles_suffices(self) -> None:
        fixture = Fixture()
        fixture.add(
            'peer',
            result(3, is_whole=True, era=4, age_s=9, is_settling=True),
        )
        store = fixture.add('store', result(3, era=4))
        assert fixture.read()
        assert not store.offsets_read
        assert fixture.feed.age_s == float('inf')

    def test_entries_that_are_missing_count_as_lapsed(self) -> None:
        fixture = read_all(WHOLE, result(3, is_whole=True, era=4))
        assert fixture.feed.healthy_for_s == 0
