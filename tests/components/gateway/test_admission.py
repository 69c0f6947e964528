"""Admission, denial and refusal of calls by the configuration."""

import random

import pytest

from marigoldhoist.components.configuration.models import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    Workspace,
)
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.gateway.admission import Admission, AdmittedCall
from marigoldhoist.components.gateway.models import Call
from marigoldhoist.core.clock import SystemClock
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.objectives import ObjectiveSettings
from marigoldhoist.core.verdict import Verdict

KEY_WITHDRAWAL_S = 5


class ManualClock(SystemClock):
    """A clock that the test advances."""

    now_s = 100.0

    def boottime_s(self) -> float:
        """Return the time set by the test."""
        return self.now_s


def route(name: str, *, is_public: bool = False) -> Route:
    """Return a route whose path prefix is its name."""
    return Route(
        name,
        'h',
        f'/{name}/',
        RequestKind.IDEMPOTENT,
        1,
        1,
        0,
        {'a': 3, 'b': 1, 'off': 0},
        1,
        is_public,
    )


def call(
    path: str, key: str = 'k', request_id: str = 'r', arrived_s: float = 100
) -> Call:
    """Return a call with an API key."""
    return Call(request_id, 'GET', path.encode(), 'h', path, [], arrived_s, key)


class AdmissionHarness:
    """An admission with a configuration whose age the test sets."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.configuration = ConfigurationService(self.clock)
        self.admission = Admission(
            self.configuration, ObjectiveSettings(), random.Random(1)
        )

    def adopt(self, *, age_s: float = 0) -> None:
        """Adopt a configuration with two routes and one key."""
        routes = (route('open', is_public=True), route('shut'))
        keys = {'k': Workspace('w')}
        self.configuration.adopt(
            Configuration(3, {'h': routes}, keys, {}, CallerLimits())
        )
        self.configuration.confirm(self.clock.now_s - age_s)

    def refusal(self, path: str, key: str = 'k') -> RequestFailure:
        """Return the failure of a call that is not admitted."""
        outcome = self.admission.admit(call(path, key))
        assert isinstance(outcome, RequestFailure)
        return outcome


class TestUnknownOrStaleConfiguration:
    """Without a fresh configuration, calls are refused and not denied."""

    @pytest.mark.parametrize('path', ('/open/x', '/shut/x', '/none/x'))
    def test_nothing_is_denied_without_a_configuration(self, path: str) -> None:
        failure = AdmissionHarness().refusal(path)
        assert (failure.http_status, failure.verdict) == (503, Verdict.NOT_RUN)

    @pytest.mark.parametrize('key', ('k', 'unknown'))
    def test_key_is_refused_by_a_stale_configuration(self, key: str) -> None:
        harness = AdmissionHarness()
        harness.adopt(age_s=KEY_WITHDRAWAL_S)
        failure = harness.refusal('/shut/x', key)
        assert failure.code is ErrorCode.STALE_TABLE
        assert failure.retry_after_s

    def test_public_route_is_served_when_stale(self) -> None:
        harness = AdmissionHarness()
        harness.adopt(age_s=10 * KEY_WITHDRAWAL_S)
        assert isinstance(
            harness.admission.admit(call('/open/x', '')), AdmittedCall
        )

    def test_unknown_route_is_not_denied_when_stale(self) -> None:
        harness = AdmissionHarness()
        harness.adopt(age_s=KEY_WITHDRAWAL_S)
        assert harness.refusal('/none/x').http_status == 503

    def test_age_is_taken_at_the_arrival_of_the_call(self) -> None:
        harness = AdmissionHarness()
        harness.adopt()
        harness.clock.now_s += 10 * KEY_WITHDRAWAL_S
        early = call('/shut/x', arrived_s=100 + KEY_WITHDRAWAL_S - 1)
        late = call('/shut/x', arrived_s=100 + KEY_WITHDRAWAL_S + 1)
        assert isinstance(harness.admission.admit(early), AdmittedCall)
        assert isinstance(harness.admission.admit(late), RequestFailure)

    def test_time_in_suspend_ages_the_configuration(self) -> None:
        harness = AdmissionHarness()
        harness.adopt()
        assert harness.admission.is_fresh
        harness.clock.now_s += KEY_WITHDRAWAL_S
        assert not harness.admission.is_fresh


class TestDenial:
    """With a fresh configuration, invalid calls are denied."""

    def test_unknown_key(self) -> None:
        harness = AdmissionHarness()
        harness.adopt()
        assert harness.refusal('/shut/x', 'unknown').http_status == 401

    def test_unknown_route(self) -> None:
        harness = AdmissionHarness()
        harness.adopt()
        assert harness.refusal('/none/x').http_status == 404


class TestTrafficSplit:
    """A route with weighted services."""

    def test_follows_the_weights_and_skips_zero(self) -> None:
        harness = AdmissionHarness()
        harness.adopt()
        counts = dict.fromkeys(('a', 'b', 'off'), 0)
        for number in range(400):
            admitted = harness.admission.admit(
                call('/shut/x', request_id=str(number))
            )
            assert isinstance(admitted, AdmittedCall)
            counts[admitted.service] += 1
        assert counts['off'] == 0
        assert 250 < counts['a'] < 350


class TestRetryAfter:
    """The retry delay given to refused callers."""

    def test_is_random_and_within_the_time_left(self) -> None:
        admission = AdmissionHarness().admission
        delays_s = [
            admission.refusal(ErrorCode.OVERLOADED, '', 1.5).retry_after_s
            for _ in range(50)
        ]
        assert max(delay_s or 0 for delay_s in delays_s) <= 0.5
        assert len(set(delays_s)) > 10
