import asyncio
import json

import pytest

from shallotspindle_environment.clock import SystemClock
from shallotspindle_gateway import ownership
from shallotspindle_gateway.conftest import RawCaller, build_order, start_gateway
from shallotspindle_gateway.fakes import LARGE_BYTES, SERVICE
from shallotspindle_gateway.records import Bounds
from shallotspindle_gateway.stopping import StopPlan

PLAN = StopPlan(started_at=100.0, duration_seconds=6.0)
pytestmark = pytest.mark.usefixtures("no_startup_delay")


class TestStopPlan:
    def test_all_requests_are_served_until_the_load_balancer_is_aware(self):
        # Guards against refusals while the load balancer still opens connections.
        assert PLAN.admits(100.1, deadline=150.0)
        assert PLAN.admits(102.9, deadline=150.0)

    def test_a_late_request_that_may_outlast_the_shutdown_is_refused(self):
        # Guards against requests that are aborted at an upstream that hangs.
        assert not PLAN.admits(103.1, deadline=108.0)

    def test_a_late_request_that_ends_before_the_shutdown_is_served(self):
        # Guards against refusals of requests that have enough time.
        assert PLAN.admits(103.1, deadline=105.1)

    def test_a_short_shutdown_gives_the_load_balancer_less_time(self):
        # Guards against a notice time that uses up the whole shutdown.
        short = StopPlan(started_at=100.0, duration_seconds=1.0)
        assert short.admits(100.4, deadline=150.0)
        assert not short.admits(100.6, deadline=150.0)


class TestSchedule:
    def test_the_steps_of_the_shutdown_are_in_order(self):
        # Guards against a step of the shutdown that is due after the process must exit.
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


