import asyncio
import signal
from dataclasses import replace

import pytest
from expression import Error, Ok

from shallotspindle_core.failures import Failure
from shallotspindle_environment.clock import SystemClock
from shallotspindle_environment.interface import StoreFailure
from shallotspindle_gateway import borrowing, following, rights
from shallotspindle_gateway.conftest import (
    NAMES,
    SERVICE,
    MemoryStore,
    RawCaller,
    build_order,
    start_gateway,
)
from shallotspindle_gateway.records import Bounds
from shallotspindle_lending.records import Outcome

pytestmark = pytest.mark.usefixtures("no_settling")


class AwayStore(MemoryStore):
    """Store whose calls get no answer."""

    async def follow(self, revision, seconds):
        await asyncio.sleep(seconds)
        return Error(StoreFailure("store", "away"))

    async def read_all(self):
        return await self.follow(0, 1.0)


class RefusingStore(MemoryStore):
    """Store that refuses the instance that calls it through this object."""

    async def renew_lease(self, lease):
        return Error(StoreFailure("store", "refused"))

    async def follow(self, revision, seconds):
        return Error(StoreFailure("store", "refused"))

    async def read_all(self):
        return await self.follow(0, 1.0)


class TestAnswers:
    async def test_a_whole_answer_comes_back_unchanged(self, fleet):
        daemon = await start_gateway(fleet, "whole")
        status, headers, body = await fleet.send(
            daemon, "/orders/1", method="POST", body=b"x" * 100_000
        )
        assert (status, body) == (200, b"answer " + b"x" * 100_000)
        assert headers[NAMES.signature] == "s"

    async def test_a_body_that_waits_for_100_continue_is_asked_for(self, fleet):
        # Guards against uploads that their callers hold back.
        daemon = await start_gateway(fleet, "whole")
        caller = await RawCaller.connect(daemon)
        lines = ("Expect: 100-continue", "Connection: close")
        sent = build_order(b"scan", *lines)
        caller.write(sent[:-4])
        interim = await asyncio.wait_for(caller.read_head(), 2.0)
        assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
        caller.write(sent[-4:])
        answer = await caller.read()
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert answer.endswith(b"answer scan")

    async def test_an_upstream_sees_the_team_and_never_the_key(self, fleet):
        # Guards against a key that leaks, and against a team that the caller chose.
        daemon = await start_gateway(fleet, "whole")
        await fleet.send(daemon)
        (request,) = fleet.upstreams["u0"].requests
        assert request.headers[NAMES.team] == "museum"
        assert request.headers[NAMES.target] == "u0"
        assert "Authorization" not in request.headers
        assert 0 < int(request.headers[NAMES.deadline]) <= 2000

    @pytest.mark.parametrize("mode", ["cut", "crossed", "reset"])
    async def test_a_broken_answer_is_never_given(self, fleet, mode):
        # Guards against half an answer, or that of another request, as a success.
        daemon = await start_gateway(fleet, mode)
        status, _, body = await fleet.send(daemon, "/orders/1", method="POST")
        assert status == 502
        assert not body.startswith((b"answer ", b"half"))

    async def test_an_unknown_route_and_an_unknown_key_are_refused(self, fleet):
        daemon = await start_gateway(fleet, "whole")
        assert (await fleet.send(daemon, "/nowhere/"))[0] == 404
        assert (await fleet.send(daemon, "/reads"))[0] == 404
        assert (await fleet.send(daemon, key="k9"))[0] == 401
        assert not fleet.upstreams["u0"].executed


