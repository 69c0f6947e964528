"""Tests of the configuration service: versions, age and route lookup."""

import pytest

from marigoldhoist.components.configuration.models import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
)
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.core.clock import SystemClock


class BootClock(SystemClock):
    """A clock that the test sets, including time spent suspended."""

    now_s = 50.0

    def boottime_s(self) -> float:
        """Return the time set by the test, in seconds."""
        return self.now_s


def route(prefix: str) -> Route:
    """Return a route with the given prefix."""
    return Route(
        prefix, 'h', prefix, RequestKind.IDEMPOTENT, 1, 1, 0, {'s': 1}, 1
    )


def configuration(version: int, *prefixes: str) -> Configuration:
    """Return a version with routes in the given order."""
    routes = tuple(route(prefix) for prefix in prefixes)
    return Configuration(version, {'h': routes}, {}, {}, CallerLimits())


class TestVersions:
    """The newest version is in force."""

    @pytest.mark.parametrize(
        ('versions', 'expected'),
        (
            ((1, 5, 3), 5),
            ((4, 4), 4),
            ((2, 9), 9),
        ),
    )
    def test_older_version_is_ignored(
        self, versions: tuple[int, ...], expected: int
    ) -> None:
        service = ConfigurationService()
        for version in versions:
            service.adopt(configuration(version))
        assert service.current is not None
        assert service.current.version == expected


class TestAge:
    """The age is the time since the newest confirmation."""

    def test_is_infinite_before_the_first_confirmation(self) -> None:
        assert ConfigurationService(BootClock()).age_s == float('inf')

    def test_includes_time_suspended(self) -> None:
        clock = BootClock()
        service = ConfigurationService(clock)
        service.confirm(clock.now_s)
        clock.now_s += 30
        assert service.age_s == pytest.approx(30)

    def test_older_confirmation_is_ignored(self) -> None:
        clock = BootClock()
        service = ConfigurationService(clock)
        service.confirm(49)
        service.confirm(40)
        assert service.age_s == pytest.approx(1)


class TestRoutes:
    """Routes are selected by authority and path prefix."""

    def test_longest_prefix_wins(self) -> None:
        current = configuration(1, '/a/b/', '/a/')
        found = current.route('h', '/a/b/c')
        assert found is not None
        assert found.name == '/a/b/'

    @pytest.mark.parametrize(
        ('authority', 'path'), (('h', '/ab/'), ('other', '/a/'), ('h', '/a'))
    )
    def test_no_match_gives_none(self, authority: str, path: str) -> None:
        assert configuration(1, '/a/').route(authority, path) is None
