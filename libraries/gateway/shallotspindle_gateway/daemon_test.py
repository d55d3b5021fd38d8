import asyncio
import signal
from dataclasses import replace

import pytest
from expression import Error, Ok

from shallotspindle_core.failures import Failure
from shallotspindle_environment.clock import SystemClock
from shallotspindle_environment.interface import StoreFailure
from shallotspindle_gateway import following, ownership, slot_requester
from shallotspindle_gateway.conftest import RawCaller, build_order, start_gateway
from shallotspindle_gateway.fakes import NAMES, SERVICE, MemoryStore, RejectingStore
from shallotspindle_gateway.records import Bounds
from shallotspindle_lending.records import Outcome

pytestmark = pytest.mark.usefixtures("no_startup_delay")


INVALID_RESPONSE_MODES = [
    "truncated",
    "mismatched",
    "reset",
    "unsigned",
    "unnamed",
    "unnamed refusal",
]


class UnavailableStore(MemoryStore):
    """Store whose calls all fail after their timeout."""

    async def watch(self, revision, seconds):
        await asyncio.sleep(seconds)
        return Error(StoreFailure("store", "unavailable"))

    async def read_all(self):
        return await self.watch(0, 1.0)


class TestResponses:
    async def test_a_complete_response_is_passed_on_unchanged(self, fleet):
        # Guards against a body or header that is lost on the way.
        daemon = await start_gateway(fleet, "complete")
        status, headers, body = await fleet.send(
            daemon, "/orders/1", method="POST", body=b"x" * 100_000
        )
        assert (status, body) == (200, b"answer " + b"x" * 100_000)
        assert headers[NAMES.signature] == "s"

    async def test_a_caller_that_waits_for_100_continue_gets_it(self, fleet):
        # Guards against uploads that their callers hold back.
        daemon = await start_gateway(fleet, "complete")
        caller = await RawCaller.connect(daemon)
        lines = ("Expect: 100-continue", "Connection: close")
        sent = build_order(b"scan", *lines)
        caller.write(sent[:-4])
        interim = await asyncio.wait_for(caller.read_head(), 2.0)
        assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
        caller.write(sent[-4:])
        response = await caller.read()
        assert response.startswith(b"HTTP/1.1 200 ")
        assert response.endswith(b"answer scan")

    async def test_an_upstream_gets_the_team_and_never_the_key(self, fleet):
        # Guards against a leaked key, and against a team chosen by the caller.
        daemon = await start_gateway(fleet, "complete")
        await fleet.send(daemon)
        (request,) = fleet.upstreams["u0"].requests
        assert request.headers[NAMES.team] == "museum"
        assert request.headers[NAMES.target] == "u0"
        assert "Authorization" not in request.headers
        assert 0 < int(request.headers[NAMES.deadline]) <= 2000

    @pytest.mark.parametrize("mode", INVALID_RESPONSE_MODES)
    async def test_an_invalid_response_is_never_passed_on(self, fleet, mode):
        # Guards against passing on a truncated response, another request's response, or
        # bytes that a faulty upstream sent in place of its response.
        daemon = await start_gateway(fleet, mode)
        status, _, body = await fleet.send(daemon, "/orders/1", method="POST")
        assert status == 502
        assert b"upstream-failed" in body
        assert not body.startswith((b"answer ", b"half"))

    async def test_a_read_whose_responses_are_all_rejected_fails(self, fleet):
        # Guards against a refusal that promises a caller that its request did not run.
        daemon = await start_gateway(fleet, "unsigned", "unnamed")
        status, headers, body = await fleet.send(daemon)
        assert status == 502
        assert b"upstream-failed" in body
        assert "Retry-After" not in headers

    async def test_the_response_to_a_head_request_is_passed_on(self, fleet):
        # Guards against a response without a body that counts as invalid.
        daemon = await start_gateway(fleet, "complete")
        status, headers, body = await fleet.send(daemon, method="HEAD")
        assert (status, body) == (200, b"")
        assert headers[NAMES.signature] == "s"

    async def test_an_unknown_route_and_an_unknown_key_are_refused(self, fleet):
        # Guards against refused requests that reach an upstream.
        daemon = await start_gateway(fleet, "complete")
        assert (await fleet.send(daemon, "/nowhere/"))[0] == 404
        assert (await fleet.send(daemon, "/reads"))[0] == 404
        assert (await fleet.send(daemon, key="k9"))[0] == 401
        assert not fleet.upstreams["u0"].executed


