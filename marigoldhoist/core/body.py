"""Body of a message, held in parts."""

from collections.abc import Sequence
from typing import Final

# Small pieces are joined up to this size. Blocks of one size are used again by
# the allocator, while those of all sizes fragment the heap.
PART_BYTES: Final = 64 * 1024


class Body:
    """A body in parts of `PART_BYTES`, so that no copy of the whole is made."""

    def __init__(self, content: bytes = b'') -> None:
        self._parts: list[bytes] = []
        self._tail = bytearray()
        self._size_bytes = 0
        self.append(content)

    def __len__(self) -> int:
        """Return the size in bytes."""
        return self._size_bytes

    @property
    def parts(self) -> Sequence[bytes]:
        """Return the parts in order; none is empty."""
        if self._tail:
            return (*self._parts, bytes(self._tail))
        return self._parts

    def append(self, content: bytes) -> None:
        """Add bytes at the end."""
        self._size_bytes += len(content)
        start = 0
        while start < len(content):
            end = start + PART_BYTES - len(self._tail)
            self._tail += content[start:end]
            start = end
            if len(self._tail) == PART_BYTES:
                self._parts.append(bytes(self._tail))
                self._tail.clear()

    def clear(self) -> None:
        """Drop the content and free its memory."""
        self._parts.clear()
        self._tail.clear()
        self._size_bytes = 0
