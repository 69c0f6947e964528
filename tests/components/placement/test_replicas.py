"""Tests of replica selection: load spread, domains, slow start, affinity."""

import collections
import dataclasses
import math
import random

import pytest

from marigoldhoist.components.placement.const import (
    SLOW_START_S,
    SPREAD_STD_DEVS,
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
from marigoldhoist.components.upstreams.models import LoadReport, Replica

OWN = 'gasabo'
FAR = 'remera'
PICKS = 2000
# Upper limit of the share of a replica that must not attract most requests.
MAX_SHARE = 0.3
# Share of each of ten equal replicas.
EQUAL_SHARE = 0.1


def replica(
    host: str, in_flight: int = 0, domain: str = OWN, counted_s: float = 0
) -> Replica:
    """Return a replica whose report counts other daemons' requests."""
    report = LoadReport(in_flight, 8, 0, counted_s)
    return Replica(
        host, '127.0.0.1', 1, domain, (), first_seen_s=-math.inf, report=report
    )


def view(host: str, in_flight: float, domain: str = OWN) -> ReplicaView:
    """Return a view without uncertainty of its load."""
    return ReplicaView(host, domain, in_flight, spread=0, slots=8)


def share_by_host(views: list[ReplicaView]) -> dict[str, float]:
    """Return the share of picks that each replica receives."""
    context = PickContext(OWN, random.Random(1))
    picks = [pick_replica(views, context) for _ in range(PICKS)]
    counts = collections.Counter(picked.host for picked in picks if picked)
    return {each.host: counts[each.host] / PICKS for each in views}


class TestEstimate:
    """Load estimates correct a report by its age and by own requests."""

    def test_own_requests_after_the_report_are_added(self) -> None:
        busy = replica('a', 4)
        for _ in range(6):
            busy.begin_request()
        seen = replica_views([busy], LoadContext(0, service_time_s=2))[0]
        assert seen.in_flight == 10
        assert seen.spread == 0

    def test_own_requests_in_the_report_are_not_counted_twice(self) -> None:
        busy = replica('a')
        busy.report = LoadReport(9, 8, own_in_flight=3, counted_s=0)
        busy.in_flight = 2
        seen = replica_views([busy], LoadContext(0, service_time_s=2))[0]
        assert seen.in_flight == 8

    def test_estimates_revert_to_the_mean_with_age(self) -> None:
        pair = [replica('a', 0), replica('b', 8)]
        gaps = []
        for age_s in (0, 1, 5):
            low, high = replica_views(pair, LoadContext(age_s, 2))
            gaps.append((high.in_flight - low.in_flight, high.spread))
        assert gaps[0][0] == 8
        assert gaps == sorted(gaps, reverse=True)
        assert gaps[2][0] > 0
        assert gaps[0][1] < gaps[1][1]

    def test_replica_without_report_gets_the_mean_load(self) -> None:
        unreported = replica('c')
        unreported.report = None
        fleet = [replica('a', 2), replica('b', 6), unreported]
        seen = replica_views(fleet, LoadContext(0, service_time_s=2))[2]
        assert seen.in_flight == 4
        assert seen.spread == 2 * SPREAD_STD_DEVS


class TestHerdBehavior:
    """Daemons with the same stale report choose different replicas."""

    def test_stale_idle_report_does_not_attract_all_requests(self) -> None:
        fleet = [replica(f'r{number}', 6) for number in range(9)]
        fleet.append(replica('idle', 0))
        stale = replica_views(fleet, LoadContext(5, service_time_s=2))
        fresh = replica_views(fleet, LoadContext(0, service_time_s=2))
        assert share_by_host(fresh)['idle'] == 1
        assert share_by_host(stale)['idle'] < MAX_SHARE

    def test_equally_loaded_replicas_get_equal_shares(self) -> None:
        fleet = [replica(f'r{number}', 6) for number in range(10)]
        shares = share_by_host(replica_views(fleet, LoadContext(1, 2)))
        assert max(shares.values()) < EQUAL_SHARE * 1.5
        assert min(shares.values()) > EQUAL_SHARE / 2


class TestDomains:
    """The own failure domain is preferred up to the spill margin."""

    def test_own_domain_is_preferred(self) -> None:
        shares = share_by_host([view('near', 3), view('far', 0, FAR)])
        assert shares['near'] == 1

    def test_spills_over_when_busier_by_more_than_the_margin(self) -> None:
        shares = share_by_host([view('near', 5), view('far', 0, FAR)])
        assert shares['far'] == 1

    def test_spills_over_without_replicas_in_own_domain(self) -> None:
        assert share_by_host([view('far', 90, FAR)])['far'] == 1

    def test_no_candidates_give_none(self) -> None:
        assert pick_replica([], PickContext(OWN, random.Random(1))) is None


class TestSlowStart:
    """The share of a new replica ramps up with its age."""

    def test_share_grows_with_age(self) -> None:
        old = dataclasses.replace(view('old', 4), spread=2)
        shares = []
        for age in (0.1, 0.5, 1.0):
            new = dataclasses.replace(
                view('new', 0), spread=4, age_s=age * SLOW_START_S
            )
            shares.append(share_by_host([old, new])['new'])
        assert shares[0] < MAX_SHARE
        assert shares[0] < shares[1] < shares[2]


class TestAffinity:
    """A cached prefix attracts requests while the load is within bounds."""

    @pytest.mark.parametrize(
        ('in_flight', 'expected'), [(4, 'cached'), (7, 'plain')]
    )
    def test_bounded_by_load(self, in_flight: int, expected: str) -> None:
        cached = dataclasses.replace(view('cached', in_flight), cached_share=1)
        assert share_by_host([cached, view('plain', 3)])[expected] == 1


class TestSubset:
    """Each daemon uses a subset of replicas of constant size."""

    def fleet(self, count: int) -> list[Replica]:
        domains = (OWN, FAR, 'kicukiro', 'nyarugenge')
        return [
            replica(f'r{number}', domain=domains[number % 4])
            for number in range(count)
        ]

    def test_size_does_not_grow_with_the_fleet(self) -> None:
        for count in (100, 800):
            chosen = replica_subset(self.fleet(count), 'entry-1', OWN)
            near = [each for each in chosen if each.failure_domain == OWN]
            assert len(near) == SUBSET_NEAR_REPLICAS
            assert len(chosen) - len(near) == SUBSET_FAR_REPLICAS

    def test_small_fleet_is_used_completely(self) -> None:
        assert len(replica_subset(self.fleet(9), 'entry-1', OWN)) == 9

    def test_far_replicas_substitute_missing_near_replicas(self) -> None:
        far = [each for each in self.fleet(80) if each.failure_domain != OWN]
        chosen = replica_subset(far, 'entry-1', OWN)
        assert len(chosen) == SUBSET_NEAR_REPLICAS + SUBSET_FAR_REPLICAS

    def test_losing_one_replica_changes_one_member(self) -> None:
        fleet = self.fleet(400)
        before = replica_subset(fleet, 'entry-1', OWN)
        fleet.remove(before[0])
        after = replica_subset(fleet, 'entry-1', OWN)
        assert (
            len({each.host for each in after} & {each.host for each in before})
            == 11
        )

    def test_every_replica_is_in_some_subset(self) -> None:
        fleet = self.fleet(80)
        counts = collections.Counter(
            each.host
            for number in range(200)
            for each in replica_subset(fleet, f'entry-{number}', OWN)
            if each.failure_domain == OWN
        )
        assert len(counts) == 20
        assert max(counts.values()) < 2 * min(counts.values())