class TestRetries:
    @pytest.mark.parametrize("mode", ["hang", "error", *INVALID_RESPONSE_MODES])
    async def test_a_read_is_retried(self, fleet, mode):
        # Guards against reads that fail because of a gray upstream.
        daemon = await start_gateway(fleet, mode, "complete")
        for _ in range(4):
            assert (await fleet.send(daemon))[0] == 200

    @pytest.mark.parametrize("mode", INVALID_RESPONSE_MODES)
    async def test_an_order_that_may_have_run_is_not_retried(self, fleet, mode):
        # Guards against a deposit that is made twice.
        daemon = await start_gateway(fleet, mode, mode)
        status, _, _ = await fleet.send(daemon, "/orders/1", method="POST")
        assert status == 502
        assert sum(len(upstream.executed) for upstream in fleet.upstreams.values()) == 1

    @pytest.mark.parametrize("mode", ["unsigned", "unnamed"])
    async def test_a_retry_after_a_rejected_response_uses_the_budget(self, fleet, mode):
        # Guards against retries beyond the budget while upstreams send invalid
        # responses.
        bounds = Bounds(retry_ratio=0.0, extra_retries=0)
        daemon = await start_gateway(fleet, mode, mode, bounds=bounds)
        assert (await fleet.send(daemon))[0] == 502
        assert sum(len(upstream.executed) for upstream in fleet.upstreams.values()) == 1

    @pytest.mark.parametrize("mode", ["unsigned", "unnamed", "unnamed refusal"])
    async def test_an_upstream_with_rejected_responses_gets_fewer_orders(
        self, fleet, mode
    ):
        # Guards against a faulty upstream that keeps its share of the orders because
        # its responses count as successes or refusals.
        daemon = await start_gateway(fleet, mode, "complete", "complete")
        for _ in range(12):
            await fleet.send(daemon, "/orders/1", method="POST")
        assert len(fleet.upstreams["u0"].executed) <= 3

    async def test_an_order_that_was_shed_is_sent_to_another_upstream(self, fleet):
        # Guards against failing an order that certainly did not run.
        daemon = await start_gateway(fleet, "shed", "complete")
        for _ in range(4):
            assert (await fleet.send(daemon, "/orders/1", method="POST"))[0] == 200

    async def test_an_order_that_no_upstream_ran_is_refused_as_not_run(self, fleet):
        # Guards against a caller that cannot tell whether to retry its order.
        daemon = await start_gateway(fleet, "shed")
        status, headers, _ = await fleet.send(daemon, "/orders/1", method="POST")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not fleet.upstreams["u0"].executed

    async def test_a_read_is_cancelled_at_the_upstream_when_its_caller_leaves(
        self, fleet
    ):
        # Guards against upstreams that work for callers that have left.
        daemon = await start_gateway(fleet, "hang")
        upstream = fleet.upstreams["u0"]
        sending = asyncio.create_task(fleet.send(daemon))
        await fleet.await_true(lambda: upstream.executed)
        sending.cancel()
        await fleet.await_true(lambda: upstream.cancelled)

    async def test_a_queued_order_is_dropped_when_its_caller_leaves(self, fleet):
        # Guards against an order that starts to run after its caller has left.
        daemon = await start_gateway(fleet, "hang")
        upstream = fleet.upstreams["u0"]
        first = [
            asyncio.create_task(fleet.send(daemon, "/orders/1", method="POST"))
            for _ in range(2)
        ]
        await fleet.await_true(lambda: len(upstream.executed) == 2)
        third = asyncio.create_task(fleet.send(daemon, "/orders/3", method="POST"))
        await asyncio.sleep(0.1)
        third.cancel()
        await asyncio.gather(*first)
        await asyncio.sleep(0.1)
        assert len(upstream.executed) == 2

    async def test_an_incomplete_body_does_not_count_against_the_upstream(
        self, fleet, monkeypatch
    ):
        # Guards against a healthy upstream that counts as crashed.
        seen = []
        release_slot = slot_requester.SlotRequester.release_slot

        def record_outcome(slot_requester, requirements, slot, outcome, seconds):
            seen.append(outcome)
            release_slot(slot_requester, requirements, slot, outcome, seconds)

        monkeypatch.setattr(
            slot_requester.SlotRequester, "release_slot", record_outcome
        )
        daemon = await start_gateway(fleet, "complete")
        caller = await RawCaller.connect(daemon)
        caller.write(build_order(bytes(3_000_000))[:2_000_000])
        await fleet.await_true(lambda: daemon._pipeline._running_calls)
        await asyncio.sleep(0.3)
        caller.abort()
        await fleet.await_true(lambda: seen)
        assert seen == [Outcome.CANCELLED]

    async def test_a_long_body_is_sent_completely_or_not_at_all(self, fleet):
        # Guards against an order that runs with only the end of its body. The start of
        # a long body was already read for an upstream that shed the order.
        daemon = await start_gateway(fleet, "shed", "complete", "shed")
        body = bytes(3 * 1024 * 1024)
        for _ in range(8):
            status, _, _ = await fleet.send(
                daemon, "/orders/1", method="POST", body=body
            )
            assert status in (200, 503)
        seen = fleet.upstreams["u1"].bodies
        assert seen
        assert {len(received) for received in seen} == {len(body)}


