"""Which parts of prompts a replica should still hold."""

from marigoldhoist.components.placement.prefixes import (
    REMEMBERED_PARTS,
    REMEMBERED_S,
    PrefixCacheTracker,
)


class TestPrefixCacheTracker:
    """Parts by replica and model."""

    def test_counts_from_the_first_part_on(self) -> None:
        memory = PrefixCacheTracker()
        memory.note('r', 'm', ('a', 'b'), 0)
        assert memory.cached_part_count('r', 'm', ('a', 'b', 'c'), 1) == 2
        assert memory.cached_part_count('r', 'm', ('x', 'b'), 1) == 0

    def test_models_and_replicas_are_apart(self) -> None:
        memory = PrefixCacheTracker()
        memory.note('r', 'm', ('a',), 0)
        assert memory.cached_part_count('r', 'n', ('a',), 1) == 0
        assert memory.cached_part_count('q', 'm', ('a',), 1) == 0

    def test_old_parts_and_gone_replicas_are_not_counted_on(self) -> None:
        memory = PrefixCacheTracker()
        memory.note('r', 'm', ('a',), 0)
        assert memory.cached_part_count('r', 'm', ('a',), REMEMBERED_S + 1) == 0
        memory.forget('r')
        assert memory.cached_part_count('r', 'm', ('a',), 1) == 0

    def test_least_recently_used_parts_yield(self) -> None:
        memory = PrefixCacheTracker()
        memory.note('r', 'm', ('first',), 0)
        memory.note('r', 'm', map(str, range(REMEMBERED_PARTS)), 0)
        assert memory.cached_part_count('r', 'm', ('first',), 0) == 0
