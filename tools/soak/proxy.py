"""A loopback proxy that delays, resets and silences connections."""

import asyncio
import dataclasses

from marigoldhoist.core.identity import split_address
from tools.platform_standins.http import StandInServer


@dataclasses.dataclass(slots=True)
class LinkState:
    """What the link does to bytes; one direction may be cut alone."""

    delay_s: float = 0
    is_forward_cut: bool = False
    is_backward_cut: bool = False
    refuses: bool = False

    def heal(self) -> None:
        """Let everything through again."""
        self.delay_s = 0
        self.is_forward_cut = False
        self.is_backward_cut = False
        self.refuses = False


class Proxy(StandInServer):
    """Passes connections on to one address."""

    def __init__(self, target: str) -> None:
        super().__init__()
        self._target = target
        self.link = LinkState()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one connection on until either end closes."""
        if self.link.refuses:
            return
        host, port = split_address(self._target)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            return
        self._writers.add(far_writer)
        try:
            await asyncio.gather(
                self._pass_on(reader, far_writer, is_forward=True),
                self._pass_on(far_reader, writer, is_forward=False),
            )
        finally:
            self._writers.discard(far_writer)
            far_writer.transport.abort()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_forward: bool,
    ) -> None:
        while passed := await reader.read(65_536):
            await asyncio.sleep(self.link.delay_s)
            while self._is_cut(is_forward=is_forward):
                await asyncio.sleep(0.05)
            writer.write(passed)
            await writer.drain()
        writer.transport.abort()

    def _is_cut(self, *, is_forward: bool) -> bool:
        if is_forward:
            return self.link.is_forward_cut
        return self.link.is_backward_cut
