"""Track which parts of prompts each replica holds in its prefix cache.

Prompts of the same session or topic share long prefixes. A replica that has a
prefix in its cache answers sooner than a replica that must prefill it.
"""

import collections
from collections.abc import Iterable, Sequence
from typing import Final

# Parts tracked per replica and model; the least recently used is evicted.
MAX_TRACKED_PARTS: Final = 4096
# Replicas evict parts from their caches over time, so a part that was last
# used longer ago is assumed not to be cached.
MAX_PART_AGE_S: Final = 60.0


class PrefixCacheTracker:
    """Estimates the prefix cache contents of each replica and model."""

    def __init__(self) -> None:
        # The time of the last use, by part ID, for each replica and model.
        self._last_used_by_holder: dict[
            tuple[str, str], collections.OrderedDict[str, float]
        ] = {}

    def note(
        self, host: str, model: str, part_ids: Iterable[str], now_s: float
    ) -> None:
        """Record that a replica prefilled the parts for a model."""
        last_used = self._last_used_by_holder.setdefault(
            (host, model), collections.OrderedDict()
        )
        for part_id in part_ids:
            last_used[part_id] = now_s
            last_used.move_to_end(part_id)
        while len(last_used) > MAX_TRACKED_PARTS:
            last_used.popitem(last=False)

    def cached_part_count(
        self, host: str, model: str, part_ids: Sequence[str], now_s: float
    ) -> int:
        """Return how many leading parts the replica presumably caches."""
        last_used = self._last_used_by_holder.get((host, model))
        count = 0
        if last_used is None:
            return count
        for part_id in part_ids:
            used_s = last_used.get(part_id)
            if used_s is None or now_s - used_s > MAX_PART_AGE_S:
                break
            count += 1
        return count

    def forget(self, host: str) -> None:
        """Remove all entries of a replica that no longer exists."""
        for holder in tuple(self._last_used_by_holder):
            if holder[0] == host:
                self._last_used_by_holder.pop(holder)
