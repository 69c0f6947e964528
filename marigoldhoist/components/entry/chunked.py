"""Decode chunked request bodies piece by piece."""

import re
from collections.abc import Iterable, Iterator
from typing import Final

CRLF: Final = b'\r\n'
# A line with the size of a chunk and its extensions.
MAX_SIZE_LINE_BYTES: Final = 4096
SIZE_LINE: Final = re.compile(rb'([0-9A-Fa-f]{1,15})[ \t]*(;[^\r\n]*)?')


class ChunkDecoder:
    """Decodes received pieces; the trailers are not read."""

    def __init__(self) -> None:
        self._buffer = b''
        self._start = 0
        # What is left of the current chunk, None before its size line.
        self._left_bytes: int | None = None
        self._is_complete = False

    def decode(self, pieces: Iterable[bytes]) -> Iterator[bytes]:
        """Yield the content of pieces until the last chunk.

        Raise ValueError if the body is malformed or the pieces end too soon.
        """
        for piece in pieces:
            self._buffer = self._buffer[self._start :] + piece
            self._start = 0
            yield b''.join(self._contents())
            if self._is_complete:
                return
        raise ValueError('no last chunk')

    def _contents(self) -> Iterator[bytes]:
        """Yield the content in the buffer."""
        content: bytes | None = b''
        while content is not None and not self._is_complete:
            yield content
            if self._left_bytes is None:
                content = self._take_size()
            elif self._left_bytes:
                content = self._take_content(self._left_bytes)
            else:
                content = self._take_line_end()

    def _take_size(self) -> bytes | None:
        """Take a size line; return None if it is incomplete."""
        end = self._buffer.find(CRLF, self._start)
        if end < 0:
            if len(self._buffer) - self._start > MAX_SIZE_LINE_BYTES:
                raise ValueError('a chunk size without a line end')
            return None
        line = self._buffer[self._start : end]
        match = SIZE_LINE.fullmatch(line)
        if match is None:
            raise ValueError(f'chunk size {line[:20]!r}')
        self._start = end + len(CRLF)
        self._left_bytes = int(match[1], 16)
        self._is_complete = self._left_bytes == 0
        return b''

    def _take_content(self, left_bytes: int) -> bytes | None:
        """Take what has come of a chunk; return None if that is nothing."""
        content = self._buffer[self._start : self._start + left_bytes]
        self._start += len(content)
        self._left_bytes = left_bytes - len(content)
        return content or None

    def _take_line_end(self) -> bytes | None:
        """Take the end of a chunk; return None if it is incomplete."""
        ending = self._buffer[self._start : self._start + len(CRLF)]
        if not CRLF.startswith(ending):
            raise ValueError('a chunk without its line end')
        if ending != CRLF:
            return None
        self._start += len(CRLF)
        self._left_bytes = None
        return b''
