"""Timelines of roll-outs from log lines."""

from tools.explain.lines import LogLine
from tools.roll_outs.timeline import RollOutTimeline, roll_out_timelines

SERVICE = 'plain'
ALLOWED_S = 10.0


def line(time_s: float, host: str, event: str, **fields: object) -> LogLine:
    """Return a log line of a daemon."""
    return LogLine(time_s, host, event, '', fields)


def order(time_s: float, host: str, target: str = 'v2') -> LogLine:
    """Return the line of a daemon that reads an order."""
    return line(
        time_s,
        host,
        'roll_out_ordered',
        service=SERVICE,
        target=target,
        allowed_s=ALLOWED_S,
    )


def moved(time_s: float, host: str, state: str) -> LogLine:
    """Return the line of a daemon that learns of a state."""
    return line(
        time_s,
        host,
        'roll_out_moved',
        service=SERVICE,
        target='v2',
        state=state,
    )


def only(timelines: list[RollOutTimeline]) -> RollOutTimeline:
    """Return the single timeline."""
    assert len(timelines) == 1
    return timelines[0]


class TestMilestones:
    """What the lines of several daemons say of one order."""

    def test_first_and_last_daemon_are_told(self) -> None:
        timeline = only(roll_out_timelines([order(2, 'b'), order(1, 'a')]))
        seen = timeline.milestone_by_name['order seen']
        assert (seen.first_s, seen.last_s, len(seen.hosts)) == (1, 2, 2)

    def test_late_completion_is_measured_from_the_order(self) -> None:
        lines = [order(1, 'a'), moved(12.5, 'a', 'completed')]
        assert only(roll_out_timelines(lines)).ended_s == 11.5

    def test_requests_at_other_versions_are_left_out(self) -> None:
        replica = line(0, 'a', 'replica_found', replica='r', service=SERVICE)
        lines = [
            replica,
            order(1, 'a'),
            line(2, 'a', 'request_sent', replica='r', version='v1'),
            line(3, 'a', 'request_sent', replica='r', version='v2'),
        ]
        timeline = only(roll_out_timelines(lines))
        assert timeline.milestone_by_name['request at target'].first_s == 3

    def test_held_completion_names_the_worst_route(self) -> None:
        held = line(
            9,
            'a',
            'completion_held',
            service=SERVICE,
            target='v2',
            answers=6,
            baseline_answers=90,
            failure_ratio_by_route={'often': -9.0, 'rare': -0.7},
        )
        timeline = only(roll_out_timelines([order(1, 'a'), held]))
        detail = timeline.milestone_by_name['completion held'].detail
        assert 'worst route rare at -0.7' in detail


class TestOrders:
    """Which lines belong to which order."""

    def test_same_target_ordered_again_is_another_roll_out(self) -> None:
        lines = [
            order(1, 'a'),
            moved(5, 'a', 'rolled_back'),
            order(20, 'a'),
        ]
        first, second = roll_out_timelines(lines)
        assert first.ended_s == 4
        assert second.ended_s is None

    def test_order_for_another_target_is_another_roll_out(self) -> None:
        lines = [order(1, 'a'), order(20, 'a', 'v3'), order(21, 'b', 'v3')]
        assert [found.target for found in roll_out_timelines(lines)] == [
            'v2',
            'v3',
        ]
