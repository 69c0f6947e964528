"""Split a stream into whole events."""

import dataclasses
from collections.abc import Iterator
from typing import Final

EVENT_END: Final = b'\n\n'
ID_FIELD: Final = b'id:'


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event as it came; the number is zero where it has none."""

    number: int
    raw: bytes


class EventSplitter:
    """Holds back the bytes of an event until it is whole."""

    def __init__(self) -> None:
        self._rest = b''

    @property
    def has_partial_event(self) -> bool:
        """Tell whether an event has begun and not ended."""
        return bool(self._rest)

    def feed(self, received: bytes) -> Iterator[StreamEvent]:
        """Yield the events that are whole now."""
        *whole, rest = (self._rest + received).split(EVENT_END)
        self._rest = rest
        for raw in whole:
            yield StreamEvent(_number(raw), raw + EVENT_END)


def _number(raw: bytes) -> int:
    for line in raw.split(b'\n'):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else 0
    return 0
