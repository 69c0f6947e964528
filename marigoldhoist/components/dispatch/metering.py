"""Count the tokens of an answer while it passes."""

import dataclasses

import msgspec

from marigoldhoist.components.upstreams.const import DONE_EVENT, EVENT_PREFIX


class Usage(msgspec.Struct, frozen=True):
    """Token counts as the engine reports them."""

    completion_tokens: int = 0


class WholeAnswer(msgspec.Struct, frozen=True):
    """The part of an unstreamed answer that is billed."""

    usage: Usage = Usage()


@dataclasses.dataclass(frozen=True, slots=True)
class Recorded:
    """An answer's body as far as it may be wanted again."""

    content_type: str
    body: bytes


class StreamMeter:
    """Counts the events of a stream and notices its end mark."""

    def __init__(self) -> None:
        self.tokens = 0
        self.is_whole = False
        self.recorded = b''
        self._tail = b''

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes; an event may lie across two chunks."""
        lines = (self._tail + chunk).split(b'\n')
        self._tail = lines.pop()
        for line in lines:
            self._take_line(line)

    def end(self) -> None:
        """Learn that the body came to its end."""

    def _take_line(self, line: bytes) -> None:
        if line.startswith(DONE_EVENT):
            self.is_whole = True
        elif line.startswith(EVENT_PREFIX):
            self.tokens += 1


class BodyMeter:
    """Reads the usage of an unstreamed answer."""

    def __init__(self) -> None:
        self.tokens = 0
        self.is_whole = False
        self._body = bytearray()

    @property
    def recorded(self) -> bytes:
        """Return the body as far as it came."""
        return bytes(self._body)

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes."""
        self._body += chunk

    def end(self) -> None:
        """Learn that the body came to its end, and read its usage."""
        self.is_whole = True
        try:
            whole = msgspec.json.decode(bytes(self._body), type=WholeAnswer)
        except msgspec.MsgspecError:
            return
        self.tokens = whole.usage.completion_tokens
