import asyncio
import contextlib
import random
from datetime import UTC, datetime

import pytest
from expression import Error, Ok

from shallotspindle_core.clock import ManualClock
from shallotspindle_core.hashing import PARTITION_COUNT
from shallotspindle_core.identifiers import Instance
from shallotspindle_entry import ownership_records as records
from shallotspindle_entry.interfaces import PeerUnreachable
from shallotspindle_entry.ownership import OwnershipTask
from shallotspindle_entry.ownership_inbox import PeerMessage
from shallotspindle_environment.interface import (
    Conflict,
    Entry,
    ListedInstance,
    OutcomeUnknown,
    StoreFailure,
)
from shallotspindle_ownership.messages import Handover
from shallotspindle_ownership.sessions import CONNECTED_SECONDS, SESSION_TIMEOUT_SECONDS


class MemoryStore:
    """Store in memory; ``lost_answers`` counts writes whose answer gets lost."""

    def __init__(self):
        self.values = {}
        self.revision = 0
        self.up = True
        self.lost_answers = 0

    async def get(self, key):
        if not self.up:
            return Error(StoreFailure("store", "away"))
        return Ok(self.values.get(key, Entry(key, b"", 0)))

    async def replace(self, key, data, revision, lease=0):
        current = await self.get(key)
        if current.is_error():
            return current
        if current.ok.revision != revision:
            return Error(Conflict("store", "changed"))
        self.revision += 1
        self.values[key] = Entry(key, data, self.revision)
        if self.lost_answers:
            self.lost_answers -= 1
            return Error(OutcomeUnknown("store", "lost"))
        return Ok(self.revision)

    async def grant_lease(self, seconds):
        return Ok(1) if self.up else Error(StoreFailure("store", "away"))

    renew_lease = grant_lease


class MemoryFleet:
    """Instances in one process with a list, links and a clock.

    :param lost: types of messages that get lost.
    """

    def __init__(self, count):
        self.clock = ManualClock(datetime(2030, 1, 1, tzinfo=UTC))
        self.store = MemoryStore()
        self.members = [
            Instance(f"{n:032x}", f"10.0.0.{n}:1", "d") for n in range(count)
        ]
        self.listed = [ListedInstance(member, False) for member in self.members]
        self.handlers = {member: {} for member in self.members}
        self.dead = set()
        self.lost = set()
        self.tasks = {}
        self.running = []
        for member in self.members:
            link = MemoryLink(self, member)
            task = OwnershipTask(
                member,
                self.store,
                self,
                link,
                self.clock,
                random.Random(1),
                self.sleep,
            )
            self.tasks[member] = task
            self.run(task)

    def run(self, task):
        self.running.append(asyncio.create_task(serve_inbox(task)))

    async def sleep(self, seconds):
        self.clock.advance(seconds)
        await asyncio.sleep(0)

    async def list(self):
        return Ok(tuple(self.listed))

    async def kill(self, member):
        self.dead.add(member)
        self.listed = [item for item in self.listed if item.instance != member]

    async def pass_time(self, rounds):
        """Let live instances renew and review every 15 seconds."""
        for _ in range(rounds):
            self.clock.advance(15)
            for member, task in self.tasks.items():
                if member not in self.dead:
                    await task.renew()
                    await task.review()

    def find_acting(self, partition):
        now = self.clock.boottime()
        live = [m for m in self.members if m not in self.dead]
        return [m for m in live if self.tasks[m].may_act(partition, now)]

    def count_acting(self):
        return [len(self.find_acting(n)) for n in range(PARTITION_COUNT)]


class MemoryLink:
    def __init__(self, fleet, me):
        self.fleet = fleet
        self.me = me

    async def request(self, peer, message, timeout):
        unreachable = PeerUnreachable("link", "no answer")
        fleet = self.fleet
        if peer in fleet.dead or type(message) in fleet.lost:
            return unreachable
        return await fleet.handlers[peer][type(message)](self.me, message)

    def send(self, peer, message):
        raise AssertionError("nothing is sent without a reply")

    def gossip(self, message):
        for peer in self.list_peers():
            if peer in self.fleet.tasks:
                self.fleet.tasks[peer].tell(PeerMessage(self.me, message))

    def list_peers(self):
        gone = {*self.fleet.dead, self.me}
        return tuple(m for m in self.fleet.members if m not in gone)

    def register(self, message_type, handler):
        self.fleet.handlers[self.me][message_type] = handler


async def serve_inbox(task):
    while True:
        await task._process(await task._inbox.get())


@contextlib.asynccontextmanager
async def start_fleet(count, rounds=6):
    fleet = MemoryFleet(count)
    await fleet.pass_time(rounds)
    yield fleet
    for running in fleet.running:
        running.cancel()
    await asyncio.gather(*fleet.running, return_exceptions=True)


