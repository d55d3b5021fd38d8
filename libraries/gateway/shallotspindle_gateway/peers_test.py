import pytest

from shallotspindle_gateway import peers


class TestCompression:
    @pytest.mark.parametrize("size", [0, 1, 1199, 1200, 50_000])
    def test_what_is_sent_comes_back(self, size):
        data = b"\x93" + b"name of a route " * (size // 16)
        assert peers.decompress(peers.compress(data)) == data

    def test_long_envelopes_get_shorter(self):
        # Guards against links that are choked by the changes of the configuration.
        data = b"\x93" + b"name of a route " * 1000
        assert len(peers.compress(data)) < len(data) / 5

    def test_a_damaged_datagram_is_no_exception(self):
        # Guards against bytes from elsewhere that end the task of the socket.
        assert peers.decompress(b"\x78\x00nonsense") == b"\x78\x00nonsense"