class TestRepeats:
    @pytest.mark.parametrize("mode", ["hang", "cut", "reset", "error"])
    async def test_a_read_is_sent_again(self, fleet, mode):
        # Guards against reads that are lost at a gray upstream.
        daemon = await start_gateway(fleet, mode, "whole")
        for _ in range(4):
            assert (await fleet.send(daemon))[0] == 200

    @pytest.mark.parametrize("mode", ["cut", "reset", "crossed"])
    async def test_an_order_that_may_have_run_is_not_sent_again(self, fleet, mode):
        # Guards against a deposit that is taken twice.
        daemon = await start_gateway(fleet, mode, mode)
        status, _, _ = await fleet.send(daemon, "/orders/1", method="POST")
        assert status == 502
        assert sum(len(item.executed) for item in fleet.upstreams.values()) == 1

    async def test_an_order_that_was_shed_is_sent_elsewhere(self, fleet):
        daemon = await start_gateway(fleet, "shed", "whole")
        for _ in range(4):
            assert (await fleet.send(daemon, "/orders/1", method="POST"))[0] == 200

    async def test_an_order_that_nobody_ran_is_refused_as_not_run(self, fleet):
        daemon = await start_gateway(fleet, "shed")
        status, headers, _ = await fleet.send(daemon, "/orders/1", method="POST")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not fleet.upstreams["u0"].executed

    async def test_a_caller_that_leaves_ends_its_read_at_the_upstream(self, fleet):
        # Guards against upstreams that work for callers that are gone.
        daemon = await start_gateway(fleet, "hang")
        upstream = fleet.upstreams["u0"]
        sending = asyncio.create_task(fleet.send(daemon))
        await fleet.await_true(lambda: upstream.executed)
        sending.cancel()
        await fleet.await_true(lambda: upstream.cancelled)

    async def test_an_order_that_waits_is_dropped_when_its_caller_leaves(self, fleet):
        # Guards against work that begins after its caller has gone.
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

    async def test_a_caller_that_leaves_its_long_body_blames_no_upstream(
        self, fleet, monkeypatch
    ):
        # Guards against a sound upstream that counts as crashed for a lost caller.
        seen = []
        give_back = borrowing.Borrower.give_back

        def note(borrower, want, slot, outcome, seconds):
            seen.append(outcome)
            give_back(borrower, want, slot, outcome, seconds)

        monkeypatch.setattr(borrowing.Borrower, "give_back", note)
        daemon = await start_gateway(fleet, "whole")
        caller = await RawCaller.connect(daemon)
        caller.write(build_order(bytes(3_000_000))[:2_000_000])
        await fleet.await_true(lambda: daemon._pipeline._running)
        await asyncio.sleep(0.3)
        caller.abort()
        await fleet.await_true(lambda: seen)
        assert seen == [Outcome.CANCELLED]

    async def test_a_long_body_goes_out_whole_or_not_at_all(self, fleet):
        # Guards against an order that runs with the end of its body only: the rest of
        # a long one was read for an upstream that shed it.
        daemon = await start_gateway(fleet, "shed", "whole", "shed")
        body = bytes(3 * 1024 * 1024)
        for _ in range(8):
            status, _, _ = await fleet.send(
                daemon, "/orders/1", method="POST", body=body
            )
            assert status in (200, 503)
        seen = fleet.upstreams["u1"].bodies
        assert seen
        assert {len(found) for found in seen} == {len(body)}


