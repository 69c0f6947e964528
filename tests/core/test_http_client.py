"""Tests of responses that are cut off or invalid."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import urllib3

from marigoldhoist.core.http_client import new_pool
from tests.early_server import run_early_server

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
RECEIVE_BYTES = 65_536
UPLOAD = b'x' * 3_000_000
ROUNDS = 20


@contextmanager
def upstream_sending(response: bytes) -> Iterator[str]:
    """Provide the URL of an upstream that sends a response and closes."""
    with socket.create_server(('127.0.0.1', 0)) as server:

        def serve() -> None:
            connection, _ = server.accept()
            with connection:
                connection.recv(RECEIVE_BYTES)
                connection.sendall(response)

        serving = threading.Thread(target=serve)
        serving.start()
        yield f'http://127.0.0.1:{server.getsockname()[1]}/'
        serving.join()


def body_of(response: bytes) -> bytes:
    """Return the body of a response as the pool reads it."""
    with upstream_sending(response) as url, new_pool(max_hosts=1) as pool:
        return pool.request('GET', url).data


class TestTruncatedHead:
    """A head without its end is no response."""

    @pytest.mark.parametrize(
        'head', (HEAD, b'%bContent-Le' % HEAD, HEAD[:-1], HEAD[:12])
    )
    def test_is_not_an_empty_success(self, head: bytes) -> None:
        with pytest.raises(urllib3.exceptions.ProtocolError):
            body_of(head)

    def test_whole_head_is_read(self) -> None:
        assert body_of(b'%b\r\nbody' % HEAD) == b'body'
        assert not body_of(b'%bContent-Length: 0\r\n\r\n' % HEAD)


class TestInterruptedHead:
    """A part of a head that is followed by another response."""

    FAILURE = b'HTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\nfail'

    @pytest.mark.parametrize('cut', range(1, len(HEAD) + 1))
    def test_is_not_merged_with_the_other_head(self, cut: int) -> None:
        # Guards against the status of one answer with the body of another.
        with pytest.raises(urllib3.exceptions.ProtocolError):
            body_of(HEAD[:cut] + self.FAILURE)

    def test_response_after_an_interim_one_is_read(self) -> None:
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        assert body_of(interim + self.FAILURE) == b'fail'


class TestUnfinishedUpload:
    """An answer that ends before the upload is not complete."""

    @pytest.mark.parametrize('resets', [False, True])
    def test_part_of_an_answer_is_no_answer(self, resets: bool) -> None:
        with (
            run_early_server('127.0.0.1', 0, resets=resets) as port,
            new_pool(max_hosts=1) as pool,
        ):
            url = f'http://127.0.0.1:{port}/'
            for _ in range(ROUNDS):
                with pytest.raises(urllib3.exceptions.HTTPError):
                    pool.request('POST', url, body=UPLOAD)


class TestStatusOutOfRange:
    """A status that no response can have is no answer."""

    @pytest.mark.parametrize('status', ['000', '020', '099', '600', '999'])
    def test_is_rejected(self, status: str) -> None:
        head = HEAD.replace(b'200', status.encode())
        with pytest.raises(urllib3.exceptions.ProtocolError):
            body_of(b'%bContent-Length: 0\r\n\r\n' % head)
