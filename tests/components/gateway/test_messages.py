"""Requests and answers are parsed strictly and written as they should be."""

import itertools

import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.components.gateway.messages import (
    End,
    MessageHead,
    RequestParser,
    ResponseParser,
    request_bytes,
    response_bytes,
)

TWO = request_bytes('POST', b'/a', [(b'Host', b'h')], b'body') + request_bytes(
    'GET', b'/b', [(b'Host', b'h'), (b'Connection', b'close')]
)


class TestRequests:
    """What callers send."""

    @given(st.lists(st.integers(0, len(TWO)), max_size=8))
    def test_pipelined_requests_however_they_arrive(
        self, cuts: list[int]
    ) -> None:
        parser = RequestParser()
        edges = [0, *sorted(cuts), len(TWO)]
        for start, end in itertools.pairwise(edges):
            parser.feed(TWO[start:end])
        heads = [one for one in parser.items if isinstance(one, MessageHead)]
        bodies = [one for one in parser.items if isinstance(one, bytes)]
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
    def test_ambiguous_requests_are_refused(self, raw: bytes) -> None:
        with pytest.raises(httptools.HttpParserError):
            RequestParser().feed(raw)


class TestAnswers:
    """What replicas send."""

    def test_interim_answers_are_passed_over(self) -> None:
        parser = ResponseParser()
        parser.feed(b'HTTP/1.1 100 Continue\r\n\r\n')
        parser.feed(response_bytes(200, (), b'x'))
        heads = [one for one in parser.items if isinstance(one, MessageHead)]
        assert [head.status for head in heads] == [200]

    def test_answer_without_length_ends_with_its_connection(self) -> None:
        parser = ResponseParser()
        parser.feed(b'HTTP/1.1 200 OK\r\n\r\nrest')
        head = parser.items[0]
        assert isinstance(head, MessageHead)
        assert head.ends_with_connection
        assert not head.is_keep_alive
        assert End.OF_MESSAGE not in parser.items

    def test_bytes_that_are_no_answer(self) -> None:
        parser = ResponseParser()
        parser.feed(response_bytes(200, (), b'x'))
        with pytest.raises(httptools.HttpParserError):
            parser.feed(b'garbage\r\n\r\n')
