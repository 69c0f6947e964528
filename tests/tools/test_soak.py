"""The soak's checks report violated guarantees and nothing else."""

import pytest

from tools.soak.checks import (
    Observations,
    ObservedCall,
    ObservedRun,
    find_violations,
)
from tools.soak.const import (
    EVENT_COUNT,
    KEY_WITHDRAWAL_S,
    REPLICA_DRAIN_S,
    SCHEDULING_SLACK_S,
)

ALL_EVENTS = tuple(range(1, EVENT_COUNT + 1))


def call(kind: str = 'safe', **changed: object) -> ObservedCall:
    """Return a completed call, with the given fields changed."""
    observed = ObservedCall('r', kind, 'kept', 10, 11, 200, 'seal', (), True)
    if kind == 'stream':
        observed.events = ALL_EVENTS
    for name, field in changed.items():
        setattr(observed, name, field)
    return observed


def observe(observed: ObservedCall, *started_s: float) -> Observations:
    """Return observations of one call and of its executions."""
    runs = [
        ObservedRun('r', f'p{at}', at_s) for at, at_s in enumerate(started_s)
    ]
    observations = Observations([observed], runs)
    observations.statuses_by_id['r'].append(200)
    return observations


class TestCompliantCalls:
    """Calls that violate no guarantee."""

    @pytest.mark.parametrize(
        'observed',
        (
            call(),
            call('unsafe'),
            call('stream'),
            call('stream', events=ALL_EVENTS[:2], is_complete=False),
            call(status=503, response_seal=''),
            call(key='gone-1', status=401, response_seal=''),
        ),
    )
    def test_has_no_violations(self, observed: ObservedCall) -> None:
        assert not list(find_violations(observe(observed)))

    def test_unexecuted_request_at_a_stopped_daemon(self) -> None:
        observed = call(status=0, is_complete=False, was_daemon_stopping=True)
        assert not list(find_violations(observe(observed)))


class TestAnswers:
    """Successes are compared with the first answers of the replicas."""

    def test_success_after_a_failure_is_reported(self) -> None:
        observations = observe(call(), 10)
        observations.statuses_by_id['r'] = [500, 504]
        violations = list(find_violations(observations))
        assert violations == ['r: got 200, but was answered [500, 504]']


class TestViolations:
    """Calls that violate one guarantee each."""

    @pytest.mark.parametrize(
        ('observed', 'started_s', 'message'),
        (
            (call('unsafe'), (10, 10.5), 'executed 2 times'),
            (call('once'), (10, 10.5), 'executed 2 times'),
            (call('unsafe', status=503), (10,), 'but was executed'),
            (call(answered_id='other'), (10,), 'the answer to other'),
            (call(response_seal=''), (10,), 'no Response-Seal'),
            (call('stream', events=(1, 2, 2, 3)), (10,), 'out of sequence'),
            (call('stream', events=(1, 3)), (10,), 'out of sequence'),
            (
                call('stream', events=ALL_EVENTS[:-1]),
                (10,),
                'stream ended after',
            ),
            (call(status=404), (), 'denied'),
            (
                call(status=0, is_complete=False, was_daemon_stopping=True),
                (10,),
                'planned stop',
            ),
        ),
    )
    def test_is_reported(
        self, observed: ObservedCall, started_s: tuple[float, ...], message: str
    ) -> None:
        violations = list(find_violations(observe(observed, *started_s)))
        assert violations
        assert message in violations[0]

    def test_key_used_after_withdrawal(self) -> None:
        observations = observe(call(key='gone-1'), 10)
        observations.withdrawn_s_by_key['gone-1'] = 10 - KEY_WITHDRAWAL_S - 0.1
        assert 'its key was withdrawn' in next(find_violations(observations))

    def test_execution_by_a_drained_replica(self) -> None:
        observations = observe(call(), 10)
        observations.drain_start_s_by_replica['p0'] = (
            10 - REPLICA_DRAIN_S - SCHEDULING_SLACK_S - 0.1
        )
        assert 'began to drain' in next(find_violations(observations))
        observations.store_fault_spans_s.append((5, 8))
        assert not list(find_violations(observations))
