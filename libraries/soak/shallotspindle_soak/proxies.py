"""Loopback proxies that harm connections."""

import asyncio
import socket
import struct
from dataclasses import dataclass

from shallotspindle_core.clock import Clock

CHUNK_BYTES = 64 * 1024
# A limited link takes no more in advance than it passes on in this time.
TURN_SECONDS = 0.02
# Segments of a network card; over loopback the sender's buffer would hold more.
SEGMENT_BYTES = 1400
# SO_LINGER: on, for 0 s.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


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


def build_slow(size: int) -> socket.socket:
    """Return a socket that takes little in advance, as at a slow link.

    :param size: its buffer, in bytes.
    """
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    return made


def bind_slow(host: str, size: int) -> socket.socket:
    """Return a listening socket whose connections take little in advance."""
    made = build_slow(size)
    made.bind((host, 0))
    made.listen()
    return made


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset.

    Without the option the peer may see an orderly end, which completes an answer that
    has no length.
    """
    made = writer.get_extra_info("socket")
    # The peer may have closed it already.
    if made.fileno() >= 0:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Proxy:
    """Owns a listening socket and passes its connections on to one server.

    What is held back by a cut is lost, as behind a partition whose ends give up.

    :param rate: limit in each direction of a connection, in bytes a second; 0 for none.
    """

    def __init__(
        self,
        host: str,
        port: int,
        rate: float = 0.0,
        clock: Clock | None = None,
    ) -> None:
        self.harm = Harm()
        # When something was last passed on towards the server, in seconds, and whether
        # something waits to be passed on.
        self.up_at = 0.0
        self.holds_up = False
        self._rate = rate
        self._size = int(rate * TURN_SECONDS) if rate else CHUNK_BYTES
        self._clock = clock
        self._server = (host, port)
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1") -> str:
        """Listen and return the address."""
        if not self._rate:
            self._listener = await asyncio.start_server(self._serve, host, 0)
        else:
            self._listener = await asyncio.start_server(
                self._serve, sock=bind_slow(host, self._size), limit=self._size
            )
        found = self._listener.sockets[0].getsockname()
        return f"{found[0]}:{found[1]}"

    async def stop(self) -> None:
        """Close everything."""
        self._listener.close()
        self.reset()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._writers):
            reset_connection(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await self._connect()
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self.holds_up = False
        self._writers |= ends
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, is_up=True),
                self._pass(far_reader, writer, is_up=False),
            )
        except OSError:
            reset_connection(writer)
            reset_connection(far_writer)
        finally:
            self._writers -= ends
            writer.close()
            far_writer.close()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if not self._rate:
            return await asyncio.open_connection(*self._server)
        made = build_slow(self._size)
        made.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(made, self._server)
        except OSError:
            made.close()
            raise
        return await asyncio.open_connection(sock=made, limit=self._size)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_up: bool,
    ) -> None:
        while data := await reader.read(self._size):
            self.holds_up = self.holds_up or is_up
            delay = self.harm.delay + (len(data) / self._rate if self._rate else 0.0)
            if delay:
                await asyncio.sleep(delay)
            if self.harm.cuts_up if is_up else self.harm.cuts_down:
                continue
            writer.write(data)
            await writer.drain()
            if is_up and self._clock is not None:
                self.up_at = self._clock.boottime()
                self.holds_up = False
        if writer.can_write_eof():
            writer.write_eof()
