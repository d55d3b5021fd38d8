import pytest

from shallotspindle_gateway import peers


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
