"""Loopback proxies that harm connections."""

import asyncio
from dataclasses import dataclass

CHUNK_BYTES = 64 * 1024


@dataclass(slots=True)
class Harm:
    """What a proxy does to its connections.

    :param delay: time before each piece is passed on, in seconds.
    :param cuts_up: whether nothing passes towards the server.
    :param cuts_down: whether nothing passes towards the client.
    """

    delay: float = 0.0
    cuts_up: bool = False
    cuts_down: bool = False

    def clear(self) -> None:
        """Pass everything on again."""
        self.delay = 0.0
        self.cuts_up = self.cuts_down = False


class Proxy:
    """Owns a listening socket and passes its connections on to one server.

    What is held back by a cut is lost, as behind a partition whose ends give up.
    """

    def __init__(self, host: str, port: int) -> None:
        self.harm = Harm()
        self._server = (host, port)
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1") -> str:
        """Listen and return the address."""
        self._listener = await asyncio.start_server(self._serve, host, 0)
        found = self._listener.sockets[0].getsockname()
        return f"{found[0]}:{found[1]}"

    async def stop(self) -> None:
        """Close everything."""
        self._listener.close()
        self.reset()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._server)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, is_up=True),
                self._pass(far_reader, writer, is_up=False),
            )
        except OSError:
            writer.transport.abort()
            far_writer.transport.abort()
        finally:
            self._writers -= ends
            writer.close()
            far_writer.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_up: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.harm.delay:
                await asyncio.sleep(self.harm.delay)
            if self.harm.cuts_up if is_up else self.harm.cuts_down:
                continue
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
