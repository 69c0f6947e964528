"""Remember which replica holds which parts of prompts in its cache.

Answers the load of sessions and topics whose prompts share long parts: a
replica that read a part before answers sooner than one that has to read it.
"""

import collections
from collections.abc import Iterable, Sequence
from typing import Final

# Parts remembered of each replica and model, the least recently used first.
REMEMBERED_PARTS: Final = 4096
# Memory runs over to other parts in time; a part is not counted on for longer.
REMEMBERED_S: Final = 60.0


class PrefixCacheTracker:
    """Parts by replica and model, with the time of their last use."""

    def __init__(self) -> None:
        self._used_by_holder: dict[
            tuple[str, str], collections.OrderedDict[str, float]
        ] = {}

    def note(
        self, host: str, model: str, part_ids: Iterable[str], now_s: float
    ) -> None:
        """Note that a replica read the parts with a model."""
        used = self._used_by_holder.setdefault(
            (host, model), collections.OrderedDict()
        )
        for part_id in part_ids:
            used[part_id] = now_s
            used.move_to_end(part_id)
        while len(used) > REMEMBERED_PARTS:
            used.popitem(last=False)

    def cached_part_count(
        self, host: str, model: str, part_ids: Sequence[str], now_s: float
    ) -> int:
        """Return how many parts from the first on the replica should hold."""
        used = self._used_by_holder.get((host, model))
        held = 0
        if used is None:
            return held
        for part_id in part_ids:
            used_s = used.get(part_id)
            if used_s is None or now_s - used_s > REMEMBERED_S:
                break
            held += 1
        return held

    def forget(self, host: str) -> None:
        """Forget a replica that is gone."""
        for holder in tuple(self._used_by_holder):
            if holder[0] == host:
                self._used_by_holder.pop(holder)
