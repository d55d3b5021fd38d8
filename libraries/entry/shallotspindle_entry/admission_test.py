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


class Network:
    """Carries messages between the tasks of one process, encoded."""

    def __init__(self) -> None:
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC), 100.0)
        self.handlers: dict[str, object] = {}
        self.holders: dict[int, Instance] = {}
        self.cut: set[str] = set()
        self.delay = 0.0
        self.asked = 0
        self.codec = Codec(MESSAGE_TYPES)

    async def deliver(self, sender: Instance, peer: Instance, message):
        self.asked += 1
        if peer.incarnation in self.cut:
            return PeerUnreachable("test", "cut")
        sent = self.codec.decode(self.codec.encode(message)).ok
        answer = await self.handlers[peer.incarnation](sender, sent)
        self.clock.advance(self.delay)
        return self.codec.decode(self.codec.encode(answer)).ok


class Link:
    def __init__(self, network: Network, own: Instance) -> None:
        self.network, self.own = network, own

    async def request(self, peer, message, timeout):
        return await self.network.deliver(self.own, peer, message)

    def register(self, message_type, handler) -> None:
        self.network.handlers[self.own.incarnation] = handler


class Place:
    """Rights and freshness of one instance."""

    def __init__(self, network: Network, own: Instance) -> None:
        self.network, self.own = network, own
        self.lapsed = False
        self.fresh = True

    def may_act(self, partition: int, now: float) -> bool:
        return not self.lapsed and self.network.holders.get(partition) == self.own

    def find_holder(self, partition: int) -> Instance | None:
        return self.network.holders.get(partition)

    def is_fresh(self, now: float) -> bool:
        return self.fresh


class Fleet:
    def __init__(self, count: int) -> None:
        self.network = Network()
        self.clock = self.network.clock
        self.instances = [
            Instance(Incarnation(f"i{n}"), f"a{n}", FailureDomain("d"))
            for n in range(count)
        ]
        self.places = [Place(self.network, own) for own in self.instances]
        self.tasks = [self.make_task(place) for place in self.places]

    def make_task(self, place: Place) -> AdmissionTask:
        link = Link(self.network, place.own)
        source = random.Random(1)
        return AdmissionTask(place.own, link, place, place, self.clock, source)

    def set_limit(self, limit: Limit, changed) -> None:
        bundle = Bundle(1, b"", {TEAM: Team(TEAM, limit.rate, limit.burst)})
        for task in self.tasks:
            task.update_limits(BundleLimits(bundle), changed)

    async def give(self, number: int, partitions, epoch=1, taken_over=True, states=()):
        for partition in partitions:
            self.network.holders[partition] = self.instances[number]
            gained = PartitionGained(partition, epoch, taken_over, states)
            await self.tasks[number].ask(gained)

    async def count(self, number: int, times: int) -> int:
        deadline = self.clock.boottime() + 100
        answers = [
            await self.tasks[number].acquire(TEAM, deadline) for _ in range(times)
        ]
        return sum(isinstance(answer, Admitted) for answer in answers)


@asynccontextmanager
async def run_fleet(count: int, limit: Limit):
    fleet = Fleet(count)
    loop = asyncio.get_running_loop()
    for task in fleet.tasks:
        task.set_loop(loop)
    runs = [asyncio.create_task(task.start()) for task in fleet.tasks]
    await asyncio.gather(*[task.start_event.wait() for task in fleet.tasks])
    fleet.set_limit(limit, None)
    try:
        yield fleet
    finally:
        for run in runs:
            run.cancel()


