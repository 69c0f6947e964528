"""Read log lines, whatever stands before their JSON."""

import dataclasses
import datetime
import json
from collections.abc import Iterable, Iterator
from typing import Any, Final

# Daemons that come and go decide nothing of a request by themselves.
PASSED_OVER: Final = frozenset(
    (
        'gateway_peer_found',
        'gateway_peer_forgotten',
    )
)
# Fields that name what a change of belief is about.
SUBJECTS: Final = ('topic', 'service', 'replica', 'peer')
# The fields that every line has, which are shown apart from the others.
COMMON: Final = frozenset(
    (
        'event',
        'host',
        'level',
        'number',
        'request_id',
        'timestamp',
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line; the time is in seconds since 1970."""

    time_s: float
    host: str
    event: str
    request_id: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines that are log events; others are passed over."""
    for text in texts:
        start = text.find('{"')
        if start < 0:
            continue
        try:
            raw = json.loads(text[start:])
        except ValueError:
            continue
        if 'event' in raw and 'timestamp' in raw:
            yield _line(raw)


def story_of(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return a request's lines, and what its daemons believed by then.

    Of each belief the newest change before the request's end is shown.
    """
    known = list(lines)
    own = [line for line in known if line.request_id == request_id]
    hosts = {line.host for line in own}
    replicas = {
        line.fields['replica'] for line in own if line.fields.get('replica')
    }
    last_s = max((line.time_s for line in own), default=0)
    newest: dict[tuple[str, ...], LogLine] = {}
    beliefs = (
        line
        for line in known
        if line.host in hosts
        and line.time_s <= last_s
        and line.fields.get('replica') in {None, *replicas}
    )
    for line in sorted(beliefs, key=_time):
        if not line.request_id and line.event not in PASSED_OVER:
            newest[_subject(line)] = line
    return sorted([*own, *newest.values()], key=_time)


def _subject(line: LogLine) -> tuple[str, ...]:
    """Return what a change of belief is about; a newer one replaces it."""
    named = (line.fields.get(name, '') for name in SUBJECTS)
    return (line.host, line.event, *map(str, named))


def show(line: LogLine, start_s: float) -> str:
    """Return a line for a reader, with the seconds since the start."""
    told = ' '.join(f'{name}={found}' for name, found in line.fields.items())
    mark = '*' if line.request_id else ' '
    return (
        f'{line.time_s - start_s:+9.3f} {mark} {line.host:<24} '
        f'{line.event:<26} {told}'
    )


def _line(raw: dict[str, Any]) -> LogLine:
    moment = datetime.datetime.fromisoformat(raw['timestamp'])
    return LogLine(
        moment.timestamp(),
        raw.get('host', ''),
        raw['event'],
        raw.get('request_id', ''),
        {name: found for name, found in raw.items() if name not in COMMON},
    )


def _time(line: LogLine) -> float:
    return line.time_s
