"""Connections of the peer transport: accepts, dials, reads and writes.

Received frames go to the inbox of the transport. A message to a peer without an open
connection is queued while one is dialled, and dropped if the peer is unreachable.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_entry.peer_messages import (
    ConnectionClosed,
    ConnectionOpened,
    DialFailed,
    FrameReceived,
    PeerConnection,
)
from shallotspindle_wire import streams
from shallotspindle_wire.streams import HandshakeParameters, Stream, TrafficCounter

IDLE_TIMEOUT_SECONDS = 30.0
# A connection that received nothing for this time after a write is closed.
RESPONSE_TIMEOUT_SECONDS = 6.0
# Limit of messages queued for one peer while its connection is being opened.
MAX_QUEUED_MESSAGES = 64
# Limit of accepted connections that have not yet proved to know the fleet secret.
MAX_PENDING_HANDSHAKES = 64


class ConnectionPool:
    """Connections by peer; only the peer transport uses it.

    :param create_handshake_parameters: returns parameters with a fresh nonce.
    :param tell: sends a message to the inbox of the transport.
    """

    def __init__(
        self,
        create_handshake_parameters: Callable[[], HandshakeParameters],
        clock: Clock,
        tell: Callable[[Any], None],
    ) -> None:
        self._create_handshake_parameters = create_handshake_parameters
        self._clock = clock
        self._tell = tell
        self._connections: dict[Incarnation, list[PeerConnection]] = {}
        self._queued_messages: dict[Incarnation, list[bytes]] = {}
        self._background_tasks: set[asyncio.Task] = set()
        self._pending_handshakes = 0
        self.traffic = TrafficCounter()

    def start_background_task(self, coroutine: Coroutine) -> None:
        """Run a coroutine until it ends or the pool is closed."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def count_background_tasks(self) -> int:
        """Return the number of running background tasks."""
        return len(self._background_tasks)

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return sum(map(len, self._connections.values()))

    def close(self) -> None:
        """Close all connections and cancel all background tasks."""
        for task in self._background_tasks:
            task.cancel()
        for connection in self._list_connections():
            connection.stream.close()

    def _list_connections(self) -> list[PeerConnection]:
        return [
            each for connections in self._connections.values() for each in connections
        ]

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection that another instance opened."""
        if self._pending_handshakes >= MAX_PENDING_HANDSHAKES:
            writer.close()
            return
        self._pending_handshakes += 1
        try:
            parameters = self._create_handshake_parameters()
            handshake = await streams.perform_handshake(
                reader, writer, parameters, None, self.traffic
            )
        finally:
            self._pending_handshakes -= 1
        if handshake.is_error():
            logging.warning("refused the connection of a peer: %s", handshake.error)
            writer.close()
            return
        await self._read(*handshake.ok)

    async def _dial(self, peer: Instance) -> None:
        handshake = await streams.dial(
            peer, self._create_handshake_parameters(), self.traffic
        )
        if handshake.is_error():
            self._tell(DialFailed(peer))
            return
        await self._read(*handshake.ok)

    async def _read(self, stream: Stream, payloads: tuple[bytes, ...]) -> None:
        connection = PeerConnection(stream, self._clock.boottime())
        self._tell(ConnectionOpened(connection))
        while True:
            for payload in payloads:
                self._tell(FrameReceived(connection, payload))
            received = await stream.receive()
            if received.is_error():
                break
            payloads = received.ok
        stream.close()
        self._tell(ConnectionClosed(connection))

    def add(self, connection: PeerConnection) -> None:
        """Add an open connection and send the messages queued for its peer."""
        incarnation = connection.stream.peer.incarnation
        self._connections.setdefault(incarnation, []).append(connection)
        for payload in self._queued_messages.pop(incarnation, ()):
            self.write(connection, payload)

    def remove(self, connection: PeerConnection) -> None:
        """Remove a connection that ended."""
        incarnation = connection.stream.peer.incarnation
        remaining = [
            other
            for other in self._connections.get(incarnation, ())
            if other is not connection
        ]
        if remaining:
            self._connections[incarnation] = remaining
        else:
            self._connections.pop(incarnation, None)

    def drop_queued_messages(self, peer: Instance) -> None:
        """Drop the messages queued for a peer that is unreachable."""
        self._queued_messages.pop(peer.incarnation, None)

    def write(self, connection: PeerConnection, payload: bytes) -> bool:
        """Write a payload to a connection and return whether it was accepted."""
        if not connection.stream.send(payload):
            return False
        connection.used_at = self._clock.boottime()
        if connection.awaiting_response_since is None:
            connection.awaiting_response_since = connection.used_at
        return True

    def record_received_frame(self, connection: PeerConnection) -> None:
        """Record that a frame arrived on a connection."""
        connection.used_at = self._clock.boottime()
        connection.awaiting_response_since = None

    def deliver(self, peer: Instance, payload: bytes) -> None:
        """Write a payload to the newest connection to a peer, or open one."""
        for connection in reversed(self._connections.get(peer.incarnation, ())):
            if self.write(connection, payload):
                return
        queued = self._queued_messages.get(peer.incarnation)
        if queued is None:
            queued = self._queued_messages[peer.incarnation] = []
            self.start_background_task(self._dial(peer))
        if len(queued) < MAX_QUEUED_MESSAGES:
            queued.append(payload)

    def close_unused(self, now: float) -> None:
        """Close connections that are idle or receive no responses."""
        for connection in self._list_connections():
            since = connection.awaiting_response_since
            is_unresponsive = (
                since is not None and now - since > RESPONSE_TIMEOUT_SECONDS
            )
            if is_unresponsive or now - connection.used_at > IDLE_TIMEOUT_SECONDS:
                connection.stream.close()
                self.remove(connection)
