"""Check the gateway's guarantees against what callers and replicas observed."""

import collections
import dataclasses
from collections.abc import Iterator
from typing import Final

from tools.soak.const import (
    AGREEMENT_S,
    CRASHES,
    EVENT_COUNT,
    KEY_WITHDRAWAL_S,
    MAX_LATER_ARRIVALS,
    REPLICA_DRAIN_S,
    REQUEST_CRASHES,
    REQUEST_PREFIX,
    SCHEDULING_SLACK_S,
    STOP_GRACE_S,
)

NOT_EXECUTED_STATUSES: Final = frozenset((408, 421, 429, 503))
DENIED_STATUSES: Final = frozenset((401, 403, 404))
HTTP_OK: Final = 200
STREAM_KINDS: Final = frozenset(('stream', 'once'))
AT_MOST_ONCE_KINDS: Final = frozenset(('unsafe', 'once'))


@dataclasses.dataclass(slots=True)
class ObservedCall:
    """One request as its caller observed it; times are event loop times.

    The status is 0 if no response head arrived. `answered_id` is the id in the
    response. `was_daemon_stopping` is
    true if the daemon was in a planned stop when the call ended.
    `is_affected_by_fault` exempts the call from the checks of planned stops
    and drained replicas.
    """

    request_id: str
    kind: str
    key: str
    sent_s: float = 0
    ended_s: float = 0
    status: int = 0
    response_seal: str = ''
    events: tuple[int, ...] = ()
    is_complete: bool = False
    is_affected_by_fault: bool = False
    was_daemon_stopping: bool = False
    answered_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRun:
    """One execution of a request by a replica."""

    request_id: str
    replica: str
    started_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashingArrival:
    """A request with a crashing part at a replica.

    `is_excused` is true if its daemon, the store or the links to replicas had a
    fault shortly before.
    """

    part_id: str
    arrived_s: float
    is_excused: bool


