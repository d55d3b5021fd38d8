import asyncio
import random
from contextlib import asynccontextmanager
from datetime import UTC, datetime

import pytest

from shallotspindle_bundles.records import Bundle, Team
from shallotspindle_core.clock import ManualClock
from shallotspindle_core.identifiers import (
    FailureDomain,
    Incarnation,
    Instance,
    TeamName,
)
from shallotspindle_entry.admission import STATE_NAME, AdmissionTask, BundleLimits
from shallotspindle_entry.interfaces import (
    Admitted,
    LimitExceeded,
    LimitUnavailable,
    PartitionGained,
    PartitionLost,
    PeerUnreachable,
)
from shallotspindle_limits import shares
from shallotspindle_limits.records import MESSAGE_TYPES, Limit
from shallotspindle_wire.codec import Codec

TEAM = TeamName("team")
ALL_PARTITIONS = range(1024)


class InMemoryNetwork:
    """Encodes, delivers and decodes the messages between tasks.

    Each delivery advances the clock by ``response_delay_seconds``.
    """

    def __init__(self) -> None:
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC), 100.0)
        self.handlers: dict[str, object] = {}
        self.holders: dict[int, Instance] = {}
        self.unreachable: set[str] = set()
        self.response_delay_seconds = 0.0
        self.request_count = 0
        self.codec = Codec(MESSAGE_TYPES)

    async def deliver(self, sender: Instance, peer: Instance, message):
        self.request_count += 1
        if peer.incarnation in self.unreachable:
            return PeerUnreachable("test", "no connection")
        received = self.codec.decode(self.codec.encode(message)).ok
        result = await self.handlers[peer.incarnation](sender, received)
        self.clock.advance(self.response_delay_seconds)
        return self.codec.decode(self.codec.encode(result)).ok


class FakePeerMessaging:
    def __init__(self, network: InMemoryNetwork, own_instance: Instance) -> None:
        self.network, self.own_instance = network, own_instance

    async def request(self, peer, message, timeout):
        return await self.network.deliver(self.own_instance, peer, message)

    def register(self, message_type, handler) -> None:
        self.network.handlers[self.own_instance.incarnation] = handler


class FakeOwnership:
    """Partition ownership and freshness of one instance."""

    def __init__(self, network: InMemoryNetwork, own_instance: Instance) -> None:
        self.network, self.own_instance = network, own_instance
        self.has_expired = False
        self.has_recent_contact = True

    def may_act(self, partition: int, now: float) -> bool:
        return (
            not self.has_expired
            and self.network.holders.get(partition) == self.own_instance
        )

    def find_holder(self, partition: int) -> Instance | None:
        return self.network.holders.get(partition)

    def is_fresh(self, now: float) -> bool:
        return self.has_recent_contact


class AdmissionFleet:
    def __init__(self, instance_count: int) -> None:
        self.network = InMemoryNetwork()
        self.clock = self.network.clock
        self.instances = [
            Instance(Incarnation(f"i{index}"), f"a{index}", FailureDomain("d"))
            for index in range(instance_count)
        ]
        self.ownerships = [
            FakeOwnership(self.network, own_instance) for own_instance in self.instances
        ]
        self.tasks = [self.build_task(ownership) for ownership in self.ownerships]

    def build_task(self, ownership: FakeOwnership) -> AdmissionTask:
        peers = FakePeerMessaging(self.network, ownership.own_instance)
        random_source = random.Random(1)
        return AdmissionTask(
            ownership.own_instance,
            peers,
            ownership,
            ownership,
            self.clock,
            random_source,
        )

    def set_limit(self, limit: Limit, changed) -> None:
        bundle = Bundle(1, b"", {TEAM: Team(TEAM, limit.rate, limit.burst)})
        for task in self.tasks:
            task.update_limits(BundleLimits(bundle), changed)

    async def assign_partitions(
        self, index: int, partitions, epoch=1, is_takeover=True, states=()
    ):
        for partition in partitions:
            self.network.holders[partition] = self.instances[index]
            message = PartitionGained(partition, epoch, is_takeover, states)
            await self.tasks[index].ask(message)

    async def count_admitted(self, index: int, attempts: int) -> int:
        deadline = self.clock.boottime() + 100
        results = [
            await self.tasks[index].acquire(TEAM, deadline) for _ in range(attempts)
        ]
        return sum(isinstance(result, Admitted) for result in results)


@asynccontextmanager
async def run_fleet(instance_count: int, limit: Limit):
    fleet = AdmissionFleet(instance_count)
    loop = asyncio.get_running_loop()
    for task in fleet.tasks:
        task.set_loop(loop)
    running_tasks = [asyncio.create_task(task.start()) for task in fleet.tasks]
    await asyncio.gather(*[task.start_event.wait() for task in fleet.tasks])
    fleet.set_limit(limit, None)
    try:
        yield fleet
    finally:
        for running_task in running_tasks:
            running_task.cancel()


