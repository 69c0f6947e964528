"""Crashes and held parts, and the messages in which daemons share them."""

import dataclasses
import math
from typing import Annotated

import msgspec

from marigoldhoist.components.directory.models import ReplicaStart
from marigoldhoist.components.quarantine.const import (
    FIRST_HOLD_S,
    MAX_CRASHES,
    MAX_HELD_PARTS,
    MAX_HOLD_S,
    MAX_PARTS_PER_CRASH,
)

PartId = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
AgeSeconds = Annotated[float, msgspec.Meta(ge=0, le=10 * MAX_HOLD_S)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]

TimesHeld = Annotated[int, msgspec.Meta(ge=1, le=64)]


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A crash and the parts in flight there, with their place in the prompt."""

    host: str
    started_ms: int
    age_s: AgeSeconds
    depth_by_part: Annotated[
        dict[PartId, Count], msgspec.Meta(max_length=2 * MAX_PARTS_PER_CRASH)
    ]


class HeldReport(msgspec.Struct, frozen=True, array_like=True):
    """A part that is held back, and for how long it has been."""

    part_id: PartId
    age_s: AgeSeconds
    crashes: Count
    times_held: TimesHeld


class AnswerReport(msgspec.Struct, frozen=True, array_like=True):
    """The seconds since a replica last answered any daemon."""

    host: str
    started_ms: int
    age_s: AgeSeconds


class QuarantineFinding(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon knows of crashes, by itself or from other daemons.

    `answer_age_s_by_part` has the seconds since the newest answer to a prompt
    with a part, for parts of the crashes, `answers` the newest answers of
    their replicas.
    """

    crashes: Annotated[
        list[CrashReport], msgspec.Meta(max_length=2 * MAX_CRASHES)
    ]
    answer_age_s_by_part: dict[PartId, AgeSeconds]
    held: Annotated[
        list[HeldReport], msgspec.Meta(max_length=2 * MAX_HELD_PARTS)
    ]
    answers: Annotated[
        list[AnswerReport], msgspec.Meta(max_length=2 * MAX_CRASHES)
    ] = []


@dataclasses.dataclass(slots=True)
class Crash:
    """The end of a replica, at a boot time, with the parts in flight there.

    `depth_by_part` has the place of each part in its prompt; the first is 0.
    A crash `is_refuted` once the replica has answered after it.
    """

    replica: ReplicaStart
    at_s: float
    depth_by_part: dict[str, int]
    is_refuted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """A part for which a call is refused, and the seconds that this lasts."""

    part_id: str
    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HeldPart:
    """A part that crashed replicas, held back since a boot time."""

    part_id: str
    held_s: float
    crashes: int
    times_held: int = 1

    @property
    def hold_s(self) -> float:
        """Return the seconds for which it is held back."""
        return min(MAX_HOLD_S, math.ldexp(FIRST_HOLD_S, self.times_held - 1))

    def left_s(self, now_s: float) -> float:
        """Return the seconds left; a part on probation has none."""
        return self.held_s + self.hold_s - now_s

    def is_forgotten(self, now_s: float) -> bool:
        """Return whether its probation, as long as the hold, has passed."""
        return self.left_s(now_s) < -self.hold_s
