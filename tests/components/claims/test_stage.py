"""One order at one or two hosts, step by step."""

import dataclasses

import pytest

from marigoldhoist.components.claims.const import CLAIM_KIND
from marigoldhoist.components.claims.fold import ClaimFold
from marigoldhoist.components.claims.models import ClaimBody, OrderKey
from marigoldhoist.components.dispatch.stages import Admission, Outcome
from marigoldhoist.components.platform_log.models import (
    FeedDump,
    LogEntry,
    new_record,
)
from marigoldhoist.core.errors import RequestFailure
from marigoldhoist.core.exchange import Answer
from marigoldhoist.core.verdict import Verdict
from tests.components.claims.hosts import HOUR_MS, Host, order_id, request
from tests.components.log_fakes import START_MS, FakeLog, Fate

ORDER = order_id(START_MS, 1)
RAN = Outcome(Verdict.RAN, status=201, is_whole=True, body=b'done')


def told(admission: Admission) -> tuple[str, str]:
    """Return the code and verdict of a refusal."""
    assert isinstance(admission, RequestFailure)
    return admission.code.value, admission.verdict.value


@pytest.fixture
def log() -> FakeLog:
    """Return an empty log."""
    return FakeLog()


@pytest.fixture
def first(log: FakeLog) -> Host:
    """Return a host."""
    return Host('entry-1', log, 0)


@pytest.fixture
def second(log: FakeLog) -> Host:
    """Return another host."""
    return Host('entry-2', log, 0)


class TestDuplicate:
    """The second call with an id does not run."""

    def test_while_first_runs(self, first: Host, second: Host) -> None:
        assert first.stage.admit(request(ORDER)) is None
        assert told(second.stage.admit(request(ORDER))) == (
            'duplicate_request',
            'may_have_run',
        )

    def test_gets_recorded_answer(self, first: Host, second: Host) -> None:
        first.stage.admit(request(ORDER))
        first.stage.settle(request(ORDER), RAN)
        first.writer.ship(Fate.CONFIRMED)
        second.writer.catch_up()
        answer = second.stage.admit(request(ORDER))
        assert isinstance(answer, Answer)
        assert (answer.status, list(answer.body)) == (201, [b'done'])

    def test_large_answer_is_not_kept(self, first: Host) -> None:
        first.stage.admit(request(ORDER))
        large = dataclasses.replace(RAN, body=bytes(5000))
        first.stage.settle(request(ORDER), large)
        first.writer.ship(Fate.CONFIRMED)
        first.writer.catch_up()
        assert told(first.stage.admit(request(ORDER))) == (
            'duplicate_request',
            'ran',
        )

    def test_other_workspace_is_another_order(self, first: Host) -> None:
        assert first.stage.admit(request(ORDER)) is None
        other = dataclasses.replace(request(ORDER), workspace='other')
        assert first.stage.admit(other) is None


class TestRelease:
    """A call that did not run frees its order, and can never run later."""

    @pytest.mark.parametrize('fate', [Fate.ANSWER_LOST, Fate.DELAYED])
    def test_unknown_claim_is_released(
        self, log: FakeLog, first: Host, second: Host, fate: Fate
    ) -> None:
        first.writer.fate = fate
        assert told(first.stage.admit(request(ORDER))) == (
            'log_unavailable',
            'not_run',
        )
        first.writer.ship(Fate.CONFIRMED)
        log.arrive()
        second.writer.catch_up()
        assert second.stage.admit(request(ORDER)) is None

    def test_second_copy_of_released_claim_loses(
        self, log: FakeLog, first: Host
    ) -> None:
        first.stage.admit(request(ORDER))
        claim = log.entries[0].record
        first.stage.settle(request(ORDER), Outcome(Verdict.NOT_RUN))
        first.writer.ship(Fate.CONFIRMED)
        log.append(claim, Fate.CONFIRMED)
        first.writer.catch_up()
        assert not first.stage.fold.find(OrderKey('bench', ORDER)).holder

    def test_loser_does_not_free_the_order(
        self, first: Host, second: Host
    ) -> None:
        first.stage.admit(request(ORDER))
        second.writer.is_lagging = True
        second.stage.admit(request(ORDER))
        second.writer.ship(Fate.CONFIRMED)
        first.writer.catch_up()
        assert told(first.stage.admit(request(ORDER)))[1] == 'may_have_run'

    def test_failing_log_refuses_at_once(
        self, log: FakeLog, first: Host
    ) -> None:
        first.writer.is_failing = True
        assert told(first.stage.admit(request(ORDER))) == (
            'log_unavailable',
            'not_run',
        )
        assert not log.entries


class TestAge:
    """Orders outside the window are refused, never run again."""

    def test_old_order(self, log: FakeLog, first: Host) -> None:
        log.now_ms += 7 * HOUR_MS
        assert told(first.stage.admit(request(ORDER))) == (
            'order_too_old',
            'may_have_run',
        )

    def test_future_order(self, first: Host) -> None:
        later = order_id(START_MS + 61_000, 1)
        assert told(first.stage.admit(request(later))) == (
            'bad_request',
            'not_run',
        )

    def test_id_without_time(self, first: Host) -> None:
        assert told(first.stage.admit(request('order-7')))[0] == 'bad_request'

    def test_claim_paused_past_the_window_loses(
        self, first: Host, second: Host
    ) -> None:
        first.stage.admit(request(ORDER))
        second.writer.pause_ms = 7 * HOUR_MS
        refusal = second.stage.admit(request(ORDER))
        assert told(refusal) == ('order_too_old', 'may_have_run')

    def test_order_is_known_for_the_whole_window(
        self, log: FakeLog, first: Host
    ) -> None:
        first.stage.admit(request(ORDER))
        log.pause(6 * HOUR_MS)
        log.pause(60_000)
        first.writer.catch_up()
        assert first.stage.fold.find(OrderKey('bench', ORDER)).holder
        log.pause(HOUR_MS)
        first.writer.catch_up()
        assert not len(first.stage.fold)


class TestCoverage:
    """A daemon that did not read the claims of a time refuses its orders."""

    def test_started_late(self) -> None:
        log = FakeLog()
        host = Host('entry-1', log, 0)
        host.feed.restore(FeedDump(7, '', {}))
        record = new_record('other', None)
        host.feed.offer([LogEntry(7, START_MS, record)])
        early = order_id(START_MS + 60_000, 1)
        assert told(host.stage.admit(request(early))) == (
            'log_unavailable',
            'may_have_run',
        )
        assert host.stage.fold.covers(START_MS + 120_000)

    def test_snapshot_restores_every_order(self, log: FakeLog) -> None:
        body = ClaimBody('bench', ORDER, 'entry-1')
        log.append(new_record(CLAIM_KIND, body), Fate.CONFIRMED)
        whole = ClaimFold(6 * HOUR_MS)
        whole.apply(log.entries[0])
        restored = ClaimFold(6 * HOUR_MS)
        restored.restore(whole.dump())
        assert restored.dump() == whole.dump()
        key = OrderKey('bench', ORDER)
        assert restored.find(key) == whole.find(key)