class TestAcquire:
    @pytest.mark.parametrize("burst", [1, 3, 8, 20, 32, 39, 64])
    async def test_burst_is_shared_by_all_instances(self, burst):
        # Guards against a burst that each instance grants separately, and against
        # shares that leave a large part of it unused.
        async with run_fleet(3, Limit(2, burst)) as fleet:
            await fleet.assign_partitions(0, ALL_PARTITIONS[::2])
            await fleet.assign_partitions(1, ALL_PARTITIONS[1::2])
            fleet.clock.advance(50)
            admitted = sum(
                [await fleet.count_admitted(index % 3, 10) for index in range(12)]
            )
            assert admitted <= burst
            assert admitted >= burst * 0.7 - 1

    async def test_denied_share_is_not_asked_again_before_its_retry_time(self):
        # Guards against flooding holders with requests for a team far above its rate.
        async with run_fleet(2, Limit(1, 32)) as fleet:
            await fleet.assign_partitions(0, ALL_PARTITIONS)
            fleet.clock.advance(50)
            await fleet.count_admitted(1, 50)
            earlier_count = fleet.network.request_count
            result = await fleet.tasks[1].acquire(TEAM, 1e9)
            assert isinstance(result, LimitExceeded) and result.retry_after > 0
            assert fleet.network.request_count == earlier_count
            fleet.clock.advance(8)
            assert await fleet.count_admitted(1, 1) == 1

    async def test_unreachable_holder_is_asked_last(self):
        # Guards against requests that each wait for a holder known to be unreachable.
        async with run_fleet(3, Limit(400, 400)) as fleet:
            partitions = [shares.find_share_partition(TEAM, i) for i in range(16)]
            await fleet.assign_partitions(0, partitions[:8])
            await fleet.assign_partitions(1, partitions[8:])
            fleet.clock.advance(50)
            fleet.network.unreachable.add("i0")
            assert await fleet.count_admitted(2, 10) == 10
            fleet.network.request_count = 0
            assert await fleet.count_admitted(2, 10) == 10
            assert fleet.network.request_count <= 10

    async def test_missing_holder_is_reported_as_unavailable_limit(self):
        # Guards against a denial for a team whose rate is not used up.
        async with run_fleet(2, Limit(1, 32)) as fleet:
            result = await fleet.tasks[1].acquire(TEAM, 1e9)
            assert isinstance(result, LimitUnavailable)
            unknown = await fleet.tasks[1].acquire(TeamName("other"), 1e9)
            assert isinstance(unknown, LimitUnavailable)

    async def test_expired_grant_admits_no_request(self):
        # Guards against a paused requester that uses a grant after its lifetime.
        async with run_fleet(2, Limit(100, 39)) as fleet:
            await fleet.assign_partitions(0, ALL_PARTITIONS)
            fleet.clock.advance(50)
            fleet.network.response_delay_seconds = 1.0
            assert await fleet.count_admitted(1, 1) == 0


class TestHolder:
    @pytest.mark.parametrize("fault", ["expired", "stale"])
    async def test_holder_without_ownership_or_freshness_grants_no_token(self, fault):
        # Guards against a former or isolated holder that grants tokens again.
        async with run_fleet(2, Limit(100, 39)) as fleet:
            await fleet.assign_partitions(0, ALL_PARTITIONS)
            fleet.clock.advance(50)
            assert (
                await fleet.count_admitted(0, 1) + await fleet.count_admitted(1, 1) == 2
            )
            fleet.clock.advance(5)
            fleet.ownerships[0].has_expired = fault == "expired"
            fleet.ownerships[0].has_recent_contact = fault != "stale"
            assert (
                await fleet.count_admitted(0, 1) + await fleet.count_admitted(1, 1) == 0
            )

    async def test_handover_does_not_exceed_the_burst(self):
        # Guards against a new holder that grants the whole burst a second time.
        async with run_fleet(3, Limit(4, 39)) as fleet:
            await fleet.assign_partitions(0, ALL_PARTITIONS)
            fleet.clock.advance(50)
            first_admitted = await fleet.count_admitted(2, 20)
            assert first_admitted > 0
            partitions = sorted(
                {shares.find_share_partition(TEAM, i) for i in range(4)}
            )
            for partition in partitions:
                state = await fleet.tasks[0].ask(PartitionLost(partition))
                states = ((STATE_NAME, state),)
                await fleet.assign_partitions(1, [partition], 2, False, states)
            assert (
                first_admitted
                + await fleet.count_admitted(2, 60)
                + await fleet.count_admitted(0, 60)
                <= 39
            )

    async def test_undecodable_state_counts_as_lost(self):
        # Guards against full buckets after a handover whose state cannot be decoded.
        async with run_fleet(1, Limit(1, 32)) as fleet:
            states = ((STATE_NAME, b"\xc1"),)
            await fleet.assign_partitions(0, ALL_PARTITIONS, 1, False, states)
            assert await fleet.count_admitted(0, 8) == 0

    async def test_raised_limit_takes_effect_after_the_change_delay(self):
        # Guards against the new limit here while other instances use the old one.
        async with run_fleet(1, Limit(1, 2)) as fleet:
            await fleet.assign_partitions(0, ALL_PARTITIONS)
            fleet.clock.advance(50)
            assert await fleet.count_admitted(0, 9) == 2
            fleet.set_limit(Limit(1, 39), [TEAM])
            fleet.clock.advance(4)
            assert await fleet.count_admitted(0, 40) <= 2
            fleet.clock.advance(60)
            assert await fleet.count_admitted(0, 60) > 20