class TestKeys:
    async def test_a_withdrawn_key_stops_working(self, fleet):
        # Guards against a withdrawn key that is still accepted.
        daemon = await start_gateway(fleet, "complete")
        assert (await fleet.send(daemon))[0] == 200
        fleet.configure(version=2, keys=("k2",))
        await fleet.await_true(
            lambda: daemon.follower.configuration.bundle.version == 2
        )
        assert (await fleet.send(daemon))[0] == 401
        assert (await fleet.send(daemon, key="k2"))[0] == 200

    async def test_no_key_works_after_the_store_failed_for_too_long(self, fleet):
        # Guards against a withdrawal that this instance could not learn of.
        await fleet.add_upstream()
        daemon = await fleet.add_gateway(bounds=Bounds(key_withdrawal_seconds=1.6))
        fleet.store.is_unavailable = True
        await fleet.await_true(lambda: not daemon.is_ready())
        status, headers, _ = await fleet.send(daemon)
        assert status == 503
        assert "Retry-After" in headers

    async def test_an_older_configuration_is_never_applied(self, fleet):
        # Guards against a withdrawn key that an old configuration restores.
        daemon = await start_gateway(fleet, "complete")
        fleet.configure(version=5)
        await fleet.await_true(
            lambda: daemon.follower.configuration.bundle.version == 5
        )
        fleet.configure(version=4, keys=())
        revision = fleet.store.revision
        await fleet.await_true(lambda: daemon.follower.revision >= revision)
        assert daemon.follower.configuration.bundle.version == 5

    async def test_a_watcher_that_lost_the_store_is_not_trusted(self, fleet):
        # Guards against a change that arrives too late because a watcher is cut off.
        for _ in range(3):
            await fleet.add_gateway()
        await fleet.await_true(
            lambda: all(len(d.follower.members) == 3 for d in fleet.daemons)
        )
        watchers = set(fleet.daemons[0].follower.roster.rank_watchers())
        disconnected = [d for d in fleet.daemons if d.peers.address in watchers]
        others = [d for d in fleet.daemons if d.peers.address not in watchers]
        assert disconnected
        assert others
        for daemon in disconnected:
            daemon.follower.store = UnavailableStore()
        await asyncio.sleep(following.WATCH_SECONDS + 0.1)
        fleet.configure(version=2)
        await fleet.await_true(
            lambda: all(d.follower.configuration.bundle.version == 2 for d in others),
            seconds=2.0,
        )

    async def test_a_watcher_of_another_domain_replaces_one_that_is_down(self, fleet):
        # Guards against calls to the store by every instance when a watcher is down.
        for domain in ("a", "a", "b"):
            await fleet.add_gateway(domain)
        await fleet.await_true(
            lambda: all(len(d.follower.members) == 3 for d in fleet.daemons)
        )
        watchers = fleet.daemons[0].follower.roster.rank_watchers()
        (local,) = [d for d in fleet.daemons[:2] if d.peers.address in watchers]
        (other,) = [d for d in fleet.daemons[:2] if d.peers.address not in watchers]
        await local.peers.stop()
        other.follower.store = UnavailableStore()
        fleet.configure(version=2)
        await fleet.await_true(
            lambda: other.follower.configuration.bundle.version == 2, seconds=2.0
        )

    async def test_a_change_that_the_watch_missed_is_found(self, fleet, monkeypatch):
        # Guards against a watch that continues after changes that it never reported.
        monkeypatch.setattr(following, "FULL_READ_INTERVAL_SECONDS", 0.5)
        daemon = await start_gateway(fleet, "complete")
        fleet.configure(version=2)
        fleet.store.events.clear()
        await fleet.await_true(
            lambda: daemon.follower.configuration.bundle.version == 2
        )


