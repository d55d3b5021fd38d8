"""Loopback proxies that inject faults into connections."""

import asyncio
import socket
import struct
from dataclasses import dataclass

from shallotspindle_core.clock import Clock

READ_BYTES = 64 * 1024
# The buffer of a rate-limited link holds no more than it forwards in this time.
BUFFERED_SECONDS = 0.02
# Typical segment size of a network card. The larger segments of the loopback interface
# would let the sender's buffer hold more.
SEGMENT_BYTES = 1400
# Value of SO_LINGER: enabled with a timeout of 0 s.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class LinkFaults:
    """Faults that a proxy injects into its connections.

    :param delay_seconds: delay before each chunk is forwarded.
    :param drops_to_server: whether data towards the server is dropped.
    :param drops_to_client: whether data towards the client is dropped.
    """

    delay_seconds: float = 0.0
    drops_to_server: bool = False
    drops_to_client: bool = False

    def clear(self) -> None:
        """Remove all faults."""
        self.delay_seconds = 0.0
        self.drops_to_server = self.drops_to_client = False


def create_small_buffer_socket(buffer_bytes: int) -> socket.socket:
    """Return a socket that buffers little, like one at a slow link.

    :param buffer_bytes: size of its receive buffer.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    return sock


def create_small_buffer_listener(host: str, buffer_bytes: int) -> socket.socket:
    """Return a listening socket whose connections buffer little."""
    sock = create_small_buffer_socket(buffer_bytes)
    sock.bind((host, 0))
    sock.listen()
    return sock


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset.

    Without SO_LINGER the peer may see a normal end of stream, which completes a
    response that has no length.
    """
    sock = writer.get_extra_info("socket")
    # The descriptor is -1 if the connection is closed already.
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class FaultProxy:
    """Owns a listening socket and forwards its connections to one server.

    Data that is dropped is lost for good, as in a network partition whose ends close
    the connection.

    :param bytes_per_second: limit in each direction of a connection; 0 for none.
    :param clock: records when data was forwarded to the server, if given.
    """

    def __init__(
        self,
        host: str,
        port: int,
        bytes_per_second: float = 0.0,
        clock: Clock | None = None,
    ) -> None:
        self.faults = LinkFaults()
        # When data was last forwarded to the server, in seconds, and whether data has
        # been read that is not forwarded yet.
        self.last_forwarded_at = 0.0
        self.has_pending_data = False
        self._bytes_per_second = bytes_per_second
        self._buffer_bytes = (
            int(bytes_per_second * BUFFERED_SECONDS) if bytes_per_second else READ_BYTES
        )
        self._clock = clock
        self._server_address = (host, port)
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1") -> str:
        """Start to listen and return the address as ``ip:port``."""
        if not self._bytes_per_second:
            self._listener = await asyncio.start_server(self._serve, host, 0)
        else:
            self._listener = await asyncio.start_server(
                self._serve,
                sock=create_small_buffer_listener(host, self._buffer_bytes),
                limit=self._buffer_bytes,
            )
        address = self._listener.sockets[0].getsockname()
        return f"{address[0]}:{address[1]}"

    async def stop(self) -> None:
        """Close the listening socket and reset all connections."""
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
            server_reader, server_writer = await self._connect()
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, server_writer}
        self.has_pending_data = False
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, server_writer, is_upload=True),
                self._forward(server_reader, writer, is_upload=False),
            )
        except OSError:
            reset_connection(writer)
            reset_connection(server_writer)
        finally:
            self._writers -= writers
            writer.close()
            server_writer.close()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if not self._bytes_per_second:
            return await asyncio.open_connection(*self._server_address)
        sock = create_small_buffer_socket(self._buffer_bytes)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self._server_address)
        except OSError:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock, limit=self._buffer_bytes)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_upload: bool,
    ) -> None:
        while data := await reader.read(self._buffer_bytes):
            self.has_pending_data = self.has_pending_data or is_upload
            delay_seconds = self.faults.delay_seconds + (
                len(data) / self._bytes_per_second if self._bytes_per_second else 0.0
            )
            if delay_seconds:
                await asyncio.sleep(delay_seconds)
            if (
                self.faults.drops_to_server
                if is_upload
                else self.faults.drops_to_client
            ):
                continue
            writer.write(data)
            await writer.drain()
            if is_upload and self._clock is not None:
                self.last_forwarded_at = self._clock.boottime()
                self.has_pending_data = False
        if writer.can_write_eof():
            writer.write_eof()
