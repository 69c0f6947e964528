"""Structured logging of declared, numbered events.

Each component declares its events in its own `events.py`. docs/EVENTS.md is
generated from the registry of declared events.
"""

import dataclasses
import logging
import sys
from collections.abc import MutableMapping
from typing import Any, TextIO, cast

import structlog

from marigoldhoist.core.errors import KernelError
from marigoldhoist.core.line_sink import LineSink


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """A type of log line, identified by a stable number and a name."""

    number: int
    name: str
    level: str
    description: str


events_by_number: dict[int, LogEvent] = {}


def declare_event(
    number: int, name: str, level: str, description: str
) -> LogEvent:
    """Register an event; raise KernelError if the number is in use."""
    if number in events_by_number:
        raise KernelError(f'event number {number} is declared twice')
    event = LogEvent(number, name, level, description)
    events_by_number[number] = event
    return event


def emit(event: LogEvent, **fields: Any) -> None:
    """Log the event with the given fields."""
    logger = structlog.get_logger()
    getattr(logger, event.level)(event.name, number=event.number, **fields)


def configure_logs(
    level: str, host: str, sink: TextIO | LineSink = sys.stderr
) -> None:
    """Configure structlog to write JSON lines, with the host, to a sink."""
    min_level = logging.getLevelNamesMapping()[level.upper()]

    def add_host(
        _logger: Any, _method: str, fields: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        fields['host'] = host
        return fields

    structlog.configure(
        processors=[
            add_host,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(min_level),
        logger_factory=structlog.PrintLoggerFactory(cast('TextIO', sink)),
        cache_logger_on_first_use=True,
    )
