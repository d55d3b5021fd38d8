"""Messages between gateways, as msgpack datagrams.

Messages are small, and a lost one must not delay the next. Datagrams therefore suit
them better than streams. A request is sent again until its response arrives or its time
is over, so its receiver must be able to handle it twice.
"""

import asyncio
import socket
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from absl import logging
from aiomisc import Service

from shallotspindle_core import addresses
from shallotspindle_core.addresses import SocketAddress
from shallotspindle_core.failures import Failure
from shallotspindle_core.randomness import RandomSource
from shallotspindle_gateway import request_numbers
from shallotspindle_telemetry.unexpected import UnexpectedErrors
from shallotspindle_wire.codec import Codec
from shallotspindle_wire.envelopes import Ask, Reply, Tell

RESEND_INTERVAL_SECONDS = 0.04
OVERSIZED_LOG_INTERVAL_SECONDS = 10.0
MessageHandler = Callable[[str, Any], Any]

# Datagrams that take several packets are compressed: links of 5 Mbit/s carry the
# changes of the configuration for a whole failure domain.
MIN_COMPRESSED_BYTES = 1200
MAX_DECOMPRESSED_BYTES = 2 * 1024 * 1024
# The largest payload of a datagram over IPv4.
MAX_DATAGRAM_BYTES = 65_507
# Longer envelopes are cut by releases up to 9e35cfb.
MAX_ENVELOPE_BYTES = 256 * 1024
# Room for the fields of the envelope around a message.
ENVELOPE_OVERHEAD_BYTES = 64
# First byte of a zlib stream; no envelope begins with it.
ZLIB_FIRST_BYTE = b"\x78"


def compress(data: bytes) -> bytes:
    """Return the datagram that carries an envelope."""
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return zlib.compress(data, level=1)


def decompress(data: bytes) -> bytes:
    """Return the envelope of a datagram.

    A damaged one, or one that is too long, is returned unchanged; no codec accepts it.
    """
    if data[:1] != ZLIB_FIRST_BYTE:
        return data
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error:
        return data
    return decompressed if decompressor.eof else data


