import asyncio
from dataclasses import dataclass, field
from datetime import UTC, datetime

import pytest

from shallotspindle_core.clock import ManualClock
from shallotspindle_core.identifiers import FailureDomain, UpstreamName
from shallotspindle_gateway import crash_recording, stored_forms
from shallotspindle_gateway.conftest import READY_SECONDS
from shallotspindle_gateway.crash_recording import CrashRecorder
from shallotspindle_gateway.fakes import MemoryStore
from shallotspindle_gateway.records import Endpoint, Member
from shallotspindle_gateway.storage import StoredValue
from shallotspindle_lending.crashes import (
    QUARANTINE_CRASHES,
    TRIAL_DELAYS_SECONDS,
    CrashRecord,
)
from shallotspindle_lending.records import RequestCompleted, UpstreamCrashed
from shallotspindle_telemetry.unexpected import UnexpectedErrors

POISON = 77
KEY = stored_forms.find_crash_key(POISON)
ORDER = {"path": "/orders/1", "method": "POST", "body": b"poison"}


@dataclass
class FakeFollower:
    """View of a store that shows each write when the test says so."""

    store: MemoryStore
    members: dict = field(default_factory=dict)
    crash_values: dict = field(default_factory=dict)
    revision: int = 1
    era: int = 0

    def subscribe(self, listener):
        self.listener = listener

    def update(self) -> None:
        self.revision, self.era = self.store.revision, self.store.era
        self.crash_values = {
            key: value for key, (value, _) in self.store.values.items()
        }
        self.listener()


class FakePeers:
    """Peers that get messages and send none."""

    def __init__(self) -> None:
        self.handlers: dict = {}
        self.sent: list = []

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, address, message):
        self.sent.append((address, message))


class Instance:
    """A recorder whose task is run step by step."""

    def __init__(self, store: MemoryStore, number: int = 1, count: int = 1) -> None:
        members = {
            n: Member(f"10.0.0.{n}:1", FailureDomain("a")) for n in range(1, count + 1)
        }
        self.follower = FakeFollower(store, members)
        self.peers = FakePeers()
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC), 100.0)
        self.recorder = CrashRecorder(
            members[number],
            store,
            self.follower,
            self.peers,
            self.clock,
            UnexpectedErrors(),
        )
        self.tracker = self.recorder.tracker
        self.follower.update()

    def crash(self, count: int = 1) -> None:
        for number in range(count):
            crash = UpstreamCrashed(POISON, UpstreamName(f"u{number}"))
            self.peers.handlers[UpstreamCrashed]("10.0.0.2:1", crash)

    async def work(self) -> bool:
        self.recorder._announce_completed()
        written = await self.recorder._write_records()
        opened = await self.recorder._open_trials()
        self.follower.update()
        return written and opened


class TestStoredCrashes:
    async def test_a_new_process_knows_what_was_stored(self):
        # Guards against a request that is let through by whichever process started
        # after its crashes.
        store = MemoryStore()
        instance = Instance(store)
        instance.crash(QUARANTINE_CRASHES)
        assert await instance.work()
        assert not Instance(store).tracker.admits(POISON)

    async def test_a_lost_response_counts_no_crash_twice(self):
        # Guards against a request that is quarantined after fewer crashes.
        store = MemoryStore()
        instance = Instance(store)
        instance.crash(2)
        await instance.work()
        calls = store.calls
        for _ in range(3):
            await instance.work()
        assert store.calls == calls
        stored = stored_forms.decode_crashes(store.values[KEY][0]).ok
        assert stored[POISON].count == 2

    async def test_crashes_of_an_outage_are_stored_after_it(self):
        # Guards against crashes that nobody remembers since the store was away.
        store = MemoryStore()
        instance = Instance(store)
        store.is_unavailable = True
        instance.crash(QUARANTINE_CRASHES)
        assert not await instance.work()
        store.is_unavailable = False
        assert await instance.work()
        assert KEY in store.values

    async def test_another_instance_writes_if_the_first_cannot(self):
        # Guards against crashes that are lost while the store rejects one instance.
        store = MemoryStore()
        instances = [Instance(store, number, count=3) for number in (1, 2, 3)]
        for instance in instances:
            instance.crash(QUARANTINE_CRASHES)
            instance.recorder._unstored_since = {KEY: instance.clock.boottime()}
        writers = [i for i in instances if i.recorder._is_writer(KEY, 100.0)]
        assert len(writers) == 1
        late = 100.0 + crash_recording.SUBSTITUTE_DELAY_SECONDS
        assert sum(i.recorder._is_writer(KEY, late) for i in instances) == 2

    async def test_a_completed_request_is_removed(self):
        # Guards against a sound request that stays quarantined.
        store = MemoryStore()
        instance = Instance(store, count=2)
        instance.recorder._unstored_since = {KEY: 0.0}
        instance.crash(QUARANTINE_CRASHES)
        await instance.work()
        instance.tracker.record_success(POISON)
        await instance.work()
        assert instance.peers.sent == [("10.0.0.2:1", RequestCompleted(POISON))]
        assert stored_forms.decode_crashes(store.values[KEY][0]).ok == {}

    async def test_a_trial_begins_after_it_is_stored(self):
        # Guards against more trials than are allowed, by two instances at once or by
        # a process that restarts.
        store = MemoryStore()
        instances = [Instance(store), Instance(store)]
        instances[0].crash(QUARANTINE_CRASHES)
        await instances[0].work()
        for instance in instances:
            instance.follower.update()
            instance.clock.advance(TRIAL_DELAYS_SECONDS[0])
            instance.tracker.record_refusal(POISON)
        await instances[0].recorder._open_trials()
        await instances[1].recorder._open_trials()
        assert [i.tracker.admits(POISON) for i in instances] == [True, False]
        assert stored_forms.decode_crashes(store.values[KEY][0]).ok[POISON].trials == 1


