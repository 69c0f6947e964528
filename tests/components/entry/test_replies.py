"""Replies arrive complete or visibly truncated, and are billed."""

import socket
from collections.abc import Iterator
from functools import partial

import msgspec
import pytest

from marigoldhoist.components.billing.models import Bill
from marigoldhoist.components.platform_log.const import BILL_STREAM
from tests.scripted import (
    DONE_EVENT,
    LAST_CHUNK,
    STREAM_HEAD,
    chunk,
    run_scripted_upstream,
    token_event,
    use_scripted_engine,
)
from tools.world.samples import WORKSPACE_KEY
from tools.world.world import ENTRY_PORT, World, wait_until

BODY = b'{"model":"pult-model","messages":[],"stream":%b}'
WHOLE_STREAM = (
    STREAM_HEAD + chunk(token_event(1)),
    chunk(token_event(2) + DONE_EVENT) + LAST_CHUNK,
)


def chat(is_streamed: bytes = b'true', request_id: bytes = b'') -> bytes:
    """Return the bytes of a chat request."""
    body = BODY % is_streamed
    return b'\r\n'.join(
        (
            b'POST /v1/chat/completions HTTP/1.1',
            b'Host: test',
            b'Authorization: Bearer %b' % WORKSPACE_KEY.encode(),
            b'Content-Length: %d' % len(body),
            b'X-Request-Id: %b' % request_id,
            b'',
            body,
        )
    )


@pytest.fixture(scope='module')
def world() -> Iterator[World]:
    """Start one daemon."""
    with World() as started:
        started.add_daemon('entry-1', 'zg-trnje')
        yield started


@pytest.fixture
def caller(world: World) -> Iterator[socket.socket]:
    """Connect to the daemon."""
    target = (world.address_of('entry-1'), ENTRY_PORT)
    with socket.create_connection(target, timeout=10) as connected:
        yield connected


def read_until(caller: socket.socket, pattern: bytes) -> bytes:
    """Read until the pattern or the end of the connection."""
    received = b''
    while pattern not in received:
        more = caller.recv(65_536)
        if not more:
            break
        received += more
    return received


def bill_of(world: World, request_id: bytes) -> Bill:
    """Wait for the request's bill; fail if it is logged more than once."""
    find_bills = partial(_bills_of, world, request_id.decode())
    wait_until(lambda: bool(find_bills()), 'the bill')
    assert len(find_bills()) == 1
    return find_bills()[0]


def _bills_of(world: World, request_id: str) -> list[Bill]:
    bills = [
        msgspec.json.decode(entry.record.body, type=Bill)
        for entry in world.log.store.entries(BILL_STREAM)
    ]
    return [bill for bill in bills if bill.request_id == request_id]


class TestStreams:
    """Streamed replies."""

    def test_whole_streams_reuse_both_connections(
        self, world: World, caller: socket.socket
    ) -> None:
        with run_scripted_upstream(WHOLE_STREAM, WHOLE_STREAM) as upstream:
            use_scripted_engine(world, upstream)
            for name in (b'whole-1', b'whole-2'):
                caller.sendall(chat(request_id=name))
                received = read_until(caller, chunk(DONE_EVENT) + LAST_CHUNK)
                assert token_event(1) in received
                assert token_event(2) in received
                bill = bill_of(world, name)
                assert (bill.tokens, bill.is_whole) == (2, True)
            assert upstream.connections == 1

    def test_cut_stream_ends_in_error_and_closes(
        self, world: World, caller: socket.socket
    ) -> None:
        cut = (
            STREAM_HEAD + chunk(token_event(1)),
            chunk(token_event(2))[:-5],
            b'cut',
        )
        with run_scripted_upstream(cut, WHOLE_STREAM) as upstream:
            use_scripted_engine(world, upstream)
            caller.sendall(chat(request_id=b'cut'))
            received = read_until(caller, b'no such mark')
            assert b'event: error\ndata: {"error":{"code":"upstream_cut"' in (
                received
            )
            assert not received.endswith(LAST_CHUNK)
            assert DONE_EVENT not in received
            bill = bill_of(world, b'cut')
            assert (bill.tokens, bill.is_whole) == (1, False)

    def test_stream_without_end_mark_counts_as_cut(
        self, world: World, caller: socket.socket
    ) -> None:
        with run_scripted_upstream(
            (STREAM_HEAD + chunk(token_event(1)) + LAST_CHUNK,)
        ) as upstream:
            use_scripted_engine(world, upstream)
            caller.sendall(chat())
            received = read_until(caller, b'no such mark')
            assert b'event: error' in received
            assert not received.endswith(LAST_CHUNK)

    def test_late_bytes_stay_out_of_the_next_reply(
        self, world: World, caller: socket.socket
    ) -> None:
        late = (*WHOLE_STREAM, chunk(b'late bytes of another answer'))
        with run_scripted_upstream(late, WHOLE_STREAM) as upstream:
            use_scripted_engine(world, upstream)
            caller.sendall(chat())
            read_until(caller, chunk(DONE_EVENT) + LAST_CHUNK)
            caller.sendall(chat())
            received = read_until(caller, chunk(DONE_EVENT) + LAST_CHUNK)
            assert b'late' not in received
            assert token_event(2) in received

    def test_disconnect_closes_upstream_and_is_billed(
        self, world: World, caller: socket.socket
    ) -> None:
        with run_scripted_upstream(
            (STREAM_HEAD + chunk(token_event(1)), b'silent')
        ) as upstream:
            use_scripted_engine(world, upstream)
            caller.sendall(chat(request_id=b'left'))
            read_until(caller, token_event(1))
            caller.close()
            assert upstream.closed_by_peer.wait(5)
            bill = bill_of(world, b'left')
            assert (bill.tokens, bill.is_whole) == (1, False)

    def test_http_1_0_caller_gets_the_stream_without_chunks(
        self, world: World, caller: socket.socket
    ) -> None:
        with run_scripted_upstream(WHOLE_STREAM) as upstream:
            use_scripted_engine(world, upstream)
            caller.sendall(chat().replace(b'HTTP/1.1', b'HTTP/1.0', 1))
            received = read_until(caller, b'no such mark')
            assert received.endswith(
                token_event(1) + token_event(2) + DONE_EVENT
            )


class TestBufferedReplies:
    """Replies that are not streamed."""

    def test_content_length_is_sent(
        self, world: World, caller: socket.socket
    ) -> None:
        body = b'{"usage":{"completion_tokens":4}}'
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        with run_scripted_upstream((head + body,)) as upstream:
            use_scripted_engine(world, upstream)
            caller.sendall(chat(b'false'))
            received = read_until(caller, body)
            assert b'Content-Length: %d\r\n' % len(body) in received

    def test_truncated_answer_becomes_an_error_reply(
        self, world: World, caller: socket.socket
    ) -> None:
        cut = b'HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{"usage":{'
        with run_scripted_upstream((cut, b'cut')) as upstream:
            use_scripted_engine(world, upstream)
            caller.sendall(chat(b'false'))
            received = read_until(caller, b'}}')
            assert received.startswith(b'HTTP/1.1 502 ')
            assert b'X-Verdict: may_have_run\r\n' in received