class TestAcquire:
    @pytest.mark.parametrize("burst", [1, 3, 8, 20, 32, 39, 64])
    async def test_burst_counts_over_all_instances(self, burst):
        async with run_fleet(3, Limit(2, burst)) as fleet:
            await fleet.give(0, ALL_PARTITIONS[::2])
            await fleet.give(1, ALL_PARTITIONS[1::2])
            fleet.clock.advance(50)
            admitted = sum([await fleet.count(n % 3, 10) for n in range(12)])
            assert admitted <= burst
            assert admitted >= burst * 0.7 - 1

    async def test_denied_share_is_not_asked_again_before_its_time(self):
        # Guards against a team at many times its rate that floods the holders.
        async with run_fleet(2, Limit(1, 32)) as fleet:
            await fleet.give(0, ALL_PARTITIONS)
            fleet.clock.advance(50)
            await fleet.count(1, 50)
            before = fleet.network.asked
            answer = await fleet.tasks[1].acquire(TEAM, 1e9)
            assert isinstance(answer, LimitExceeded) and answer.retry_after > 0
            assert fleet.network.asked == before
            fleet.clock.advance(8)
            assert await fleet.count(1, 1) == 1

    async def test_unreachable_holder_is_asked_last(self):
        async with run_fleet(3, Limit(400, 400)) as fleet:
            partitions = [shares.find_share_partition(TEAM, i) for i in range(16)]
            await fleet.give(0, partitions[:8])
            await fleet.give(1, partitions[8:])
            fleet.clock.advance(50)
            fleet.network.cut.add("i0")
            assert await fleet.count(2, 10) == 10
            fleet.network.asked = 0
            assert await fleet.count(2, 10) == 10
            assert fleet.network.asked <= 10

    async def test_no_holder_is_told_apart_from_a_used_limit(self):
        async with run_fleet(2, Limit(1, 32)) as fleet:
            answer = await fleet.tasks[1].acquire(TEAM, 1e9)
            assert isinstance(answer, LimitUnavailable)
            unknown = await fleet.tasks[1].acquire(TeamName("other"), 1e9)
            assert isinstance(unknown, LimitUnavailable)

    async def test_late_grant_admits_nothing(self):
        # Guards against a paused asker that uses an old grant.
        async with run_fleet(2, Limit(100, 39)) as fleet:
            await fleet.give(0, ALL_PARTITIONS)
            fleet.clock.advance(50)
            fleet.network.delay = 1.0
            assert await fleet.count(1, 1) == 0


class TestHolder:
    @pytest.mark.parametrize("fault", ["lapsed", "stale"])
    async def test_holder_without_right_or_freshness_gives_nothing(self, fault):
        async with run_fleet(2, Limit(100, 39)) as fleet:
            await fleet.give(0, ALL_PARTITIONS)
            fleet.clock.advance(50)
            assert await fleet.count(0, 1) + await fleet.count(1, 1) == 2
            fleet.clock.advance(5)
            fleet.places[0].lapsed = fault == "lapsed"
            fleet.places[0].fresh = fault != "stale"
            assert await fleet.count(0, 1) + await fleet.count(1, 1) == 0

    async def test_hand_over_keeps_the_bound(self):
        async with run_fleet(3, Limit(4, 39)) as fleet:
            await fleet.give(0, ALL_PARTITIONS)
            fleet.clock.advance(50)
            first = await fleet.count(2, 20)
            assert first > 0
            partitions = sorted(
                {shares.find_share_partition(TEAM, i) for i in range(4)}
            )
            for partition in partitions:
                state = await fleet.tasks[0].ask(PartitionLost(partition))
                states = ((STATE_NAME, state),)
                await fleet.give(1, [partition], 2, False, states)
            assert first + await fleet.count(2, 60) + await fleet.count(0, 60) <= 39

    async def test_unreadable_state_counts_as_lost(self):
        async with run_fleet(1, Limit(1, 32)) as fleet:
            states = ((STATE_NAME, b"\xc1"),)
            await fleet.give(0, ALL_PARTITIONS, 1, False, states)
            assert await fleet.count(0, 8) == 0

    async def test_new_limit_waits_for_the_others(self):
        async with run_fleet(1, Limit(1, 2)) as fleet:
            await fleet.give(0, ALL_PARTITIONS)
            fleet.clock.advance(50)
            assert await fleet.count(0, 9) == 2
            fleet.set_limit(Limit(1, 39), [TEAM])
            fleet.clock.advance(4)
            assert await fleet.count(0, 40) <= 2
            fleet.clock.advance(60)
            assert await fleet.count(0, 60) > 20
