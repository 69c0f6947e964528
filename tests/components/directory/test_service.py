"""The directory of replicas: who may get work, and for how long."""

import dataclasses

import pytest

from marigoldhoist.components.directory.const import LAPSE_GRACE_S
from marigoldhoist.components.directory.models import Replica, ReplicaEntry
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.core.clock import SystemClock

ENTRY = ReplicaEntry('r1', 's', '127.0.0.1', 80, 'here', 'v1', 8, False, 1)
SOUND = float('inf')


class BootClock(SystemClock):
    """A clock that the test moves."""

    now_s = 10.0

    def boottime_s(self) -> float:
        """Return the time that the test has set."""
        return self.now_s


class Listed:
    """A directory with one replica, and those it said were gone."""

    def __init__(self) -> None:
        self.clock = BootClock()
        self.directory = DirectoryService(self.clock)
        self.gone: list[Replica] = []
        self.directory.on_gone(self.gone.append)
        self.directory.put(ENTRY)

    @property
    def usable(self) -> list[str]:
        """Return the names of the replicas that may get work."""
        return [replica.host for replica in self.directory.usable('s')]


class TestLeaving:
    """Replicas that drain or are gone."""

    def test_draining_replica_gets_no_work(self) -> None:
        listed = Listed()
        listed.directory.put(dataclasses.replace(ENTRY, is_draining=True))
        assert not listed.usable
        assert not listed.gone

    def test_removed_replica_is_gone_at_once(self) -> None:
        listed = Listed()
        listed.directory.remove('r1', SOUND)
        assert not listed.usable
        assert [replica.host for replica in listed.gone] == ['r1']

    def test_replica_that_is_not_named_is_gone(self) -> None:
        listed = Listed()
        listed.directory.keep_only((), SOUND)
        assert not listed.usable

    def test_replaced_replica_is_gone(self) -> None:
        listed = Listed()
        listed.directory.note_replaced(listed.directory.usable('s')[0])
        assert not listed.usable


class TestLapsed:
    """Entries that went while the store was away."""

    def test_is_used_until_the_grace_has_passed(self) -> None:
        listed = Listed()
        listed.directory.remove('r1', 0)
        listed.clock.now_s += LAPSE_GRACE_S - 0.1
        assert listed.usable == ['r1']
        listed.clock.now_s += 0.2
        assert not listed.usable
        listed.directory.drop_lapsed()
        assert listed.gone

    def test_is_used_again_once_it_is_back(self) -> None:
        listed = Listed()
        listed.directory.remove('r1', 0)
        listed.directory.put(ENTRY)
        listed.clock.now_s += 10 * LAPSE_GRACE_S
        assert listed.usable == ['r1']

    def test_grace_counts_from_the_stores_return(self) -> None:
        listed = Listed()
        listed.directory.remove('r1', LAPSE_GRACE_S - 0.5)
        listed.clock.now_s += 0.6
        assert not listed.usable

    def test_draining_entry_does_not_lapse(self) -> None:
        listed = Listed()
        listed.directory.put(dataclasses.replace(ENTRY, is_draining=True))
        listed.directory.remove('r1', 0)
        assert listed.gone


class TestStartedAnew:
    """A replica that starts again under its name."""

    def test_is_another_replica(self) -> None:
        listed = Listed()
        known = listed.directory.usable('s')[0]
        known.in_flight = 5
        listed.directory.put(dataclasses.replace(ENTRY, started_ms=2))
        assert known.is_gone
        assert listed.directory.usable('s')[0].in_flight == 0

    def test_new_entry_of_the_same_start_keeps_what_is_known(self) -> None:
        listed = Listed()
        listed.directory.usable('s')[0].in_flight = 5
        listed.directory.put(dataclasses.replace(ENTRY, slots=4))
        assert listed.directory.usable('s')[0].in_flight == 5


class TestSuspicion:
    """Replicas that refuse or drop connections."""

    def test_grows_until_an_answer_comes(self) -> None:
        listed = Listed()
        replica = listed.directory.usable('s')[0]
        spans = []
        for _ in range(4):
            listed.directory.suspect(replica, 'refused')
            spans.append(replica.suspected_until_s - listed.clock.now_s)
            listed.clock.now_s = replica.suspected_until_s
        assert spans == [pytest.approx(span) for span in (1, 2, 4, 4)]
        replica.note_success(listed.clock.now_s)
        listed.directory.suspect(replica, 'refused')
        span = replica.suspected_until_s - listed.clock.now_s
        assert span == pytest.approx(1)

    def test_failures_fade(self) -> None:
        replica = Replica(ENTRY)
        replica.note_failure(0)
        assert replica.failures(0) == pytest.approx(1)
        assert replica.failures(3) == pytest.approx(0.5)
