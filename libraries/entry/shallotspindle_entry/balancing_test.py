import asyncio
from datetime import UTC, datetime
from random import Random

import pytest

from shallotspindle_bundles.records import Service, Team, Upstream
from shallotspindle_core.clock import ManualClock
from shallotspindle_core.identifiers import Instance
from shallotspindle_entry import balancing, balancing_messages
from shallotspindle_entry.balancing import BalancingTask
from shallotspindle_entry.balancing_messages import LeavingUpstreamsChanged
from shallotspindle_entry.interfaces import (
    Assignment,
    AttemptSample,
    NoCapacity,
    RequestHeld,
)
from shallotspindle_health.messages import CrashNotice
from shallotspindle_health.scoring import Outcome
from shallotspindle_notices.notices import Notice

OWN_INSTANCE = Instance("i0", "10.0.0.1:1", "d0")
PEER = Instance("i1", "10.0.0.2:1", "d1")
NO_UPSTREAMS = frozenset()


class FakePeerMessaging:
    def __init__(self):
        self.handlers = {}
        self.gossiped_messages = []

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def list_peers(self):
        return (PEER,)

    def gossip(self, message):
        self.gossiped_messages.append(message)


def build_upstreams(draining=()):
    return tuple(
        Upstream(f"u{n}", f"10.1.0.{n}:80", f"d{n % 2}", draining=f"u{n}" in draining)
        for n in range(4)
    )


class BalancingHarness:
    def __init__(self, clock=None):
        self.peers = FakePeerMessaging()
        self.clock = clock or ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.task = BalancingTask(OWN_INSTANCE, self.peers, self.clock, Random(1))

    async def apply_services(self, draining=()):
        service = Service("stock", build_upstreams(draining), floor=2)
        teams = {"team": Team("team", 10.0, 10.0)}
        message = balancing_messages.ServicesChanged({"stock": service}, teams)
        await self.task.handle(message)

    async def assign(
        self, fingerprint=1, tried_upstreams=NO_UPSTREAMS, timeout_seconds=5.0
    ):
        deadline = self.clock.boottime() + timeout_seconds
        return await self.task.assign(
            "stock", "team", fingerprint, tried_upstreams, deadline
        )

    async def receive_notice(self, notice):
        """Serve a request whose response has a notice; return the upstream's name."""
        assignment = await self.assign()
        self.task.record_notice(assignment.upstream, notice)
        self.task.finish(assignment, AttemptSample(Outcome.COMPLETE, 0.02))
        return assignment.upstream.name

    async def serve_requests(self, count, outcome=Outcome.COMPLETE, **fields):
        names = []
        for _ in range(count):
            assignment = await self.assign()
            names.append(assignment.upstream.name)
            self.task.finish(assignment, AttemptSample(outcome, 0.02, **fields))
        return names


@pytest.fixture
async def harness():
    running_harness = BalancingHarness()
    await running_harness.apply_services()
    yield running_harness
    await running_harness.task.stop()


class TestAssign:
    async def test_slots_of_finished_requests_are_reused(self, harness):
        # Guards against slots that leak with each request.
        names = await harness.serve_requests(200)
        assert set(names) == {"u0", "u1", "u2", "u3"}
        assert names.count("u0") + names.count("u2") > 150
        assignments = [await harness.assign() for _ in range(4)]
        assert len({assignment.number for assignment in assignments}) == 4

    async def test_unknown_service_has_no_capacity(self, harness):
        result = await harness.task.assign("other", "team", 1, NO_UPSTREAMS, 5.0)
        assert isinstance(result, NoCapacity)

    async def test_queued_request_gets_the_slot_of_a_finished_one(self, harness):
        # Guards against a queue that does not advance when a slot is released.
        assignments = [await harness.assign() for _ in range(4)]
        queued_request = asyncio.create_task(harness.assign())
        await asyncio.sleep(0)
        assert not queued_request.done()
        harness.task.finish(assignments[0], AttemptSample(Outcome.COMPLETE, 0.02))
        assert isinstance(await queued_request, Assignment)

    async def test_cancelled_request_frees_its_place_in_the_queue(self, harness):
        # Guards against a slot assigned to a request that was cancelled.
        assignments = [await harness.assign() for _ in range(4)]
        queued_request = asyncio.create_task(harness.assign())
        await asyncio.sleep(0)
        queued_request.cancel()
        await asyncio.gather(queued_request, return_exceptions=True)
        for assignment in assignments:
            harness.task.finish(assignment, AttemptSample(Outcome.COMPLETE, 0.02))
        snapshot = await harness.task.handle(balancing_messages.SnapshotRequest())
        assert snapshot[0].queue_length == 0
        assert len(await harness.serve_requests(50)) == 50

    async def test_queued_request_is_refused_at_its_deadline(self, harness):
        # Guards against a request that waits beyond its deadline.
        for _ in range(4):
            await harness.assign()
        queued_request = asyncio.create_task(harness.assign(timeout_seconds=1.0))
        await asyncio.sleep(0)
        harness.clock.advance(1.0)
        await harness.task.handle(balancing_messages.Tick())
        assert isinstance(await queued_request, NoCapacity)