class TestOutages:
    async def test_an_outage_for_one_instance_keeps_no_removed_upstream(self, fleet):
        # Guards against requests to an upstream that left while the store rejected one
        # instance only. Its peers confirmed the view of the store all the time.
        daemon = await start_gateway(fleet, "complete")
        follower, clock = daemon.follower, SystemClock()
        follower.store = RejectingStore()
        for _ in range(25):
            follower._confirm(clock.boottime(), clock.boottime())
            await asyncio.sleep(0.1)
        fleet.store.remove("upstreams/u0")
        follower.store = fleet.store
        await fleet.await_true(
            lambda: not follower.upstreams.list_usable(SERVICE), seconds=1.8
        )

    async def test_an_outage_for_all_keeps_expired_announcements(self, fleet):
        # Guards against dropping upstreams that could not announce themselves while
        # the store was unavailable.
        daemon = await start_gateway(fleet, "complete")
        fleet.store.is_unavailable = True
        await asyncio.sleep(2.8)
        fleet.store.remove("upstreams/u0")
        fleet.store.is_unavailable = False
        age = daemon.follower.compute_confirmation_age
        clock = SystemClock()
        await fleet.await_true(lambda: age(clock.boottime()) < 0.5)
        assert daemon.follower.upstreams.list_usable(SERVICE)


class TestRates:
    async def test_the_rate_limit_holds_over_all_gateways(self, fleet):
        # Guards against instances that each grant the full rate.
        fleet.configure(version=2, rate=3.0)
        first = await start_gateway(fleet, "complete")
        second = await fleet.add_gateway(domain="b")
        await fleet.await_true(lambda: len(second.follower.members) == 2)
        started = asyncio.get_running_loop().time()
        responses = await asyncio.gather(
            *(fleet.send(daemon) for _ in range(15) for daemon in (first, second))
        )
        statuses = [status for status, _, _ in responses]
        passed = asyncio.get_running_loop().time() - started
        assert statuses.count(200) <= 3.0 * passed + 3.0 + 1.0
        assert statuses.count(429) > 0

    async def test_a_holder_whose_lease_ended_grants_no_token(self, fleet, monkeypatch):
        # Guards against two holders of one partition after a lease has ended.
        monkeypatch.setattr(ownership, "LEASE_SECONDS", 0.5)
        daemon = await start_gateway(fleet, "complete")
        assert (await fleet.send(daemon))[0] == 200
        fleet.store.is_unavailable = True
        await asyncio.sleep(0.8)
        status, headers, _ = await fleet.send(daemon)
        assert status == 503
        assert "Retry-After" in headers
        fleet.store.is_unavailable = False
        await asyncio.sleep(0.5)
        assert (await fleet.send(daemon))[0] in (200, 429)

    async def test_a_partition_held_by_another_keeps_no_other_partition_free(
        self, fleet, monkeypatch
    ):
        # Guards against refusals after a power failure. One partition that a peer had
        # acquired made every write for the others fail until its change was seen.
        monkeypatch.setattr(ownership, "STARTUP_DELAY_SECONDS", 60.0)
        await fleet.add_upstream()
        daemon = await fleet.add_gateway()
        fleet.store.hides_changes = True
        fleet.store.put(ownership.PARTITION_KEYS[0], b'["10.0.0.9:1", "other"]')
        monkeypatch.setattr(ownership, "STARTUP_DELAY_SECONDS", 0.0)
        await fleet.await_true(
            lambda: set(ownership.PARTITION_KEYS) <= set(fleet.store.values)
        )
        stored, _ = fleet.store.values[ownership.PARTITION_KEYS[0]]
        assert stored.value == b'["10.0.0.9:1", "other"]'
        assert daemon.is_ready()

    async def test_a_partition_lost_before_its_write_was_seen_is_acquired_again(
        self, fleet
    ):
        # Guards against a partition that no instance acquires because its former holder
        # still considers itself the holder. Seed 109 of the soak: an outage between the
        # write and its event.
        await fleet.add_upstream()
        fleet.store.hides_changes = True
        daemon = await fleet.add_gateway()
        partition = ownership.PARTITION_KEYS[0]
        await fleet.await_true(lambda: partition in fleet.store.values)
        for lease in tuple(fleet.store.leases):
            await fleet.store.end_lease(lease)
        fleet.store.hides_changes = False
        clock = SystemClock()
        await fleet.await_true(
            lambda: (
                partition in fleet.store.values
                and daemon.ownership.find_held_since(partition, clock.boottime())
                is not None
            )
        )

    async def test_all_partitions_are_acquired_again_after_the_lease_ended(self, fleet):
        # Guards against an instance that does not rejoin without its lease.
        daemon = await start_gateway(fleet, "complete")
        for lease in tuple(fleet.store.leases):
            await fleet.store.end_lease(lease)
        await fleet.await_true(
            lambda: len(daemon.follower.partitions) == ownership.PARTITION_COUNT
        )
        await fleet.await_true(lambda: len(daemon.follower.members) == 1)


