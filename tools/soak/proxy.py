"""A TCP proxy that delays, resets, stalls and refuses connections."""

import asyncio
import dataclasses

from marigoldhoist.core.identity import split_address
from tools.platform_standins.http import StandInServer


@dataclasses.dataclass(slots=True)
class LinkState:
    """Impairments of a link; each direction can be stalled on its own.

    Forward is from the client to the target. Stalled bytes are delivered once
    the link is restored.
    """

    delay_s: float = 0
    is_forward_stalled: bool = False
    is_backward_stalled: bool = False
    is_refusing: bool = False

    def restore(self) -> None:
        """Remove all impairments."""
        self.delay_s = 0
        self.is_forward_stalled = False
        self.is_backward_stalled = False
        self.is_refusing = False


class Proxy(StandInServer):
    """Forwards connections to one address over an impaired link."""

    def __init__(self, target: str) -> None:
        super().__init__()
        self._target = target
        self.link = LinkState()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until either end closes it."""
        if self.link.is_refusing:
            return
        host, port = split_address(self._target)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            return
        self._writers.add(target_writer)
        try:
            await asyncio.gather(
                self._pipe(reader, target_writer, is_forward=True),
                self._pipe(target_reader, writer, is_forward=False),
            )
        finally:
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _pipe(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_forward: bool,
    ) -> None:
        while received := await reader.read(65_536):
            await asyncio.sleep(self.link.delay_s)
            while self._is_stalled(is_forward=is_forward):
                await asyncio.sleep(0.05)
            writer.write(received)
            await writer.drain()
        writer.transport.abort()

    def _is_stalled(self, *, is_forward: bool) -> bool:
        if is_forward:
            return self.link.is_forward_stalled
        return self.link.is_backward_stalled
