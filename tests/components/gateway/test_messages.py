"""Strict parsing and serialization of HTTP messages."""

import contextlib
import itertools

import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.components.gateway.messages import (
    End,
    MessageHead,
    request_bytes,
    response_bytes,
)
from marigoldhoist.components.gateway.parsers import (
    RequestParser,
    ResponseParser,
)

TWO_REQUESTS = request_bytes(
    'POST', b'/a', [(b'Host', b'h')], b'body'
) + request_bytes('GET', b'/b', [(b'Host', b'h'), (b'Connection', b'close')])


class TestRequests:
    """Parsing of callers' requests."""

    @given(st.lists(st.integers(0, len(TWO_REQUESTS)), max_size=8))
    def test_pipelined_requests_in_any_chunks(
        self, split_points: list[int]
    ) -> None:
        parser = RequestParser()
        borders = [0, *sorted(split_points), len(TWO_REQUESTS)]
        for start, end in itertools.pairwise(borders):
            parser.feed(TWO_REQUESTS[start:end])
        heads = [item for item in parser.items if isinstance(item, MessageHead)]
        bodies = [item for item in parser.items if isinstance(item, bytes)]
        assert [head.target for head in heads] == [b'/a', b'/b']
        assert [head.is_keep_alive for head in heads] == [True, False]
        assert b''.join(bodies) == b'body'
        assert list(parser.items).count(End.OF_MESSAGE) == 2

    @pytest.mark.parametrize(
        'raw',
        (
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\nabc',
            b'POST /a HTTP/1.1\r\nContent-Length: 3\r\n'
            b'Content-Length: 4\r\n\r\n',
            b'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
            b'POST /a HTTP/1.1\r\nHost h\r\n\r\n',
            b'POST /a HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n',
            b'\x00\x01\x02',
        ),
    )
    def test_ambiguous_requests_are_rejected(self, raw: bytes) -> None:
        with pytest.raises(httptools.HttpParserError):
            RequestParser().feed(raw)


class TestResponses:
    """Parsing of replicas' responses."""

    def test_interim_responses_are_skipped(self) -> None:
        parser = ResponseParser()
        parser.feed(b'HTTP/1.1 100 Continue\r\n\r\n')
        parser.feed(response_bytes(200, (), b'x'))
        heads = [item for item in parser.items if isinstance(item, MessageHead)]
        assert [head.status for head in heads] == [200]

    def test_response_without_length_is_close_delimited(self) -> None:
        parser = ResponseParser()
        parser.feed(b'HTTP/1.1 200 OK\r\n\r\nrest')
        head = parser.items[0]
        assert isinstance(head, MessageHead)
        assert head.is_close_delimited
        assert not head.is_keep_alive
        assert End.OF_MESSAGE not in parser.items

    def test_invalid_response_is_rejected(self) -> None:
        parser = ResponseParser()
        parser.feed(response_bytes(200, (), b'x'))
        with pytest.raises(httptools.HttpParserError):
            parser.feed(b'garbage\r\n\r\n')


class TestInterruptedHead:
    """The first part of a head that is followed by another response."""

    HEADERS = (
        (b'Request-Id', b'a'),
        (b'Response-Seal', b's'),
        (b'Keep-Alive', b'timeout=10'),
    )
    FIRST = response_bytes(200, HEADERS, b'first')

    @given(
        st.integers(1, FIRST.index(b'first') - 1),
        st.sampled_from((b'HTTP/1.1 500 Failed', b'HTTP/1.1 500')),
        st.integers(0, 200),
    )
    def test_is_not_merged_with_the_other_head(
        self, cut: int, status_line: bytes, split_point: int
    ) -> None:
        # Guards against the status of one answer with the body of another.
        other = (
            b'%b\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n' % status_line
        )
        raw = self.FIRST[:cut] + other
        parser = ResponseParser()
        with contextlib.suppress(httptools.HttpParserError):
            parser.feed(raw[:split_point])
            parser.feed(raw[split_point:])
        assert not parser.items

    @given(st.integers(0, len(FIRST)))
    def test_parser_is_in_a_message_until_it_is_complete(
        self, cut: int
    ) -> None:
        parser = ResponseParser()
        parser.feed(self.FIRST + self.FIRST[:cut])
        assert parser.is_in_message is (0 < cut < len(self.FIRST))
