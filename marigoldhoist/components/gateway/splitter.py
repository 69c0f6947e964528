"""Split a byte stream into server-sent events."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from marigoldhoist.components.gateway.errors import MalformedMessageError
from marigoldhoist.core.decoding import parse_integer

EVENT_END: Final = b'\n\n'
ID_FIELD: Final = b'id:'
MAX_EVENT_BYTES: Final = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event with its raw bytes; the number is 0 without an id."""

    number: int
    raw: bytes


class EventSplitter:
    """Buffers the bytes of an event until it is complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, received: bytes) -> Iterator[StreamEvent]:
        """Yield the events that the received bytes complete.

        Raise MalformedMessageError if an event is too large.
        """
        # An end may begin in the bytes that were searched before.
        search_from = max(0, len(self._buffer) - len(EVENT_END) + 1)
        self._buffer += received
        end = self._buffer.find(EVENT_END, search_from)
        while end >= 0:
            raw = bytes(self._buffer[: end + len(EVENT_END)])
            del self._buffer[: len(raw)]
            yield StreamEvent(_event_number(raw), raw)
            end = self._buffer.find(EVENT_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise MalformedMessageError(
                f'event of over {MAX_EVENT_BYTES} bytes'
            )


def _event_number(raw: bytes) -> int:
    for line in raw.split(b'\n'):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return parse_integer(text.decode('latin-1')) or 0
    return 0