class TestRenewals:
    async def test_a_rejected_instance_keeps_its_partitions_through_a_peer(
        self, fleet, monkeypatch
    ):
        # Guards against teams without tokens while the store rejects one instance.
        monkeypatch.setattr(ownership, "LEASE_SECONDS", 1.0)
        daemon = await start_gateway(fleet, "complete")
        await fleet.add_gateway()
        await fleet.await_true(lambda: len(daemon.follower.members) == 2)
        daemon.ownership._store = RejectingStore()
        await asyncio.sleep(2.0)
        now = SystemClock().boottime()
        assert (
            daemon.ownership.find_held_since(ownership.PARTITION_KEYS[0], now)
            is not None
        )

    async def test_an_instance_without_peers_stops_acting_when_its_lease_ends(
        self, fleet, monkeypatch
    ):
        # Guards against two instances that act on one partition.
        monkeypatch.setattr(ownership, "LEASE_SECONDS", 0.6)
        daemon = await start_gateway(fleet, "complete")
        daemon.ownership._store = RejectingStore()
        await asyncio.sleep(1.0)
        now = SystemClock().boottime()
        assert (
            daemon.ownership.find_held_since(ownership.PARTITION_KEYS[0], now) is None
        )


class TestLenders:
    async def test_a_lender_that_does_not_respond_is_passed_over(
        self, fleet, monkeypatch
    ):
        # Guards against requests that wait for a killed lender.
        monkeypatch.setattr(slot_requester, "RESPONSE_TIMEOUT_SECONDS", 0.02)
        daemon = await start_gateway(fleet, "complete")
        for number in range(4):
            value = f'["127.0.0.1:{number + 1}", "a", 1000.0]'.encode()
            fleet.store.put(f"members/dead-{number}", value)
        await fleet.await_true(lambda: len(daemon.follower.members) == 5)
        for _ in range(3):
            assert (await fleet.send(daemon))[0] == 200

    async def test_an_instance_without_lenders_remembers_failing_upstreams(
        self, fleet, monkeypatch
    ):
        # Guards against an instance that is cut off from its peers and keeps sending
        # orders to an upstream that responds to all of them with an error.
        monkeypatch.setattr(slot_requester, "RESPONSE_TIMEOUT_SECONDS", 0.02)
        daemon = await start_gateway(fleet, "error", "complete", "complete")
        for number in range(6):
            value = f'["127.0.0.1:{number + 1}", "a", 1000.0]'.encode()
            fleet.store.put(f"members/dead-{number}", value)
        await fleet.await_true(lambda: len(daemon.follower.members) == 7)
        for _ in range(12):
            await fleet.send(daemon, "/orders/1", method="POST")
        assert len(fleet.upstreams["u0"].executed) <= 3

    async def test_a_cold_upstream_is_passed_over_by_a_lender_that_starts(self, fleet):
        # Guards against limits that no scheduler heeds, and against refusals meanwhile.
        fleet.configure(cold_start=(60.0, 1.0))
        daemon = await start_gateway(fleet, "complete")
        await fleet.add_upstream()
        usable = daemon.follower.upstreams.list_usable
        await fleet.await_true(lambda: len(usable(SERVICE)) == 2)
        statuses = [(await fleet.send(daemon))[0] for _ in range(8)]
        assert statuses == [200] * 8
        assert daemon._lender.cold_limits.denials[SERVICE] > 0
        assert not daemon.errors.counts

    async def test_a_domain_without_upstreams_uses_those_of_another_domain(self, fleet):
        # Guards against refusals while other domains have free slots.
        await fleet.add_upstream(domain="b")
        remote = await fleet.add_gateway(domain="b")
        local = await fleet.add_gateway(domain="a")
        await fleet.await_true(lambda: len(local.follower.members) == 2)
        await fleet.await_true(
            lambda: len(remote.follower.partitions) == ownership.PARTITION_COUNT
        )
        assert (await fleet.send(local))[0] == 200

    async def test_upstreams_of_a_domain_without_instances_get_requests(self, fleet):
        # Guards against capacity that is lost with the instances of its domain.
        remote = [await fleet.add_upstream(domain="b") for _ in range(2)]
        local = await start_gateway(fleet, "complete", "complete")
        for _ in range(30):
            assert (await fleet.send(local))[0] == 200
        assert all(upstream.executed for upstream in remote)

    async def test_upstreams_of_a_domain_that_lost_its_instances_get_requests(
        self, fleet, monkeypatch
    ):
        # Guards against upstreams that get no requests until the leases of all
        # instances of their domain have ended.
        monkeypatch.setattr(slot_requester, "RESPONSE_TIMEOUT_SECONDS", 0.02)
        remote = [await fleet.add_upstream(domain="b") for _ in range(2)]
        local = await start_gateway(fleet, "complete")
        for number in range(8):
            value = f'["127.0.0.1:{number + 1}", "b", 1000.0]'.encode()
            fleet.store.put(f"members/dead-{number}", value)
        await fleet.await_true(lambda: len(local.follower.members) == 9)
        for _ in range(6):
            sends = [fleet.send(local) for _ in range(8)]
            responses = await asyncio.gather(*sends)
            assert {status for status, _, _ in responses} == {200}
        assert all(upstream.executed for upstream in remote)


