import asyncio
import contextlib
import random
import zlib
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
    ListedInstance,
    OutcomeUnknown,
    StoredValue,
    StoreFailure,
)
from shallotspindle_ownership.messages import Handover
from shallotspindle_ownership.sessions import CONNECTED_SECONDS, SESSION_TIMEOUT_SECONDS


class MemoryStore:
    """Store in memory.

    :ivar lost_response_count: number of next writes that succeed but report a failure.
    """

    def __init__(self):
        self.values = {}
        self.revision = 0
        self.is_available = True
        self.lost_response_count = 0

    async def get(self, key):
        if not self.is_available:
            return Error(StoreFailure("store", "unavailable"))
        return Ok(self.values.get(key, StoredValue(key, b"", 0)))

    async def replace(self, key, data, revision, lease=0):
        current = await self.get(key)
        if current.is_error():
            return current
        if current.ok.revision != revision:
            return Error(Conflict("store", "changed"))
        self.revision += 1
        self.values[key] = StoredValue(key, data, self.revision)
        if self.lost_response_count:
            self.lost_response_count -= 1
            return Error(OutcomeUnknown("store", "lost"))
        return Ok(self.revision)

    async def grant_lease(self, seconds):
        return (
            Ok(1) if self.is_available else Error(StoreFailure("store", "unavailable"))
        )

    renew_lease = grant_lease


