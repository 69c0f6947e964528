"""Split a byte stream into server-sent events."""

import dataclasses
from collections.abc import Iterator
from typing import Final

EVENT_END: Final = b'\n\n'
ID_FIELD: Final = b'id:'


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event with its raw bytes; the number is 0 without an id."""

    number: int
    raw: bytes


class EventSplitter:
    """Buffers the bytes of an event until it is complete."""

    def __init__(self) -> None:
        self._buffer = b''

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, received: bytes) -> Iterator[StreamEvent]:
        """Yield the events that the received bytes complete."""
        *complete, rest = (self._buffer + received).split(EVENT_END)
        self._buffer = rest
        for raw in complete:
            yield StreamEvent(_event_number(raw), raw + EVENT_END)


def _event_number(raw: bytes) -> int:
    for line in raw.split(b'\n'):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else 0
    return 0
