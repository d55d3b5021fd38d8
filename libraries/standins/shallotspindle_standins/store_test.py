import asyncio
from datetime import UTC, datetime

import aiohttp
import pytest
from aiohttp import web

from shallotspindle_core.clock import ManualClock
from shallotspindle_environment.etcd import EtcdStore
from shallotspindle_environment.interface import Conflict, OutcomeUnknown, StoreBusy
from shallotspindle_environment.listing import HttpInstanceList
from shallotspindle_standins.listing import InstanceListStandin
from shallotspindle_standins.store import StoreStandin


class Server:
    """Serves an application on a port chosen by the kernel."""

    def __init__(self, application):
        self.runner = web.AppRunner(application, shutdown_timeout=0.1)

    async def start(self):
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        return f"http://127.0.0.1:{self.runner.addresses[0][1]}"


@pytest.fixture
def clock():
    return ManualClock(datetime(2026, 1, 1, tzinfo=UTC), 100.0)


@pytest.fixture
async def standin_and_store(clock):
    """Yield the stand-in and a client of it."""
    standin = StoreStandin(clock)
    server = Server(standin.build_application())
    url = await server.start()
    async with aiohttp.ClientSession() as session:
        yield standin, EtcdStore(session, url)
    await server.runner.cleanup()


async def write_with_short_timeout(store):
    """Write a value with a timeout of 1 s."""
    usual_timeout = store._timeout
    store._timeout = aiohttp.ClientTimeout(total=1.0)
    written = await store.replace("k", b"x", 0)
    store._timeout = usual_timeout
    return written


class TestStore:
    async def test_only_one_of_concurrent_writes_succeeds(self, standin_and_store):
        # Guards against a transaction that ignores the expected revision.
        _, store = standin_and_store
        results = await asyncio.gather(*(store.replace("k", b"x", 0) for _ in range(9)))
        losers = [r.error for r in results if r.is_error()]
        assert [type(error) for error in losers] == [Conflict] * 8
        entry = (await store.get("k")).ok
        assert (await store.replace("k", b"y", entry.revision)).is_ok()
        assert isinstance((await store.remove("k", entry.revision)).error, Conflict)
        later = (await store.get("k")).ok
        assert (await store.remove("k", later.revision)).is_ok()
        assert (await store.get("k")).ok.revision == 0

    async def test_values_of_a_prefix_are_listed_in_key_order(self, standin_and_store):
        # Guards against a range that returns other keys or an unordered list.
        _, store = standin_and_store
        for key in ("a/2", "a/1", "b/1"):
            await store.replace(key, key.encode(), 0)
        assert [entry.key for entry in (await store.list("a/")).ok] == ["a/1", "a/2"]

    async def test_large_value_is_rejected(self, standin_and_store):
        # Guards against a value over 1,000,000 bytes that is written.
        _, store = standin_and_store
        assert (await store.replace("k", b"x" * 1_000_001, 0)).is_error()