class TestKeys:
    async def test_a_withdrawn_key_stops_working(self, fleet):
        daemon = await start_gateway(fleet, "whole")
        assert (await fleet.send(daemon))[0] == 200
        fleet.configure(version=2, keys=("k2",))
        await fleet.await_true(lambda: daemon.follower.deployment.bundle.version == 2)
        assert (await fleet.send(daemon))[0] == 401
        assert (await fleet.send(daemon, key="k2"))[0] == 200

    async def test_no_key_works_when_the_store_is_silent_for_too_long(self, fleet):
        # Guards against a key that was withdrawn where this instance cannot see it.
        await fleet.add_upstream()
        daemon = await fleet.add_gateway(bounds=Bounds(key_seconds=1.6))
        fleet.store.is_unavailable = True
        await fleet.await_true(lambda: not daemon.is_ready())
        status, headers, _ = await fleet.send(daemon)
        assert status == 503
        assert "Retry-After" in headers

    async def test_an_older_configuration_never_comes_back(self, fleet):
        daemon = await start_gateway(fleet, "whole")
        fleet.configure(version=5)
        await fleet.await_true(lambda: daemon.follower.deployment.bundle.version == 5)
        fleet.configure(version=4, keys=())
        revision = fleet.store.revision
        await fleet.await_true(lambda: daemon.follower.revision >= revision)
        assert daemon.follower.deployment.bundle.version == 5

    async def test_a_watcher_that_lost_the_store_is_not_believed(self, fleet):
        # Guards against a change that comes too late because a watcher is cut off.
        for _ in range(3):
            await fleet.add_gateway()
        await fleet.await_true(
            lambda: all(len(d.follower.members) == 3 for d in fleet.daemons)
        )
        watchers = set(fleet.daemons[0].follower.rank_watchers())
        cut = [d for d in fleet.daemons if d.peers.address in watchers]
        others = [d for d in fleet.daemons if d.peers.address not in watchers]
        assert cut
        assert others
        for daemon in cut:
            daemon.follower.store = AwayStore()
        await asyncio.sleep(following.WATCH_SECONDS + 0.1)
        fleet.configure(version=2)
        await fleet.await_true(
            lambda: all(d.follower.deployment.bundle.version == 2 for d in others),
            seconds=2.0,
        )

    async def test_a_watcher_of_another_domain_stands_in(self, fleet):
        # Guards against calls at the store by everybody when a watcher is gone.
        for domain in ("a", "a", "b"):
            await fleet.add_gateway(domain)
        await fleet.await_true(
            lambda: all(len(d.follower.members) == 3 for d in fleet.daemons)
        )
        watchers = fleet.daemons[0].follower.rank_watchers()
        (near,) = [d for d in fleet.daemons[:2] if d.peers.address in watchers]
        (other,) = [d for d in fleet.daemons[:2] if d.peers.address not in watchers]
        await near.peers.stop()
        other.follower.store = AwayStore()
        fleet.configure(version=2)
        await fleet.await_true(
            lambda: other.follower.deployment.bundle.version == 2, seconds=2.0
        )

    async def test_a_change_that_the_watch_missed_is_found(self, fleet, monkeypatch):
        # Guards against a watch that goes on behind changes which it never told.
        monkeypatch.setattr(following, "REREAD_SECONDS", 0.5)
        daemon = await start_gateway(fleet, "whole")
        fleet.configure(version=2)
        fleet.store.events.clear()
        await fleet.await_true(lambda: daemon.follower.deployment.bundle.version == 2)


class TestOutages:
    async def test_an_outage_of_one_instance_keeps_no_upstream_that_left(self, fleet):
        # Guards against work for an upstream that left while the store refused one
        # instance only: its neighbours confirmed the store all the while.
        daemon = await start_gateway(fleet, "whole")
        follower, clock = daemon.follower, SystemClock()
        follower.store = RefusingStore()
        for _ in range(25):
            follower._confirm(clock.boottime(), clock.boottime())
            await asyncio.sleep(0.1)
        fleet.store.remove("upstreams/u0")
        follower.store = fleet.store
        await fleet.await_true(
            lambda: not follower.upstreams.list_usable(SERVICE), seconds=1.8
        )

    async def test_an_outage_for_all_keeps_entries_that_lapsed(self, fleet):
        # Guards against upstreams that are lost because they could not announce
        # themselves while the store was away.
        daemon = await start_gateway(fleet, "whole")
        fleet.store.is_unavailable = True
        await asyncio.sleep(2.8)
        fleet.store.remove("upstreams/u0")
        fleet.store.is_unavailable = False
        age = daemon.follower.find_age
        clock = SystemClock()
        await fleet.await_true(lambda: age(clock.boottime()) < 0.5)
        assert daemon.follower.upstreams.list_usable(SERVICE)


