"""Tests of the replica directory."""

import dataclasses

import pytest

from marigoldhoist.components.directory.const import LAPSE_GRACE_S
from marigoldhoist.components.directory.models import Replica, ReplicaEntry
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.placement.loads import LoadContext, replica_views
from marigoldhoist.core.clock import SystemClock

ENTRY = ReplicaEntry('r1', 's', '127.0.0.1', 80, 'here', 'v1', 8, False, 1)
# Seconds since the store became reachable, for a store that never failed.
ALWAYS_HEALTHY_S = float('inf')


class BootClock(SystemClock):
    """A clock that the test sets."""

    now_s = 10.0

    def boottime_s(self) -> float:
        """Return the time set by the test, in seconds."""
        return self.now_s


class Fixture:
    """A directory with one replica, and the replicas reported as removed."""

    def __init__(self) -> None:
        self.clock = BootClock()
        self.directory = DirectoryService(self.clock)
        self.gone: list[Replica] = []
        self.directory.on_gone(self.gone.append)
        self.directory.put(ENTRY)

    @property
    def usable(self) -> list[str]:
        """Return the names of the replicas that may get requests."""
        return [replica.host for replica in self.directory.usable('s')]


class TestRemoval:
    """Draining and removed replicas get no requests."""

    def test_draining_replica_gets_no_requests(self) -> None:
        fixture = Fixture()
        fixture.directory.put(dataclasses.replace(ENTRY, is_draining=True))
        assert not fixture.usable
        assert not fixture.gone

    def test_replica_without_entry_is_removed_at_once(self) -> None:
        fixture = Fixture()
        fixture.directory.remove('r1', ALWAYS_HEALTHY_S)
        assert not fixture.usable
        assert [replica.host for replica in fixture.gone] == ['r1']

    def test_replica_missing_from_the_hosts_is_removed(self) -> None:
        fixture = Fixture()
        fixture.directory.keep_only((), ALWAYS_HEALTHY_S)
        assert not fixture.usable

    def test_replaced_replica_is_removed(self) -> None:
        fixture = Fixture()
        fixture.directory.note_replaced(fixture.directory.usable('s')[0])
        assert not fixture.usable


class TestLapsed:
    """Entries that expire around a store outage stay in use for a while."""

    def test_is_usable_until_the_grace_period_ends(self) -> None:
        fixture = Fixture()
        fixture.directory.remove('r1', 0)
        fixture.clock.now_s += LAPSE_GRACE_S - 0.1
        assert fixture.usable == ['r1']
        fixture.clock.now_s += 0.2
        assert not fixture.usable
        fixture.directory.drop_lapsed()
        assert fixture.gone

    def test_renewed_entry_stays_usable(self) -> None:
        fixture = Fixture()
        fixture.directory.remove('r1', 0)
        fixture.directory.put(ENTRY)
        fixture.clock.now_s += 10 * LAPSE_GRACE_S
        assert fixture.usable == ['r1']

    def test_grace_period_starts_when_the_store_recovers(self) -> None:
        fixture = Fixture()
        fixture.directory.remove('r1', LAPSE_GRACE_S - 0.5)
        fixture.clock.now_s += 0.6
        assert not fixture.usable

    def test_draining_replica_gets_no_grace_period(self) -> None:
        fixture = Fixture()
        fixture.directory.put(dataclasses.replace(ENTRY, is_draining=True))
        fixture.directory.remove('r1', 0)
        assert fixture.gone


class TestRestart:
    """A replica that restarts under the same name is a new replica."""

    def test_restart_resets_the_state(self) -> None:
        fixture = Fixture()
        known = fixture.directory.usable('s')[0]
        known.in_flight = 5
        fixture.directory.put(dataclasses.replace(ENTRY, started_ms=2))
        assert known.is_gone
        assert fixture.directory.usable('s')[0].in_flight == 0

    def test_update_without_restart_keeps_the_state(self) -> None:
        fixture = Fixture()
        fixture.directory.usable('s')[0].in_flight = 5
        fixture.directory.put(dataclasses.replace(ENTRY, slots=4))
        assert fixture.directory.usable('s')[0].in_flight == 5


