import asyncio
import random

import pytest

from shallotspindle_gateway import peers
from shallotspindle_gateway.daemon import create_datagram_socket
from shallotspindle_gateway.messages import Part, TokenDenial, TokenGrant, TokenRequest
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.records import Endpoint
from shallotspindle_telemetry.unexpected import UnexpectedErrors
from shallotspindle_wire.codec import Codec
from shallotspindle_wire.envelopes import Ask, Reply


class TestCompression:
    @pytest.mark.parametrize("size", [0, 1, 1199, 1200, 50_000])
    def test_compressed_data_is_restored(self, size):
        # Guards against envelopes that are damaged around the size limit.
        data = b"\x93" + b"name of a route " * (size // 16)
        assert peers.decompress(peers.compress(data)) == data

    def test_long_envelopes_get_shorter(self):
        # Guards against links that are saturated by changes of the configuration.
        data = b"\x93" + b"name of a route " * 1000
        assert len(peers.compress(data)) < len(data) / 5

    def test_a_damaged_datagram_raises_no_exception(self):
        # Guards against foreign bytes that end the task of the socket.
        assert peers.decompress(b"\x78\x00nonsense") == b"\x78\x00nonsense"

    def test_a_long_envelope_is_never_cut(self):
        # Guards against the first part of an envelope that is taken for the whole.
        data = peers.compress(bytes(peers.MAX_DECOMPRESSED_BYTES + 1))
        assert peers.decompress(data) == data
        assert peers.decompress(data[:-1]) == data[:-1]


class TestDatagrams:
    @pytest.mark.parametrize(
        ("body", "fits"),
        [
            (b"a" * 200_000, True),
            (b"a" * peers.MAX_ENVELOPE_BYTES, False),
            (random.Random(1).randbytes(65_000), True),
            (random.Random(1).randbytes(66_000), False),
        ],
    )
    async def test_messages_that_fit_arrive(self, body, fits):
        # Guards against messages that the sender or the receiver drops unseen.
        received = []
        transports = []
        for _ in range(2):
            listener = create_datagram_socket(Endpoint("127.0.0.1", 0))
            transports.append(
                PeerTransport(listener, [Part], random.Random(1), UnexpectedErrors())
            )
        sender, receiver = transports
        receiver.register(Part, lambda _, message: received.append(message))
        for transport in transports:
            await transport.start()
        message = Part(body)
        assert sender.fits_datagram(message) == fits
        await sender.request(receiver.address, message, 0.2)
        assert message in received or not fits
        for transport in transports:
            await transport.stop()


class Requester:
    """One process at an address, and a peer that is played by the test."""

    MESSAGE_TYPES = (TokenRequest, TokenGrant, TokenDenial)
    REQUEST = TokenRequest("t", 1.0)

    def __init__(self, seed: int) -> None:
        self._listener = create_datagram_socket(Endpoint("127.0.0.1", 0))
        self._peer = create_datagram_socket(Endpoint("127.0.0.1", 0))
        self._peer.settimeout(5)
        errors = UnexpectedErrors()
        self.transport = PeerTransport(
            self._listener, self.MESSAGE_TYPES, random.Random(seed), errors
        )
        self.peer_address = self._peer.getsockname()

    async def request(self) -> tuple[int, asyncio.Task]:
        """Send a request and return its number and its task."""
        await self.transport.start()
        host, port = self.peer_address
        task = asyncio.create_task(
            self.transport.request(f"{host}:{port}", self.REQUEST, 0.3)
        )
        data = await asyncio.to_thread(self._peer.recv, 1024)
        ask = Codec([Ask]).decode(data).ok
        return ask.number, task

    def respond(self, number: int, message, sender: tuple[str, int]) -> None:
        """Let a response arrive."""
        body = Codec(self.MESSAGE_TYPES).encode(message)
        self.transport._receive(Codec([Reply]).encode(Reply(number, body)), sender)

    async def close(self) -> None:
        await self.transport.stop()
        self._peer.close()


class TestForeignResponses:
    # Guards against a response to another request that is taken for its own, such as a
    # token or changes that a peer sent late to the former process at this address.

    async def test_a_response_to_the_former_process_at_this_address_is_ignored(self):
        former, present = Requester(seed=1), Requester(seed=2)
        number, killed = await former.request()
        killed.cancel()
        own_number, waiting = await present.request()
        present.respond(number, TokenGrant(0.0), present.peer_address)
        present.respond(own_number, TokenDenial(1.0), present.peer_address)
        assert await waiting == TokenDenial(1.0)
        await former.close()
        await present.close()

    async def test_a_response_of_a_peer_that_was_not_asked_is_ignored(self):
        requester = Requester(seed=1)
        number, waiting = await requester.request()
        requester.respond(number, TokenGrant(0.0), ("127.0.0.1", 9))
        requester.respond(number, TokenDenial(1.0), requester.peer_address)
        assert await waiting == TokenDenial(1.0)
        await requester.close()