class TestStoredForm:
    def test_records(self):
        # Guards against a build that cannot read what earlier builds stored.
        records = {POISON: CrashRecord(3, ("u0", "u1"), 1_700_000_000, 1)}
        value = stored_forms.encode_crashes(records)
        assert value == b'{"000000000000004d":[3,["u0","u1"],1700000000,1]}'
        decoded = stored_forms.decode_crashes(StoredValue(KEY, value, 1))
        assert decoded.ok == records
        assert KEY == "crashes/13"

    def test_too_many_records_leave_the_important_ones(self):
        # Guards against a value that no instance accepts, since it is too large.
        records = {n: CrashRecord(1, ("upstream",), n) for n in range(1000)}
        records[POISON] = CrashRecord(3, ("u0", "u1"), 0)
        value = stored_forms.encode_crashes(records)
        assert len(value) <= stored_forms.MAX_ENTRY_BYTES
        kept = stored_forms.decode_crashes(StoredValue(KEY, value, 1)).ok
        assert POISON in kept
        assert len(kept) > 100

    @pytest.mark.parametrize(
        "odd",
        [
            b'"-00000000000005":[1,["u0"],0,0]',
            b'"000000000000004e":[1,[""],0,0]',
            b'"000000000000004e":5',
            b'"000000000000004e":[1,["u0"],0]',
        ],
    )
    def test_a_malformed_record_is_left_out_by_itself(self, odd):
        # Guards against one odd record that ends the quarantines of all others.
        value = b'{"000000000000004d":[3,["u0","u1"],0,0],' + odd + b"}"
        decoded = stored_forms.decode_crashes(StoredValue(KEY, value, 1))
        assert decoded.ok == {POISON: CrashRecord(3, ("u0", "u1"), 0)}

    @pytest.mark.parametrize(
        "value", [b"", b"5", b'{"x":[1,[],0,0]}', b'{"000000000000004d":[-1,[],0,0]}']
    )
    async def test_a_malformed_value_counts_as_absent(self, value):
        # Guards against an entry of another writer that ends the task.
        store = MemoryStore()
        store.put(KEY, value)
        instance = Instance(store)
        instance.crash(QUARANTINE_CRASHES)
        assert await instance.work()
        assert POISON in stored_forms.decode_crashes(store.values[KEY][0]).ok


class TestRestartedFleet:
    @pytest.mark.usefixtures("no_startup_delay")
    async def test_a_request_that_crashed_upstreams_stays_refused(self, fleet):
        # Guards against a request that crashes three more upstreams after each restart
        # of the fleet.
        upstreams = [await fleet.add_upstream("reset") for _ in range(4)]
        daemon = await fleet.add_gateway()
        for _ in range(QUARANTINE_CRASHES):
            await fleet.send(daemon, **ORDER)
        assert (await fleet.send(daemon, **ORDER))[0] == 503
        await asyncio.sleep(3 * crash_recording.WRITE_INTERVAL_SECONDS)
        host, port = daemon.peers.address.split(":")
        await fleet.kill(daemon)
        restarted = await fleet.add_gateway(peers=Endpoint(host, int(port)))
        for upstream in upstreams:
            upstream.mode = "complete"
        async with asyncio.timeout(READY_SECONDS):
            while (await fleet.send(restarted))[0] != 200:
                await asyncio.sleep(0.05)
        assert (await fleet.send(restarted, **ORDER))[0] == 503
        bodies = [body for upstream in upstreams for body in upstream.bodies]
        assert bodies.count(ORDER["body"]) == QUARANTINE_CRASHES


class TestEras:
    async def test_a_record_that_the_store_lost_is_written_again(self):
        # Guards against a request that crashes more upstreams after the store came back
        # older, and against a write that waits for a revision of the earlier era.
        store = MemoryStore()
        instance = Instance(store)
        copy = store.copy()
        instance.crash(QUARANTINE_CRASHES)
        await instance.work()
        store.restore(copy)
        calls = store.calls
        assert not await instance.recorder._write(KEY, b"{}")
        assert store.calls == calls
        instance.follower.update()
        assert await instance.work()
        stored = stored_forms.decode_crashes(store.values[KEY][0]).ok
        assert stored[POISON].count == QUARANTINE_CRASHES
