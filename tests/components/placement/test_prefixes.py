"""Tests of the tracker of prefix caches."""

from marigoldhoist.components.placement.prefixes import (
    MAX_PART_AGE_S,
    MAX_TRACKED_PARTS,
    PrefixCacheTracker,
)


class TestPrefixCacheTracker:
    """The tracker counts leading parts that are presumably cached."""

    def test_counts_only_leading_parts(self) -> None:
        tracker = PrefixCacheTracker()
        tracker.note('r', 'm', ('a', 'b'), 0)
        assert tracker.cached_part_count('r', 'm', ('a', 'b', 'c'), 1) == 2
        assert tracker.cached_part_count('r', 'm', ('x', 'b'), 1) == 0

    def test_models_and_replicas_are_tracked_separately(self) -> None:
        tracker = PrefixCacheTracker()
        tracker.note('r', 'm', ('a',), 0)
        assert tracker.cached_part_count('r', 'n', ('a',), 1) == 0
        assert tracker.cached_part_count('q', 'm', ('a',), 1) == 0

    def test_old_parts_and_removed_replicas_are_not_counted(self) -> None:
        tracker = PrefixCacheTracker()
        tracker.note('r', 'm', ('a',), 0)
        assert (
            tracker.cached_part_count('r', 'm', ('a',), MAX_PART_AGE_S + 1) == 0
        )
        tracker.forget('r')
        assert tracker.cached_part_count('r', 'm', ('a',), 1) == 0

    def test_least_recently_used_parts_are_evicted(self) -> None:
        tracker = PrefixCacheTracker()
        tracker.note('r', 'm', ('first',), 0)
        tracker.note('r', 'm', map(str, range(MAX_TRACKED_PARTS)), 0)
        assert tracker.cached_part_count('r', 'm', ('first',), 0) == 0
