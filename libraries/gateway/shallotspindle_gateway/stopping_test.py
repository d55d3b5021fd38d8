import asyncio
import json

import pytest

from shallotspindle_environment.clock import SystemClock
from shallotspindle_gateway import ownership
from shallotspindle_gateway.conftest import (
    LARGE_BYTES,
    SERVICE,
    RawCaller,
    build_order,
    start_gateway,
)
from shallotspindle_gateway.records import Bounds
from shallotspindle_gateway.stopping import StopPlan

PLAN = StopPlan(started_at=100.0, duration_seconds=6.0)
pytestmark = pytest.mark.usefixtures("no_settling")


class TestAdmission:
    def test_all_are_served_until_the_balancer_knows(self):
        assert PLAN.admits(100.1, deadline=150.0)
        assert PLAN.admits(102.9, deadline=150.0)

    def test_a_late_request_that_may_outlast_the_stop_is_refused(self):
        # Guards against requests that are cut at an upstream that hangs.
        assert not PLAN.admits(103.1, deadline=108.0)

    def test_a_late_request_that_ends_before_the_stop_is_served(self):
        assert PLAN.admits(103.1, deadline=105.1)

    def test_a_short_stop_leaves_less_time_to_the_balancer(self):
        short = StopPlan(started_at=100.0, duration_seconds=1.0)
        assert short.admits(100.4, deadline=150.0)
        assert not short.admits(100.6, deadline=150.0)


class TestOrder:
    def test_nothing_waits_for_what_was_stopped_before(self):
        # Guards against a part of the stop that begins after the process must be gone.
        times = [
            PLAN.started_at,
            PLAN.balancer_informed_at,
            PLAN.close_idle_at,
            PLAN.close_listener_at,
            PLAN.refuse_unsent_at,
            PLAN.cancel_at,
            PLAN.exit_at,
            PLAN.started_at + PLAN.duration_seconds,
        ]
        assert times == sorted(times)


