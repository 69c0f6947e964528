"""Count the tokens of an answer while it passes."""

import msgspec


class Usage(msgspec.Struct, frozen=True):
    """Token counts as the engine reports them."""

    completion_tokens: int = 0


class WholeAnswer(msgspec.Struct, frozen=True):
    """The part of an unstreamed answer that is billed."""

    usage: Usage = Usage()


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