class TestGracefulShutdown:
    async def test_a_request_during_a_graceful_shutdown_is_served(self, fleet):
        # Guards against responses that are lost when an instance is replaced.
        await start_gateway(fleet, "complete")
        (upstream,) = fleet.upstreams.values()
        daemon = await fleet.add_gateway(bounds=Bounds(max_stop_seconds=1.0))
        stopping = asyncio.create_task(daemon.stop())
        await fleet.await_true(lambda: not daemon.is_ready())
        status, headers, _ = await fleet.send(daemon, "/reads/1")
        assert status == 200
        assert headers["Connection"] == "close"
        await stopping
        assert len(upstream.executed) == 1

    async def test_a_graceful_shutdown_responds_to_requests_that_wait_for_a_slot(
        self, fleet
    ):
        # Guards against requests without a response: an upload still waited for a slot,
        # after 4.2 s, when the process had to exit.
        daemon = await start_gateway(fleet, "hang", bounds=Bounds(max_stop_seconds=1.0))

        async def send_order():
            return await fleet.send(daemon, "/orders/1", method="POST", body=b"1")

        (upstream,) = fleet.upstreams.values()
        running = [asyncio.create_task(send_order()) for _ in range(2)]
        await fleet.await_true(lambda: len(upstream.executed) == 2)
        waiting = asyncio.create_task(send_order())
        await asyncio.sleep(0.1)
        await daemon.stop()
        assert waiting.done()
        assert (await waiting)[0] == 503
        assert {(await request)[0] for request in running} == {504}
        assert len(upstream.executed) == 2

    async def test_the_log_names_the_step_that_a_request_reached(self, fleet, capsys):
        # Guards against requests whose end in a graceful shutdown cannot be explained.
        daemon = await start_gateway(fleet, "hang", bounds=Bounds(max_stop_seconds=1.0))

        async def send_order():
            return await fleet.send(daemon, "/orders/1", method="POST", body=b"1")

        tasks = [asyncio.create_task(send_order()) for _ in range(3)]
        await asyncio.sleep(0.2)
        await daemon.stop()
        await asyncio.gather(*tasks)
        lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
        steps = sorted(line["step"] for line in lines if line["route"] == "orders")
        assert steps == ["sent", "sent", "slot"]

    async def test_a_late_request_that_may_outlast_the_shutdown_is_not_sent(
        self, fleet
    ):
        # Guards against requests that a graceful shutdown aborts at the upstream.
        await start_gateway(fleet, "hang")
        (upstream,) = fleet.upstreams.values()
        daemon = await fleet.add_gateway(bounds=Bounds(max_stop_seconds=1.0))
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(0.6)
        caller = await RawCaller.connect(daemon)
        caller.write(build_order(b"1"))
        response = await caller.read()
        await stopping
        assert response.startswith(b"HTTP/1.1 503 ")
        assert b"Connection: close" in response
        assert upstream.executed == []

    async def test_a_body_that_ends_late_is_not_sent_if_it_may_outlast_the_shutdown(
        self, fleet
    ):
        # Guards against orders that are passed on late and aborted at the upstream.
        await start_gateway(fleet, "hang")
        (upstream,) = fleet.upstreams.values()
        daemon = await fleet.add_gateway(bounds=Bounds(max_stop_seconds=1.0))
        caller = await RawCaller.connect(daemon)
        order = build_order(b"x" * 1000)
        caller.write(order[:-500])
        await fleet.await_true(lambda: daemon._lifecycle.running_requests == 1)
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(0.6)
        caller.write(order[-500:])
        response = await caller.read()
        await stopping
        assert response.startswith(b"HTTP/1.1 503 ")
        assert upstream.executed == []

    async def test_a_graceful_shutdown_responds_to_an_incomplete_body(self, fleet):
        # Guards against a connection that is closed during an upload over a slow link.
        daemon = await start_gateway(
            fleet, "complete", bounds=Bounds(max_stop_seconds=1.0)
        )
        caller = await RawCaller.connect(daemon)
        caller.write(build_order(b"x" * 1000)[:-500])
        await fleet.await_true(lambda: daemon._lifecycle.running_requests == 1)
        reading = asyncio.create_task(caller.read())
        await daemon.stop()
        assert (await reading).startswith(b"HTTP/1.1 503 ")

    async def test_a_graceful_shutdown_responds_to_incomplete_headers(self, fleet):
        # Guards against a connection that is closed while a request arrives over a slow
        # link.
        fleet.configure(version=2, limits={"header_seconds": 30.0})
        daemon = await start_gateway(
            fleet, "complete", bounds=Bounds(max_stop_seconds=1.0)
        )
        caller = await RawCaller.connect(daemon)
        caller.write(build_order(b"1")[:40])
        await asyncio.sleep(0.1)
        reading = asyncio.create_task(caller.read())
        await daemon.stop()
        assert (await asyncio.wait_for(reading, 5.0)).startswith(b"HTTP/1.1 408 ")

    async def test_a_graceful_shutdown_refuses_what_upstreams_shed(self, fleet):
        # Guards against a 504 (unknown outcome) although no upstream ran the request.
        daemon = await start_gateway(fleet, "shed", bounds=Bounds(max_stop_seconds=1.0))
        await fleet.add_upstream("hang")
        await fleet.await_true(
            lambda: len(daemon.follower.upstreams.list_usable(SERVICE)) == 2
        )

        async def send_order():
            return await fleet.send(daemon, "/orders/1", method="POST", body=b"1")

        hanging = fleet.upstreams["u1"]
        tasks = [asyncio.create_task(send_order()) for _ in range(6)]
        await fleet.await_true(lambda: len(hanging.executed) == 2)
        await asyncio.sleep(0.1)
        await daemon.stop()
        statuses = sorted([(await task)[0] for task in tasks])
        assert statuses == [503] * 4 + [504] * 2

    async def test_a_graceful_shutdown_waits_until_a_response_is_delivered(self, fleet):
        # Guards against a response that is truncated on its way over a slow link.
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
        reading = asyncio.create_task(caller.read())
        await stopping
        response = await reading
        assert response.startswith(b"HTTP/1.1 200 ")
        assert len(response) > LARGE_BYTES

    async def test_an_instance_that_just_started_takes_over_the_partitions(
        self, fleet, monkeypatch
    ):
        # Guards against refusals while a rolling restart moves partitions.
        stopping_daemon = await start_gateway(
            fleet, "complete", bounds=Bounds(max_stop_seconds=1.0)
        )
        monkeypatch.setattr(ownership, "STARTUP_DELAY_SECONDS", 30.0)
        daemon = await fleet.add_gateway()
        await fleet.await_true(lambda: len(daemon.follower.members) == 2)
        await stopping_daemon.stop()
        assert (await fleet.send(daemon))[0] == 200

    async def test_a_request_that_is_shed_late_is_not_retried(self, fleet):
        # Guards against a retry that the end of the shutdown would abort.
        await start_gateway(fleet, "shed late")
        daemon = await fleet.add_gateway(bounds=Bounds(max_stop_seconds=1.0))
        (shedding,) = fleet.upstreams.values()
        send_task = asyncio.create_task(
            fleet.send(daemon, "/orders/1", method="POST", body=b"1")
        )
        await asyncio.sleep(0.2)
        hanging = await fleet.add_upstream("hang")
        stopping = asyncio.create_task(daemon.stop())
        await fleet.await_true(lambda: daemon._pipeline._is_refusing_unsent)
        shedding.release.set()
        assert (await send_task)[0] == 503
        await stopping
        assert hanging.executed == []

    async def test_a_request_whose_caller_disconnected_is_not_cancelled(self, fleet):
        # Guards against a non-idempotent request that a graceful shutdown aborts at its
        # upstream.
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

    async def test_an_incomplete_body_is_not_logged_as_cancelled(self, fleet, caplog):
        # Guards against a log that reports cancelled requests although none ran.
        daemon = await start_gateway(
            fleet, "complete", bounds=Bounds(max_stop_seconds=1.0)
        )
        caller = await RawCaller.connect(daemon)
        caller.write(build_order(b"x" * 1000)[:-500])
        await fleet.await_true(lambda: daemon._lifecycle.running_requests == 1)
        reading = asyncio.create_task(caller.read())
        await daemon.stop()
        await reading
        assert "requests are cancelled" not in caplog.text

    async def test_a_late_renewal_does_not_restore_partitions(self, fleet, monkeypatch):
        # Guards against two holders of a partition: a renewal that completed after the
        # lease had ended made the stopped instance use its partitions again.
        daemon = await start_gateway(
            fleet, "complete", bounds=Bounds(max_stop_seconds=1.0)
        )
        fleet.store.hides_changes = True
        renewing, release = asyncio.Event(), asyncio.Event()
        renew_lease = fleet.store.renew_lease

        async def renew_slowly(lease):
            renewed = await renew_lease(lease)
            renewing.set()
            await release.wait()
            return renewed

        monkeypatch.setattr(fleet.store, "renew_lease", renew_slowly)
        await asyncio.wait_for(renewing.wait(), 10.0)
        await daemon.ownership.leave()
        release.set()
        await asyncio.sleep(0.05)
        daemon.ownership._handle_store_change()
        now = SystemClock().boottime()
        assert (
            daemon.ownership.find_held_since(ownership.PARTITION_KEYS[0], now) is None
        )
