"""Read request bodies within the room that all callers share."""

import contextlib
import socket
from collections.abc import Iterator
from typing import Any, Final

from cheroot import server
from result import Err, Ok, Result

from marigoldhoist.components.entry.chunked import ChunkDecoder
from marigoldhoist.components.entry.settings import EntrySettings
from marigoldhoist.components.intake.pace import InputPace
from marigoldhoist.components.intake.room import HeldInput, InputRoom
from marigoldhoist.core.body import Body
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode, RequestFailure

# A body that is behind this rate gives way to others, and is ended when it is
# behind by the socket timeout.
MIN_BODY_BYTES_PER_S: Final = 16 * 1024
# The pieces of a body and the body that is made of them.
BODY_COPIES: Final = 2
PIECE_BYTES: Final = 64 * 1024
MIN_RETRY_AFTER_S: Final = 1.0


class Upload:
    """The body of one request, which is read at most once.

    `close` gives its room back; the body may not be used after that.
    """

    def __init__(
        self,
        request: server.HTTPRequest,
        settings: EntrySettings,
        room: InputRoom,
    ) -> None:
        self._request = request
        self._settings = settings
        self._room = room
        self._socket: socket.socket = request.conn.socket
        self._held = HeldInput(self._stop_reading)
        self._is_evicted = False

    def close(self) -> None:
        """Give back the room of the body."""
        self._room.release(self._held)

    def read(self, workspace: str) -> Result[bytes, RequestFailure]:
        """Return the whole body.

        Fails if it is too large, malformed, too slow or cut short, or if there
        is no room for it.
        """
        self._held.workspace = workspace
        if self._request.chunked_read:
            return self._read_chunked()
        length = getattr(self._request.rfile, 'remaining', 0)
        if length > self._settings.max_body_bytes:
            return self._too_large()
        if not length:
            return Ok(b'')
        if not self._try_hold(length):
            return self._no_room()
        return self._joined(self._sized_pieces(length), length)

    def _read_chunked(self) -> Result[bytes, RequestFailure]:
        decoded = ChunkDecoder().decode(self._pieces())
        return self._joined(decoded, None)

    def _joined(
        self, pieces: Iterator[bytes], length: int | None
    ) -> Result[bytes, RequestFailure]:
        """Return the pieces as one body, of a known length or none."""
        body = Body()
        try:
            for piece in pieces:
                body.append(piece)
                failure = self._excess(len(body), length)
                if failure is not None:
                    return failure
        except OSError:
            return _bad_request('body did not arrive in time')
        except ValueError as error:
            return self._evicted() or _bad_request(
                f'body was cut short or malformed: {error}'
            )
        finally:
            self._held.pace = None
            self._socket.settimeout(self._settings.socket_timeout_s)
        if length is not None and len(body) < length:
            return self._evicted() or _bad_request('body was cut short')
        return Ok(b''.join(body.parts))

    def _excess(
        self, size_bytes: int, length: int | None
    ) -> Err[RequestFailure] | None:
        """Return the failure of a body that is too large or finds no room."""
        if size_bytes > self._settings.max_body_bytes:
            return self._too_large()
        if length is None and not self._try_hold(size_bytes):
            return self._no_room()
        return None

    def _sized_pieces(self, length: int) -> Iterator[bytes]:
        """Yield a body of a known length; it may end too soon."""
        rfile = self._request.rfile
        for piece in self._pieces(length):
            rfile.remaining -= len(piece)
            yield piece

    def _pieces(self, length: int | None = None) -> Iterator[bytes]:
        """Yield what is received; raise OSError if it comes too slowly."""
        stream: Any = self._request.conn.rfile
        pace = InputPace(MIN_BODY_BYTES_PER_S, SYSTEM_CLOCK.monotonic_s())
        self._held.pace = pace
        left_bytes = PIECE_BYTES if length is None else length
        while left_bytes:
            self._socket.settimeout(self._time_left_s(pace))
            piece = stream.read1(min(PIECE_BYTES, left_bytes))
            if not piece:
                return
            pace.note(len(piece), SYSTEM_CLOCK.monotonic_s())
            if length is not None:
                left_bytes -= len(piece)
            yield piece

    def _time_left_s(self, pace: InputPace) -> float:
        """Return the time until the body is too late; raise TimeoutError."""
        due_s = pace.due_s(self._settings.socket_timeout_s)
        left_s = due_s - SYSTEM_CLOCK.monotonic_s()
        if left_s <= 0:
            raise TimeoutError('the body came too slowly')
        return left_s

    def _try_hold(self, size_bytes: int) -> bool:
        if self._is_evicted:
            return False
        self._room.fit(BODY_COPIES * self._settings.max_body_bytes)
        return self._room.try_reserve(
            self._held, BODY_COPIES * size_bytes, SYSTEM_CLOCK.monotonic_s()
        )

    def _stop_reading(self) -> None:
        """End the wait for further bytes, from any thread."""
        self._is_evicted = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)

    def _evicted(self) -> Err[RequestFailure] | None:
        """Return the failure of a body whose room was needed, if it was."""
        if not self._is_evicted:
            return None
        message = 'the body stalled while others needed its room'
        return Err(RequestFailure(ErrorCode.TOO_SLOW, message))

    def _no_room(self) -> Err[RequestFailure]:
        evicted = self._evicted()
        if evicted is not None:
            return evicted
        now_s = SYSTEM_CLOCK.monotonic_s()
        return Err(
            RequestFailure(
                ErrorCode.OVERLOADED,
                'no memory is left for the body',
                retry_after_s=max(
                    MIN_RETRY_AFTER_S, self._room.retry_after_s(now_s)
                ),
            )
        )

    def _too_large(self) -> Err[RequestFailure]:
        message = f'body over {self._settings.max_body_bytes} bytes'
        return Err(RequestFailure(ErrorCode.BODY_TOO_LARGE, message))


def _bad_request(message: str) -> Err[RequestFailure]:
    return Err(RequestFailure(ErrorCode.BAD_REQUEST, message))
