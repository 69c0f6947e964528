"""Remember when prompts with a part were last answered."""

import collections
from collections.abc import Iterable

from marigoldhoist.components.quarantine.const import MAX_ANSWERED_PARTS


class AnsweredParts:
    """The boot times of the newest answers by part, of a bounded number."""

    def __init__(self) -> None:
        self.answered_s_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record(self, part_ids: Iterable[str], answered_s: float) -> None:
        """Record an answer; the parts longest without one are dropped."""
        answered = self.answered_s_by_part
        for part_id in part_ids:
            known_s = answered.get(part_id, answered_s)
            answered[part_id] = max(known_s, answered_s)
            answered.move_to_end(part_id)
        while len(answered) > MAX_ANSWERED_PARTS:
            answered.popitem(last=False)
