"""Find the prompt parts that explain the crashes of replicas.

Every request that runs on a replica ends with it, so a part was in flight at a
crash for one of two reasons: it caused the crash, or its request had bad luck.
What tells them apart is that a part which crashes replicas is never answered,
and that it is there at more of the crashes than any other such part. Once it is
found, the crashes at which it was in flight speak against no other part.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Final

from marigoldhoist.components.quarantine.const import (
    ANSWER_MEMORY_S,
    MIN_ANSWERED_SPAN_S,
    MIN_CRASHES,
    MIN_CRASHES_ANSWERED,
    MIN_CRASHES_BY_DEPTH,
    SAME_MOMENT_S,
)
from marigoldhoist.components.quarantine.models import Crash, ReplicaStart

NEVER_S: Final = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What speaks for and against the parts, with times in boot time.

    `answered_s_by_part` has the newest answer of a part. Those on probation
    were held back before and are found after one crash.
    """

    crashes: Sequence[Crash]
    answered_s_by_part: Mapping[str, float]
    on_probation: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """The crashes at which a part was in flight after its newest answer."""

    part_id: str
    crashes: int
    span_s: float
    depth: int
    was_answered: bool
    is_on_probation: bool
    replicas: frozenset[ReplicaStart]

    @property
    def is_strong(self) -> bool:
        """Return whether the crashes are enough to hold the part back."""
        if self.is_on_probation:
            return self.crashes > 0
        if self.was_answered:
            return (
                self.crashes >= MIN_CRASHES_ANSWERED
                and self.span_s >= MIN_ANSWERED_SPAN_S
            )
        return self.crashes >= MIN_CRASHES

    @property
    def order(self) -> tuple[bool, bool, int, int]:
        """Return the key by which suspicions are compared, weakest first.

        Among parts that are equal otherwise, the one further back in the
        prompt is shared by fewer requests, once there are enough crashes.
        """
        is_depth_decisive = self.crashes >= MIN_CRASHES_BY_DEPTH
        return (
            self.is_on_probation,
            not self.was_answered,
            self.crashes,
            self.depth if is_depth_decisive else 0,
        )


def find_culprits(evidence: Evidence) -> dict[str, int]:
    """Return the crashes of each part that explains some, by part."""
    crashes_by_part: dict[str, int] = {}
    unexplained = list(evidence.crashes)
    culprit = _strongest(evidence, unexplained)
    while culprit is not None:
        crashes_by_part[culprit.part_id] = culprit.crashes
        unexplained = [
            crash
            for crash in unexplained
            if culprit.part_id not in crash.depth_by_part
        ]
        culprit = _strongest(evidence, unexplained)
    return crashes_by_part


def _strongest(
    evidence: Evidence, crashes: Sequence[Crash]
) -> Suspicion | None:
    """Return the strongest suspicion, None if there is none to act on."""
    suspicions = list(_suspicions(evidence, crashes))
    strong = (suspicion for suspicion in suspicions if suspicion.is_strong)
    by_strength = sorted(strong, key=_order_of, reverse=True)
    return next(
        (
            suspicion
            for suspicion in by_strength
            if not _has_rival(suspicion, suspicions)
        ),
        None,
    )


def _has_rival(suspicion: Suspicion, suspicions: Iterable[Suspicion]) -> bool:
    """Return whether another part may as well have caused the crashes."""
    return any(
        other.part_id != suspicion.part_id
        and other.order >= suspicion.order
        and not other.replicas.isdisjoint(suspicion.replicas)
        for other in suspicions
    )


def _suspicions(
    evidence: Evidence, crashes: Sequence[Crash]
) -> Iterator[Suspicion]:
    part_ids = {part_id for crash in crashes for part_id in crash.depth_by_part}
    newest_s = max((crash.at_s for crash in crashes), default=0)
    for part_id in part_ids:
        answered_s = evidence.answered_s_by_part.get(part_id, NEVER_S)
        of_part = [
            crash
            for crash in crashes
            if part_id in crash.depth_by_part and crash.at_s > answered_s
        ]
        moments = list(_moments(crash.at_s for crash in of_part))
        yield Suspicion(
            part_id,
            len(moments),
            moments[-1] - moments[0] if moments else 0,
            min((crash.depth_by_part[part_id] for crash in of_part), default=0),
            newest_s - answered_s < ANSWER_MEMORY_S,
            part_id in evidence.on_probation,
            frozenset(crash.replica for crash in of_part),
        )


def _moments(times_s: Iterable[float]) -> Iterator[float]:
    """Yield the times that are apart from the ones before, in order."""
    previous_s = NEVER_S
    for at_s in sorted(times_s):
        if at_s - previous_s > SAME_MOMENT_S:
            yield at_s
        previous_s = at_s


def _order_of(suspicion: Suspicion) -> tuple[bool, bool, int, int]:
    return suspicion.order
