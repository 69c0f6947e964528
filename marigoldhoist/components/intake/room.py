"""Memory that the input of all callers shares.

It answers a load of many large bodies, and of bodies that stop short of their
end. What finds no room is refused at once. An input that stalls gives way as
soon as another one needs its room; the large inputs of one workspace never
hold all of it.
"""

import collections
import dataclasses
import math
import threading
from collections.abc import Callable, Iterable

from marigoldhoist.components.intake.const import (
    LARGE_INPUT_SHARE,
    MIN_LARGEST_INPUTS,
    SMALL_INPUT_BYTES,
    STALL_GRACE_S,
    WORKSPACE_SHARE,
)
from marigoldhoist.components.intake.pace import InputPace
from marigoldhoist.components.intake.settings import IntakeSettings


class HeldInput:
    """The room that the input of one request holds.

    `pace` is None while nothing is awaited. `evict` is called, from any thread,
    when the input has lost its room to another one.
    """

    def __init__(self, evict: Callable[[], None]) -> None:
        self.workspace = ''
        self.size_bytes = 0
        self.pace: InputPace | None = None
        self.evict = evict

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the input gives way to others."""
        return self.pace is not None and (
            self.pace.behind_s(now_s) > STALL_GRACE_S
        )


@dataclasses.dataclass(slots=True)
class _Shortfall:
    """Room that is missing in all and in the share of a workspace, in bytes.

    Nothing is missing where the number is not positive.
    """

    workspace: str
    total_bytes: float
    workspace_bytes: float

    @property
    def is_covered(self) -> bool:
        """Return whether nothing is missing any more."""
        return self.total_bytes <= 0 and self.workspace_bytes <= 0

    def is_reduced_by(self, held: HeldInput) -> bool:
        """Return whether the room of an input is of use."""
        is_own = held.workspace == self.workspace
        return self.total_bytes > 0 or (is_own and self.workspace_bytes > 0)

    def reduce(self, held: HeldInput) -> None:
        """Take the room of an input off."""
        self.total_bytes -= held.size_bytes
        if held.workspace == self.workspace and _is_large(held.size_bytes):
            self.workspace_bytes -= held.size_bytes


class InputRoom:
    """Reserves memory for input; all methods may be called by any thread."""

    def __init__(self, settings: IntakeSettings) -> None:
        self._max_bytes = settings.max_bytes
        self._capacity_bytes = settings.max_bytes
        self._lock = threading.Lock()
        self._inputs: set[HeldInput] = set()
        self._large_bytes_by_workspace: collections.Counter[str] = (
            collections.Counter()
        )
        self.held_bytes = 0

    def fit(self, largest_input_bytes: int) -> None:
        """Make the room large enough for an input of the given size."""
        self._capacity_bytes = max(
            self._max_bytes, MIN_LARGEST_INPUTS * largest_input_bytes
        )

    def try_reserve(
        self, held: HeldInput, size_bytes: int, now_s: float
    ) -> bool:
        """Resize the room of an input; return False if there is none.

        Stalled inputs lose theirs if that makes enough room.
        """
        with self._lock:
            victims = self._find_victims(held, size_bytes, now_s)
            if victims is None:
                return False
            for victim in victims:
                self._resize(victim, 0)
            self._resize(held, size_bytes)
        for victim in victims:
            victim.evict()
        return True

    def try_evict(self, now_s: float) -> bool:
        """Evict the input that stalled longest; return False if none did.

        It answers callers that hold what else is scarce, such as threads.
        """
        with self._lock:
            stalled = [held for held in self._inputs if held.is_stalled(now_s)]
            if not stalled:
                return False
            victim = min(stalled, key=_due_s)
            self._resize(victim, 0)
        victim.evict()
        return True

    def release(self, held: HeldInput) -> None:
        """Give back the room of an input, which may hold none."""
        with self._lock:
            self._resize(held, 0)

    def retry_after_s(self, now_s: float) -> float:
        """Return the seconds until an input that stalls now gives way."""
        with self._lock:
            dues_s = [
                held.pace.due_s(STALL_GRACE_S)
                for held in self._inputs
                if held.pace is not None
            ]
        return max(0, min(dues_s, default=now_s) - now_s)

    def _find_victims(
        self, held: HeldInput, size_bytes: int, now_s: float
    ) -> tuple[HeldInput, ...] | None:
        """Return the inputs to evict, None if that is not enough."""
        shortfall = self._shortfall(held, size_bytes)
        if shortfall.is_covered:
            return ()
        victims = []
        for stalled in self._stalled(held, now_s):
            if shortfall.is_reduced_by(stalled):
                shortfall.reduce(stalled)
                victims.append(stalled)
        return tuple(victims) if shortfall.is_covered else None

    def _stalled(self, held: HeldInput, now_s: float) -> Iterable[HeldInput]:
        """Return the other stalled inputs.

        Those of the same workspace come first, then the longest stalled ones.
        """
        stalled = [
            other
            for other in self._inputs
            if other is not held and other.is_stalled(now_s)
        ]
        return sorted(
            stalled,
            key=lambda other: (
                other.workspace != held.workspace,
                _due_s(other),
            ),
        )

    def _shortfall(self, held: HeldInput, size_bytes: int) -> '_Shortfall':
        """Return how much room is missing to resize that of an input."""
        others_bytes = self.held_bytes - held.size_bytes
        if not _is_large(size_bytes):
            missing = others_bytes + size_bytes - self._capacity_bytes
            return _Shortfall(held.workspace, missing, 0)
        own_bytes = self._large_bytes_by_workspace[held.workspace]
        if _is_large(held.size_bytes):
            own_bytes -= held.size_bytes
        return _Shortfall(
            held.workspace,
            others_bytes
            + size_bytes
            - self._capacity_bytes * LARGE_INPUT_SHARE,
            own_bytes + size_bytes - self._capacity_bytes * WORKSPACE_SHARE,
        )

    def _resize(self, held: HeldInput, size_bytes: int) -> None:
        by_workspace = self._large_bytes_by_workspace
        if _is_large(held.size_bytes):
            by_workspace[held.workspace] -= held.size_bytes
        if _is_large(size_bytes):
            by_workspace[held.workspace] += size_bytes
        if not by_workspace[held.workspace]:
            by_workspace.pop(held.workspace, None)
        self.held_bytes += size_bytes - held.size_bytes
        held.size_bytes = size_bytes
        if size_bytes:
            self._inputs.add(held)
        else:
            self._inputs.discard(held)


def _due_s(held: HeldInput) -> float:
    return math.inf if held.pace is None else held.pace.due_s(0)


def _is_large(size_bytes: int) -> bool:
    return size_bytes > SMALL_INPUT_BYTES
