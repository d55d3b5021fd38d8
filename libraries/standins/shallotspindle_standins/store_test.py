import asyncio
from datetime import UTC, datetime

import aiohttp
import pytest
from aiohttp import web

from shallotspindle_core.clock import ManualClock
from shallotspindle_environment.etcd import EtcdStore
from shallotspindle_environment.interface import Conflict, OutcomeUnknown, StoreBusy
from shallotspindle_environment.listing import HttpInstanceList
from shallotspindle_standins.listing import ListStandin
from shallotspindle_standins.store import StoreStandin


class Server:
    """Serves an application on a port that the kernel picks."""

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
async def pair(clock):
    """Return the stand-in and a store that talks to it."""
    standin = StoreStandin(clock)
    server = Server(standin.build_application())
    url = await server.start()
    async with aiohttp.ClientSession() as session:
        yield standin, EtcdStore(session, url)
    await server.runner.cleanup()


async def write_impatiently(store):
    """Write a value and give up after 1 s."""
    patient = store._timeout
    store._timeout = aiohttp.ClientTimeout(total=1.0)
    written = await store.replace("k", b"x", 0)
    store._timeout = patient
    return written


class TestStore:
    async def test_compare_and_swap_has_one_winner(self, pair):
        _, store = pair
        results = await asyncio.gather(*(store.replace("k", b"x", 0) for _ in range(9)))
        losers = [r.error for r in results if r.is_error()]
        assert [type(error) for error in losers] == [Conflict] * 8
        found = (await store.get("k")).ok
        assert (await store.replace("k", b"y", found.revision)).is_ok()
        assert isinstance((await store.remove("k", found.revision)).error, Conflict)
        later = (await store.get("k")).ok
        assert (await store.remove("k", later.revision)).is_ok()
        assert (await store.get("k")).ok.revision == 0

    async def test_prefix_lists_in_order(self, pair):
        _, store = pair
        for key in ("a/2", "a/1", "b/1"):
            await store.replace(key, key.encode(), 0)
        assert [entry.key for entry in (await store.list("a/")).ok] == ["a/1", "a/2"]

    async def test_large_value_is_refused(self, pair):
        _, store = pair
        assert (await store.replace("k", b"x" * 1_000_001, 0)).is_error()


class TestFaults:
    async def test_down_store_is_a_failure_and_recovers(self, pair):
        standin, store = pair
        standin.faults.down = True
        failed = await store.get("k")
        assert failed.is_error()
        # Guards against a failed read that is reported as a write in doubt.
        assert not isinstance(failed.error, OutcomeUnknown)
        standin.faults.down = False
        assert (await store.get("k")).is_ok()

    async def test_lost_answer_is_unknown_and_the_write_took_effect(self, pair):
        # Guards against a lost answer that is reported as a failed write.
        standin, store = pair
        standin.faults.lose_answers = 1
        written = await store.replace("k", b"x", 0)
        assert isinstance(written.error, OutcomeUnknown)
        assert (await store.get("k")).ok.data == b"x"

    async def test_slow_store_is_unknown(self, pair):
        standin, store = pair
        standin.faults.delay = 30.0
        written = await write_impatiently(store)
        assert isinstance(written.error, OutcomeUnknown)

    async def test_calls_over_the_rate_are_refused_without_effect(self, pair, clock):
        standin, store = pair
        standin.faults.rate = 2
        results = [await store.replace(f"k{n}", b"x", 0) for n in range(3)]
        assert [r.is_ok() for r in results] == [True, True, False]
        assert isinstance(results[2].error, StoreBusy)
        assert standin.calls["refused"] == 1
        clock.advance(1.0)
        assert (await store.get("k2")).ok.revision == 0

    async def test_cut_requests_have_no_effect(self, pair):
        # Guards against a stand-in that cuts both directions alike.
        standin, store = pair
        standin.faults.cut = "requests"
        written = await write_impatiently(store)
        assert isinstance(written.error, OutcomeUnknown)
        standin.faults.cut = ""
        assert (await store.get("k")).ok.revision == 0

    async def test_cut_answers_leave_the_effect(self, pair):
        standin, store = pair
        standin.faults.cut = "answers"
        written = await write_impatiently(store)
        assert isinstance(written.error, OutcomeUnknown)
        standin.faults.cut = ""
        assert (await store.get("k")).ok.data == b"x"


class TestLeases:
    async def test_value_goes_with_its_lease(self, pair, clock):
        _, store = pair
        lease = (await store.grant_lease(10)).ok
        await store.replace("k", b"x", 0, lease)
        clock.advance(9.0)
        assert (await store.renew_lease(lease)).ok == 10
        clock.advance(9.0)
        assert (await store.get("k")).ok.revision
        clock.advance(2.0)
        assert (await store.get("k")).ok.revision == 0
        assert (await store.renew_lease(lease)).ok == 0
        assert (await store.replace("k", b"x", 0, lease)).is_error()


class TestWatch:
    async def test_watch_yields_changes_and_removals(self, pair):
        standin, store = pair
        first = (await store.replace("k", b"1", 0)).ok
        watch = store.watch("k", first + 1)
        following = asyncio.ensure_future(anext(watch))
        second = (await store.replace("k", b"2" * 300_000, first)).ok
        assert (await following).revision == second
        await store.remove("k", second)
        assert (await anext(watch)).data == b""
        standin.faults.down = True
        with pytest.raises(StopAsyncIteration):
            await anext(watch)

    async def test_waiting_watch_does_nothing(self, pair, monkeypatch):
        # Guards against a watch that polls; it must wake for changes only.
        standin, store = pair
        looks = []
        find = standin._find_event
        monkeypatch.setattr(
            standin, "_find_event", lambda *args: looks.append(1) or find(*args)
        )
        following = asyncio.ensure_future(anext(store.watch("k", 1)))
        while not looks:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        assert len(looks) == 1
        await store.replace("k", b"1", 0)
        assert (await following).data == b"1"


class TestInstanceList:
    async def test_list_lags_and_fails(self, clock):
        # Guards against tests that only see a list without lag.
        standin = ListStandin(clock)
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
