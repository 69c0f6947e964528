"""What is admitted, denied and refused by the configuration in force."""

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
from marigoldhoist.core.promises import PromiseSettings
from marigoldhoist.core.verdict import Verdict

WITHDRAWAL_S = 5


class BootClock(SystemClock):
    """A clock that the test moves."""

    now_s = 100.0

    def boottime_s(self) -> float:
        """Return the time that the test has set."""
        return self.now_s


def route(name: str, *, is_public: bool = False) -> Route:
    """Return a route whose prefix is its name."""
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
    """Return a call of a caller with a key."""
    return Call(request_id, 'GET', path.encode(), 'h', path, [], arrived_s, key)


class Deciding:
    """An admission over a configuration whose age the test sets."""

    def __init__(self) -> None:
        self.clock = BootClock()
        self.known = ConfigurationService(self.clock)
        self.admission = Admission(
            self.known, PromiseSettings(), random.Random(1)
        )

    def adopt(self, *, age_s: float = 0) -> None:
        """Put a configuration with two routes and one key in force."""
        routes = (route('open', is_public=True), route('shut'))
        keys = {'k': Workspace('w')}
        self.known.adopt(
            Configuration(3, {'h': routes}, keys, {}, CallerLimits())
        )
        self.known.confirm(self.clock.now_s - age_s)

    def refused(self, path: str, key: str = 'k') -> RequestFailure:
        """Return the refusal of a call."""
        found = self.admission.admit(call(path, key))
        assert isinstance(found, RequestFailure)
        return found


class TestIgnorance:
    """A daemon that knows no configuration, or an old one."""

    @pytest.mark.parametrize('path', ('/open/x', '/shut/x', '/none/x'))
    def test_nothing_is_denied_before_a_configuration_is_known(
        self, path: str
    ) -> None:
        failure = Deciding().refused(path)
        assert (failure.http_status, failure.verdict) == (503, Verdict.NOT_RUN)

    @pytest.mark.parametrize('key', ('k', 'unknown'))
    def test_key_is_refused_once_its_withdrawal_may_be_unknown(
        self, key: str
    ) -> None:
        deciding = Deciding()
        deciding.adopt(age_s=WITHDRAWAL_S)
        failure = deciding.refused('/shut/x', key)
        assert failure.code is ErrorCode.STALE_TABLE
        assert failure.retry_after_s

    def test_public_route_is_served_all_the_same(self) -> None:
        deciding = Deciding()
        deciding.adopt(age_s=10 * WITHDRAWAL_S)
        assert isinstance(
            deciding.admission.admit(call('/open/x', '')), AdmittedCall
        )

    def test_unknown_route_is_not_denied_by_an_old_configuration(self) -> None:
        deciding = Deciding()
        deciding.adopt(age_s=WITHDRAWAL_S)
        assert deciding.refused('/none/x').http_status == 503

    def test_call_that_came_in_time_may_be_sent_again_later(self) -> None:
        deciding = Deciding()
        deciding.adopt()
        deciding.clock.now_s += 10 * WITHDRAWAL_S
        early = call('/shut/x', arrived_s=100 + WITHDRAWAL_S - 1)
        late = call('/shut/x', arrived_s=100 + WITHDRAWAL_S + 1)
        assert isinstance(deciding.admission.admit(early), AdmittedCall)
        assert isinstance(deciding.admission.admit(late), RequestFailure)

    def test_suspension_ages_the_configuration(self) -> None:
        deciding = Deciding()
        deciding.adopt()
        assert deciding.admission.is_fresh
        deciding.clock.now_s += WITHDRAWAL_S
        assert not deciding.admission.is_fresh


class TestDenial:
    """A daemon that knows the configuration well."""

    def test_unknown_key(self) -> None:
        deciding = Deciding()
        deciding.adopt()
        assert deciding.refused('/shut/x', 'unknown').http_status == 401

    def test_unknown_route(self) -> None:
        deciding = Deciding()
        deciding.adopt()
        assert deciding.refused('/none/x').http_status == 404


class TestSplit:
    """A route that several services serve."""

    def test_follows_the_weights_and_leaves_out_zero(self) -> None:
        deciding = Deciding()
        deciding.adopt()
        counts = dict.fromkeys(('a', 'b', 'off'), 0)
        for number in range(400):
            found = deciding.admission.admit(
                call('/shut/x', request_id=str(number))
            )
            assert isinstance(found, AdmittedCall)
            counts[found.service] += 1
        assert counts['off'] == 0
        assert 250 < counts['a'] < 350


class TestComingBack:
    """When a refused caller is told to return."""

    def test_spread_and_within_the_time_left(self) -> None:
        admission = Deciding().admission
        times = [
            admission.refusal(ErrorCode.OVERLOADED, '', 1.5).retry_after_s
            for _ in range(50)
        ]
        assert max(one or 0 for one in times) <= 0.5
        assert len(set(times)) > 10
