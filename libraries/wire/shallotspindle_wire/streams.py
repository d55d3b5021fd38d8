"""Authenticated TCP streams between instances.

Both sides exchange nonces and then send an introduction in an authenticated frame. A
stream may be used only after the introduction of the peer was verified.
"""

import asyncio
from dataclasses import dataclass

from expression import Error, Ok, Result

from shallotspindle_core import addresses
from shallotspindle_core.addresses import InvalidAddress
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_wire import frames
from shallotspindle_wire.codec import Codec
from shallotspindle_wire.envelopes import Introduction
from shallotspindle_wire.frames import (
    Direction,
    FrameDecoder,
    FrameEncoder,
    FrameTooLarge,
)

HANDSHAKE_TIMEOUT_SECONDS = 2.0
MAX_READ_BYTES = 65_536
# Bounds the memory that a peer which does not read can occupy here.
MAX_WRITE_BUFFER_BYTES = 4_000_000
INTRODUCTION_CODEC = Codec([Introduction])


@dataclass(frozen=True, slots=True)
class StreamFailure(Failure):
    """The stream could not be opened, or it has ended."""


@dataclass(slots=True)
class TrafficCounter:
    """Bytes on all streams of an instance, without TCP and IP headers."""

    sent_bytes: int = 0
    received_bytes: int = 0


@dataclass(frozen=True, slots=True)
class HandshakeParameters:
    """What an instance needs for the handshake of one connection.

    :param nonce: random bytes, never used for another connection.
    """

    own_instance: Instance
    fleet_secret: bytes
    nonce: bytes


class Stream:
    """A connection to a peer, as authenticated frames.

    :param keys: the keys of the frames sent and of the frames received.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        keys: tuple[bytes, bytes],
        traffic: TrafficCounter,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._encoder = FrameEncoder(keys[0])
        self._decoder = FrameDecoder(keys[1])
        self._traffic = traffic
        self.peer: Instance | None = None

    def send(self, payload: bytes) -> bool:
        """Send a payload in a frame and return whether it was accepted for sending.

        It is refused if the connection is closing, the write buffer is full or the
        payload is too large.
        """
        transport = self._writer.transport
        if transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            return False
        frame = self._encoder.encode(payload)
        if isinstance(frame, FrameTooLarge):
            return False
        self._traffic.sent_bytes += len(frame)
        self._writer.write(frame)
        return True

    async def receive(self) -> Result[tuple[bytes, ...], Failure]:
        """Wait for the next payloads; after a failure the stream must be closed."""
        while True:
            try:
                data = await self._reader.read(MAX_READ_BYTES)
            except OSError as error:
                return Error(
                    StreamFailure("peer stream", "the connection broke", repr(error))
                )
            if not data:
                return Error(
                    StreamFailure("peer stream", "the peer closed the connection")
                )
            self._traffic.received_bytes += len(data)
            decoded = self._decoder.feed(data)
            if decoded.is_error() or decoded.ok:
                return decoded

    def close(self) -> None:
        """Close the connection once the buffered data has been sent."""
        self._writer.close()


def _check_introduction(
    introduction: Introduction, own_instance: Instance, expected: Instance | None
) -> Failure | None:
    if introduction.sender.incarnation == own_instance.incarnation:
        return StreamFailure("peer stream", "the peer is this instance itself")
    if expected is None and introduction.receiver != own_instance.incarnation:
        item = introduction.receiver
        return StreamFailure(
            "peer stream", "the peer wanted to reach another instance", item
        )
    if expected is not None and introduction.sender.incarnation != expected.incarnation:
        item = introduction.sender.incarnation
        return StreamFailure("peer stream", "another instance answered", item)
    return None


async def _exchange_introductions(
    stream: Stream, own_instance: Instance, expected: Instance | None
) -> Result[tuple[bytes, ...], Failure]:
    receiver = expected.incarnation if expected else Incarnation("")
    stream.send(INTRODUCTION_CODEC.encode(Introduction(own_instance, receiver)))
    received = await stream.receive()
    if received.is_error():
        return received
    encoded_introduction, *payloads = received.ok
    decoded = INTRODUCTION_CODEC.decode(encoded_introduction)
    if decoded.is_error():
        return decoded
    failure = _check_introduction(decoded.ok, own_instance, expected)
    if failure is not None:
        return Error(failure)
    stream.peer = decoded.ok.sender
    return Ok(tuple(payloads))


def _derive_keys(
    parameters: HandshakeParameters, peer_nonce: bytes, is_dialer: bool
) -> tuple[bytes, bytes]:
    nonces = (
        (parameters.nonce, peer_nonce) if is_dialer else (peer_nonce, parameters.nonce)
    )
    dialer = frames.derive_key(parameters.fleet_secret, *nonces, Direction.DIALER)
    listener = frames.derive_key(parameters.fleet_secret, *nonces, Direction.LISTENER)
    return (dialer, listener) if is_dialer else (listener, dialer)


async def perform_handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    parameters: HandshakeParameters,
    expected: Instance | None,
    traffic: TrafficCounter,
) -> Result[tuple[Stream, tuple[bytes, ...]], Failure]:
    """Exchange nonces and introductions on a new connection.

    :param expected: the instance that the dialer wants to reach; None on the listening
        side.
    :returns: the stream and the payloads received together with the introduction. After
        a failure the caller must close the writer.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            writer.write(parameters.nonce)
            peer_nonce = await reader.readexactly(frames.NONCE_BYTES)
            keys = _derive_keys(parameters, peer_nonce, expected is not None)
            stream = Stream(reader, writer, keys, traffic)
            received = await _exchange_introductions(
                stream, parameters.own_instance, expected
            )
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        return Error(StreamFailure("peer stream", "the handshake failed", repr(error)))
    traffic.sent_bytes += frames.NONCE_BYTES
    traffic.received_bytes += frames.NONCE_BYTES
    return received.map(lambda payloads: (stream, payloads))


async def dial(
    peer: Instance, parameters: HandshakeParameters, traffic: TrafficCounter
) -> Result[tuple[Stream, tuple[bytes, ...]], Failure]:
    """Connect to a peer and perform the handshake."""
    address = addresses.parse_address(peer.address)
    if isinstance(address, InvalidAddress):
        return Error(StreamFailure("peer stream", "no connection", str(address)))
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(address.host, address.port)
    except (TimeoutError, OSError) as error:
        return Error(StreamFailure("peer stream", "no connection", repr(error)))
    handshake = await perform_handshake(reader, writer, parameters, peer, traffic)
    if handshake.is_error():
        writer.close()
    return handshake
