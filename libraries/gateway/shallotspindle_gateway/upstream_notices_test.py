"""What upstreams say of themselves in responses binds the instances of a fleet."""

import asyncio
import json

import pytest

from shallotspindle_gateway.conftest import start_gateway
from shallotspindle_gateway.fakes import NAMES, SERVICE, RejectingStore
from shallotspindle_lending.records import RefusalReason
from shallotspindle_notices.notices import Notice

pytestmark = pytest.mark.usefixtures("no_startup_delay")

LEAVING = {NAMES.leaving: "1"}
RETRY_AFTER = "Retry-After"


def announce_again(fleet, name, started_at_ms):
    """Announce an upstream of the store again, as another incarnation."""
    address, domain, *_ = json.loads(fleet.store.values[f"upstreams/{name}"][0].value)
    value = json.dumps([address, domain, started_at_ms]).encode()
    fleet.store.put(f"upstreams/{name}", value)


async def send_reads(fleet, daemon, count=8):
    """Send reads one after the other and return their statuses."""
    return [(await fleet.send(daemon))[0] for _ in range(count)]


async def pass_on_from(fleet, daemon, upstream):
    """Send reads until one was passed on from an upstream."""
    while not upstream.executed:
        assert (await fleet.send(daemon))[0] == 200


class TestLeavingUpstreams:
    async def test_an_upstream_that_says_so_gets_no_more_requests(self, fleet):
        # Guards against requests to a leaving upstream while the store lists it as
        # ready or is away.
        daemon = await start_gateway(fleet, "complete", "complete")
        leaving = fleet.upstreams["u0"]
        leaving.extra_headers = LEAVING
        await pass_on_from(fleet, daemon, leaving)
        daemon.follower.store = RejectingStore()
        count = len(leaving.executed)
        assert set(await send_reads(fleet, daemon)) == {200}
        assert len(leaving.executed) == count

    async def test_a_ready_announcement_of_the_same_incarnation_changes_nothing(
        self, fleet
    ):
        # Guards against requests to a leaving upstream after a stale announcement.
        daemon = await start_gateway(fleet, "complete")
        (upstream,) = fleet.upstreams.values()
        upstream.extra_headers = LEAVING
        await pass_on_from(fleet, daemon, upstream)
        announce_again(fleet, "u0", 0)
        revision = fleet.store.revision
        await fleet.await_true(lambda: daemon.follower.revision >= revision)
        assert (await fleet.send(daemon))[0] == 503
        assert len(upstream.executed) == 1

    async def test_another_incarnation_at_the_address_is_free(self, fleet):
        # Guards against an upstream that gets no request after its restart.
        daemon = await start_gateway(fleet, "complete")
        (upstream,) = fleet.upstreams.values()
        upstream.extra_headers = LEAVING
        await pass_on_from(fleet, daemon, upstream)
        upstream.extra_headers = {}
        announce_again(fleet, "u0", 5)
        incarnation = ("u0", 5)
        upstreams = daemon.follower.upstreams
        await fleet.await_true(lambda: upstreams.get_incarnation("u0") == incarnation)
        assert (await fleet.send(daemon))[0] == 200

    async def test_one_response_drains_the_upstream_for_other_instances(self, fleet):
        # Guards against each instance that has to learn of the departure itself.
        first = await start_gateway(fleet, "complete", "complete", "complete")
        second = await fleet.add_gateway()
        await fleet.await_true(
            lambda: all(len(d.follower.members) == 2 for d in fleet.daemons)
        )
        leaving = fleet.upstreams["u0"]
        leaving.extra_headers = LEAVING
        await pass_on_from(fleet, first, leaving)
        leaving.extra_headers = {}
        count = len(leaving.executed)
        await asyncio.sleep(0.1)
        assert set(await send_reads(fleet, second, 12)) == {200}
        assert len(leaving.executed) == count

    async def test_a_response_to_another_request_says_nothing(self, fleet):
        # Guards against a late copy that drains the upstream at a reused address.
        daemon = await start_gateway(fleet, "mismatched")
        (upstream,) = fleet.upstreams.values()
        upstream.extra_headers = LEAVING
        assert (await fleet.send(daemon))[0] == 502
        assert not daemon.follower.upstreams.has_left("u0")
        upstream.mode = "complete"
        assert (await fleet.send(daemon))[0] == 200

    @pytest.mark.parametrize("mode", ["unsigned", "unnamed"])
    async def test_a_rejected_response_says_nothing(self, fleet, mode):
        # Guards against bytes of a faulty upstream that drain it.
        daemon = await start_gateway(fleet, mode)
        (upstream,) = fleet.upstreams.values()
        upstream.extra_headers = LEAVING
        assert (await fleet.send(daemon))[0] == 502
        assert not daemon.follower.upstreams.has_left("u0")

    async def test_the_notice_counts_before_the_body_is_complete(self, fleet):
        # Guards against requests that are sent while a long body arrives.
        daemon = await start_gateway(fleet, "truncated", "complete")
        fleet.upstreams["u0"].extra_headers = LEAVING
        await pass_on_from(fleet, daemon, fleet.upstreams["u0"])
        assert set(await send_reads(fleet, daemon, 4)) == {200}
        assert len(fleet.upstreams["u0"].executed) == 1