class TestRates:
    async def test_the_rate_holds_over_all_gateways(self, fleet):
        # Guards against instances that each give the whole rate.
        fleet.configure(version=2, rate=3.0)
        first = await start_gateway(fleet, "whole")
        second = await fleet.add_gateway(domain="b")
        await fleet.await_true(lambda: len(second.follower.members) == 2)
        started = asyncio.get_running_loop().time()
        statuses = [
            (await fleet.send(daemon))[0]
            for _ in range(15)
            for daemon in (first, second)
        ]
        passed = asyncio.get_running_loop().time() - started
        assert statuses.count(200) <= 3.0 * passed + 3.0 + 1.0
        assert statuses.count(429) > 0

    async def test_a_holder_without_its_lease_gives_no_token(self, fleet, monkeypatch):
        # Guards against two holders of one rate after a lease has ended.
        monkeypatch.setattr(rights, "LEASE_SECONDS", 0.5)
        daemon = await start_gateway(fleet, "whole")
        assert (await fleet.send(daemon))[0] == 200
        fleet.store.is_unavailable = True
        await asyncio.sleep(0.8)
        status, headers, _ = await fleet.send(daemon)
        assert status == 503
        assert "Retry-After" in headers
        fleet.store.is_unavailable = False
        await asyncio.sleep(0.5)
        assert (await fleet.send(daemon))[0] in (200, 429)

    async def test_a_right_that_another_took_keeps_no_other_right_vacant(
        self, fleet, monkeypatch
    ):
        # Guards against refusals after a loss of power: one right that a neighbour had
        # taken made every write of the others fail until the news of it came.
        monkeypatch.setattr(rights, "SETTLING_SECONDS", 60.0)
        await fleet.add_upstream()
        daemon = await fleet.add_gateway()
        fleet.store.hides_changes = True
        fleet.store.put(rights.RIGHT_KEYS[0], b'["10.0.0.9:1", "other"]')
        monkeypatch.setattr(rights, "SETTLING_SECONDS", 0.0)
        await fleet.await_true(lambda: set(rights.RIGHT_KEYS) <= set(fleet.store.items))
        held, _ = fleet.store.items[rights.RIGHT_KEYS[0]]
        assert held.value == b'["10.0.0.9:1", "other"]'
        assert daemon.is_ready()

    async def test_a_right_that_ended_before_it_was_heard_of_is_taken_again(
        self, fleet
    ):
        # Guards against a right that its former holder believes in and nobody holds.
        # Seed 109 of the soak: an outage between the write and its event.
        await fleet.add_upstream()
        fleet.store.hides_changes = True
        daemon = await fleet.add_gateway()
        right = rights.RIGHT_KEYS[0]
        await fleet.await_true(lambda: right in fleet.store.items)
        for lease in tuple(fleet.store.leases):
            await fleet.store.end_lease(lease)
        fleet.store.hides_changes = False
        clock = SystemClock()
        await fleet.await_true(
            lambda: (
                right in fleet.store.items
                and daemon.rights.find_gained(right, clock.boottime()) is not None
            )
        )

    async def test_a_lease_that_ended_at_the_store_gives_up_all_rights(self, fleet):
        daemon = await start_gateway(fleet, "whole")
        for lease in tuple(fleet.store.leases):
            await fleet.store.end_lease(lease)
        await fleet.await_true(
            lambda: len(daemon.follower.rights) == rights.RIGHT_COUNT
        )
        await fleet.await_true(lambda: len(daemon.follower.members) == 1)


class TestRenewals:
    async def test_a_refused_instance_keeps_its_rights_through_a_neighbour(
        self, fleet, monkeypatch
    ):
        # Guards against teams without a rate while the store turns one instance away.
        monkeypatch.setattr(rights, "LEASE_SECONDS", 1.0)
        daemon = await start_gateway(fleet, "whole")
        await fleet.add_gateway()
        await fleet.await_true(lambda: len(daemon.follower.members) == 2)
        daemon.rights._store = RefusingStore()
        await asyncio.sleep(2.0)
        now = SystemClock().boottime()
        assert daemon.rights.find_gained(rights.RIGHT_KEYS[0], now) is not None

    async def test_an_instance_without_neighbours_stops_at_the_end_of_its_lease(
        self, fleet, monkeypatch
    ):
        # Guards against a right that two instances act on.
        monkeypatch.setattr(rights, "LEASE_SECONDS", 0.6)
        daemon = await start_gateway(fleet, "whole")
        daemon.rights._store = RefusingStore()
        await asyncio.sleep(1.0)
        now = SystemClock().boottime()
        assert daemon.rights.find_gained(rights.RIGHT_KEYS[0], now) is None


