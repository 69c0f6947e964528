"""Test the claim stage with one request on one host and on two hosts."""

import dataclasses

import pytest

from marigoldhoist.components.claims.const import CLAIM_KIND
from marigoldhoist.components.claims.fold import ClaimFold
from marigoldhoist.components.claims.models import ClaimBody, RequestKey
from marigoldhoist.components.dispatch.stages import Admission, Outcome
from marigoldhoist.components.platform_log.models import (
    FeedDump,
    LogEntry,
    new_record,
)
from marigoldhoist.core.errors import RequestFailure
from marigoldhoist.core.exchange import CallerResponse
from marigoldhoist.core.verdict import Verdict
from tests.components.claims.hosts import HOUR_MS, Host, request, uuid7_at
from tests.components.log_fakes import START_MS, AppendOutcome, FakeLog

REQUEST_ID = uuid7_at(START_MS, 1)
RAN = Outcome(Verdict.RAN, status=201, is_whole=True, body=b'done')


def code_and_verdict(admission: Admission) -> tuple[str, str]:
    """Return the code and verdict of a refusal."""
    assert isinstance(admission, RequestFailure)
    return admission.code.value, admission.verdict.value


@pytest.fixture
def log() -> FakeLog:
    """Return an empty log."""
    return FakeLog()


@pytest.fixture
def first(log: FakeLog) -> Host:
    """Return a host whose clock is right."""
    return Host('entry-1', log, 0)


@pytest.fixture
def second(log: FakeLog) -> Host:
    """Return another host on the same log."""
    return Host('entry-2', log, 0)


class TestDuplicate:
    """Test that a second request with the same id does not run."""

    def test_while_first_runs(self, first: Host, second: Host) -> None:
        assert first.stage.admit(request(REQUEST_ID)) is None
        assert code_and_verdict(second.stage.admit(request(REQUEST_ID))) == (
            'duplicate_request',
            'may_have_run',
        )

    def test_gets_recorded_answer(self, first: Host, second: Host) -> None:
        first.stage.admit(request(REQUEST_ID))
        first.stage.settle(request(REQUEST_ID), RAN)
        first.writer.append_unconfirmed(AppendOutcome.CONFIRMED)
        second.writer.catch_up()
        answer = second.stage.admit(request(REQUEST_ID))
        assert isinstance(answer, CallerResponse)
        assert (answer.status, list(answer.body)) == (201, [b'done'])

    def test_large_answer_is_not_recorded(self, first: Host) -> None:
        first.stage.admit(request(REQUEST_ID))
        large = dataclasses.replace(RAN, body=bytes(5000))
        first.stage.settle(request(REQUEST_ID), large)
        first.writer.append_unconfirmed(AppendOutcome.CONFIRMED)
        first.writer.catch_up()
        assert code_and_verdict(first.stage.admit(request(REQUEST_ID))) == (
            'duplicate_request',
            'ran',
        )

    def test_same_id_of_another_workspace_is_no_duplicate(
        self, first: Host
    ) -> None:
        assert first.stage.admit(request(REQUEST_ID)) is None
        other = dataclasses.replace(request(REQUEST_ID), workspace='other')
        assert first.stage.admit(other) is None


