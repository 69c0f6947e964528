"""Parts that are held back for a fixed time, or are on probation after it."""

from marigoldhoist.components.quarantine.const import MAX_HELD_PARTS
from marigoldhoist.components.quarantine.models import HeldPart


class HeldParts:
    """The held parts by id, of a bounded number."""

    def __init__(self) -> None:
        self.held_by_part: dict[str, HeldPart] = {}

    def hold(self, part_id: str, crashes: int, now_s: float) -> HeldPart:
        """Hold a part back, for longer if it was held before."""
        known = self.held_by_part.get(part_id)
        times_held = known.times_held + 1 if known else 1
        held = HeldPart(part_id, now_s, crashes, times_held)
        self._put(held)
        return held

    def merge(self, held: HeldPart) -> bool:
        """Take over what another daemon holds; return whether it is new."""
        known = self.held_by_part.get(held.part_id)
        if known is not None and known.times_held >= held.times_held:
            return False
        self._put(held)
        return True

    def active_ids(self, now_s: float) -> frozenset[str]:
        """Return the parts that are held back now."""
        return frozenset(
            part_id
            for part_id, held in self.held_by_part.items()
            if held.left_s(now_s) > 0
        )

    def on_probation(self, now_s: float) -> frozenset[str]:
        """Return the parts whose hold has ended a short time ago."""
        return frozenset(
            part_id
            for part_id, held in self.held_by_part.items()
            if held.left_s(now_s) <= 0
        )

    def release(self, part_id: str) -> None:
        """Forget a part on probation that was answered."""
        self.held_by_part.pop(part_id, None)

    def drop_forgotten(self, now_s: float) -> None:
        """Forget the parts whose probation has passed."""
        self.held_by_part = {
            part_id: held
            for part_id, held in self.held_by_part.items()
            if not held.is_forgotten(now_s)
        }

    def _put(self, held: HeldPart) -> None:
        self.held_by_part.pop(held.part_id, None)
        self.held_by_part[held.part_id] = held
        while len(self.held_by_part) > MAX_HELD_PARTS:
            self.held_by_part.pop(next(iter(self.held_by_part)))