class TestEntryWrittenAnew:
    """A replica whose entry comes back with the same start is the same."""

    def test_keeps_what_it_announced(self) -> None:
        fixture = Fixture()
        known = fixture.directory.usable('s')[0]
        known.closed_until_s = fixture.clock.now_s + 3
        known.in_flight = 1
        fixture.directory.remove('r1', ALWAYS_HEALTHY_S)
        fixture.directory.put(dataclasses.replace(ENTRY, slots=4))
        again = fixture.directory.usable('s')[0]
        assert not again.has_turn(fixture.clock.now_s)
        assert again.has_turn(fixture.clock.now_s + 3)
        assert again.in_flight == 1
        assert again.slots == 4

    def test_replica_that_leaves_keeps_leaving(self) -> None:
        fixture = Fixture()
        fixture.directory.usable('s')[0].is_leaving = True
        fixture.directory.remove('r1', ALWAYS_HEALTHY_S)
        fixture.directory.put(ENTRY)
        assert not fixture.usable

    def test_new_start_ends_what_it_announced(self) -> None:
        fixture = Fixture()
        known = fixture.directory.usable('s')[0]
        known.closed_until_s = fixture.clock.now_s + 3
        fixture.directory.remove('r1', ALWAYS_HEALTHY_S)
        fixture.directory.put(dataclasses.replace(ENTRY, started_ms=2))
        assert fixture.directory.usable('s')[0].has_turn(fixture.clock.now_s)

    def test_replica_behind_a_foreign_answer_keeps_its_pause(self) -> None:
        fixture = Fixture()
        known = fixture.directory.usable('s')[0]
        known.closed_until_s = fixture.clock.now_s + 3
        fixture.directory.note_replaced(known)
        fixture.directory.put(ENTRY)
        again = fixture.directory.usable('s')[0]
        assert not again.has_turn(fixture.clock.now_s)


class TestSuspicion:
    """Replicas that refuse or drop connections are avoided."""

    def test_suspicion_grows_until_a_success(self) -> None:
        fixture = Fixture()
        replica = fixture.directory.usable('s')[0]
        durations_s = []
        for _ in range(4):
            fixture.directory.suspect(replica, 'refused')
            durations_s.append(replica.suspected_until_s - fixture.clock.now_s)
            fixture.clock.now_s = replica.suspected_until_s
        assert durations_s == [
            pytest.approx(duration_s) for duration_s in (1, 2, 4, 4)
        ]
        replica.note_success(fixture.clock.now_s)
        fixture.directory.suspect(replica, 'refused')
        duration_s = replica.suspected_until_s - fixture.clock.now_s
        assert duration_s == pytest.approx(1)

    def test_failure_score_decays(self) -> None:
        replica = Replica(ENTRY)
        replica.note_failure(0)
        assert replica.failures(0) == pytest.approx(1)
        assert replica.failures(3) == pytest.approx(0.5)


class TestWarmUp:
    """A replica that announces a warm-up gets its share step by step."""

    def test_age_counts_from_the_first_entry(self) -> None:
        fixture = Fixture()
        fixture.clock.now_s += 3
        fixture.directory.put(dataclasses.replace(ENTRY, slots=9))
        replica = fixture.directory.replica_by_host['r1']
        assert fixture.clock.now_s - replica.first_seen_s == 3

    def test_warming_replica_counts_with_few_slots(self) -> None:
        fixture = Fixture()
        warming = dataclasses.replace(ENTRY, host='r2', warm_up_s=10)
        fixture.directory.put(warming)
        for age_s, slots in ((0, 1), (5, 4), (10, 8)):
            context = LoadContext(fixture.clock.now_s + age_s, 1)
            views = replica_views(fixture.directory.usable('s'), context)
            warm, slow = sorted(views, key=lambda view: view.host)
            assert warm.warm_slots == 8
            assert int(slow.warm_slots + 0.5) == slots


class TestRestoredEntry:
    """An entry of an older copy of the store revives no replica."""

    def test_drained_replica_stays_drained(self) -> None:
        fixture = Fixture()
        fixture.directory.put(dataclasses.replace(ENTRY, is_draining=True))
        fixture.directory.put_restored(ENTRY)
        assert not fixture.usable

    def test_removed_replica_stays_removed_until_it_writes(self) -> None:
        fixture = Fixture()
        fixture.directory.remove('r1', ALWAYS_HEALTHY_S)
        fixture.directory.put_restored(ENTRY)
        assert not fixture.usable
        fixture.directory.put(ENTRY)
        assert fixture.usable == ['r1']

    def test_earlier_start_does_not_replace_a_later_one(self) -> None:
        fixture = Fixture()
        fixture.directory.put(dataclasses.replace(ENTRY, started_ms=2))
        fixture.directory.put_restored(ENTRY)
        replica = fixture.directory.replica_by_host['r1']
        assert replica.entry.started_ms == 2

    def test_unknown_replica_is_added(self) -> None:
        fixture = Fixture()
        fixture.directory.put_restored(dataclasses.replace(ENTRY, host='r2'))
        assert sorted(fixture.usable) == ['r1', 'r2']
