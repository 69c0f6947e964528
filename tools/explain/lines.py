"""Parse log lines and select those that explain a request.

Text before the JSON object of a line is ignored.
"""

import dataclasses
import datetime
import json
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any, Final

# A peer that joins or leaves does not affect any request by itself.
IGNORED_EVENTS: Final = frozenset(
    (
        'gateway_peer_found',
        'gateway_peer_forgotten',
    )
)
# Fields that identify the object whose state a log event changes.
STATE_KEY_FIELDS: Final = ('topic', 'service', 'replica', 'peer', 'part')
# Fields of every log line, which are not repeated in its list of fields.
COMMON_FIELDS: Final = frozenset(
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
    """One log event; `time_s` is a Unix time in seconds."""

    time_s: float
    host: str
    event: str
    request_id: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log events among the texts; other texts are skipped."""
    for text in texts:
        start = text.find('{"')
        if start < 0:
            continue
        try:
            raw = json.loads(text[start:])
        except ValueError:
            continue
        if 'event' in raw and 'timestamp' in raw:
            yield _parse_line(raw)


def read_logs(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log events of files; bytes that are no text are replaced."""
    for path in paths:
        with pathlib.Path(path).open(encoding='utf-8', errors='replace') as log:
            yield from read_lines(log)


def request_timeline(
    request_id: str, lines: Iterable[LogLine]
) -> list[LogLine]:
    """Return the lines of a request and the state of its daemons, by time.

    The state is the last change of each object before the request's end, as
    logged by the hosts that handled the request. Changes of replicas that the
    request did not use are left out.
    """
    all_lines = list(lines)
    request_lines = [
        line for line in all_lines if line.request_id == request_id
    ]
    hosts = {line.host for line in request_lines}
    replicas = {
        line.fields['replica']
        for line in request_lines
        if line.fields.get('replica')
    }
    last_s = max((line.time_s for line in request_lines), default=0)
    latest_by_key: dict[tuple[str, ...], LogLine] = {}
    state_changes = (
        line
        for line in all_lines
        if line.host in hosts
        and line.time_s <= last_s
        and line.fields.get('replica') in {None, *replicas}
    )
    for line in sorted(state_changes, key=_timestamp):
        if not line.request_id and line.event not in IGNORED_EVENTS:
            latest_by_key[_state_key(line)] = line
    return sorted([*request_lines, *latest_by_key.values()], key=_timestamp)


def _state_key(line: LogLine) -> tuple[str, ...]:
    """Return the key of a state change; a later change replaces it."""
    key_fields = (line.fields.get(name, '') for name in STATE_KEY_FIELDS)
    return (line.host, line.event, *map(str, key_fields))


def format_line(line: LogLine, start_s: float) -> str:
    """Format a line for display, with the seconds since the request's start.

    An asterisk marks the lines of the request itself.
    """
    fields_text = ' '.join(
        f'{name}={content}' for name, content in line.fields.items()
    )
    marker = '*' if line.request_id else ' '
    return (
        f'{line.time_s - start_s:+9.3f} {marker} {line.host:<24} '
        f'{line.event:<26} {fields_text}'
    )


def _parse_line(raw: dict[str, Any]) -> LogLine:
    logged_at = datetime.datetime.fromisoformat(raw['timestamp'])
    return LogLine(
        logged_at.timestamp(),
        raw.get('host', ''),
        raw['event'],
        raw.get('request_id', ''),
        {
            name: content
            for name, content in raw.items()
            if name not in COMMON_FIELDS
        },
    )


def _timestamp(line: LogLine) -> float:
    return line.time_s