class TestStop:
    async def test_a_planned_stop_cuts_no_request(self, fleet):
        # Guards against answers that are lost when an instance is replaced.
        await start_gateway(fleet, "whole")
        (upstream,) = fleet.upstreams.values()
        daemon = await fleet.add_gateway(bounds=Bounds(max_stop_seconds=1.0))
        stopping = asyncio.create_task(daemon.stop())
        await fleet.await_true(lambda: not daemon.is_ready())
        status, headers, _ = await fleet.send(daemon, "/reads/1")
        assert status == 200
        assert headers["Connection"] == "close"
        await stopping
        assert len(upstream.executed) == 1

    async def test_a_planned_stop_answers_what_still_waits(self, fleet):
        # Guards against requests without an answer: an upload waited 4.2 s for a slot
        # when the time for the stop was over.
        daemon = await start_gateway(fleet, "hang", bounds=Bounds(max_stop_seconds=1.0))

        async def order():
            return await fleet.send(daemon, "/orders/1", method="POST", body=b"1")

        (upstream,) = fleet.upstreams.values()
        running = [asyncio.create_task(order()) for _ in range(2)]
        await fleet.await_true(lambda: len(upstream.executed) == 2)
        waiting = asyncio.create_task(order())
        await asyncio.sleep(0.1)
        await daemon.stop()
        assert waiting.done()
        assert (await waiting)[0] == 503
        assert {(await item)[0] for item in running} == {504}
        assert len(upstream.executed) == 2

    async def test_the_log_tells_how_far_a_request_came(self, fleet, capsys):
        # Guards against requests of a planned stop whose end nothing explains.
        daemon = await start_gateway(fleet, "hang", bounds=Bounds(max_stop_seconds=1.0))

        async def order():
            return await fleet.send(daemon, "/orders/1", method="POST", body=b"1")

        orders = [asyncio.create_task(order()) for _ in range(3)]
        await asyncio.sleep(0.2)
        await daemon.stop()
        await asyncio.gather(*orders)
        lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
        steps = sorted(line["step"] for line in lines if line["route"] == "orders")
        assert steps == ["sent", "sent", "slot"]

    async def test_a_late_request_that_may_outlast_the_stop_runs_nowhere(self, fleet):
        # Guards against work that a planned stop breaks off at its upstream.
        await start_gateway(fleet, "hang")
        (upstream,) = fleet.upstreams.values()
        daemon = await fleet.add_gateway(bounds=Bounds(max_stop_seconds=1.0))
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(0.6)
        caller = await RawCaller.connect(daemon)
        caller.write(build_order(b"1"))
        answer = await caller.read()
        await stopping
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Connection: close" in answer
        assert upstream.executed == []

    async def test_a_planned_stop_answers_a_body_that_still_arrives(self, fleet):
        # Guards against a closed connection under an upload over a slow link.
        daemon = await start_gateway(
            fleet, "whole", bounds=Bounds(max_stop_seconds=1.0)
        )
        caller = await RawCaller.connect(daemon)
        caller.write(build_order(b"x" * 1000)[:-500])
        await fleet.await_true(lambda: daemon._lifecycle.running_requests == 1)
        answering = asyncio.create_task(caller.read())
        await daemon.stop()
        assert (await answering).startswith(b"HTTP/1.1 503 ")

    async def test_a_planned_stop_answers_header_lines_that_still_arrive(self, fleet):
        # Guards against a closed connection under a request over a slow link.
        fleet.configure(version=2, limits={"header_seconds": 30.0})
        daemon = await start_gateway(
            fleet, "whole", bounds=Bounds(max_stop_seconds=1.0)
        )
        caller = await RawCaller.connect(daemon)
        caller.write(build_order(b"1")[:40])
        await asyncio.sleep(0.1)
        answering = asyncio.create_task(caller.read())
        await daemon.stop()
        assert (await asyncio.wait_for(answering, 5.0)).startswith(b"HTTP/1.1 408 ")

    async def test_a_planned_stop_refuses_what_upstreams_shed(self, fleet):
        # Guards against an unknown outcome (504) where no upstream ran the request.
        daemon = await start_gateway(fleet, "shed", bounds=Bounds(max_stop_seconds=1.0))
        await fleet.add_upstream("hang")
        await fleet.await_true(
            lambda: len(daemon.follower.upstreams.list_usable(SERVICE)) == 2
        )

        async def order():
            return await fleet.send(daemon, "/orders/1", method="POST", body=b"1")

        hanging = fleet.upstreams["u1"]
        sends = [asyncio.create_task(order()) for _ in range(6)]
        await fleet.await_true(lambda: len(hanging.executed) == 2)
        await asyncio.sleep(0.1)
        await daemon.stop()
        statuses = sorted([(await item)[0] for item in sends])
        assert statuses == [503] * 4 + [504] * 2

    async def test_a_planned_stop_waits_until_an_answer_is_delivered(self, fleet):
        # Guards against an answer that is cut while a slow link carries it.
        daemon = await start_gateway(
            fleet, "large", bounds=Bounds(max_stop_seconds=2.0)
        )
        caller = await RawCaller.connect(daemon, receive_bytes=4096)
        caller.write(build_order(b"1"))
        (upstream,) = fleet.upstreams.values()
        await fleet.await_true(lambda: upstream.executed)
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(1.6)
        assert not stopping.done()
        answering = asyncio.create_task(caller.read())
        await stopping
        answer = await answering
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert len(answer) > LARGE_BYTES

    async def test_an_instance_that_just_started_takes_over_the_rates(
        self, fleet, monkeypatch
    ):
        # Guards against refusals while a rolling restart moves the rights on rates.
        leaving = await start_gateway(
            fleet, "whole", bounds=Bounds(max_stop_seconds=1.0)
        )
        monkeypatch.setattr(ownership, "STARTUP_DELAY_SECONDS", 30.0)
        daemon = await fleet.add_gateway()
        await fleet.await_true(lambda: len(daemon.follower.members) == 2)
        await leaving.stop()
        assert (await fleet.send(daemon))[0] == 200

    async def test_what_an_upstream_sheds_late_is_sent_nowhere_else(self, fleet):
        # Guards against an order that is sent anew when it can only be broken off.
        await start_gateway(fleet, "shed late")
        daemon = await fleet.add_gateway(bounds=Bounds(max_stop_seconds=1.0))
        (shedding,) = fleet.upstreams.values()
        order = asyncio.create_task(
            fleet.send(daemon, "/orders/1", method="POST", body=b"1")
        )
        await asyncio.sleep(0.2)
        hanging = await fleet.add_upstream("hang")
        stopping = asyncio.create_task(daemon.stop())
        await fleet.await_true(lambda: daemon._pipeline._refuses_unsent)
        shedding.release.set()
        assert (await order)[0] == 503
        await stopping
        assert hanging.executed == []

    async def test_work_whose_caller_left_is_not_cut(self, fleet):
        # Guards against an order that a planned stop breaks off at its upstream.
        daemon = await start_gateway(fleet, "slow", bounds=Bounds(max_stop_seconds=2.0))
        (upstream,) = fleet.upstreams.values()
        caller = await RawCaller.connect(daemon)
        caller.write(build_order(b"1"))
        await fleet.await_true(lambda: upstream.executed)
        caller.close()
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(1.5)
        assert not stopping.done()
        upstream.release.set()
        await stopping
        assert upstream.finished == 1

    async def test_a_stop_that_takes_off_a_body_cuts_nothing(self, fleet, caplog):
        # Guards against a log that tells of cut requests where none ran.
        daemon = await start_gateway(
            fleet, "whole", bounds=Bounds(max_stop_seconds=1.0)
        )
        caller = await RawCaller.connect(daemon)
        caller.write(build_order(b"x" * 1000)[:-500])
        await fleet.await_true(lambda: daemon._lifecycle.running_requests == 1)
        answering = asyncio.create_task(caller.read())
        await daemon.stop()
        await answering
        assert "requests are cancelled" not in caplog.text

    async def test_a_renewal_on_its_way_gives_no_right_back(self, fleet, monkeypatch):
        # Guards against two holders of a rate: a renewal that ended after the lease had
        # been given up made the stopped instance act on its rights again.
        daemon = await start_gateway(
            fleet, "whole", bounds=Bounds(max_stop_seconds=1.0)
        )
        fleet.store.hides_changes = True
        renewing, answered = asyncio.Event(), asyncio.Event()
        renew_lease = fleet.store.renew_lease

        async def renew_slowly(lease):
            found = await renew_lease(lease)
            renewing.set()
            await answered.wait()
            return found

        monkeypatch.setattr(fleet.store, "renew_lease", renew_slowly)
        await asyncio.wait_for(renewing.wait(), 10.0)
        await daemon.ownership.leave()
        answered.set()
        await asyncio.sleep(0.05)
        daemon.ownership._handle_store_change()
        now = SystemClock().boottime()
        assert (
            daemon.ownership.find_held_since(ownership.PARTITION_KEYS[0], now) is None
        )
