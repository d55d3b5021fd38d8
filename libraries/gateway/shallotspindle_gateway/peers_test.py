import random

import pytest

from shallotspindle_gateway import peers
from shallotspindle_gateway.daemon import create_datagram_socket
from shallotspindle_gateway.messages import Part
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.records import Endpoint
from shallotspindle_telemetry.unexpected import UnexpectedErrors


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
            transports.append(PeerTransport(listener, [Part], UnexpectedErrors()))
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
