"""Collect the milestones of each roll-out from the logs of all daemons."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any, Final

from tools.explain.lines import LogLine

# Returns a short text with what decided, from the fields of a log event.
Describe = Callable[[dict[str, Any]], str]

describe_by_event: dict[str, Describe] = {}


@dataclasses.dataclass(slots=True)
class Milestone:
    """What happened first and last at some daemons, in Unix seconds."""

    name: str
    first_s: float
    last_s: float
    hosts: set[str]
    detail: str

    def add(self, line: LogLine) -> None:
        """Add the same event of another daemon, or a later one."""
        self.last_s = max(self.last_s, line.time_s)
        self.hosts.add(line.host)


@dataclasses.dataclass(slots=True)
class RollOutTimeline:
    """The milestones of one order by name, in order of their first time."""

    service: str
    target: str
    ordered_s: float
    allowed_s: float
    milestone_by_name: dict[str, Milestone] = dataclasses.field(
        default_factory=dict
    )

    @property
    def ended_s(self) -> float | None:
        """Return the seconds from the order to its final state, if any."""
        ends = [
            milestone.first_s - self.ordered_s
            for name, milestone in self.milestone_by_name.items()
            if name in {'completed', 'rolled_back'}
        ]
        return min(ends, default=None)

    def add(self, name: str, line: LogLine) -> None:
        """Add an event of one daemon."""
        known = self.milestone_by_name.get(name)
        if known is not None:
            known.add(line)
            return
        describe_fields = describe_by_event.get(line.event, _describe_nothing)
        detail = describe_fields(line.fields)
        self.milestone_by_name[name] = Milestone(
            name, line.time_s, line.time_s, {line.host}, detail
        )


def describe(*events: str) -> Callable[[Describe], Describe]:
    """Register what to show of some log events."""

    def register(function: Describe) -> Describe:
        describe_by_event.update(dict.fromkeys(events, function))
        return function

    return register


@describe('ramp_up_cleared', 'ramp_up_held', 'completion_held')
def _describe_evidence(fields: dict[str, Any]) -> str:
    """Return the number of answers and the route with the least evidence."""
    ratio_by_route = fields.get('failure_ratio_by_route') or {}
    text = (
        f'{fields.get("answers")} answers, '
        f'{fields.get("baseline_answers")} of the others'
    )
    if not ratio_by_route:
        return text
    ratio, route = max(
        (ratio, route) for route, ratio in ratio_by_route.items()
    )
    return f'{text}, worst route {route} at {ratio}'


@describe('version_found_bad')
def _describe_reason(fields: dict[str, Any]) -> str:
    return str(fields.get('reason', ''))


def _describe_nothing(_fields: dict[str, Any]) -> str:
    return ''


EVENT_NAMES: Final = {
    'ramp_up_cleared': 'ramp cleared',
    'ramp_up_held': 'ramp held',
    'completion_held': 'completion held',
    'version_found_bad': 'found bad',
}


def roll_out_timelines(lines: Iterable[LogLine]) -> list[RollOutTimeline]:
    """Return the timelines of all orders, the oldest first."""
    builder = _TimelineBuilder()
    for line in sorted(lines, key=_time_of):
        builder.add(line)
    return builder.timelines


class _TimelineBuilder:
    """Assigns log lines in order of time to the newest order of a service."""

    def __init__(self) -> None:
        self.timelines: list[RollOutTimeline] = []
        self._service_by_replica: dict[str, str] = {}
        self._current_by_service: dict[str, RollOutTimeline] = {}

    def add(self, line: LogLine) -> None:
        """Add one line."""
        if line.event == 'replica_found':
            replica = line.fields['replica']
            self._service_by_replica[replica] = line.fields['service']
        if line.event == 'roll_out_ordered':
            self._order(line).add('order seen', line)
        service, name = self._milestone(line)
        current = self._current_by_service.get(service)
        if name and current is not None and _is_about(line, current):
            current.add(name, line)

    def _order(self, line: LogLine) -> RollOutTimeline:
        """Return the timeline of an order, a new one at its first daemon.

        Each daemon logs an order once, some later than others.
        """
        service, target = line.fields['service'], line.fields['target']
        known = self._current_by_service.get(service)
        if (
            known is not None
            and known.target == target
            and line.host not in known.milestone_by_name['order seen'].hosts
        ):
            return known
        ordered = RollOutTimeline(
            service, target, line.time_s, float(line.fields['allowed_s'])
        )
        self._current_by_service[service] = ordered
        self.timelines.append(ordered)
        return ordered

    def _milestone(self, line: LogLine) -> tuple[str, str]:
        """Return the service and the name of a milestone, empty for none."""
        service = line.fields.get('service', '')
        if line.event == 'request_sent':
            replica = line.fields.get('replica', '')
            service = self._service_by_replica.get(replica, '')
            return service, 'request at target'
        if line.event == 'roll_out_moved':
            return service, str(line.fields['state'])
        return service, EVENT_NAMES.get(line.event, '')


def _is_about(line: LogLine, timeline: RollOutTimeline) -> bool:
    version = line.fields.get('target', line.fields.get('version'))
    return version == timeline.target


def _time_of(line: LogLine) -> float:
    return line.time_s