class MemoryFleet:
    """Instances in one process with an instance list, a transport and a clock.

    :ivar lost_message_types: types of messages that get lost.
    """

    def __init__(self, count):
        self.clock = ManualClock(datetime(2030, 1, 1, tzinfo=UTC))
        self.store = MemoryStore()
        self.members = [
            Instance(f"{n:032x}", f"10.0.0.{n}:1", "d") for n in range(count)
        ]
        self.listed = [ListedInstance(member, False) for member in self.members]
        self.handlers = {member: {} for member in self.members}
        self.terminated = set()
        self.lost_message_types = set()
        self.tasks = {}
        self.running = []
        for member in self.members:
            peers = MemoryPeers(self, member)
            task = OwnershipTask(
                member,
                self.store,
                self,
                peers,
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
        self.terminated.add(member)
        self.listed = [item for item in self.listed if item.instance != member]

    async def pass_time(self, rounds):
        """Let live instances renew and reconcile every 15 seconds."""
        for _ in range(rounds):
            self.clock.advance(15)
            for member, task in self.tasks.items():
                if member not in self.terminated:
                    await task.renew()
                    await task.reconcile()

    def find_acting(self, partition):
        now = self.clock.boottime()
        live = [m for m in self.members if m not in self.terminated]
        return [m for m in live if self.tasks[m].may_act(partition, now)]

    def count_acting(self):
        return [len(self.find_acting(n)) for n in range(PARTITION_COUNT)]


class MemoryPeers:
    def __init__(self, fleet, own_instance):
        self.fleet = fleet
        self.own_instance = own_instance

    async def request(self, peer, message, timeout):
        unreachable = PeerUnreachable("peers", "no response")
        fleet = self.fleet
        if peer in fleet.terminated or type(message) in fleet.lost_message_types:
            return unreachable
        return await fleet.handlers[peer][type(message)](self.own_instance, message)

    def send(self, peer, message):
        raise AssertionError("nothing is sent without a response")

    def gossip(self, message):
        for peer in self.list_peers():
            if peer in self.fleet.tasks:
                self.fleet.tasks[peer].tell(PeerMessage(self.own_instance, message))

    def list_peers(self):
        excluded = {*self.fleet.terminated, self.own_instance}
        return tuple(m for m in self.fleet.members if m not in excluded)

    def register(self, message_type, handler):
        self.fleet.handlers[self.own_instance][message_type] = handler


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
        # Guards against partitions without a holder and overloaded instances.
        async with start_fleet(4) as fleet:
            assert fleet.count_acting() == [1] * PARTITION_COUNT
            for task in fleet.tasks.values():
                assert len(task.state.held) == PARTITION_COUNT // 4

    async def test_all_instances_know_the_holder(self):
        # Guards against requests that are sent to an instance that does not own them.
        async with start_fleet(3) as fleet:
            for number in range(0, PARTITION_COUNT, 50):
                known_holders = {t.find_holder(number) for t in fleet.tasks.values()}
                assert known_holders == set(fleet.find_acting(number))

    async def test_lost_responses_of_writes_are_read_back(self):
        # Guards against treating a write that took effect as failed.
        async with start_fleet(2, rounds=0) as fleet:
            fleet.store.lost_response_count = 4
            await fleet.pass_time(6)
            assert fleet.count_acting() == [1] * PARTITION_COUNT

    async def test_concurrent_reconciliation_leaves_one_holder(self):
        # Guards against two instances that both acquire a partition.
        async with start_fleet(3, rounds=0) as fleet:
            tasks = fleet.tasks.values()
            for _ in range(6):
                fleet.clock.advance(15)
                await asyncio.gather(*(task.renew() for task in tasks))
                await asyncio.gather(*(task.reconcile() for task in tasks))
            assert fleet.count_acting() == [1] * PARTITION_COUNT


class TestSession:
    async def test_vanished_session_record_is_written_again(self):
        # Guards against an instance that cannot renew once its lease has expired.
        async with start_fleet(1, rounds=1) as fleet:
            task = fleet.tasks[fleet.members[0]]
            counter = task.state.session.counter
            del fleet.store.values[
                records.build_session_key(task.own_instance.incarnation)
            ]
            assert not await task.renew()
            assert await task.renew()
            assert task.state.session.counter == counter + 1


class TestGracefulShutdown:
    async def test_hands_over_all_partitions_through_the_store(self):
        # Guards against partitions that a stopped instance still holds.
        async with start_fleet(3) as fleet:
            leaving = fleet.tasks[fleet.members[0]]
            assert await leaving.hand_over_all() == 0
            assert not leaving.state.held
            assert fleet.count_acting() == [1] * PARTITION_COUNT

    async def test_hands_over_all_partitions_without_the_store_when_disconnected(self):
        # Guards against partitions lost when an instance stops during an outage of the
        # store, and against the table naming it as holder afterwards.
        async with start_fleet(3) as fleet:
            fleet.store.is_available = False
            fleet.clock.advance(CONNECTED_SECONDS)
            leaving = fleet.tasks[fleet.members[0]]
            assert await leaving.hand_over_all() == 0
            assert fleet.count_acting() == [1] * PARTITION_COUNT
            fleet.terminated.add(leaving.own_instance)
            fleet.store.is_available = True
            await fleet.pass_time(2)
            table = await fleet.tasks[fleet.members[1]].read_table()
            holders = {entry.holder for entry in table.entries.values()}
            assert leaving.own_instance.incarnation not in holders

    async def test_gives_up_at_the_deadline_while_the_store_is_unavailable(self):
        # Guards against a stop that waits for the store without end.
        async with start_fleet(2) as fleet:
            fleet.store.is_available = False
            leaving = fleet.tasks[fleet.members[0]]
            assert await leaving.hand_over_all(10.0) == PARTITION_COUNT // 2

    async def test_lost_handover_leaves_no_second_holder(self):
        # Guards against the former holder acting after a handover that got lost.
        async with start_fleet(2) as fleet:
            fleet.store.is_available = False
            fleet.clock.advance(CONNECTED_SECONDS)
            fleet.lost_message_types.add(Handover)
            leaving = fleet.tasks[fleet.members[0]]
            held = list(leaving.state.held)
            await leaving.hand_over_all()
            assert [fleet.find_acting(n) for n in held] == [[]] * len(held)


class TestTakeover:
    async def test_partitions_of_a_killed_holder_are_taken_over(self):
        # Guards against partitions that stay with an instance missing from the list.
        async with start_fleet(3) as fleet:
            await fleet.kill(fleet.members[0])
            await fleet.pass_time(6)
            assert fleet.count_acting() == [1] * PARTITION_COUNT

    async def test_partitions_of_a_paused_holder_wait_for_its_session_timeout(self):
        # Guards against a second holder while a listed holder may still act.
        async with start_fleet(2) as fleet:
            paused = fleet.tasks.pop(fleet.members[0])
            held = list(paused.state.held)
            await fleet.pass_time(30)
            assert {tuple(find_acting_unpaused(fleet, n)) for n in held} == {()}
            fleet.clock.advance(SESSION_TIMEOUT_SECONDS * 1.01)
            await fleet.pass_time(2)
            assert {tuple(find_acting_unpaused(fleet, n)) for n in held} == {
                (fleet.members[1],)
            }
            assert not any(paused.may_act(n, fleet.clock.boottime()) for n in held)


def find_acting_unpaused(fleet, partition):
    """Return the instances that act for a partition, except paused ones."""
    now = fleet.clock.boottime()
    return [m for m, task in fleet.tasks.items() if task.may_act(partition, now)]


class TestRecords:
    def test_table_of_the_largest_fleet_is_small(self):
        # Guards against a table whose polling every 10 s takes more than 2 KB/s.
        random_source = random.Random(1)
        names = [f"{random_source.getrandbits(128):032x}" for _ in range(770)]
        entries = {
            n: records.OwnershipEntry(names[n % 770], 1000 + n)
            for n in range(PARTITION_COUNT)
        }
        data = records.encode_table(records.OwnershipTable(1, entries))
        assert records.decode_table(data, 1).ok.entries == entries
        assert len(data) < 20_000

    @pytest.mark.parametrize(
        "data",
        [
            b"x",
            zlib.compress(b"[" * 100_000),
            zlib.compress(b"5"),
            zlib.compress(b'{"holders": [], "indexes": [0], "epochs": [1]}'),
            zlib.compress(b'{"holders": ["a"], "indexes": [0], "epochs": [1e999]}'),
            zlib.compress(b'{"holders": ["a"], "indexes": [0, 0], "epochs": [1]}'),
            zlib.compress(b'{"holders": ["a"], "indexes": [0], "epochs": [-1]}'),
            zlib.compress(b" " * 100_000_000),
        ],
    )
    def test_damaged_table_is_reported(self, data):
        # Guards against taking a damaged table for an empty one, and against one that
        # ends the task that reads it.
        assert records.decode_table(data, 1).is_error()

    @pytest.mark.parametrize(
        "data", [b"", b"5", b"[" * 100_000, b'{"counter": 1e999}', b'{"counter": -1}']
    )
    def test_damaged_session_has_no_renewals(self, data):
        # Guards against a session record that ends the task that observes it.
        assert records.decode_counter(data) == 0