@dataclasses.dataclass(slots=True)
class Observations:
    """Everything that was observed in one run of the soak.

    `interrupted_ids` are the requests whose response a replica may have cut
    because of an injected fault. The spans are the times, from start to end, in
    which faults of the store or of the links to replicas were injected.
    """

    calls: list[ObservedCall] = dataclasses.field(default_factory=list)
    runs: list[ObservedRun] = dataclasses.field(default_factory=list)
    withdrawn_s_by_key: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    drain_start_s_by_replica: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    interrupted_ids: list[str] = dataclasses.field(default_factory=list)
    crash_times_s_by_part: collections.defaultdict[str, list[float]] = (
        dataclasses.field(default_factory=lambda: collections.defaultdict(list))
    )
    crashing_arrivals: list[CrashingArrival] = dataclasses.field(
        default_factory=list
    )
    replica_fault_spans_s: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    store_fault_spans_s: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    # Statuses of the first answers of a plain request's runs.
    statuses_by_id: collections.defaultdict[str, list[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )


def find_violations(observations: Observations) -> Iterator[str]:
    """Yield a line of text for each violated guarantee."""
    runs_by_id: dict[str, list[ObservedRun]] = collections.defaultdict(list)
    for run in observations.runs:
        runs_by_id[run.request_id].append(run)
    for call in observations.calls:
        runs = runs_by_id.get(call.request_id, [])
        yield from _check_executions(call, runs)
        yield from _check_response(call)
        yield from _check_answer(call, observations)
        yield from _check_planned_stop(call, runs, observations)
        yield from _check_key_withdrawal(call, runs, observations)
    yield from _check_drained_replicas(observations)
    yield from _check_crashing_parts(observations)


def _check_executions(
    call: ObservedCall, runs: list[ObservedRun]
) -> Iterator[str]:
    if call.kind not in AT_MOST_ONCE_KINDS:
        return
    if len(runs) > 1:
        yield f'{call.request_id}: executed {len(runs)} times'
    if runs and call.status in NOT_EXECUTED_STATUSES:
        yield f'{call.request_id}: got {call.status}, but was executed'


def _check_response(call: ObservedCall) -> Iterator[str]:
    if call.status == HTTP_OK and call.is_complete and not call.response_seal:
        yield f'{call.request_id}: no Response-Seal in a complete response'
    expected = tuple(range(1, EVENT_COUNT + 1))
    if call.kind in STREAM_KINDS and call.status == HTTP_OK:
        if call.events != expected[: len(call.events)]:
            yield f'{call.request_id}: events out of sequence: {call.events}'
        if call.is_complete and call.events != expected:
            yield f'{call.request_id}: stream ended after {call.events}'
    if call.status in DENIED_STATUSES and not call.key.startswith('gone'):
        yield f'{call.request_id}: denied with {call.status}'


def _check_answer(
    call: ObservedCall, observations: Observations
) -> Iterator[str]:
    if call.answered_id not in {'', call.request_id.lower()}:
        yield f'{call.request_id}: got the answer to {call.answered_id}'
    if call.kind in STREAM_KINDS or call.status != HTTP_OK:
        return
    statuses = observations.statuses_by_id[call.request_id]
    if HTTP_OK not in statuses:
        yield f'{call.request_id}: got 200, but was answered {statuses}'


def _check_planned_stop(
    call: ObservedCall, runs: list[ObservedRun], observations: Observations
) -> Iterator[str]:
    if call.request_id in observations.interrupted_ids:
        return
    if _overlaps_any(
        observations.replica_fault_spans_s, call.sent_s, call.ended_s
    ):
        return
    # A request that arrives while the daemon closes the connection and that
    # never reaches a replica does not count as lost.
    is_lost = call.status == 0 and bool(runs)
    is_interrupted = is_lost or (
        call.status == HTTP_OK and not call.is_complete
    )
    if (
        not (call.was_daemon_stopping and is_interrupted)
        or call.is_affected_by_fault
    ):
        return
    if call.ended_s - call.sent_s < STOP_GRACE_S:
        yield f'{call.request_id}: interrupted by a planned stop'


def _check_key_withdrawal(
    call: ObservedCall, runs: list[ObservedRun], observations: Observations
) -> Iterator[str]:
    withdrawn_s = observations.withdrawn_s_by_key.get(call.key)
    if withdrawn_s is None or not runs:
        return
    if call.sent_s > withdrawn_s + KEY_WITHDRAWAL_S:
        late_s = call.sent_s - withdrawn_s
        yield (
            f'{call.request_id}: executed, but sent {late_s:.2f} s after '
            'its key was withdrawn'
        )


def _check_drained_replicas(observations: Observations) -> Iterator[str]:
    calls_by_id = {call.request_id: call for call in observations.calls}
    for run in observations.runs:
        drain_start_s = observations.drain_start_s_by_replica.get(run.replica)
        call = calls_by_id.get(run.request_id)
        if drain_start_s is None or call is None or call.is_affected_by_fault:
            continue
        allowed_s = drain_start_s + REPLICA_DRAIN_S + SCHEDULING_SLACK_S
        if run.started_s > allowed_s and not _had_store_fault(
            observations, drain_start_s
        ):
            late_s = run.started_s - drain_start_s
            yield (
                f'{run.request_id}: executed {late_s:.2f} s after '
                f'{run.replica} began to drain'
            )


def _check_crashing_parts(observations: Observations) -> Iterator[str]:
    for part_id, times_s in observations.crash_times_s_by_part.items():
        is_request = part_id.startswith(REQUEST_PREFIX)
        crashes = REQUEST_CRASHES if is_request else CRASHES
        if len(times_s) < crashes:
            continue
        agreed_s = sorted(times_s)[crashes - 1] + AGREEMENT_S
        later = [
            arrival
            for arrival in observations.crashing_arrivals
            if arrival.part_id == part_id
            and arrival.arrived_s > agreed_s + SCHEDULING_SLACK_S
            and not arrival.is_excused
        ]
        if len(later) > MAX_LATER_ARRIVALS:
            yield (
                f'part {part_id}: {len(later)} requests reached replicas too '
                f'late, {len(times_s)} crashes'
            )


def _had_store_fault(observations: Observations, at_s: float) -> bool:
    """Return whether a store fault was injected around the given time."""
    return _overlaps_any(
        observations.store_fault_spans_s,
        at_s - KEY_WITHDRAWAL_S,
        at_s + REPLICA_DRAIN_S,
    )


def _overlaps_any(
    spans: list[tuple[float, float]], from_s: float, until_s: float
) -> bool:
    """Return whether any of the spans overlaps the given one."""
    return any(
        started_s <= until_s and from_s <= ended_s
        for started_s, ended_s in spans
    )