class TestLeaving:
    async def test_upstream_marked_as_leaving_gets_no_new_requests(self, harness):
        # Guards against requests to an upstream that the platform is about to stop.
        await harness.task.handle(LeavingUpstreamsChanged(frozenset({"u0", "u2"})))
        assert set(await harness.serve_requests(50)) == {"u1", "u3"}

    async def test_upstream_draining_in_the_bundle_gets_no_new_requests(self, harness):
        # Guards against requests to an upstream that operators drain.
        await harness.apply_services(draining=("u0",))
        assert "u0" not in await harness.serve_requests(50)

    async def test_upstream_that_reports_draining_gets_no_new_requests(self, harness):
        # Guards against requests to an upstream until the next bundle marks it.
        name = await harness.receive_notice(Notice(is_leaving=True))
        assert name not in await harness.serve_requests(50)

    async def test_upstream_that_reported_draining_is_tried_again_later(self, harness):
        # Guards against an upstream that is lost after its restart.
        name = await harness.receive_notice(Notice(is_leaving=True))
        # The second tick comes after the time in which its share grows again.
        for _ in range(2):
            harness.clock.advance(balancing.DRAINING_EXPIRY_SECONDS)
            await harness.task.handle(balancing_messages.Tick())
        assert name in await harness.serve_requests(50)


class TestPauses:
    async def test_upstream_that_wants_a_pause_gets_no_new_requests(self, harness):
        # Guards against requests to an upstream that has just refused one.
        name = await harness.receive_notice(Notice(pause_seconds=2.0))
        assert name not in await harness.serve_requests(50)
        harness.clock.advance(2.0)
        await harness.task.handle(balancing_messages.Tick())
        assert name in await harness.serve_requests(50)

    async def test_request_that_cannot_wait_is_refused_at_once(self, harness):
        # Guards against callers that wait for their deadline while all upstreams want
        # a longer pause.
        for seconds in (9.0, 6.0, 8.0, 7.0):
            await harness.receive_notice(Notice(pause_seconds=seconds))
        refusal = await harness.assign(timeout_seconds=5.0)
        assert isinstance(refusal, NoCapacity)
        assert refusal.retry_after == 6.0

    async def test_request_that_can_wait_gets_the_first_upstream(self, harness):
        # Guards against refusing a request that can be served in time.
        for seconds in (2.0, 1.0, 3.0, 4.0):
            await harness.receive_notice(Notice(pause_seconds=seconds))
        waiting = asyncio.create_task(harness.assign(timeout_seconds=5.0))
        await asyncio.sleep(0)
        assert not waiting.done()
        harness.clock.advance(1.0)
        await harness.task.handle(balancing_messages.Tick())
        assert isinstance(await waiting, Assignment)


class TestPeerReports:
    async def test_crash_reported_by_a_peer_quarantines_the_request(self, harness):
        # Guards against a request that crashes one upstream for each instance.
        handler = harness.peers.handlers[CrashNotice]
        await handler(PEER, CrashNotice(1, ("u9",), 0.0))
        await harness.task.handle(harness.task._inbox.get_nowait().message)
        assignment = await harness.assign()
        harness.task.finish(assignment, AttemptSample(Outcome.RESET, 0.02))
        assert isinstance(await harness.assign(), RequestHeld)
        assert harness.peers.gossiped_messages[-1].fingerprint == 1

    async def test_suspicions_are_gossiped_and_described(self, harness):
        # Guards against an ejection that peers and operators do not learn of.
        await harness.serve_requests(40)
        for _ in range(60):
            assignment = await harness.assign()
            is_faulty = assignment.upstream.name == "u0"
            outcome = Outcome.TRUNCATED if is_faulty else Outcome.COMPLETE
            harness.task.finish(assignment, AttemptSample(outcome, 0.02))
        await harness.task.handle(balancing_messages.Tick())
        assert harness.peers.gossiped_messages[-1].suspicions[0].upstream == "u0"
        snapshot = await harness.task.handle(balancing_messages.SnapshotRequest())
        description = next(item for item in snapshot[0].upstreams if item.name == "u0")
        assert (description.state, description.reasons[0]) == ("ejected", "truncated")


class TestRetries:
    async def test_each_service_has_its_own_retry_budget(self, harness):
        # Guards against retries of one service that use up the budget of another.
        await harness.serve_requests(10)
        assert [harness.task.may_retry("stock") for _ in range(5)].count(True) == 3
        assert not harness.task.may_retry("other")
