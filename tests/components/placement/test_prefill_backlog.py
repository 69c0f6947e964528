"""The delay of a request by the prompts before it."""

import pytest

from marigoldhoist.components.placement.prefill_backlog import (
    FADE_TIME_S,
    LASTING_TIME_S,
    PrefillBacklog,
)

EXPECTED_S = 0.2


def answered(backlog: PrefillBacklog, sent_s: float, answered_s: float) -> None:
    """Record a request and the beginning of its response."""
    backlog.finish(backlog.begin(sent_s, EXPECTED_S), answered_s)


class TestDelay:
    """Responses that begin late or not at all show a delay."""

    def test_idle_replica_has_none(self) -> None:
        backlog = PrefillBacklog()
        answered(backlog, 10, 10 + EXPECTED_S)
        assert backlog.delay_s(10 + EXPECTED_S) == pytest.approx(0)

    def test_replica_that_was_never_asked_has_none(self) -> None:
        assert PrefillBacklog().delay_s(10) == 0

    def test_first_late_response_counts_in_full(self) -> None:
        backlog = PrefillBacklog()
        answered(backlog, 10, 11)
        assert backlog.delay_s(11) == pytest.approx(1 - EXPECTED_S)

    def test_responses_that_begin_together_all_count(self) -> None:
        backlog = PrefillBacklog()
        answered(backlog, 10, 10 + EXPECTED_S)
        for _ in range(12):
            answered(backlog, 10, 11)
        assert backlog.delay_s(11) > 0.9 * (1 - EXPECTED_S)

    def test_delay_fades_without_new_responses(self) -> None:
        backlog = PrefillBacklog()
        answered(backlog, 10, 11)
        assert backlog.delay_s(11 + 5 * FADE_TIME_S) < 0.01

    def test_response_that_is_overdue_counts_before_it_begins(self) -> None:
        backlog = PrefillBacklog()
        backlog.begin(10, EXPECTED_S)
        assert backlog.delay_s(12) == pytest.approx(2 - EXPECTED_S)

    def test_request_that_failed_is_not_overdue(self) -> None:
        backlog = PrefillBacklog()
        backlog.drop(backlog.begin(10, EXPECTED_S))
        assert backlog.delay_s(12) == 0


class TestLastingDelay:
    """A delay that goes on counts, a short one hardly does."""

    def test_single_late_response_hardly_counts(self) -> None:
        backlog = PrefillBacklog()
        for number in range(40):
            answered(backlog, number / 10, number / 10 + EXPECTED_S)
        answered(backlog, 4, 5)
        assert 0 < backlog.lasting_delay_s(5) < 0.25 * (1 - EXPECTED_S)

    def test_delay_that_goes_on_counts_in_full(self) -> None:
        backlog = PrefillBacklog()
        for number in range(200):
            answered(backlog, number / 10, number / 10 + 1)
        now_s = 199 / 10 + 1
        assert backlog.lasting_delay_s(now_s) > 0.9 * (1 - EXPECTED_S)

    def test_delay_fades_without_new_responses(self) -> None:
        backlog = PrefillBacklog()
        answered(backlog, 10, 11)
        assert backlog.lasting_delay_s(11 + 5 * LASTING_TIME_S) < 0.01


class TestPending:
    """The prefill of own requests counts until their responses begin."""

    def test_sum_of_those_without_a_response(self) -> None:
        backlog = PrefillBacklog()
        first = backlog.begin(10, EXPECTED_S)
        backlog.begin(10, EXPECTED_S)
        assert backlog.pending_s == pytest.approx(2 * EXPECTED_S)
        backlog.finish(first, 11)
        assert backlog.pending_s == pytest.approx(EXPECTED_S)
