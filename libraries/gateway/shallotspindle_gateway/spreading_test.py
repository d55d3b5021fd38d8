"""How changes of the store reach instances that the store rejects."""

import random

import pytest

from shallotspindle_gateway.fakes import SERVICE, RejectingStore
from shallotspindle_gateway.records import Endpoint

pytestmark = pytest.mark.usefixtures("no_startup_delay")

# Time in which a confirmed configuration must be active.
CONFIGURATION_SECONDS = 2.0


def build_keys(count):
    """Return as many random keys of 20 characters."""
    source = random.Random(1)
    return [f"{source.getrandbits(80):020x}" for _ in range(count)]


def get_version(daemon):
    return daemon.follower.configuration.bundle.version


def reject(daemon):
    """Let the store reject all calls of a gateway."""
    daemon.follower.store = RejectingStore()
    daemon.ownership._store = RejectingStore()


async def start_pair(fleet):
    """Start two gateways that know each other, and let the store reject the first."""
    rejected = await fleet.add_gateway()
    other = await fleet.add_gateway()
    await fleet.await_true(
        lambda: all(len(d.follower.members) == 2 for d in fleet.daemons)
    )
    reject(rejected)
    return rejected, other


class TestLargeConfigurations:
    @pytest.mark.parametrize("key_count", [3_000, 12_000, 40_000])
    async def test_a_rejected_instance_gets_a_large_configuration(
        self, fleet, key_count
    ):
        # Guards against a configuration that no datagram can carry.
        rejected, _ = await start_pair(fleet)
        fleet.configure(version=2, keys=build_keys(key_count))
        await fleet.await_true(
            lambda: get_version(rejected) == 2, CONFIGURATION_SECONDS
        )

    async def test_changes_after_a_large_configuration_arrive(self, fleet):
        # Guards against one large change that holds up all that follow it.
        rejected, _ = await start_pair(fleet)
        fleet.configure(version=2, keys=build_keys(12_000))
        upstream = await fleet.add_upstream()
        await fleet.await_true(
            lambda: upstream.name in rejected.follower.upstreams.list_usable(SERVICE),
            CONFIGURATION_SECONDS,
        )


class TestRestartedPeers:
    async def test_a_rejected_instance_learns_from_peers_that_restarted(self, fleet):
        # Guards against an older configuration while no peer remembers the changes
        # since then.
        rejected, other = await start_pair(fleet)
        host, port = other.peers.address.split(":")
        await fleet.kill(other)
        fleet.configure(version=2)
        await fleet.add_gateway(peers=Endpoint(host, int(port)))
        await fleet.await_true(
            lambda: get_version(rejected) == 2, CONFIGURATION_SECONDS
        )
