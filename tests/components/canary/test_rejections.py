"""Tests of the versions that stay rejected beyond their orders."""

import pytest

from marigoldhoist.components.canary.models import (
    OrderMark,
    RollOutOrder,
    RollOutState,
    RollOutStatus,
)
from marigoldhoist.components.canary.rejections import (
    MAX_REMEMBERED_REJECTIONS,
    RejectedVersions,
    Rejection,
    Standing,
)

ERA = 1
ORDER = RollOutOrder('s', 'v2', 20, 7, ERA)
NEXT_ORDER = RollOutOrder('s', 'v2', 20, 9, ERA)
EARLIER_ORDER = RollOutOrder('s', 'v2', 20, 3, ERA)
STORED = Rejection('s', 'v2', ORDER.mark)


@pytest.fixture
def rejections() -> RejectedVersions:
    """Return the rejections of a daemon that rejected one version."""
    known = RejectedVersions()
    known.reject(ORDER)
    return known


class TestStanding:
    """A version stays rejected until it is ordered once more."""

    def test_order_for_another_version_changes_nothing(
        self, rejections: RejectedVersions
    ) -> None:
        other = RollOutOrder('s', 'v3', 20, 9, ERA)
        rejections.lift(other, Standing.ORDERED_AGAIN)
        assert rejections.of_service('s') == {'v2'}
        assert not rejections.covers(other)

    def test_next_order_for_the_version_lifts_it(
        self, rejections: RejectedVersions
    ) -> None:
        rejections.lift(NEXT_ORDER, Standing.ORDERED_AGAIN)
        assert not rejections.of_service('s')
        assert not rejections.covers(NEXT_ORDER)

    @pytest.mark.parametrize('order', (ORDER, EARLIER_ORDER))
    def test_order_that_is_read_again_does_not(
        self, rejections: RejectedVersions, order: RollOutOrder
    ) -> None:
        rejections.lift(order, Standing.ORDERED_AGAIN)
        assert rejections.of_service('s') == {'v2'}
        assert rejections.covers(order)

    def test_completion_by_another_daemon_lifts_it(
        self, rejections: RejectedVersions
    ) -> None:
        rejections.lift(ORDER, Standing.COMPLETED)
        rejections.read(STORED, ERA)
        assert not rejections.of_service('s')

    def test_completion_that_is_read_after_the_next_order_lifts_it(
        self, rejections: RejectedVersions
    ) -> None:
        rejections.note_replaced(ORDER)
        rejections.read_earlier(
            RollOutStatus('s', 'v2', RollOutState.COMPLETED)
        )
        assert not rejections.of_service('s')

    def test_roll_back_that_is_read_after_the_next_order_counts(self) -> None:
        known = RejectedVersions()
        known.note_replaced(ORDER)
        known.read_earlier(RollOutStatus('s', 'v2', RollOutState.ROLLED_BACK))
        assert known.of_service('s') == {'v2'}

    def test_services_are_independent(
        self, rejections: RejectedVersions
    ) -> None:
        assert not rejections.of_service('other')


class TestStored:
    """Daemons store what the store does not have in its newest era."""

    def test_own_rejection_is_unstored(
        self, rejections: RejectedVersions
    ) -> None:
        assert rejections.unstored(ERA) == [STORED]

    def test_stored_one_is_not_stored_again(
        self, rejections: RejectedVersions
    ) -> None:
        rejections.read(STORED, ERA)
        assert not rejections.unstored(ERA)

    def test_store_that_lost_records_gets_it_again(
        self, rejections: RejectedVersions
    ) -> None:
        rejections.note_stored(STORED, ERA)
        assert rejections.unstored(ERA + 1) == [STORED]

    def test_later_standing_replaces_the_stored_one(
        self, rejections: RejectedVersions
    ) -> None:
        rejections.lift(NEXT_ORDER, Standing.ORDERED_AGAIN)
        rejections.read(STORED, ERA)
        assert [stored.standing for stored in rejections.unstored(ERA)] == [
            Standing.ORDERED_AGAIN
        ]

    def test_later_daemon_learns_that_it_was_lifted(self) -> None:
        later = RejectedVersions()
        later.read(STORED, ERA)
        later.read(
            Rejection('s', 'v2', NEXT_ORDER.mark, Standing.ORDERED_AGAIN), ERA
        )
        assert not later.of_service('s')


class TestBound:
    """The rejections of the oldest orders are dropped first."""

    def test_oldest_order_goes_first(self) -> None:
        known = RejectedVersions()
        for number in range(MAX_REMEMBERED_REJECTIONS + 1):
            mark = OrderMark(ERA, number)
            known.read(Rejection('s', f'v{number}', mark), ERA)
        versions = known.of_service('s')
        assert len(versions) == MAX_REMEMBERED_REJECTIONS
        assert 'v0' not in versions
