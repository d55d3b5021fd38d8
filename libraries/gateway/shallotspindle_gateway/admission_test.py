import asyncio

from shallotspindle_environment.clock import SystemClock
from shallotspindle_gateway.conftest import start_gateway
from shallotspindle_gateway.messages import TokenGrant, TokenRequest
from shallotspindle_gateway.ownership import find_partition_key
from shallotspindle_gateway.records import Bounds, Endpoint

TEAM = "museum"
RATE = 10.0
CLOCK = SystemClock()


async def reserve_tokens(requester, holder_address, count):
    """Reserve tokens of the team one after the other; return when they are due."""
    due_times = []
    async with asyncio.timeout(10.0):
        while len(due_times) < count:
            response = await requester.peers.request(
                holder_address, TokenRequest(TEAM, 0.0, 0.6), 1.0
            )
            if isinstance(response, TokenGrant):
                due_times.append(CLOCK.boottime() + response.wait_seconds)
            else:
                await asyncio.sleep(0.01)
    return due_times


class TestHandovers:
    async def test_a_successor_starts_after_the_last_reserved_token_is_due(self, fleet):
        # Guards against a team that exceeds its rate while the holders of its limit are
        # stopped in turn: the tokens of both holders were due at the same time.
        fleet.configure(version=2, rate=RATE)
        first = await start_gateway(
            fleet, "complete", bounds=Bounds(max_stop_seconds=1.0)
        )
        second = await fleet.add_gateway()
        due_times = await reserve_tokens(second, first.peers.address, 5)
        stopping = asyncio.create_task(first.stop())
        partition = find_partition_key(TEAM)
        await fleet.await_true(
            lambda: (
                second.ownership.find_held_since(partition, CLOCK.boottime())
                is not None
            )
        )
        assert CLOCK.boottime() >= max(due_times)
        await stopping

    async def test_a_restarted_process_counts_what_its_predecessor_reserved(
        self, fleet
    ):
        # Guards against the same after a kill: the restarted process takes its
        # partitions over at once, while other instances still hold reserved tokens.
        fleet.configure(version=2, rate=RATE)
        first = await start_gateway(fleet, "complete")
        second = await fleet.add_gateway()
        address = first.peers.address
        due_times = await reserve_tokens(second, address, 5)
        await fleet.kill(first)
        host, port = address.split(":")
        await fleet.add_gateway(peers=Endpoint(host, int(port)))
        (first_due_at,) = await reserve_tokens(second, address, 1)
        assert first_due_at >= max(due_times)