class TestReload:
    async def test_new_bounds_are_applied_without_a_restart(self, fleet):
        # Guards against a reload that has no effect.
        daemon = await start_gateway(fleet, "complete")
        new_settings = replace(
            daemon._settings, bounds=Bounds(key_withdrawal_seconds=0.0)
        )
        daemon._reload = lambda: Ok(new_settings)
        daemon.reload()
        assert (await fleet.send(daemon))[0] == 503
        assert not daemon.is_ready()

    async def test_invalid_settings_change_nothing(self, fleet):
        # Guards against invalid settings that stop a running process.
        daemon = await start_gateway(fleet, "complete")
        daemon._reload = lambda: Error(Failure("settings", "cannot be used"))
        daemon.reload()
        assert (await fleet.send(daemon))[0] == 200

    async def test_a_reload_signal_during_the_start_is_handled(self, fleet):
        # Guards against ignoring settings that changed after the start had read them.
        daemon = await start_gateway(fleet, "complete")
        new_settings = replace(
            daemon._settings, bounds=Bounds(key_withdrawal_seconds=0.0)
        )
        daemon._reload = lambda: Ok(new_settings)
        daemon._early_reloads._record_signal(signal.SIGHUP, None)
        daemon.apply_early_reload()
        assert not daemon.is_ready()