class TestPausedUpstreams:
    async def test_an_upstream_that_asks_for_a_pause_gets_none(self, fleet):
        # Guards against requests to an upstream that has just refused one.
        daemon = await start_gateway(fleet, "shed", "complete")
        paused = fleet.upstreams["u0"]
        paused.extra_headers = {RETRY_AFTER: "60"}
        notices = daemon.notices
        while not notices.list_obstacles(SERVICE):
            assert (await fleet.send(daemon))[0] == 200
        paused.mode = "complete"
        assert set(await send_reads(fleet, daemon)) == {200}
        assert paused.executed == []

    async def test_a_refusal_without_a_request_id_asks_for_no_pause(self, fleet):
        # Guards against bytes of a faulty upstream that keep requests from it.
        daemon = await start_gateway(fleet, "unnamed refusal")
        (upstream,) = fleet.upstreams.values()
        upstream.extra_headers = {RETRY_AFTER: "60"}
        assert (await fleet.send(daemon))[0] == 502
        assert not daemon.notices.list_obstacles(SERVICE)

    async def test_an_upstream_gets_requests_after_its_pause(self, fleet):
        # Guards against capacity that is lost after a short pause.
        daemon = await start_gateway(fleet, "shed")
        (upstream,) = fleet.upstreams.values()
        upstream.extra_headers = {RETRY_AFTER: "0.5"}
        assert (await fleet.send(daemon))[0] == 503
        upstream.mode = "complete"
        assert (await fleet.send(daemon))[0] == 200
        assert len(upstream.executed) == 1

    async def test_a_request_that_cannot_wait_is_refused_at_once(self, fleet):
        # Guards against callers that wait for their deadline while all upstreams of a
        # service want a pause that lasts longer.
        daemon = await start_gateway(fleet, "shed")
        (upstream,) = fleet.upstreams.values()
        upstream.extra_headers = {RETRY_AFTER: "30"}
        assert (await fleet.send(daemon))[0] == 503
        upstream.mode = "complete"
        async with asyncio.timeout(1.0):
            status, fields, _ = await fleet.send(daemon, "/orders/1", method="POST")
        assert status == 503
        assert 25 <= float(fields[RETRY_AFTER]) <= 30
        assert upstream.executed == []

    async def test_a_pause_binds_one_instance(self, fleet):
        # Guards against a service without requests because one instance must pause.
        first = await start_gateway(fleet, "shed")
        second = await fleet.add_gateway()
        (upstream,) = fleet.upstreams.values()
        upstream.extra_headers = {RETRY_AFTER: "30"}
        assert (await fleet.send(first))[0] == 503
        upstream.mode = "complete"
        assert (await fleet.send(second))[0] == 200

    async def test_pauses_write_a_bounded_number_of_log_lines(self, fleet, caplog):
        # Guards against an overloaded service that fills the log.
        daemon = await start_gateway(fleet)
        with caplog.at_level("INFO", "absl"):
            for _ in range(5_000):
                daemon.notices.record(("u0", 0), Notice(pause_seconds=0.1))
        assert 0 < len(caplog.records) < 1_000

    async def test_the_log_line_names_what_was_passed_over(self, fleet, capsys):
        # Guards against refusals that nobody can explain.
        daemon = await start_gateway(fleet, "shed")
        fleet.upstreams["u0"].extra_headers = {RETRY_AFTER: "30"}
        await fleet.send(daemon)
        capsys.readouterr()
        await fleet.send(daemon)
        line = json.loads(capsys.readouterr().out.splitlines()[-1])
        assert line["no_slot"] == RefusalReason.PAUSED.value
        assert line["passed_over"] == [["u0", "paused"]]
