"""The choice of a replica: spread, domains, warm-up and prefixes."""

import collections
import dataclasses
import math
import random

import pytest

from marigoldhoist.components.placement.const import (
    SLOW_START_S,
    SPREAD_SHARE,
)
from marigoldhoist.components.placement.loads import LoadContext, replica_views
from marigoldhoist.components.placement.replicas import (
    PickContext,
    ReplicaView,
    pick_replica,
)
from marigoldhoist.components.routing.const import (
    SUBSET_FAR_REPLICAS,
    SUBSET_NEAR_REPLICAS,
)
from marigoldhoist.components.routing.subsets import replica_subset
from marigoldhoist.components.upstreams.models import Replica, SeenReport

OWN = 'gasabo'
FAR = 'remera'
PICKS = 2000
MANY = 0.3
FAIR = 0.1


def replica(
    host: str, in_flight: int = 0, domain: str = OWN, counted_s: float = 0
) -> Replica:
    """Return a replica that reported so many requests of other daemons."""
    report = SeenReport(in_flight, 8, 0, counted_s)
    return Replica(
        host, '127.0.0.1', 1, domain, (), first_seen_s=-math.inf, report=report
    )


def view(host: str, in_flight: float, domain: str = OWN) -> ReplicaView:
    """Return a view whose load is known exactly."""
    return ReplicaView(host, domain, in_flight, spread=0, slots=8)


def share_by_host(views: list[ReplicaView]) -> dict[str, float]:
    """Return each replica's share of many choices."""
    context = PickContext(OWN, random.Random(1))
    picks = [pick_replica(views, context) for _ in range(PICKS)]
    counts = collections.Counter(one.host for one in picks if one)
    return {one.host: counts[one.host] / PICKS for one in views}


class TestEstimate:
    """A report is corrected by its age and by the daemon's own requests."""

    def test_own_requests_since_the_report_count_at_once(self) -> None:
        busy = replica('a', 4)
        for _ in range(6):
            busy.begin()
        seen = replica_views([busy], LoadContext(0, service_time_s=2))[0]
        assert seen.in_flight == 10
        assert seen.spread == 0

    def test_own_requests_in_the_report_count_once(self) -> None:
        busy = replica('a')
        busy.report = SeenReport(9, 8, own_in_flight=3, counted_s=0)
        busy.in_flight = 2
        seen = replica_views([busy], LoadContext(0, service_time_s=2))[0]
        assert seen.in_flight == 8

    def test_an_old_report_says_less(self) -> None:
        pair = [replica('a', 0), replica('b', 8)]
        gaps = []
        for age_s in (0, 1, 5):
            low, high = replica_views(pair, LoadContext(age_s, 2))
            gaps.append((high.in_flight - low.in_flight, high.spread))
        assert gaps[0][0] == 8
        assert gaps == sorted(gaps, reverse=True)
        assert gaps[2][0] > 0
        assert gaps[0][1] < gaps[1][1]

    def test_a_replica_without_report_is_taken_as_average(self) -> None:
        silent = replica('c')
        silent.report = None
        fleet = [replica('a', 2), replica('b', 6), silent]
        seen = replica_views(fleet, LoadContext(0, service_time_s=2))[2]
        assert seen.in_flight == 4
        assert seen.spread == 2 * SPREAD_SHARE


class TestHerd:
    """Daemons with one stale report do not all go to one replica."""

    def test_stale_lead_is_not_followed_by_all(self) -> None:
        fleet = [replica(f'r{number}', 6) for number in range(9)]
        fleet.append(replica('idle', 0))
        stale = replica_views(fleet, LoadContext(5, service_time_s=2))
        fresh = replica_views(fleet, LoadContext(0, service_time_s=2))
        assert share_by_host(fresh)['idle'] == 1
        assert share_by_host(stale)['idle'] < MANY

    def test_equals_share_evenly(self) -> None:
        fleet = [replica(f'r{number}', 6) for number in range(10)]
        shares = share_by_host(replica_views(fleet, LoadContext(1, 2)))
        assert max(shares.values()) < FAIR * 1.5
        assert min(shares.values()) > FAIR / 2


class TestDomains:
    """The own failure domain goes first and spills over by a margin."""

    def test_own_domain_first(self) -> None:
        shares = share_by_host([view('near', 3), view('far', 0, FAR)])
        assert shares['near'] == 1

    def test_spills_over_when_loaded_beyond_the_margin(self) -> None:
        shares = share_by_host([view('near', 5), view('far', 0, FAR)])
        assert shares['far'] == 1

    def test_empty_own_domain_spills_over(self) -> None:
        assert share_by_host([view('far', 90, FAR)])['far'] == 1

    def test_nothing_to_pick(self) -> None:
        assert pick_replica([], PickContext(OWN, random.Random(1))) is None


class TestSlowStart:
    """A new replica gets its share by degrees."""

    def test_share_grows_with_age(self) -> None:
        old = dataclasses.replace(view('old', 4), spread=2)
        shares = []
        for age in (0.1, 0.5, 1.0):
            new = dataclasses.replace(
                view('new', 0), spread=4, known_s=age * SLOW_START_S
            )
            shares.append(share_by_host([old, new])['new'])
        assert shares[0] < MANY
        assert shares[0] < shares[1] < shares[2]


class TestAffinity:
    """A cached prefix attracts work while the replica's load is bounded."""

    @pytest.mark.parametrize(
        ('in_flight', 'expected'), [(4, 'cached'), (7, 'plain')]
    )
    def test_bounded_by_load(self, in_flight: int, expected: str) -> None:
        cached = dataclasses.replace(view('cached', in_flight), cached_share=1)
        assert share_by_host([cached, view('plain', 3)])[expected] == 1


class TestSubset:
    """A daemon knows a constant number of replicas."""

    def fleet(self, count: int) -> list[Replica]:
        domains = (OWN, FAR, 'kicukiro', 'nyarugenge')
        return [
            replica(f'r{number}', domain=domains[number % 4])
            for number in range(count)
        ]

    def test_size_does_not_grow_with_the_fleet(self) -> None:
        for count in (100, 800):
            chosen = replica_subset(self.fleet(count), 'entry-1', OWN)
            near = [one for one in chosen if one.failure_domain == OWN]
            assert len(near) == SUBSET_NEAR_REPLICAS
            assert len(chosen) - len(near) == SUBSET_FAR_REPLICAS

    def test_small_fleet_is_known_whole(self) -> None:
        assert len(replica_subset(self.fleet(9), 'entry-1', OWN)) == 9

    def test_lost_near_replicas_are_made_up_for(self) -> None:
        far = [one for one in self.fleet(80) if one.failure_domain != OWN]
        chosen = replica_subset(far, 'entry-1', OWN)
        assert len(chosen) == SUBSET_NEAR_REPLICAS + SUBSET_FAR_REPLICAS

    def test_one_replica_lost_moves_one_choice(self) -> None:
        fleet = self.fleet(400)
        before = replica_subset(fleet, 'entry-1', OWN)
        fleet.remove(before[0])
        after = replica_subset(fleet, 'entry-1', OWN)
        assert len({one.host for one in after} & {x.host for x in before}) == 11

    def test_every_replica_has_daemons(self) -> None:
        fleet = self.fleet(80)
        counts = collections.Counter(
            one.host
            for number in range(200)
            for one in replica_subset(fleet, f'entry-{number}', OWN)
            if one.failure_domain == OWN
        )
        assert len(counts) == 20
        assert max(counts.values()) < 2 * min(counts.values())
