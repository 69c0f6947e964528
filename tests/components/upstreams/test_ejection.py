"""Outlier ejection and the in-flight history of replicas."""

import math

from marigoldhoist.components.upstreams.const import (
    BASE_EJECTION_S,
    LEAVING_NOTICE_TTL_S,
    MAX_EJECTION_S,
)
from marigoldhoist.components.upstreams.ejection import EjectionTracker
from marigoldhoist.components.upstreams.models import Replica


def make_replicas(count: int) -> tuple[Replica, ...]:
    """Return replicas with the hosts r0, r1 and so on."""
    return tuple(
        Replica(f'r{number}', '127.0.0.1', 1, 'gasabo', ())
        for number in range(count)
    )


class TestEjectionTracker:
    """Failed replicas get no requests, unless too many fail at once."""

    def test_ejection_ends_after_its_duration(self) -> None:
        tracker = EjectionTracker()
        replicas = make_replicas(3)
        tracker.eject('r1', now_s=0)
        usable = tracker.usable(replicas, now_s=BASE_EJECTION_S / 2)
        assert [replica.host for replica in usable] == ['r0', 'r2']
        assert tracker.usable(replicas, BASE_EJECTION_S) == replicas

    def test_duration_doubles_up_to_the_maximum(self) -> None:
        tracker = EjectionTracker()
        now_s: float = 0
        durations = []
        for _ in range(8):
            tracker.eject('r1', now_s)
            started_s = now_s
            while tracker.is_ejected('r1', now_s):
                now_s += BASE_EJECTION_S
            durations.append(now_s - started_s)
        assert durations[:3] == [
            BASE_EJECTION_S,
            BASE_EJECTION_S * 2,
            BASE_EJECTION_S * 4,
        ]
        assert durations[-1] == MAX_EJECTION_S

    def test_loss_of_a_domain_keeps_the_others(self) -> None:
        tracker = EjectionTracker()
        replicas = make_replicas(9)
        for replica in replicas[:3]:
            tracker.eject(replica.host, now_s=0)
        assert tracker.usable(replicas, 0) == replicas[3:]

    def test_replicas_stay_in_use_if_all_fail(self) -> None:
        tracker = EjectionTracker()
        replicas = make_replicas(9)
        for replica in replicas:
            tracker.eject(replica.host, now_s=0)
        assert tracker.usable(replicas, 0) == replicas

    def test_only_replica_stays_in_use(self) -> None:
        tracker = EjectionTracker()
        tracker.eject('r0', now_s=0)
        replicas = make_replicas(1)
        assert tracker.usable(replicas, 0) == replicas

    def test_leaving_replica_stays_out_if_all_others_fail(
        self,
    ) -> None:
        tracker = EjectionTracker()
        replicas = make_replicas(3)
        tracker.note_leaving('r0', now_s=0)
        tracker.eject('r1', now_s=0)
        tracker.eject('r2', now_s=0)
        assert tracker.usable(replicas, 0) == replicas[1:]
        assert tracker.usable(
            replicas, max(LEAVING_NOTICE_TTL_S, BASE_EJECTION_S)
        ) == (replicas)

    def test_readmitted_when_it_answers(self) -> None:
        tracker = EjectionTracker()
        tracker.eject('r0', now_s=0)
        tracker.readmit('r0')
        assert not tracker.is_ejected('r0', now_s=0)


class TestInFlightHistory:
    """The in-flight count can be looked up for an earlier time."""

    def test_count_at_an_earlier_time(self) -> None:
        replica = make_replicas(1)[0]
        assert replica.in_flight_at(math.inf) == 0
        replica.begin_request()
        between_s = replica.in_flight_history[-1].since_s
        replica.begin_request()
        assert replica.in_flight_at(math.inf) == 2
        assert replica.in_flight_at(between_s) in {1, 2}
