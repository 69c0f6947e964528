"""Encoder and incremental decoder of the HTTP chunked transfer coding."""

from marigoldhoist.components.streams.const import CRLF, MAX_SIZE_LINE_BYTES
from marigoldhoist.components.streams.errors import UpstreamCutError

HEX_BASE = 16


def encode_chunk(content: bytes) -> bytes:
    """Encode content as one chunk."""
    return b'%x\r\n%b\r\n' % (len(content), content)


class ChunkDecoder:
    """Decodes a chunked body from pieces of any size.

    `is_ended` is set once the last chunk and the trailer have been read.
    """

    def __init__(self) -> None:
        self.is_ended = False
        self._buffer = b''
        self._is_in_trailer = False

    def feed(self, received: bytes) -> bytes:
        """Add received bytes and return the content of all complete chunks.

        Raises UpstreamCutError if the framing is invalid.
        """
        data = self._buffer + received if self._buffer else received
        pieces = []
        start = 0
        while not self._is_in_trailer:
            stop = self._chunk_end(data, start)
            if stop is None:
                break
            if not self._is_in_trailer:
                content_start = data.index(CRLF, start) + len(CRLF)
                pieces.append(data[content_start : stop - len(CRLF)])
            start = stop
        self._buffer = data[start:]
        if self._is_in_trailer:
            self._read_trailer()
        return pieces[0] if len(pieces) == 1 else b''.join(pieces)

    def _chunk_end(self, data: bytes, start: int) -> int | None:
        line_end = data.find(CRLF, start)
        if line_end < 0:
            if len(data) - start > MAX_SIZE_LINE_BYTES:
                raise UpstreamCutError('chunk size line is too long')
            return None
        content_start = line_end + len(CRLF)
        size = _parse_size(data[start:line_end])
        if not size:
            self._is_in_trailer = True
            return start
        stop = content_start + size + len(CRLF)
        if len(data) < stop:
            return None
        if data[stop - len(CRLF) : stop] != CRLF:
            raise UpstreamCutError('chunk does not end where it should')
        return stop

    def _read_trailer(self) -> None:
        _, separator, rest = self._buffer.partition(CRLF)
        if not separator:
            return
        if rest.startswith(CRLF) or CRLF + CRLF in rest:
            self.is_ended = True
        elif len(rest) > MAX_SIZE_LINE_BYTES:
            raise UpstreamCutError('trailer is too long')


def _parse_size(line: bytes) -> int:
    digits = line.partition(b';')[0].strip()
    if not digits.isalnum():
        raise UpstreamCutError(f'not a chunk size: {digits[:20]!r}')
    try:
        return int(digits, HEX_BASE)
    except ValueError as error:
        raise UpstreamCutError('not a chunk size') from error
