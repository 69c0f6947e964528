"""Parsing of chunks and events does not depend on how bytes are split."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.components.streams.chunks import ChunkDecoder
from marigoldhoist.components.streams.errors import UpstreamCutError
from marigoldhoist.components.streams.event_parser import EventStreamParser
from tests.scripted import DONE_EVENT, LAST_CHUNK, chunk, token_event

CONTENTS = st.lists(st.binary(min_size=1, max_size=40), max_size=6)
CUTS = st.lists(st.integers(0, 400), max_size=8)


def pieces_of(data: bytes, cuts: list[int]) -> list[bytes]:
    """Split data at the given offsets."""
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    return [data[low:high] for low, high in itertools.pairwise(edges)]


class TestChunkDecoder:
    """Decoding of chunked bodies."""

    @given(
        CONTENTS, CUTS, st.sampled_from([LAST_CHUNK, b'0\r\nX-Sum: 1\r\n\r\n'])
    )
    def test_decodes_content_and_end(
        self, contents: list[bytes], cuts: list[int], last: bytes
    ) -> None:
        body = b''.join(chunk(content) for content in contents) + last
        decoder = ChunkDecoder()
        decoded = []
        for piece in pieces_of(body, cuts):
            assert not decoder.is_ended or not piece
            decoded.append(decoder.feed(piece))
        assert b''.join(decoded) == b''.join(contents)
        assert decoder.is_ended

    @given(CONTENTS, st.integers(1, 5))
    def test_truncated_last_chunk_does_not_end_the_body(
        self, contents: list[bytes], missing: int
    ) -> None:
        body = b''.join(chunk(content) for content in contents) + LAST_CHUNK
        decoder = ChunkDecoder()
        decoder.feed(body[:-missing])
        assert not decoder.is_ended

    def test_last_chunk_bytes_in_content_are_content(self) -> None:
        decoder = ChunkDecoder()
        content = b'x%b' % LAST_CHUNK
        assert decoder.feed(chunk(content)) == content
        assert not decoder.is_ended

    @pytest.mark.parametrize(
        'broken', [b'zz\r\n', b'-1\r\n', b'2\r\nabXX', b'1' * 200, b'\r\n']
    )
    def test_invalid_framing_raises(self, broken: bytes) -> None:
        with pytest.raises(UpstreamCutError):
            ChunkDecoder().feed(broken)


class TestEventStreamParser:
    """Complete events are returned and counted, without the end mark."""

    @given(st.integers(0, 5), CUTS, st.booleans())
    def test_result_does_not_depend_on_the_split(
        self, count: int, cuts: list[int], is_crlf: bool
    ) -> None:
        events = b''.join(token_event(number) for number in range(count))
        sent = events + DONE_EVENT
        if is_crlf:
            events = events.replace(b'\n', b'\r\n')
            sent = sent.replace(b'\n', b'\r\n')
        parser = EventStreamParser()
        parsed = [parser.feed(piece) for piece in pieces_of(sent, cuts)]
        assert b''.join(parsed) == events
        assert parser.tokens == count
        assert parser.is_ended

    def test_incomplete_event_is_buffered(self) -> None:
        parser = EventStreamParser()
        assert parser.feed(token_event(1) + token_event(2)[:-1]) == token_event(
            1
        )
        assert (parser.tokens, parser.is_ended) == (1, False)

    def test_end_mark_quoted_in_content_is_no_end(self) -> None:
        parser = EventStreamParser()
        quoted = b'data: {"content":"data: [DONE]"}\n\n'
        assert parser.feed(quoted) == quoted
        assert not parser.is_ended

    def test_oversized_event_raises(self) -> None:
        with pytest.raises(UpstreamCutError):
            EventStreamParser().feed(b'data: %b' % bytes(2_000_000))
