"""A loopback proxy that delays, resets and silences connections."""

import asyncio
import contextlib
import dataclasses


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


class Proxy:
    """Passes connections on to one address."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.link = LinkState()
        self.address = ''

    async def start(self, host: str) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    def reset(self) -> None:
        """Reset every connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.link.refuses:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await asyncio.gather(
                self._pass_on(reader, far_writer, is_forward=True),
                self._pass_on(far_reader, writer, is_forward=False),
            )
        self._writers -= {writer, far_writer}
        writer.transport.abort()
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
