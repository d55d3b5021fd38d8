import pytest

from shallotspindle_core import addresses
from shallotspindle_core.addresses import InvalidAddress, SocketAddress


class TestParseAddress:
    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("10.0.0.1:80", SocketAddress("10.0.0.1", 80)),
            ("10.0.0.1:65535", SocketAddress("10.0.0.1", 65535)),
            ("[fe80::1]:80", SocketAddress("fe80::1", 80)),
        ],
    )
    def test_ip_and_port_are_separated(self, text, expected):
        # Guards against addresses that cannot be connected to although they are valid.
        assert addresses.parse_address(text) == expected

    @pytest.mark.parametrize(
        "text",
        [
            "10.0.0.1:99999",
            "10.0.0.1:0",
            "10.0.0.1:" + "1" * 5000,
            "10.0.0.1:\u0661",
            "10.0.0.1:-1",
            "10.0.0.1",
            "....:80",
            "999.1.1.1:80",
            "010.0.0.1:80",
            "10.0.0.1\n:80",
            "10.0.0.1:80\n",
            "localhost:80",
            "",
        ],
    )
    def test_other_texts_are_a_failure(self, text):
        # Guards against errors of the socket layer, which no caller expects.
        assert isinstance(addresses.parse_address(text), InvalidAddress)


class TestIsIpv4Address:
    def test_only_dotted_addresses_pass(self):
        # Guards against an IPv6 address in a field that holds IPv4 addresses.
        assert addresses.is_ipv4_address("10.0.0.1:80")
        assert not addresses.is_ipv4_address("[::1]:80")
        assert not addresses.is_ipv4_address("[::ffff:10.0.0.1]:80")


class TestIsAddress:
    @pytest.mark.parametrize(
        ("text", "is_valid"),
        [
            ("10.0.0.255:1", True),
            ("[::1]:80", True),
            ("0.0.0.0:65535", True),
            ("10.0.0.256:1", False),
            ("10.0.0.01:1", False),
            ("10.0.0:1", False),
            ("10.0.0.1.:1", False),
            ("10.0.0.1:65536", False),
            ("10.0.0.1:-1", False),
            ("10.0.0.1:\u0661", False),
            ("10.0.0.1", False),
            ("[10.0.0.1]:1", False),
            ("", False),
        ],
    )
    def test_only_ip_address_with_port_is_valid(self, text, is_valid):
        # Guards against an upstream that no instance can connect to.
        assert addresses.is_address(text) == is_valid
