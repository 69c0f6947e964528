"""Print the milestones of the roll-outs in log files."""

import sys
from collections.abc import Iterator
from typing import Final

from tools.explain.lines import read_logs
from tools.roll_outs.timeline import (
    Milestone,
    RollOutTimeline,
    roll_out_timelines,
)

USAGE: Final = 'usage: script/roll_outs LOGS...'
EXIT_USAGE: Final = 2
EXIT_NONE: Final = 1


def main(paths: list[str]) -> int:
    """Print the roll-outs and return the exit code."""
    if not paths:
        sys.stderr.write(f'{USAGE}\n')
        return EXIT_USAGE
    timelines = roll_out_timelines(read_logs(paths))
    if not timelines:
        sys.stderr.write('no roll-out was ordered in these logs\n')
        return EXIT_NONE
    for timeline in timelines:
        for text in _format(timeline):
            print(text)
    return 0


def _format(timeline: RollOutTimeline) -> Iterator[str]:
    """Yield the lines of text for a roll-out."""
    yield (
        f'{timeline.service} to {timeline.target}, '
        f'{timeline.allowed_s:g} s allowed: {_outcome(timeline)}'
    )
    for milestone in timeline.milestone_by_name.values():
        yield _format_milestone(milestone, timeline)


def _outcome(timeline: RollOutTimeline) -> str:
    ended_s = timeline.ended_s
    if ended_s is None:
        return 'no final state'
    late_s = ended_s - timeline.allowed_s
    lateness = f'{late_s:.1f} s late' if late_s > 0 else 'in time'
    return f'ended after {ended_s:.1f} s, {lateness}'


def _format_milestone(milestone: Milestone, timeline: RollOutTimeline) -> str:
    first_s = milestone.first_s - timeline.ordered_s
    last_s = milestone.last_s - timeline.ordered_s
    return (
        f'  {first_s:8.3f} to {last_s:8.3f} s '
        f'{first_s / timeline.allowed_s:5.2f} '
        f'{len(milestone.hosts):3d} daemons  {milestone.name:<18} '
        f'{milestone.detail}'
    ).rstrip()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
