"""Malformed, oversized and slow requests get an error reply."""

import contextlib
import socket
from collections.abc import Iterator

import msgspec
import pytest

from tests.scripted import (
    STREAM_HEAD,
    chunk,
    run_scripted_upstream,
    token_event,
    use_scripted_engine,
)
from tools.world.samples import WORKSPACE_KEY
from tools.world.world import ENTRY_PORT, World

KEY = f'Authorization: Bearer {WORKSPACE_KEY}\r\n'
CHAT = 'POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\n'
CHUNKED = f'{CHAT}{KEY}Transfer-Encoding: chunked\r\n\r\n'
MAX_BODY_BYTES = 4096
MAX_REQUESTS = 2


@pytest.fixture(scope='module')
def world() -> Iterator[World]:
    """Start one daemon with low limits."""
    with World() as started:
        started.entry_settings = {
            'max_body_bytes': MAX_BODY_BYTES,
            'max_header_bytes': 2048,
            'max_requests': MAX_REQUESTS,
            'socket_timeout_s': 1,
        }
        started.add_daemon('entry-1', 'zg-trnje')
        yield started


def connect(world: World) -> socket.socket:
    """Connect to the daemon."""
    target = (world.address_of('entry-1'), ENTRY_PORT)
    return socket.create_connection(target, timeout=10)


def exchange(world: World, sent: bytes, is_cut: bool = False) -> bytes:
    """Send bytes and return one reply, or all bytes until the daemon closes.

    `is_cut` closes the sending side after the bytes.
    """
    with connect(world) as caller:
        caller.sendall(sent)
        if is_cut:
            caller.shutdown(socket.SHUT_WR)
        received = b''
        while more := caller.recv(65_536):
            received += more
            if is_reply_complete(received):
                break
    return received


def is_reply_complete(received: bytes) -> bool:
    """Return whether a reply with a Content-Length arrived in full."""
    head, separator, body = received.partition(b'\r\n\r\n')
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            return bool(separator) and len(body) >= int(line.split(b':')[1])
    return False


def chat(body: bytes, headers: str = KEY, length: int | None = None) -> bytes:
    """Return the bytes of a chat request.

    `length` is the Content-Length to send, if it differs from the body's.
    """
    size = len(body) if length is None else length
    return f'{CHAT}{headers}Content-Length: {size}\r\n\r\n'.encode() + body


GOOD = b'{"model":"pult-model","messages":[]}'
STREAMED = b'{"model":"pult-model","messages":[],"stream":true}'
CASES = {
    'bad JSON': (chat(b'{"model":'), 400, 'bad_request'),
    'no model': (chat(b'{"messages":[]}'), 400, 'bad_request'),
    'unknown model': (
        chat(b'{"model":"none","messages":[]}'),
        404,
        'unknown_model',
    ),
    'no key': (chat(GOOD, ''), 401, 'unauthorized'),
    'wrong key': (
        chat(GOOD, 'Authorization: Bearer x\r\n'),
        401,
        'unauthorized',
    ),
    'no such path': (
        f'GET /nothing HTTP/1.1\r\nHost: test\r\n{KEY}\r\n'.encode(),
        400,
        'bad_request',
    ),
    'no such service': (
        f'GET /services/none HTTP/1.1\r\nHost: test\r\n{KEY}\r\n'.encode(),
        404,
        'unknown_service',
    ),
    'oversized body': (
        chat(b'', length=MAX_BODY_BYTES + 1),
        413,
        'body_too_large',
    ),
    'oversized chunked body': (
        b'%b2000\r\n%b\r\n0\r\n\r\n' % (CHUNKED.encode(), bytes(8192)),
        413,
        'body_too_large',
    ),
    'broken chunked body': (
        f'{CHUNKED}zz\r\n'.encode(),
        400,
        'bad_request',
    ),
    'oversized header': (
        chat(GOOD, f'{KEY}X-Long: {"x" * 4096}\r\n'),
        413,
        'body_too_large',
    ),
    'oversized request line': (
        b'GET /%b HTTP/1.1\r\n\r\n' % (b'x' * 4096),
        414,
        'body_too_large',
    ),
    'two lengths': (
        chat(GOOD, f'{KEY}Content-Length: 3\r\n'),
        400,
        'bad_request',
    ),
    'length and chunks': (
        chat(GOOD, f'{KEY}Transfer-Encoding: chunked\r\n'),
        400,
        'bad_request',
    ),
    'two request ids': (
        chat(GOOD, f'{KEY}X-Request-Id: a\r\nX-Request-Id: b\r\n'),
        400,
        'bad_request',
    ),
    'negative length': (chat(b'', length=-5), 400, 'bad_request'),
    'header without a colon': (chat(GOOD, f'{KEY}X\r\n'), 400, 'bad_request'),
    'bad deadline': (
        chat(GOOD, f'{KEY}X-Deadline-Ms: soon\r\n'),
        400,
        'bad_request',
    ),
    'long request id': (
        chat(GOOD, f'{KEY}X-Request-Id: {"x" * 200}\r\n'),
        400,
        'bad_request',
    ),
    'garbage': (b'\x16\x03\x01 what\r\n\r\n', 400, 'bad_request'),
    'slow body': (chat(GOOD, length=99), 400, 'bad_request'),
    'slow header': (CHAT.encode(), 408, 'bad_request'),
}


def check_refusal(received: bytes, status: int, code: str) -> None:
    """Check the status, code and verdict of a refusal."""
    head, _, body = received.partition(b'\r\n\r\n')
    assert head.split(b' ')[1] == str(status).encode(), received
    detail = msgspec.json.decode(body)['error']
    assert (detail['code'], detail['verdict']) == (code, 'not_run')
    assert b'X-Verdict: not_run' in head


def _read_event(caller: socket.socket) -> bytes:
    received = b''
    while b'\n\n' not in received:
        received += caller.recv(65_536)
    return received


class TestRefusals:
    """Every refusal has a status, a code and the verdict `not_run`."""

    @pytest.mark.parametrize('case', CASES)
    def test_invalid_request(self, world: World, case: str) -> None:
        sent, status, code = CASES[case]
        check_refusal(exchange(world, sent), status, code)

    def test_truncated_upload(self, world: World) -> None:
        sent = chat(GOOD, length=99)
        check_refusal(exchange(world, sent, is_cut=True), 400, 'bad_request')

    def test_garbage_after_a_request(self, world: World) -> None:
        good = f'GET /v1/models HTTP/1.1\r\nHost: t\r\n{KEY}\r\n'.encode()
        with connect(world) as caller:
            caller.sendall(b'%bgarbage\r\n\r\n' % good)
            received = b''
            while more := caller.recv(65_536):
                received += more
        assert received.startswith(b'HTTP/1.1 200 OK')
        assert received.count(b'HTTP/1.1 400 Bad Request') == 1

    def test_daemon_at_max_requests_refuses_at_once(self, world: World) -> None:
        script = (STREAM_HEAD + chunk(token_event(1)), b'silent')
        with contextlib.ExitStack() as stack:
            upstream = stack.enter_context(
                run_scripted_upstream(script, script)
            )
            use_scripted_engine(world, upstream)
            for _ in range(MAX_REQUESTS):
                running = stack.enter_context(connect(world))
                running.sendall(chat(STREAMED))
                assert token_event(1) in _read_event(running)
            received = exchange(world, chat(GOOD))
        check_refusal(received, 503, 'overloaded')
        assert b'Retry-After: 1\r\n' in received
