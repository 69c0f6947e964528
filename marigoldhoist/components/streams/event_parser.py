"""Count the events of a streamed answer and hold back its end mark."""

from typing import Final

from marigoldhoist.components.streams.const import MAX_EVENT_BYTES
from marigoldhoist.components.streams.errors import UpstreamCutError

DATA: Final = b'data: '
DATA_LINE: Final = b'\ndata: '
END_MARK: Final = b'data: [DONE]'
END_MARK_LINE: Final = b'\ndata: [DONE]'
EVENT_ENDS: Final = (b'\n\n', b'\n\r\n')


class EventStreamParser:
    """Takes content and returns whole events, without the end mark."""

    def __init__(self) -> None:
        self.tokens = 0
        self.end_mark = b''
        self._held = b''

    @property
    def is_ended(self) -> bool:
        """Tell whether the end mark came; what follows it is dropped."""
        return bool(self.end_mark)

    def feed(self, content: bytes) -> bytes:
        """Return the events that are whole; UpstreamCutError if one is huge."""
        if self.end_mark:
            return b''
        data = self._held + content if self._held else content
        stop = len(data) if data.endswith(EVENT_ENDS) else _last_end(data)
        self._held = data[stop:]
        if len(self._held) > MAX_EVENT_BYTES:
            raise UpstreamCutError('event is too long')
        events = self._without_end_mark(data[:stop])
        self.tokens += events.count(DATA_LINE) + events.startswith(DATA)
        return events

    def _without_end_mark(self, events: bytes) -> bytes:
        if events.startswith(END_MARK):
            self.end_mark = events
            return b''
        found = events.find(END_MARK_LINE)
        if found < 0:
            return events
        self.end_mark = events[found + 1 :]
        return events[: found + 1]


def _last_end(data: bytes) -> int:
    ends = [data.rfind(end) + len(end) for end in EVENT_ENDS if end in data]
    return max(ends, default=0)