class TestFaults:
    async def test_down_store_is_a_failure_and_recovers(self, standin_and_store):
        standin, store = standin_and_store
        standin.faults.down = True
        failed = await store.get("k")
        assert failed.is_error()
        # Guards against a failed read that is reported as a write whose outcome is
        # unknown.
        assert not isinstance(failed.error, OutcomeUnknown)
        standin.faults.down = False
        assert (await store.get("k")).is_ok()

    async def test_lost_response_is_unknown_and_the_write_takes_effect(
        self, standin_and_store
    ):
        # Guards against a lost response that is reported as a failed write.
        standin, store = standin_and_store
        standin.faults.lose_answers = 1
        written = await store.replace("k", b"x", 0)
        assert isinstance(written.error, OutcomeUnknown)
        assert (await store.get("k")).ok.data == b"x"

    async def test_write_to_a_slow_store_is_unknown(self, standin_and_store):
        # Guards against a timeout that is reported as a failed write.
        standin, store = standin_and_store
        standin.faults.delay = 30.0
        written = await write_with_short_timeout(store)
        assert isinstance(written.error, OutcomeUnknown)

    async def test_calls_over_the_rate_limit_have_no_effect(
        self, standin_and_store, clock
    ):
        # Guards against a rejected write that takes effect.
        standin, store = standin_and_store
        standin.faults.rate = 2
        results = [await store.replace(f"k{n}", b"x", 0) for n in range(3)]
        assert [r.is_ok() for r in results] == [True, True, False]
        assert isinstance(results[2].error, StoreBusy)
        assert standin.calls["refused"] == 1
        clock.advance(1.0)
        assert (await store.get("k2")).ok.revision == 0

    async def test_blocked_requests_have_no_effect(self, standin_and_store):
        # Guards against a stand-in that does not distinguish the directions.
        standin, store = standin_and_store
        standin.faults.cut = "requests"
        written = await write_with_short_timeout(store)
        assert isinstance(written.error, OutcomeUnknown)
        standin.faults.cut = ""
        assert (await store.get("k")).ok.revision == 0

    async def test_write_with_a_blocked_response_takes_effect(self, standin_and_store):
        # Guards against a stand-in that does not distinguish the directions.
        standin, store = standin_and_store
        standin.faults.cut = "answers"
        written = await write_with_short_timeout(store)
        assert isinstance(written.error, OutcomeUnknown)
        standin.faults.cut = ""
        assert (await store.get("k")).ok.data == b"x"


class TestLeases:
    async def test_value_is_removed_when_its_lease_expires(
        self, standin_and_store, clock
    ):
        # Guards against a value that outlives its lease, and a lease that expires
        # although it is renewed.
        _, store = standin_and_store
        lease_id = (await store.grant_lease(10)).ok
        await store.replace("k", b"x", 0, lease_id)
        clock.advance(9.0)
        assert (await store.renew_lease(lease_id)).ok == 10
        clock.advance(9.0)
        assert (await store.get("k")).ok.revision
        clock.advance(2.0)
        assert (await store.get("k")).ok.revision == 0
        assert (await store.renew_lease(lease_id)).ok == 0
        assert (await store.replace("k", b"x", 0, lease_id)).is_error()


class TestWatch:
    async def test_watch_yields_changes_and_removals(self, standin_and_store):
        # Guards against a lost change, and a watch that outlives an outage.
        standin, store = standin_and_store
        first = (await store.replace("k", b"1", 0)).ok
        watch = store.watch("k", first + 1)
        next_change = asyncio.ensure_future(anext(watch))
        second = (await store.replace("k", b"2" * 300_000, first)).ok
        assert (await next_change).revision == second
        await store.remove("k", second)
        assert (await anext(watch)).data == b""
        standin.faults.down = True
        with pytest.raises(StopAsyncIteration):
            await anext(watch)

    async def test_waiting_watch_does_not_poll(self, standin_and_store, monkeypatch):
        # Guards against a watch that polls instead of waking only for changes.
        standin, store = standin_and_store
        find_calls = []
        find_event = standin._find_event
        monkeypatch.setattr(
            standin,
            "_find_event",
            lambda *args: find_calls.append(1) or find_event(*args),
        )
        next_change = asyncio.ensure_future(anext(store.watch("k", 1)))
        while not find_calls:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        assert len(find_calls) == 1
        await store.replace("k", b"1", 0)
        assert (await next_change).data == b"1"


class TestInstanceList:
    async def test_list_can_lag_and_fail(self, clock):
        # Guards against a stand-in that always shows the current state, unlike the
        # real list.
        standin = InstanceListStandin(clock)
        server = Server(standin.build_application())
        url = await server.start()
        labels = {"incarnation": "i", "failure_domain": "a", "state": "leaving"}
        group = {"targets": ["10.0.0.1:7000"], "labels": labels}
        async with aiohttp.ClientSession() as session:
            await session.post(f"{url}/instances", json=group)
            listing = HttpInstanceList(session, f"{url}/instances")
            assert (await listing.list()).ok[0].is_leaving
            standin.faults.lag = 5.0
            assert (await listing.list()).ok == ()
            clock.advance(5.0)
            assert len((await listing.list()).ok) == 1
            standin.faults.down = True
            assert (await listing.list()).is_error()
        await server.runner.cleanup()
