"""Decoding of chunked bodies."""

import itertools
from collections.abc import Iterable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.components.entry.chunked import (
    MAX_SIZE_LINE_BYTES,
    ChunkDecoder,
)

CONTENTS = st.lists(st.binary(min_size=1, max_size=40), max_size=6)


def decode(pieces: Iterable[bytes]) -> bytes:
    """Return the content of received pieces."""
    return b''.join(ChunkDecoder().decode(pieces))


def encode(contents: list[bytes]) -> bytes:
    """Return a chunked body with a trailer."""
    chunks = b''.join(
        b'%x;name=value\r\n%b\r\n' % (len(content), content)
        for content in contents
    )
    return b'%b0\r\nX-Filler: filler\r\n\r\n' % chunks


class TestChunkDecoder:
    """The content is the same however it is received."""

    @given(CONTENTS, st.lists(st.integers(0, 300), max_size=8))
    def test_content_is_the_same_in_any_pieces(
        self, contents: list[bytes], split_points: list[int]
    ) -> None:
        raw = encode(contents)
        borders = [0, *sorted(split_points), len(raw)]
        pieces = [raw[a:b] for a, b in itertools.pairwise(borders)]
        assert decode(pieces) == b''.join(contents)

    @given(CONTENTS, st.integers(0, 300))
    def test_body_that_ends_too_soon_is_none(
        self, contents: list[bytes], cut: int
    ) -> None:
        raw = encode(contents)
        end = raw.rindex(b'0\r\nX-Filler')
        with pytest.raises(ValueError, match='no last chunk'):
            decode([raw[: min(cut, end)]])

    @pytest.mark.parametrize(
        'raw',
        (
            b'zz\r\n',
            b'-1\r\nx\r\n',
            b'+1\r\nx\r\n0\r\n',
            b'0x1\r\nx\r\n0\r\n',
            b' 1\r\nx\r\n0\r\n',
            b'1_0\r\nx\r\n0\r\n',
            b'1\r\nxy\r\n0\r\n',
            b'1\nx\n0\n\r\n',
            b'%b\r\n' % (b'f' * 16),
            b'1;%b' % (b'x' * MAX_SIZE_LINE_BYTES),
        ),
    )
    def test_malformed_body_is_rejected(self, raw: bytes) -> None:
        with pytest.raises(ValueError, match='chunk'):
            decode([raw])
