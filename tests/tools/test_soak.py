"""The soak's checks find what breaks a promise, and nothing else."""

import pytest

from tools.soak.checks import CallSeen, Evidence, RunSeen, violations
from tools.soak.const import DRAIN_S, EVENTS, SLACK_S, WITHDRAWAL_S

WHOLE = tuple(range(1, EVENTS + 1))


def call(kind: str = 'safe', **changed: object) -> CallSeen:
    """Return an answered call."""
    seen = CallSeen('r', kind, 'kept', 10, 11, 200, 'seal', (), True)
    if kind == 'stream':
        seen.events = WHOLE
    for name, found in changed.items():
        setattr(seen, name, found)
    return seen


def evidence(seen: CallSeen, *begun_s: float) -> Evidence:
    """Return what one call and its runs show."""
    runs = [RunSeen('r', f'p{at}', at_s) for at, at_s in enumerate(begun_s)]
    return Evidence([seen], runs)


class TestSound:
    """Calls that break nothing."""

    @pytest.mark.parametrize(
        'seen',
        (
            call(),
            call('unsafe'),
            call('stream'),
            call('stream', events=WHOLE[:2], is_whole=False),
            call(status=503, sealed_by=''),
            call(key='gone-1', status=401, sealed_by=''),
        ),
    )
    def test_nothing_is_found(self, seen: CallSeen) -> None:
        assert not list(violations(evidence(seen)))

    def test_request_that_met_a_closed_process(self) -> None:
        seen = call(status=0, is_whole=False, was_stopped=True)
        assert not list(violations(evidence(seen)))


class TestBroken:
    """One broken promise each."""

    @pytest.mark.parametrize(
        ('seen', 'begun_s', 'word'),
        (
            (call('unsafe'), (10, 10.5), 'ran 2 times'),
            (call('unsafe', status=503), (10,), 'but it ran'),
            (call(sealed_by=''), (10,), 'signed'),
            (call('stream', events=(1, 2, 2, 3)), (10,), 'events'),
            (call('stream', events=(1, 3)), (10,), 'events'),
            (call('stream', events=WHOLE[:-1]), (10,), 'looks whole'),
            (call(status=404), (), 'denied'),
            (
                call(status=0, is_whole=False, was_stopped=True),
                (10,),
                'planned stop',
            ),
        ),
    )
    def test_is_found(
        self, seen: CallSeen, begun_s: tuple[float, ...], word: str
    ) -> None:
        found = list(violations(evidence(seen, *begun_s)))
        assert found
        assert word in found[0]

    def test_key_that_outlives_its_time(self) -> None:
        seen = evidence(call(key='gone-1'), 10)
        seen.withdrawn_s_by_key['gone-1'] = 10 - WITHDRAWAL_S - 0.1
        assert 'key' in next(violations(seen))

    def test_work_for_a_replica_that_left(self) -> None:
        seen = evidence(call(), 10)
        seen.left_s_by_replica['p0'] = 10 - DRAIN_S - SLACK_S - 0.1
        assert 'left' in next(violations(seen))
        seen.store_troubles_s.append((5, 8))
        assert not list(violations(seen))
