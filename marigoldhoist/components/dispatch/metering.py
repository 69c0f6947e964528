"""Count the tokens of an answer while it passes."""

import msgspec

from marigoldhoist.components.upstreams.const import DONE_EVENT, EVENT_PREFIX


class Usage(msgspec.Struct, frozen=True):
    """Token counts as the engine reports them."""

    completion_tokens: int = 0


class WholeAnswer(msgspec.Struct, frozen=True):
    """The part of an unstreamed answer that is billed."""

    usage: Usage = Usage()


class StreamMeter:
    """Counts the events of a stream and notices its end mark."""

    def __init__(self) -> None:
        self.tokens = 0
        self.is_whole = False
        self._tail = b''

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes; an event may lie across two chunks."""
        window = self._tail + chunk
        lines = window.split(b'\n')
        self._tail = lines.pop()
        for line in lines:
            self._take_line(line)

    def _take_line(self, line: bytes) -> None:
        if line.startswith(DONE_EVENT):
            self.is_whole = True
        elif line.startswith(EVENT_PREFIX):
            self.tokens += 1


class BodyMeter:
    """Reads the usage of an unstreamed answer."""

    def __init__(self) -> None:
        self._body = bytearray()

    @property
    def tokens(self) -> int:
        """Return the tokens that the engine counted."""
        try:
            whole = msgspec.json.decode(bytes(self._body), type=WholeAnswer)
        except msgspec.MsgspecError:
            return 0
        return whole.usage.completion_tokens

    @property
    def is_whole(self) -> bool:
        """Tell whether the body came; its length is checked by HTTP."""
        return bool(self._body)

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes."""
        self._body += chunk