class TestAcquisition:
    async def test_every_partition_gets_one_holder_and_the_load_is_even(self):
        async with start_fleet(4) as fleet:
            assert fleet.count_acting() == [1] * PARTITION_COUNT
            for task in fleet.tasks.values():
                assert len(task.rights.held) == PARTITION_COUNT // 4

    async def test_all_instances_know_the_holder(self):
        async with start_fleet(3) as fleet:
            for number in range(0, PARTITION_COUNT, 50):
                found = {t.find_holder(number) for t in fleet.tasks.values()}
                assert found == set(fleet.find_acting(number))

    async def test_lost_answers_of_writes_are_read_back(self):
        # Guards against a write that took effect and is taken for a failure.
        async with start_fleet(2, rounds=0) as fleet:
            fleet.store.lost_answers = 4
            await fleet.pass_time(6)
            assert fleet.count_acting() == [1] * PARTITION_COUNT

    async def test_reviews_at_the_same_time_leave_one_holder(self):
        async with start_fleet(3, rounds=0) as fleet:
            tasks = fleet.tasks.values()
            for _ in range(6):
                fleet.clock.advance(15)
                await asyncio.gather(*(task.renew() for task in tasks))
                await asyncio.gather(*(task.review() for task in tasks))
            assert fleet.count_acting() == [1] * PARTITION_COUNT


class TestSession:
    async def test_record_that_vanished_is_written_anew(self):
        # Guards against an instance that cannot renew once its lease has expired.
        async with start_fleet(1, rounds=1) as fleet:
            task = fleet.tasks[fleet.members[0]]
            counter = task.rights.session.counter
            del fleet.store.values[records.name_session(task.me.incarnation)]
            assert not await task.renew()
            assert await task.renew()
            assert task.rights.session.counter == counter + 1


class TestPlannedStop:
    async def test_hands_all_over_through_the_store(self):
        async with start_fleet(3) as fleet:
            leaving = fleet.tasks[fleet.members[0]]
            assert await leaving.hand_over_all() == 0
            assert not leaving.rights.held
            assert fleet.count_acting() == [1] * PARTITION_COUNT

    async def test_hands_all_over_without_the_store_in_phase_2(self):
        async with start_fleet(3) as fleet:
            fleet.store.up = False
            fleet.clock.advance(CONNECTED_SECONDS)
            leaving = fleet.tasks[fleet.members[0]]
            assert await leaving.hand_over_all() == 0
            assert fleet.count_acting() == [1] * PARTITION_COUNT
            fleet.dead.add(leaving.me)
            fleet.store.up = True
            await fleet.pass_time(2)
            table = await fleet.tasks[fleet.members[1]].read_table()
            holders = {entry.holder for entry in table.entries.values()}
            assert leaving.me.incarnation not in holders

    async def test_gives_up_after_its_time_when_the_store_is_away(self):
        async with start_fleet(2) as fleet:
            fleet.store.up = False
            leaving = fleet.tasks[fleet.members[0]]
            assert await leaving.hand_over_all(10.0) == PARTITION_COUNT // 2

    async def test_lost_message_leaves_no_second_holder(self):
        async with start_fleet(2) as fleet:
            fleet.store.up = False
            fleet.clock.advance(CONNECTED_SECONDS)
            fleet.lost.add(Handover)
            leaving = fleet.tasks[fleet.members[0]]
            held = list(leaving.rights.held)
            await leaving.hand_over_all()
            assert [fleet.find_acting(n) for n in held] == [[]] * len(held)


class TestTakeOver:
    async def test_of_a_killed_holder_follows_the_list(self):
        async with start_fleet(3) as fleet:
            await fleet.kill(fleet.members[0])
            await fleet.pass_time(6)
            assert fleet.count_acting() == [1] * PARTITION_COUNT

    async def test_of_a_paused_holder_waits_for_its_horizon(self):
        async with start_fleet(2) as fleet:
            paused = fleet.tasks.pop(fleet.members[0])
            held = list(paused.rights.held)
            await fleet.pass_time(30)
            assert {tuple(fleet_holder(fleet, n)) for n in held} == {()}
            fleet.clock.advance(SESSION_TIMEOUT_SECONDS * 1.01)
            await fleet.pass_time(2)
            assert {tuple(fleet_holder(fleet, n)) for n in held} == {
                (fleet.members[1],)
            }
            assert not any(paused.may_act(n, fleet.clock.boottime()) for n in held)


def fleet_holder(fleet, partition):
    """Return who acts among the instances that are not paused."""
    now = fleet.clock.boottime()
    return [m for m, task in fleet.tasks.items() if task.may_act(partition, now)]


class TestRecords:
    def test_table_of_the_largest_fleet_is_small(self):
        # Guards against polling the table for more than 2 KB/s every 10 s.
        source = random.Random(1)
        names = [f"{source.getrandbits(128):032x}" for _ in range(770)]
        entries = {
            n: records.OwnershipEntry(names[n % 770], 1000 + n)
            for n in range(PARTITION_COUNT)
        }
        data = records.encode_table(records.OwnershipTable(1, entries))
        assert records.decode_table(data, 1).entries == entries
        assert len(data) < 20_000

    def test_damaged_table_is_reported(self):
        with pytest.raises(records.DAMAGED):
            records.decode_table(b"x", 1)
