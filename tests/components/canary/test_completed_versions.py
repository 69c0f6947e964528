"""Tests that failures of completed versions are logged."""

from collections.abc import Iterable
from typing import Any, TypeAlias

import pytest

from marigoldhoist.components.canary.completed_versions import (
    COUNT_INTERVAL_S,
    WATCH_S,
    CompletedVersions,
)
from marigoldhoist.components.canary.models import RollOutOrder
from marigoldhoist.core.events import LogEvent
from tests.components.canary.roll_out_model import Clock

ORDER = RollOutOrder('s', 'v2', 16)
Lines: TypeAlias = list[dict[str, Any]]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    """Return the fields of the lines that are logged."""
    logged: Lines = []

    def emit(_event: LogEvent, **fields: Any) -> None:
        logged.append(fields)

    monkeypatch.setattr(f'{CompletedVersions.__module__}.emit', emit)
    return logged


def record_interval(failures: Iterable[bool], after_s: float = 0) -> None:
    """Record the answers of one interval and the first of the next one."""
    clock = Clock()
    versions = CompletedVersions(clock.boottime_s)
    versions.record(ORDER, is_failure=False)
    clock.now_s += after_s
    for is_failure in failures:
        versions.record(ORDER, is_failure=is_failure)
    clock.now_s += COUNT_INTERVAL_S + 1
    versions.record(ORDER, is_failure=False)


class TestFailures:
    """Failures of the first minute are counted by interval."""

    def test_failures_are_logged_with_the_answers(self, lines: Lines) -> None:
        record_interval((True, False, True))
        counts = [(line['answers'], line['failures']) for line in lines]
        assert counts == [(4, 2)]

    def test_good_answers_are_not_logged(self, lines: Lines) -> None:
        record_interval((False, False))
        assert not lines

    def test_version_is_not_watched_for_ever(self, lines: Lines) -> None:
        record_interval((True, True), WATCH_S + 1)
        assert not lines
