"""Memory that the input of one caller's connection holds."""

import asyncio
from collections.abc import Callable
from typing import Final

from marigoldhoist.components.configuration.models import CallerLimits
from marigoldhoist.components.gateway.parsers import RequestParser
from marigoldhoist.components.intake.pace import InputPace
from marigoldhoist.components.intake.room import HeldInput, InputRoom
from marigoldhoist.core.body import Body

# Input up to this size is part of the cost of a connection.
UNCOUNTED_INPUT_BYTES: Final = 8 * 1024
# Room for a body of unknown size is reserved in steps.
RESERVED_STEP_BYTES: Final = 64 * 1024


class ConnectionInput:
    """Reserves room for the requests that a connection has parsed.

    `body` is that of the request which is read or served. `on_evicted` is
    called when the room is needed for other callers.
    """

    def __init__(
        self,
        room: InputRoom,
        requests: RequestParser,
        on_evicted: Callable[[], None],
    ) -> None:
        self._room = room
        self._requests = requests
        self._held = HeldInput(on_evicted)
        self._head_bytes = 0
        self._is_whole = False
        self.body = Body()

    def begin(self, head_bytes: int) -> None:
        """Start a request whose head takes the given memory."""
        self._head_bytes = head_bytes

    def try_announce(
        self, workspace: str, body_bytes: int, limits: CallerLimits
    ) -> bool:
        """Reserve room for an announced body; return False if there is none."""
        self._room.release(self._held)
        self._held.workspace = workspace
        largest_bytes = limits.max_body_bytes + limits.max_head_bytes
        self._room.fit(largest_bytes + RESERVED_STEP_BYTES)
        return self._try_hold(self._head_bytes + body_bytes)

    def try_account(self) -> bool:
        """Reserve room for what was parsed; return False if there is none."""
        parsed_bytes = self._requests.kept_bytes
        if parsed_bytes <= max(UNCOUNTED_INPUT_BYTES, self._held.size_bytes):
            return True
        steps = parsed_bytes // RESERVED_STEP_BYTES + 1
        return self._try_hold(steps * RESERVED_STEP_BYTES)

    def retry_after_s(self) -> float:
        """Return the seconds until there may be room again."""
        return self._room.retry_after_s(_now_s())

    def begin_body(self, min_bytes_per_s: float) -> InputPace:
        """Return the pace of the body, which may be evicted from now on."""
        pace = InputPace(min_bytes_per_s, _now_s())
        self._held.pace = pace
        return pace

    def end_body(self) -> None:
        """Record that the body is complete; it is kept until `end`."""
        self._held.pace = None
        self._is_whole = True

    def end(self) -> None:
        """Free the request, so that only what follows it is held."""
        self._is_whole = False
        self._held.pace = None
        self._requests.kept_bytes -= self._head_bytes + len(self.body)
        self._head_bytes = 0
        self.body.clear()
        self._room.release(self._held)
        self._held.workspace = ''

    def drop(self) -> None:
        """Free everything but a request that is complete and not ended."""
        self._requests.items.clear()
        if self._is_whole:
            self._requests.kept_bytes = self._head_bytes + len(self.body)
            return
        self._requests.kept_bytes = 0
        self._head_bytes = 0
        self.body.clear()
        self._room.release(self._held)

    def _try_hold(self, size_bytes: int) -> bool:
        if size_bytes <= UNCOUNTED_INPUT_BYTES:
            return True
        return self._room.try_reserve(self._held, size_bytes, _now_s())


def _now_s() -> float:
    return asyncio.get_running_loop().time()
