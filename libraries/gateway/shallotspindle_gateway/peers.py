"""Messages between gateways, as msgpack datagrams.

Messages are small and a lost one must not delay the next, so that datagrams fit better
than streams. A question is sent again until its answer arrives or its time is over;
whoever answers it must therefore accept it twice.
"""

import asyncio
import itertools
import socket
import zlib
from collections.abc import Callable, Iterable
from typing import Any

from absl import logging
from aiomisc import Service

from shallotspindle_core.failures import Failure
from shallotspindle_wire.codec import Codec
from shallotspindle_wire.envelopes import Ask, Reply, Tell

RESEND_SECONDS = 0.04
NumberedHandler = Callable[[str, Any], Any]


# Datagrams of several packets are compressed: links of 5 Mbit/s carry the changes of
# the configuration for a whole failure domain.
COMPRESSED_FROM_BYTES = 1200
LARGEST_BYTES = 256 * 1024
# First byte of a zlib stream; no envelope begins with it.
COMPRESSED_MARK = b"\x78"


def compress(data: bytes) -> bytes:
    """Return what goes over the network for an envelope."""
    if len(data) < COMPRESSED_FROM_BYTES:
        return data
    return zlib.compress(data, level=1)


def decompress(data: bytes) -> bytes:
    """Return the envelope of a datagram; a damaged one comes back as it is."""
    if data[:1] != COMPRESSED_MARK:
        return data
    try:
        return zlib.decompressobj().decompress(data, LARGEST_BYTES)
    except zlib.error:
        return data


class Unanswered(Failure):
    """A peer did not answer in time; the question may have arrived."""


class Protocol(asyncio.DatagramProtocol):
    """Hands datagrams to the task that owns the socket."""

    def __init__(self, receive: Callable[[bytes, tuple[str, int]], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._receive(data, addr)

    def error_received(self, exc: OSError) -> None:
        # An unreachable peer shows as a question without an answer.
        logging.debug("a datagram was not delivered: %s", exc)


class PeerTransport(Service):
    """Owns the socket for other gateways.

    :param listener: bound datagram socket.
    :param message_types: all messages that other tasks send or reply with.
    """

    def __init__(
        self, listener: socket.socket, message_types: Iterable[type], **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self._listener = listener
        self._outer = Codec((Ask, Reply, Tell))
        self._inner = Codec(message_types)
        self._handlers: dict[type, NumberedHandler] = {}
        self._pending: dict[int, asyncio.Future] = {}
        self._numbers = itertools.count(1)
        self._transport: asyncio.DatagramTransport | None = None
        host, port = listener.getsockname()[:2]
        self.address = f"{host}:{port}"

    def register(self, message_type: type, handler: NumberedHandler) -> None:
        """Set the function that handles a type of message.

        It gets the sender's address and the message; its result is the reply to a
        question, and None means that there is none.
        """
        self._handlers[message_type] = handler

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: Protocol(self._receive), sock=self._listener
        )

    async def stop(self, exception: Exception | None = None) -> None:
        if self._transport is not None:
            self._transport.close()

    def send(self, address: str, message: Any) -> None:
        """Send a message that may be lost; the own instance gets it at once."""
        if address == self.address:
            self._dispatch(address, message)
            return
        self._write(address, Tell(self._inner.encode(message)))

    async def request(
        self, address: str, message: Any, timeout: float
    ) -> Any | Unanswered:
        """Send a question until it is answered.

        :param timeout: longest time to wait for the answer, in seconds.
        """
        if address == self.address:
            answer = self._dispatch(address, message)
            return (
                Unanswered("peers", "no task answers", address)
                if answer is None
                else answer
            )
        number = next(self._numbers)
        reply = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        ask = Ask(number, self._inner.encode(message))
        try:
            return await self._ask_until(address, ask, reply, timeout)
        finally:
            del self._pending[number]

    async def _ask_until(
        self, address: str, ask: Ask, reply: asyncio.Future, timeout: float
    ) -> Any | Unanswered:
        left = timeout
        while left > 0:
            self._write(address, ask)
            pause = min(RESEND_SECONDS, left)
            done, _ = await asyncio.wait((reply,), timeout=pause)
            if done:
                return reply.result()
            left -= pause
        return Unanswered("peers", "no answer in time", address)

    def _write(self, address: str, envelope: Any) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        data = compress(self._outer.encode(envelope))
        self._transport.sendto(data, (host, int(port)))

    def _receive(self, data: bytes, source: tuple[str, int]) -> None:
        decoded = self._outer.decode(decompress(data))
        if decoded.is_error():
            logging.warning("a datagram was ignored: %s", decoded.error)
            return
        sender = f"{source[0]}:{source[1]}"
        match decoded.ok:
            case Reply(number=number, body=body):
                self._resolve(number, body)
            case Ask(number=number, body=body):
                answer = self._handle(sender, body)
                if answer is not None:
                    self._write(sender, Reply(number, self._inner.encode(answer)))
            case Tell(body=body):
                self._handle(sender, body)

    def _resolve(self, number: int, body: bytes) -> None:
        reply = self._pending.get(number)
        message = self._inner.decode(body)
        if reply is None or reply.done() or message.is_error():
            return
        reply.set_result(message.ok)

    def _handle(self, sender: str, body: bytes) -> Any:
        message = self._inner.decode(body)
        if message.is_error():
            logging.warning("a message was ignored: %s", message.error)
            return None
        return self._dispatch(sender, message.ok)

    def _dispatch(self, sender: str, message: Any) -> Any:
        """Hand a message to its task; return the reply."""
        handler = self._handlers.get(type(message))
        return None if handler is None else handler(sender, message)
