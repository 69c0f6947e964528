"""Incremental parser of server-sent events that end with `[DONE]`."""

from typing import Final

from marigoldhoist.components.streams.const import MAX_EVENT_BYTES
from marigoldhoist.components.streams.errors import UpstreamCutError

DATA: Final = b'data: '
DATA_LINE: Final = b'\ndata: '
END_MARK: Final = b'data: [DONE]'
END_MARK_LINE: Final = b'\ndata: [DONE]'
EVENT_ENDS: Final = (b'\n\n', b'\n\r\n')


class EventStreamParser:
    """Splits a stream into complete events and removes its end mark.

    The end mark is the `data: [DONE]` event. `tokens` counts the data events
    before it.
    """

    def __init__(self) -> None:
        self.tokens = 0
        self.end_mark = b''
        self._buffer = b''

    @property
    def is_ended(self) -> bool:
        """Return whether the end mark arrived; later bytes are discarded."""
        return bool(self.end_mark)

    def feed(self, content: bytes) -> bytes:
        """Add content and return all complete events before the end mark.

        Raises UpstreamCutError if an incomplete event is longer than
        MAX_EVENT_BYTES.
        """
        if self.end_mark:
            return b''
        data = self._buffer + content if self._buffer else content
        stop = (
            len(data) if data.endswith(EVENT_ENDS) else _end_of_last_event(data)
        )
        self._buffer = data[stop:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise UpstreamCutError('event is too long')
        events = self._without_end_mark(data[:stop])
        self.tokens += events.count(DATA_LINE) + events.startswith(DATA)
        return events

    def _without_end_mark(self, events: bytes) -> bytes:
        if events.startswith(END_MARK):
            self.end_mark = events
            return b''
        newline_index = events.find(END_MARK_LINE)
        if newline_index < 0:
            return events
        self.end_mark = events[newline_index + 1 :]
        return events[: newline_index + 1]


def _end_of_last_event(data: bytes) -> int:
    ends = [data.rfind(end) + len(end) for end in EVENT_ENDS if end in data]
    return max(ends, default=0)
