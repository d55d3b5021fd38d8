import asyncio
from datetime import UTC, datetime

import pytest

from shallotspindle_core.clock import ManualClock
from shallotspindle_entry.balancing_test import PEER, BalancingHarness
from shallotspindle_entry.crash_storing import CrashStoring
from shallotspindle_entry.interfaces import Assignment, AttemptSample, RequestHeld
from shallotspindle_environment.memory import MemoryStore
from shallotspindle_health.messages import CrashNotice
from shallotspindle_health.scoring import Outcome
from shallotspindle_settings import crash

FINGERPRINT = 7


class Instance:
    """Balancing task of one process, and its access to the store."""

    def __init__(self, store, clock):
        self.harness = BalancingHarness(clock)
        self.storing = CrashStoring(store, self.harness.task, clock)

    async def start(self):
        await self.harness.apply_services()
        self.harness.task.set_loop(asyncio.get_running_loop())
        self._inbox = asyncio.create_task(self.harness.task.start())

    async def stop(self):
        self._inbox.cancel()
        await self.harness.task.stop()

    async def crash_upstreams(self, count, fingerprint=FINGERPRINT):
        for _ in range(count):
            assignment = await self.harness.assign(fingerprint)
            sample = AttemptSample(Outcome.RESET, 0.02)
            self.harness.task.finish(assignment, sample)

    async def assign(self):
        """Assign the crashing request after all messages are handled."""
        await self.harness.task.ask(None)
        return await self.harness.assign(FINGERPRINT)


@pytest.fixture
async def start_instance():
    """Start instances that share a store; one may end before the next starts."""
    store = MemoryStore()
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC), 100.0)
    instances = []

    async def start():
        instances.append(Instance(store, clock))
        await instances[-1].start()
        return instances[-1]

    start.store, start.clock = store, clock
    yield start
    for instance in instances:
        await instance.stop()


class TestRestarts:
    async def test_a_crashing_request_stays_held_after_all_instances_restarted(
        self, start_instance
    ):
        # Guards against a request that crashes two upstreams after each restart: what
        # was known of it was in the memory of the processes only.
        first = await start_instance()
        await first.crash_upstreams(2)
        assert await first.storing.write_next()
        second = await start_instance()
        assert await second.storing.read()
        assert isinstance(await second.assign(), RequestHeld)

    async def test_the_quarantine_ends_as_without_a_restart(self, start_instance):
        # Guards against a quarantine that begins anew with each restart.
        first = await start_instance()
        await first.crash_upstreams(2)
        start_instance.clock.advance(500.0)
        assert await first.storing.write_next()
        start_instance.clock.advance(101.0)
        second = await start_instance()
        await second.storing.read()
        assert isinstance(await second.assign(), Assignment)

    async def test_a_failed_write_is_repeated(self, start_instance):
        # Guards against a crash that is forgotten because the store was away, or whose
        # response was lost.
        first = await start_instance()
        await first.crash_upstreams(2)
        store = start_instance.store
        store.is_unavailable = True
        assert await first.storing.write_next()
        assert not await first.storing.read()
        store.is_unavailable = False
        store.lost_response_count = 1
        assert await first.storing.write_next()
        assert await first.storing.write_next()
        assert not await first.storing.write_next()
        assert len((await store.list(crash.CRASH_PREFIX)).ok) == 1

    async def test_a_request_that_cannot_be_stored_holds_up_no_other(
        self, start_instance
    ):
        # Guards against a name of a peer that no stored form takes.
        first = await start_instance()
        await first.crash_upstreams(1)
        handler = first.harness.peers.handlers[CrashNotice]
        await handler(PEER, CrashNotice(FINGERPRINT, ("\n",), 0.0))
        await first.crash_upstreams(2, fingerprint=8)
        for _ in range(2):
            with first.storing.errors.absorb("write"):
                await first.storing.write_next()
        assert first.storing.errors.counts == {"write": 1}
        assert len((await start_instance.store.list(crash.CRASH_PREFIX)).ok) == 1

    async def test_a_single_crash_is_not_stored(self, start_instance):
        # Guards against a write for each upstream that resets a connection.
        first = await start_instance()
        await first.crash_upstreams(1)
        await first.storing.write_next()
        assert not (await start_instance.store.list(crash.CRASH_PREFIX)).ok

    @pytest.mark.parametrize("data", [b"5", b"\xff", b"{}", b"[" * 10_000])
    async def test_a_malformed_entry_affects_itself_alone(self, start_instance, data):
        # Guards against one entry of another writer that hides all others.
        first = await start_instance()
        await first.crash_upstreams(2)
        await first.storing.write_next()
        start_instance.store.put(crash.CRASH_PREFIX + "0", data)
        second = await start_instance()
        assert await second.storing.read()
        assert isinstance(await second.assign(), RequestHeld)