class TestLenders:
    async def test_a_silent_lender_is_passed_over(self, fleet, monkeypatch):
        # Guards against requests that wait for a lender that was killed.
        monkeypatch.setattr(borrowing, "ANSWER_SECONDS", 0.02)
        daemon = await start_gateway(fleet, "whole")
        for number in range(4):
            value = f'["127.0.0.1:{number + 1}", "a", 1000.0]'.encode()
            fleet.store.put(f"members/dead-{number}", value)
        await fleet.await_true(lambda: len(daemon.follower.members) == 5)
        for _ in range(3):
            assert (await fleet.send(daemon))[0] == 200

    async def test_an_instance_without_lenders_remembers_what_fails(
        self, fleet, monkeypatch
    ):
        # Guards against an instance that is cut from its neighbours and goes on to
        # send orders to an upstream that answers all of them with an error.
        monkeypatch.setattr(borrowing, "ANSWER_SECONDS", 0.02)
        daemon = await start_gateway(fleet, "error", "whole", "whole")
        for number in range(6):
            value = f'["127.0.0.1:{number + 1}", "a", 1000.0]'.encode()
            fleet.store.put(f"members/dead-{number}", value)
        await fleet.await_true(lambda: len(daemon.follower.members) == 7)
        for _ in range(12):
            await fleet.send(daemon, "/orders/1", method="POST")
        assert len(fleet.upstreams["u0"].executed) <= 3

    async def test_a_domain_without_upstreams_borrows_elsewhere(self, fleet):
        await fleet.add_upstream(domain="b")
        far = await fleet.add_gateway(domain="b")
        near = await fleet.add_gateway(domain="a")
        await fleet.await_true(lambda: len(near.follower.members) == 2)
        await fleet.await_true(lambda: len(far.follower.rights) == rights.RIGHT_COUNT)
        assert (await fleet.send(near))[0] == 200

    async def test_upstreams_of_a_domain_without_instances_get_work(self, fleet):
        # Guards against capacity that is lost with the instances beside it.
        far = [await fleet.add_upstream(domain="b") for _ in range(2)]
        near = await start_gateway(fleet, "whole", "whole")
        for _ in range(30):
            assert (await fleet.send(near))[0] == 200
        assert all(upstream.executed for upstream in far)

    async def test_upstreams_of_a_domain_that_lost_its_power_get_work(
        self, fleet, monkeypatch
    ):
        # Guards against upstreams that get nothing until the leases of all instances
        # beside them have ended.
        monkeypatch.setattr(borrowing, "ANSWER_SECONDS", 0.02)
        far = [await fleet.add_upstream(domain="b") for _ in range(2)]
        near = await start_gateway(fleet, "whole")
        for number in range(8):
            value = f'["127.0.0.1:{number + 1}", "b", 1000.0]'.encode()
            fleet.store.put(f"members/dead-{number}", value)
        await fleet.await_true(lambda: len(near.follower.members) == 9)
        for _ in range(6):
            sends = [fleet.send(near) for _ in range(8)]
            answers = await asyncio.gather(*sends)
            assert {status for status, _, _ in answers} == {200}
        assert all(upstream.executed for upstream in far)


class TestReload:
    async def test_new_bounds_are_in_force_without_a_restart(self, fleet):
        # Guards against a reload that the process only notes.
        daemon = await start_gateway(fleet, "whole")
        found = replace(daemon._settings, bounds=Bounds(key_seconds=0.0))
        daemon._reload = lambda: Ok(found)
        daemon.reload()
        assert (await fleet.send(daemon))[0] == 503
        assert not daemon.is_ready()

    async def test_settings_that_cannot_be_used_change_nothing(self, fleet):
        daemon = await start_gateway(fleet, "whole")
        daemon._reload = lambda: Error(Failure("settings", "cannot be used"))
        daemon.reload()
        assert (await fleet.send(daemon))[0] == 200

    async def test_a_reload_asked_for_during_the_start_is_made_up_for(self, fleet):
        # Guards against settings that changed after a starting process had read them.
        daemon = await start_gateway(fleet, "whole")
        found = replace(daemon._settings, bounds=Bounds(key_seconds=0.0))
        daemon._reload = lambda: Ok(found)
        daemon._early._note(signal.SIGHUP, None)
        daemon.take_early_reload()
        assert not daemon.is_ready()
