"""Authenticated TCP streams between instances.

Both sides exchange nonces, then introduce themselves in authenticated frames. A
stream exists only after the introduction of the other side was checked.
"""

import asyncio
from dataclasses import dataclass

from expression import Error, Ok, Result

from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_wire import frames
from shallotspindle_wire.codec import Codec
from shallotspindle_wire.envelopes import Introduction
from shallotspindle_wire.frames import Direction, FrameTooLarge, Opener, Sealer

HANDSHAKE_SECONDS = 2.0
READ_BYTES = 65_536
# A peer that reads nothing must not take the memory of this instance.
WRITE_BUFFER_BYTES = 4_000_000
INTRODUCTION_CODEC = Codec([Introduction])


@dataclass(frozen=True, slots=True)
class StreamFailure(Failure):
    """The stream was not opened, or it ended."""


@dataclass(slots=True)
class Traffic:
    """Bytes of all streams of an instance, without TCP and IP headers."""

    sent: int = 0
    received: int = 0


@dataclass(frozen=True, slots=True)
class Identity:
    """What an instance needs to open streams.

    :param secret: the fleet secret.
    :param nonce: fresh random bytes for one connection.
    """

    own: Instance
    secret: bytes
    nonce: bytes


class Stream:
    """One connection to a peer whose introduction was checked."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        keys: tuple[bytes, bytes],
        traffic: Traffic,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._sealer = Sealer(keys[0])
        self._opener = Opener(keys[1])
        self._traffic = traffic
        self.peer: Instance | None = None

    def send(self, payload: bytes) -> bool:
        """Send a frame and return whether it was accepted for sending."""
        transport = self._writer.transport
        if transport.is_closing():
            return False
        if transport.get_write_buffer_size() > WRITE_BUFFER_BYTES:
            return False
        sealed = self._sealer.seal(payload)
        if isinstance(sealed, FrameTooLarge):
            return False
        self._traffic.sent += len(sealed)
        self._writer.write(sealed)
        return True

    async def receive(self) -> Result[tuple[bytes, ...], Failure]:
        """Return the next payloads; after a failure the stream must be closed."""
        while True:
            try:
                data = await self._reader.read(READ_BYTES)
            except OSError as error:
                return Error(StreamFailure("peer stream", "it broke", repr(error)))
            if not data:
                return Error(StreamFailure("peer stream", "the peer closed it"))
            self._traffic.received += len(data)
            opened = self._opener.feed(data)
            if opened.is_error() or opened.ok:
                return opened

    def close(self) -> None:
        """Close the connection after what was written has left."""
        self._writer.close()


def _check(
    found: Introduction, own: Instance, expected: Instance | None
) -> Failure | None:
    if found.sender.incarnation == own.incarnation:
        return StreamFailure("peer stream", "the peer is this instance itself")
    if expected is None and found.receiver != own.incarnation:
        item = found.receiver
        return StreamFailure("peer stream", "the peer meant another instance", item)
    if expected is not None and found.sender.incarnation != expected.incarnation:
        item = found.sender.incarnation
        return StreamFailure("peer stream", "another instance answered", item)
    return None


async def _introduce(
    stream: Stream, own: Instance, expected: Instance | None
) -> Result[tuple[bytes, ...], Failure]:
    target = expected.incarnation if expected else Incarnation("")
    stream.send(INTRODUCTION_CODEC.encode(Introduction(own, target)))
    received = await stream.receive()
    if received.is_error():
        return received
    first, *rest = received.ok
    decoded = INTRODUCTION_CODEC.decode(first)
    if decoded.is_error():
        return decoded
    failure = _check(decoded.ok, own, expected)
    if failure is not None:
        return Error(failure)
    stream.peer = decoded.ok.sender
    return Ok(tuple(rest))


def _derive_keys(
    identity: Identity, theirs: bytes, is_dialer: bool
) -> tuple[bytes, bytes]:
    nonces = (identity.nonce, theirs) if is_dialer else (theirs, identity.nonce)
    dialer = frames.derive_key(identity.secret, *nonces, Direction.DIALER)
    listener = frames.derive_key(identity.secret, *nonces, Direction.LISTENER)
    return (dialer, listener) if is_dialer else (listener, dialer)


async def greet(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: Identity,
    expected: Instance | None,
    traffic: Traffic,
) -> Result[tuple[Stream, tuple[bytes, ...]], Failure]:
    """Turn a connection into a stream.

    :param expected: whom the dialer means; None on the listener's side.
    :returns: the stream and the payloads that came with the introduction. The caller
        closes the writer after a failure.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_SECONDS):
            writer.write(identity.nonce)
            theirs = await reader.readexactly(frames.NONCE_BYTES)
            keys = _derive_keys(identity, theirs, expected is not None)
            stream = Stream(reader, writer, keys, traffic)
            rest = await _introduce(stream, identity.own, expected)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        return Error(StreamFailure("peer stream", "no introduction", repr(error)))
    traffic.sent += frames.NONCE_BYTES
    traffic.received += frames.NONCE_BYTES
    return rest.map(lambda payloads: (stream, payloads))


async def dial(
    peer: Instance, identity: Identity, traffic: Traffic
) -> Result[tuple[Stream, tuple[bytes, ...]], Failure]:
    """Open a stream to a peer."""
    host, _, port = peer.address.rpartition(":")
    try:
        async with asyncio.timeout(HANDSHAKE_SECONDS):
            reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
    except (TimeoutError, OSError, ValueError) as error:
        return Error(StreamFailure("peer stream", "no connection", repr(error)))
    greeted = await greet(reader, writer, identity, peer, traffic)
    if greeted.is_error():
        writer.close()
    return greeted
