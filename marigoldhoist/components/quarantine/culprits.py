"""Find the requests and prompt parts that explain the crashes of replicas.

Every request that runs on a replica ends with it, so a part was in flight at a
crash for one of two reasons: it caused the crash, or its request had bad luck.
What tells them apart is that a part which crashes replicas is never answered,
and that it is there at more of the crashes than any other such part. Once it is
found, the crashes at which it was in flight speak against no other part.

A request counts as the last of its parts. If its crashes are those of one of
its prompt parts, other requests with that part crash replicas too, so a prompt
part is found only after crashes of others. Requests that were at the same
crashes are all found, as each of them may have caused them.
"""

import collections
import dataclasses
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Final

from marigoldhoist.components.directory.models import ReplicaStart
from marigoldhoist.components.quarantine.const import (
    ANSWER_MEMORY_S,
    MIN_ANSWERED_SPAN_S,
    MIN_CRASHES,
    MIN_CRASHES_ANSWERED,
    MIN_CRASHES_BY_DEPTH,
    MIN_CRASHES_OF_OTHERS,
    SAME_MOMENT_S,
)
from marigoldhoist.components.quarantine.models import Crash
from marigoldhoist.components.quarantine.part_ids import is_whole_request

NEVER_S: Final = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What speaks for and against the parts, with times in boot time.

    `answered_s_by_part` has the newest answer of a part. Those on probation
    were held back before and are found after one crash. `held_requests` are
    the whole requests that are held back, which explain their crashes.
    """

    crashes: Sequence[Crash]
    answered_s_by_part: Mapping[str, float]
    on_probation: frozenset[str] = frozenset()
    held_requests: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """The crashes at which a part was in flight after its newest answer.

    `of_others` is the number of them at which the request that was at most of
    them was not in flight.
    """

    part_id: str
    crashes: int
    span_s: float
    depth: int
    was_answered: bool
    is_on_probation: bool
    replicas: frozenset[ReplicaStart]
    of_others: int

    @property
    def is_request(self) -> bool:
        """Return whether it is a whole request."""
        return is_whole_request(self.part_id)

    @property
    def is_of_one_request(self) -> bool:
        """Return whether it is a prompt part that explains what a request does.

        It has the crashes of that request, also those that are explained by a
        request which is held.
        """
        return not self.is_request and self.of_others < MIN_CRASHES_OF_OTHERS

    @property
    def is_strong(self) -> bool:
        """Return whether the crashes are enough to hold the part back."""
        if self.is_on_probation:
            return self.crashes > 0
        if self.is_of_one_request:
            return False
        if self.was_answered:
            return (
                self.crashes >= MIN_CRASHES_ANSWERED
                and self.span_s >= MIN_ANSWERED_SPAN_S
            )
        return self.crashes >= MIN_CRASHES

    @property
    def order(self) -> tuple[bool, bool, int, bool, int]:
        """Return the key by which suspicions are compared, weakest first.

        A request goes before the parts that it shares. Among parts that are
        equal otherwise, the one further back in the prompt is shared by fewer
        requests, once there are enough crashes.
        """
        is_depth_decisive = self.crashes >= MIN_CRASHES_BY_DEPTH
        return (
            self.is_on_probation,
            not self.was_answered,
            self.crashes,
            self.is_request,
            self.depth if is_depth_decisive else 0,
        )


def find_culprits(evidence: Evidence) -> dict[str, int]:
    """Return the crashes of each part that explains some, by part."""
    crashes_by_part: dict[str, int] = {}
    strongest = _strongest(evidence)
    while strongest:
        crashes_by_part.update(
            {culprit.part_id: culprit.crashes for culprit in strongest}
        )
        evidence = _without_explained(evidence, strongest)
        strongest = _strongest(evidence)
    return crashes_by_part


def _without_explained(
    evidence: Evidence, culprits: Sequence[Suspicion]
) -> Evidence:
    """Return the evidence that the culprits do not explain."""
    found = frozenset(culprit.part_id for culprit in culprits)
    requests = frozenset(filter(is_whole_request, found))
    prompt_parts = found - requests
    return dataclasses.replace(
        evidence,
        crashes=[
            crash
            for crash in evidence.crashes
            if prompt_parts.isdisjoint(crash.depth_by_part)
        ],
        held_requests=evidence.held_requests | requests,
    )


def _strongest(evidence: Evidence) -> list[Suspicion]:
    """Return the strongest suspicion, and the requests that equal it.

    Empty if there is none to act on.
    """
    suspicions = list(_suspicions(evidence))
    strong = (suspicion for suspicion in suspicions if suspicion.is_strong)
    without_rival = [
        suspicion
        for suspicion in sorted(strong, key=_order_of, reverse=True)
        if not _has_rival(suspicion, suspicions)
    ]
    return [
        suspicion
        for suspicion in without_rival
        if suspicion is without_rival[0]
        or (suspicion.is_request and suspicion.order == without_rival[0].order)
    ]


def _has_rival(suspicion: Suspicion, suspicions: Iterable[Suspicion]) -> bool:
    """Return whether another part may as well have caused the crashes."""
    return any(
        _is_rival(suspicion, other)
        for other in suspicions
        if other.part_id != suspicion.part_id
    )


def _is_rival(suspicion: Suspicion, other: Suspicion) -> bool:
    if suspicion.is_request and other.is_of_one_request:
        return False
    if suspicion.is_request and other.order == suspicion.order:
        return False
    is_elsewhere = other.replicas.isdisjoint(suspicion.replicas)
    return other.order >= suspicion.order and not is_elsewhere


def _suspicions(evidence: Evidence) -> Iterator[Suspicion]:
    newest_s = max((crash.at_s for crash in evidence.crashes), default=0)
    crashes_by_part = _crashes_by_part(evidence)
    for part_id, crashes in crashes_by_part.items():
        answered_s = evidence.answered_s_by_part.get(part_id, NEVER_S)
        moments = list(_moments(crash.at_s for crash in crashes))
        yield Suspicion(
            part_id,
            len(moments),
            moments[-1] - moments[0] if moments else 0,
            min((crash.depth_by_part[part_id] for crash in crashes), default=0),
            newest_s - answered_s < ANSWER_MEMORY_S,
            part_id in evidence.on_probation,
            frozenset(crash.replica for crash in crashes),
            _crashes_of_others(crashes),
        )


def _crashes_by_part(evidence: Evidence) -> dict[str, list[Crash]]:
    """Return the crashes that speak against each part."""
    crashes_by_part: dict[str, list[Crash]] = {}
    for crash in evidence.crashes:
        for part_id in crash.depth_by_part:
            against_part = crashes_by_part.setdefault(part_id, [])
            if _speaks_against(crash, part_id, evidence):
                against_part.append(crash)
    return crashes_by_part


def _speaks_against(crash: Crash, part_id: str, evidence: Evidence) -> bool:
    """Return whether a crash may be the doing of a part that was there."""
    is_explained = not evidence.held_requests.isdisjoint(crash.depth_by_part)
    if is_explained and is_whole_request(part_id):
        return False
    return crash.at_s > evidence.answered_s_by_part.get(part_id, NEVER_S)


def _crashes_of_others(crashes: Sequence[Crash]) -> int:
    """Return the crashes without the request that was at most of them."""
    counts = collections.Counter(
        part_id
        for crash in crashes
        for part_id in crash.depth_by_part
        if is_whole_request(part_id)
    )
    return len(crashes) - max(counts.values(), default=0)


def _moments(times_s: Iterable[float]) -> Iterator[float]:
    """Yield the times that are apart from the ones before, in order."""
    previous_s = NEVER_S
    for at_s in sorted(times_s):
        if at_s - previous_s > SAME_MOMENT_S:
            yield at_s
        previous_s = at_s


def _order_of(suspicion: Suspicion) -> tuple[bool, bool, int, bool, int]:
    return suspicion.order