class TestRelease:
    """Test the release of a claim whose request did not run.

    Another claim can then win, and the released one can't win later.
    """

    @pytest.mark.parametrize(
        'outcome', [AppendOutcome.ANSWER_LOST, AppendOutcome.DELAYED]
    )
    def test_unconfirmed_claim_is_released(
        self, log: FakeLog, first: Host, second: Host, outcome: AppendOutcome
    ) -> None:
        first.writer.append_outcome = outcome
        assert code_and_verdict(first.stage.admit(request(REQUEST_ID))) == (
            'log_unavailable',
            'not_run',
        )
        first.writer.append_unconfirmed(AppendOutcome.CONFIRMED)
        log.deliver_delayed()
        second.writer.catch_up()
        assert second.stage.admit(request(REQUEST_ID)) is None

    def test_duplicate_append_of_released_claim_loses(
        self, log: FakeLog, first: Host
    ) -> None:
        first.stage.admit(request(REQUEST_ID))
        claim_record = log.entries[0].record
        first.stage.settle(request(REQUEST_ID), Outcome(Verdict.NOT_RUN))
        first.writer.append_unconfirmed(AppendOutcome.CONFIRMED)
        log.append(claim_record, AppendOutcome.CONFIRMED)
        first.writer.catch_up()
        assert not first.stage.fold.find(RequestKey('bench', REQUEST_ID)).holder

    def test_losing_claim_does_not_release_the_request(
        self, first: Host, second: Host
    ) -> None:
        first.stage.admit(request(REQUEST_ID))
        second.writer.is_lagging = True
        second.stage.admit(request(REQUEST_ID))
        second.writer.append_unconfirmed(AppendOutcome.CONFIRMED)
        first.writer.catch_up()
        assert (
            code_and_verdict(first.stage.admit(request(REQUEST_ID)))[1]
            == 'may_have_run'
        )

    def test_failing_log_refuses_at_once(
        self, log: FakeLog, first: Host
    ) -> None:
        first.writer.is_failing = True
        assert code_and_verdict(first.stage.admit(request(REQUEST_ID))) == (
            'log_unavailable',
            'not_run',
        )
        assert not log.entries


class TestAge:
    """Test that requests outside the window are refused."""

    def test_old_request(self, log: FakeLog, first: Host) -> None:
        log.now_ms += 7 * HOUR_MS
        assert code_and_verdict(first.stage.admit(request(REQUEST_ID))) == (
            'order_too_old',
            'may_have_run',
        )

    def test_future_request(self, first: Host) -> None:
        later_id = uuid7_at(START_MS + 61_000, 1)
        assert code_and_verdict(first.stage.admit(request(later_id))) == (
            'bad_request',
            'not_run',
        )

    def test_id_without_timestamp(self, first: Host) -> None:
        assert (
            code_and_verdict(first.stage.admit(request('order-7')))[0]
            == 'bad_request'
        )

    def test_claim_paused_past_the_window_loses(
        self, first: Host, second: Host
    ) -> None:
        first.stage.admit(request(REQUEST_ID))
        second.writer.append_delay_ms = 7 * HOUR_MS
        refusal = second.stage.admit(request(REQUEST_ID))
        assert code_and_verdict(refusal) == ('order_too_old', 'may_have_run')

    def test_state_is_kept_for_the_whole_window(
        self, log: FakeLog, first: Host
    ) -> None:
        first.stage.admit(request(REQUEST_ID))
        log.advance_time(6 * HOUR_MS)
        log.advance_time(60_000)
        first.writer.catch_up()
        assert first.stage.fold.find(RequestKey('bench', REQUEST_ID)).holder
        log.advance_time(HOUR_MS)
        first.writer.catch_up()
        assert not len(first.stage.fold)


class TestCoverage:
    """Test that a daemon refuses requests whose claims it may have missed."""

    def test_started_late(self) -> None:
        log = FakeLog()
        host = Host('entry-1', log, 0)
        host.feed.restore(FeedDump(7, '', {}))
        record = new_record('other', None)
        host.feed.offer([LogEntry(7, START_MS, record)])
        early_id = uuid7_at(START_MS + 60_000, 1)
        assert code_and_verdict(host.stage.admit(request(early_id))) == (
            'log_unavailable',
            'may_have_run',
        )
        assert host.stage.fold.covers(START_MS + 120_000)

    def test_snapshot_restores_every_request(self, log: FakeLog) -> None:
        body = ClaimBody('bench', REQUEST_ID, 'entry-1')
        log.append(new_record(CLAIM_KIND, body), AppendOutcome.CONFIRMED)
        original = ClaimFold(6 * HOUR_MS)
        original.apply(log.entries[0])
        restored = ClaimFold(6 * HOUR_MS)
        restored.restore(original.dump())
        assert restored.dump() == original.dump()
        key = RequestKey('bench', REQUEST_ID)
        assert restored.find(key) == original.find(key)
