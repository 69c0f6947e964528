"""Count the tokens of unstreamed answers."""

import msgspec

from marigoldhoist.core.decoding import decode_json


class Usage(msgspec.Struct, frozen=True):
    """Token usage as reported by the engine."""

    completion_tokens: int = 0


class CompletionBody(msgspec.Struct, frozen=True):
    """The billed part of an unstreamed answer."""

    usage: Usage = Usage()


class BodyMeter:
    """Collects the body of an unstreamed answer and parses its usage."""

    def __init__(self) -> None:
        self.tokens = 0
        self.is_whole = False
        self._body = bytearray()

    @property
    def body(self) -> bytes:
        """Return the bytes received so far."""
        return bytes(self._body)

    def feed(self, chunk: bytes) -> None:
        """Append a chunk of the body."""
        self._body += chunk

    def finish(self) -> None:
        """Mark the body as complete and parse its token usage."""
        self.is_whole = True
        try:
            whole = decode_json(bytes(self._body), CompletionBody)
        except msgspec.MsgspecError:
            return
        self.tokens = whole.usage.completion_tokens
