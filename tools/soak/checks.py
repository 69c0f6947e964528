"""The promises, checked from what callers and replicas saw."""

import collections
import dataclasses
from collections.abc import Iterator
from typing import Final

from tools.soak.const import (
    DRAIN_S,
    EVENTS,
    SLACK_S,
    STOP_GRACE_S,
    WITHDRAWAL_S,
)

NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
DENIALS: Final = frozenset((401, 403, 404))
OK: Final = 200


@dataclasses.dataclass(slots=True)
class CallSeen:
    """One request as its caller saw it; times are on the loop's clock.

    The status is 0 where no answer began. `daemon_stop_s` is when the daemon
    was told to stop, if it was before the answer ended.
    """

    request_id: str
    kind: str
    key: str
    sent_s: float
    ended_s: float = 0
    status: int = 0
    sealed_by: str = ''
    events: tuple[int, ...] = ()
    is_whole: bool = False
    is_disturbed: bool = False
    was_stopped: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RunSeen:
    """One run of a request at a replica."""

    request_id: str
    replica: str
    begun_s: float


@dataclasses.dataclass(slots=True)
class Evidence:
    """Everything that was seen in one run of the soak."""

    calls: list[CallSeen] = dataclasses.field(default_factory=list)
    runs: list[RunSeen] = dataclasses.field(default_factory=list)
    withdrawn_s_by_key: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    left_s_by_replica: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    broken_off: list[str] = dataclasses.field(default_factory=list)
    replica_troubles_s: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    store_troubles_s: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )


def violations(evidence: Evidence) -> Iterator[str]:
    """Yield what broke a promise, one line each."""
    runs_by_id: dict[str, list[RunSeen]] = collections.defaultdict(list)
    for run in evidence.runs:
        runs_by_id[run.request_id].append(run)
    for call in evidence.calls:
        runs = runs_by_id.get(call.request_id, [])
        yield from _wrong_runs(call, runs)
        yield from _wrong_answer(call)
        yield from _cut_by_stop(call, runs, evidence)
        yield from _outlived_key(call, runs, evidence)
    yield from _late_work(evidence)


def _wrong_runs(call: CallSeen, runs: list[RunSeen]) -> Iterator[str]:
    if call.kind == 'unsafe' and len(runs) > 1:
        yield f'{call.request_id}: ran {len(runs)} times'
    if call.kind == 'unsafe' and runs and call.status in NOT_RUN_STATUSES:
        yield f'{call.request_id}: told {call.status}, but it ran'


def _wrong_answer(call: CallSeen) -> Iterator[str]:
    if call.status == OK and call.is_whole and not call.sealed_by:
        yield f'{call.request_id}: an answer that no replica signed'
    expected = tuple(range(1, EVENTS + 1))
    if call.kind == 'stream' and call.status == OK:
        if call.events != expected[: len(call.events)]:
            yield f'{call.request_id}: events {call.events}'
        if call.is_whole and call.events != expected:
            yield f'{call.request_id}: looks whole with {call.events}'
    if call.status in DENIALS and not call.key.startswith('gone'):
        yield f'{call.request_id}: denied with {call.status}'


def _cut_by_stop(
    call: CallSeen, runs: list[RunSeen], evidence: Evidence
) -> Iterator[str]:
    if call.request_id in evidence.broken_off:
        return
    if _is_within(evidence.replica_troubles_s, call.sent_s, call.ended_s):
        return
    # A request that crosses the close and is not passed on is not lost.
    is_lost = call.status == 0 and bool(runs)
    is_cut = is_lost or (call.status == OK and not call.is_whole)
    if not (call.was_stopped and is_cut) or call.is_disturbed:
        return
    if call.ended_s - call.sent_s < STOP_GRACE_S:
        yield f'{call.request_id}: cut by a planned stop'


def _outlived_key(
    call: CallSeen, runs: list[RunSeen], evidence: Evidence
) -> Iterator[str]:
    withdrawn_s = evidence.withdrawn_s_by_key.get(call.key)
    if withdrawn_s is None or not runs:
        return
    if call.sent_s > withdrawn_s + WITHDRAWAL_S:
        late_s = call.sent_s - withdrawn_s
        yield f'{call.request_id}: ran {late_s:.2f} s after its key had gone'


def _late_work(evidence: Evidence) -> Iterator[str]:
    calls_by_id = {call.request_id: call for call in evidence.calls}
    for run in evidence.runs:
        left_s = evidence.left_s_by_replica.get(run.replica)
        call = calls_by_id.get(run.request_id)
        if left_s is None or call is None or call.is_disturbed:
            continue
        allowed_s = left_s + DRAIN_S + SLACK_S
        if run.begun_s > allowed_s and not _was_troubled(evidence, left_s):
            late_s = run.begun_s - left_s
            yield (
                f'{run.request_id}: sent {late_s:.2f} s after '
                f'{run.replica} left'
            )


def _was_troubled(evidence: Evidence, moment_s: float) -> bool:
    """Tell whether the store was in trouble around a moment."""
    return _is_within(
        evidence.store_troubles_s, moment_s - WITHDRAWAL_S, moment_s + DRAIN_S
    )


def _is_within(
    spans: list[tuple[float, float]], from_s: float, until_s: float
) -> bool:
    """Tell whether one of the spans meets a time."""
    return any(
        begun_s <= until_s and from_s <= ended_s for begun_s, ended_s in spans
    )