class RequestTimedOut(Failure):
    """A peer did not respond in time; the request may have arrived."""


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that has no response yet.

    :param peer: address of the peer that it was sent to.
    """

    peer: str
    response: asyncio.Future[Any]


class DatagramReceiver(asyncio.DatagramProtocol):
    """Passes datagrams to the task that owns the socket."""

    def __init__(self, receive: Callable[[bytes, tuple[str, int]], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._receive(data, addr)

    def error_received(self, exc: OSError) -> None:
        # The sender notices an unreachable peer by the missing response.
        logging.debug("a datagram could not be delivered: %s", exc)


class PeerTransport(Service):
    """Owns the socket for other gateways.

    :param listener: bound datagram socket.
    :param message_types: all messages that other tasks send or respond with.
    :param random: must differ from process to process.
    :param errors: counts unexpected errors. A datagram whose handler fails must not
        keep the other datagrams from being handled.
    """

    def __init__(
        self,
        listener: socket.socket,
        message_types: Iterable[type],
        random: RandomSource,
        errors: UnexpectedErrors,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._errors = errors
        self._listener = listener
        self._envelope_codec = Codec((Ask, Reply, Tell))
        self._message_codec = Codec(message_types)
        self._handlers: dict[type, MessageHandler] = {}
        self._pending: dict[int, PendingRequest] = {}
        self._request_numbers = request_numbers.count_from_random(random)
        self._transport: asyncio.DatagramTransport | None = None
        host, port = listener.getsockname()[:2]
        self.address = f"{host}:{port}"

    def register(self, message_type: type, handler: MessageHandler) -> None:
        """Set the function that handles a type of message.

        It gets the sender's address and the message. Its result is the response to a
        request; None means that there is none.
        """
        self._handlers[message_type] = handler

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self._receive), sock=self._listener
        )

    async def stop(self, exception: Exception | None = None) -> None:
        if self._transport is not None:
            self._transport.close()

    def fits_datagram(self, message: Any) -> bool:
        """Return whether a message can be sent in one datagram."""
        encoded = self._message_codec.encode(message)
        if len(encoded) > MAX_ENVELOPE_BYTES - ENVELOPE_OVERHEAD_BYTES:
            return False
        return len(compress(encoded)) <= MAX_DATAGRAM_BYTES - ENVELOPE_OVERHEAD_BYTES

    def send(self, address: str, message: Any) -> None:
        """Send a message that may be lost; one to this instance is handled at once."""
        if address == self.address:
            self._dispatch(address, message)
            return
        self._write(address, Tell(self._message_codec.encode(message)))

    async def request(
        self, address: str, message: Any, timeout: float
    ) -> Any | RequestTimedOut:
        """Send a request until its response arrives.

        :param timeout: longest time to wait for the response, in seconds.
        """
        if address == self.address:
            result = self._dispatch(address, message)
            return (
                RequestTimedOut("peers", "no task handles the request", address)
                if result is None
                else result
            )
        number = next(self._request_numbers)
        response = asyncio.get_running_loop().create_future()
        self._pending[number] = PendingRequest(address, response)
        ask = Ask(number, self._message_codec.encode(message))
        try:
            return await self._send_until_response(address, ask, response, timeout)
        finally:
            del self._pending[number]

    async def _send_until_response(
        self, address: str, ask: Ask, response: asyncio.Future, timeout: float
    ) -> Any | RequestTimedOut:
        remaining = timeout
        while remaining > 0:
            self._write(address, ask)
            interval = min(RESEND_INTERVAL_SECONDS, remaining)
            done, _ = await asyncio.wait((response,), timeout=interval)
            if done:
                return response.result()
            remaining -= interval
        return RequestTimedOut("peers", "no response in time", address)

    def _write(self, address: str, envelope: Any) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        target = addresses.parse_address(address)
        if not isinstance(target, SocketAddress):
            logging.warning("dropped a message to a peer: %s", target)
            return
        data = compress(self._envelope_codec.encode(envelope))
        if len(data) > MAX_DATAGRAM_BYTES:
            logging.log_every_n_seconds(
                logging.ERROR,
                "a message of %d bytes for %s does not fit into a datagram",
                OVERSIZED_LOG_INTERVAL_SECONDS,
                len(data),
                address,
            )
            return
        self._transport.sendto(data, (target.host, target.port))

    def _receive(self, data: bytes, sender_address: tuple[str, int]) -> None:
        with self._errors.absorb("message of a peer"):
            self._handle_datagram(data, sender_address)

    def _handle_datagram(self, data: bytes, sender_address: tuple[str, int]) -> None:
        decoded = self._envelope_codec.decode(decompress(data))
        if decoded.is_error():
            logging.warning("ignored an invalid datagram: %s", decoded.error)
            return
        sender = f"{sender_address[0]}:{sender_address[1]}"
        match decoded.ok:
            case Reply(number=number, body=body):
                self._resolve(sender, number, body)
            case Ask(number=number, body=body):
                response = self._handle(sender, body)
                if response is not None:
                    self._write(
                        sender, Reply(number, self._message_codec.encode(response))
                    )
            case Tell(body=body):
                self._handle(sender, body)

    def _resolve(self, sender: str, number: int, body: bytes) -> None:
        pending = self._pending.get(number)
        if pending is None or pending.peer != sender or pending.response.done():
            return
        message = self._message_codec.decode(body)
        if message.is_error():
            logging.warning("ignored an invalid response: %s", message.error)
            return
        pending.response.set_result(message.ok)

    def _handle(self, sender: str, body: bytes) -> Any:
        message = self._message_codec.decode(body)
        if message.is_error():
            logging.warning("ignored an invalid message: %s", message.error)
            return None
        return self._dispatch(sender, message.ok)

    def _dispatch(self, sender: str, message: Any) -> Any:
        """Pass a message to its handler; return the response."""
        handler = self._handlers.get(type(message))
        return None if handler is None else handler(sender, message)
