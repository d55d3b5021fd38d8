import asyncio
from datetime import UTC, datetime
from random import Random

import pytest

from shallotspindle_bundles.records import Service, Team, Upstream
from shallotspindle_core.clock import ManualClock
from shallotspindle_core.identifiers import Instance
from shallotspindle_entry import balancing
from shallotspindle_entry.balancing import BalancingTask, LeavingChanged
from shallotspindle_entry.interfaces import (
    Assignment,
    AttemptSample,
    NoCapacity,
    RequestHeld,
)
from shallotspindle_health.messages import CrashNotice
from shallotspindle_health.scoring import Outcome

OWN = Instance("i0", "10.0.0.1:1", "d0")
PEER = Instance("i1", "10.0.0.2:1", "d1")
NONE = frozenset()


class FakePeers:
    def __init__(self):
        self.handlers = {}
        self.spoken = []

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def list_peers(self):
        return (PEER,)

    def gossip(self, message):
        self.spoken.append(message)


def list_upstreams(draining=()):
    return tuple(
        Upstream(f"u{n}", f"10.1.0.{n}:80", f"d{n % 2}", draining=f"u{n}" in draining)
        for n in range(4)
    )


class Bench:
    def __init__(self):
        self.peers = FakePeers()
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.task = BalancingTask(OWN, self.peers, self.clock, Random(1))

    async def change(self, draining=()):
        service = Service("stock", list_upstreams(draining), floor=2)
        teams = {"team": Team("team", 10.0, 10.0)}
        message = balancing.ServicesChanged({"stock": service}, teams)
        await self.task.handle(message)

    async def assign(self, fingerprint=1, tried=NONE, life=5.0):
        deadline = self.clock.boottime() + life
        return await self.task.assign("stock", "team", fingerprint, tried, deadline)

    async def serve(self, count, result=Outcome.COMPLETE, **fields):
        names = []
        for _ in range(count):
            found = await self.assign()
            names.append(found.upstream.name)
            self.task.finish(found, AttemptSample(result, 0.02, **fields))
        return names


@pytest.fixture
async def bench():
    found = Bench()
    await found.change()
    yield found
    await found.task.stop()


class TestAssign:
    async def test_places_come_back(self, bench):
        # Guards against places that are lost with each request.
        names = await bench.serve(200)
        assert set(names) == {"u0", "u1", "u2", "u3"}
        assert names.count("u0") + names.count("u2") > 150
        taken = [await bench.assign() for _ in range(4)]
        assert len({item.number for item in taken}) == 4

    async def test_unknown_service_is_a_typed_failure(self, bench):
        found = await bench.task.assign("other", "team", 1, NONE, 5.0)
        assert isinstance(found, NoCapacity)

    async def test_waiter_gets_the_place_of_a_finished_request(self, bench):
        taken = [await bench.assign() for _ in range(4)]
        waiter = asyncio.create_task(bench.assign())
        await asyncio.sleep(0)
        assert not waiter.done()
        bench.task.finish(taken[0], AttemptSample(Outcome.COMPLETE, 0.02))
        assert isinstance(await waiter, Assignment)

    async def test_cancelled_waiter_leaves_no_trace(self, bench):
        # Guards against a place given to a caller that is gone.
        taken = [await bench.assign() for _ in range(4)]
        waiter = asyncio.create_task(bench.assign())
        await asyncio.sleep(0)
        waiter.cancel()
        await asyncio.gather(waiter, return_exceptions=True)
        for item in taken:
            bench.task.finish(item, AttemptSample(Outcome.COMPLETE, 0.02))
        snapshot = await bench.task.handle(balancing.TakeSnapshot())
        assert snapshot[0].queued == 0
        assert len(await bench.serve(50)) == 50

    async def test_waiter_is_refused_at_its_deadline(self, bench):
        for _ in range(4):
            await bench.assign()
        waiter = asyncio.create_task(bench.assign(life=1.0))
        await asyncio.sleep(0)
        bench.clock.advance(1.0)
        await bench.task.handle(balancing.Tick())
        assert isinstance(await waiter, NoCapacity)


class TestLeaving:
    async def test_mark_of_the_list_stops_new_work_at_once(self, bench):
        await bench.task.handle(LeavingChanged(frozenset({"u0", "u2"})))
        assert set(await bench.serve(50)) == {"u1", "u3"}

    async def test_draining_of_the_bundle_stops_new_work_at_once(self, bench):
        await bench.change(draining=("u0",))
        assert "u0" not in await bench.serve(50)

    async def test_answer_that_says_draining_stops_new_work_at_once(self, bench):
        first = await bench.serve(1, is_draining=True)
        assert first[0] not in await bench.serve(50)


class TestSharing:
    async def test_crash_that_a_peer_saw_holds_the_request(self, bench):
        # Guards against a request that crashes upstreams through each instance.
        handler = bench.peers.handlers[CrashNotice]
        await handler(PEER, CrashNotice(1, ("u9",), 0.0))
        await bench.task.handle(bench.task._inbox.get_nowait().message)
        found = await bench.assign()
        bench.task.finish(found, AttemptSample(Outcome.RESET, 0.02))
        assert isinstance(await bench.assign(), RequestHeld)
        assert bench.peers.spoken[-1].fingerprint == 1

    async def test_suspicions_are_spread_and_shown(self, bench):
        await bench.serve(40)
        for _ in range(60):
            found = await bench.assign()
            bad = found.upstream.name == "u0"
            result = Outcome.TRUNCATED if bad else Outcome.COMPLETE
            bench.task.finish(found, AttemptSample(result, 0.02))
        await bench.task.handle(balancing.Tick())
        assert bench.peers.spoken[-1].suspicions[0].upstream == "u0"
        snapshot = await bench.task.handle(balancing.TakeSnapshot())
        shown = next(item for item in snapshot[0].upstreams if item.name == "u0")
        assert (shown.state, shown.reasons[0]) == ("ejected", "truncated")


class TestRetries:
    async def test_budget_is_kept_for_each_service(self, bench):
        await bench.serve(10)
        assert [bench.task.may_retry("stock") for _ in range(5)].count(True) == 3
        assert not bench.task.may_retry("other")
