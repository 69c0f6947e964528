"""Which replicas get no work after failures."""

import math

from marigoldhoist.components.upstreams.const import (
    EJECTION_S,
    LEAVING_S,
    MAX_EJECTION_S,
)
from marigoldhoist.components.upstreams.ejection import Ejections
from marigoldhoist.components.upstreams.models import Replica


def fleet(count: int) -> tuple[Replica, ...]:
    """Return replicas of one name."""
    return tuple(
        Replica(f'r{number}', '127.0.0.1', 1, 'gasabo', ())
        for number in range(count)
    )


class TestEjections:
    """A failed replica gets no work, but not too many at once."""

    def test_ejected_until_its_time_is_over(self) -> None:
        ejections = Ejections()
        replicas = fleet(3)
        ejections.eject('r1', now_s=0)
        out = ejections.usable(replicas, now_s=EJECTION_S / 2)
        assert [one.host for one in out] == ['r0', 'r2']
        assert ejections.usable(replicas, EJECTION_S) == replicas

    def test_time_doubles_up_to_a_bound(self) -> None:
        ejections = Ejections()
        now_s: float = 0
        durations = []
        for _ in range(8):
            ejections.eject('r1', now_s)
            started_s = now_s
            while ejections.is_ejected('r1', now_s):
                now_s += EJECTION_S
            durations.append(now_s - started_s)
        assert durations[:3] == [EJECTION_S, EJECTION_S * 2, EJECTION_S * 4]
        assert durations[-1] == MAX_EJECTION_S

    def test_a_domain_lost_at_once_leaves_the_others(self) -> None:
        ejections = Ejections()
        replicas = fleet(9)
        for replica in replicas[:3]:
            ejections.eject(replica.host, now_s=0)
        assert ejections.usable(replicas, 0) == replicas[3:]

    def test_all_lost_at_once_are_all_used(self) -> None:
        ejections = Ejections()
        replicas = fleet(9)
        for replica in replicas:
            ejections.eject(replica.host, now_s=0)
        assert ejections.usable(replicas, 0) == replicas

    def test_the_only_replica_is_used(self) -> None:
        ejections = Ejections()
        ejections.eject('r0', now_s=0)
        replicas = fleet(1)
        assert ejections.usable(replicas, 0) == replicas

    def test_leaving_replicas_get_no_work_even_when_all_others_fail(
        self,
    ) -> None:
        ejections = Ejections()
        replicas = fleet(3)
        ejections.note_leaving('r0', now_s=0)
        ejections.eject('r1', now_s=0)
        ejections.eject('r2', now_s=0)
        assert ejections.usable(replicas, 0) == replicas[1:]
        assert ejections.usable(replicas, max(LEAVING_S, EJECTION_S)) == (
            replicas
        )

    def test_readmitted_when_it_answers(self) -> None:
        ejections = Ejections()
        ejections.eject('r0', now_s=0)
        ejections.readmit('r0')
        assert not ejections.is_ejected('r0', now_s=0)


class TestHistory:
    """A replica knows this daemon's count at an earlier time."""

    def test_count_at_an_earlier_time(self) -> None:
        replica = fleet(1)[0]
        assert replica.in_flight_at(math.inf) == 0
        replica.begin_request()
        between_s = replica.history[-1].since_s
        replica.begin_request()
        assert replica.in_flight_at(math.inf) == 2
        assert replica.in_flight_at(between_s) in {1, 2}
