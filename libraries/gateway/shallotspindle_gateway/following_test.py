import asyncio
import json
import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from expression import Error, Ok, Result

from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import FailureDomain
from shallotspindle_environment.clock import SystemClock
from shallotspindle_environment.interface import StoreFailure
from shallotspindle_gateway import following, peer_roster
from shallotspindle_gateway.fakes import SERVICE, DocumentDecoder
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.messages import ChangesRequest, ChangesResponse, ViewRequest
from shallotspindle_gateway.peer_responses import ReceivedResponse
from shallotspindle_gateway.peers import RequestTimedOut
from shallotspindle_gateway.records import Member
from shallotspindle_gateway.storage import Changes, Snapshot, StoredValue
from shallotspindle_registry.records import AnnouncedState
from shallotspindle_telemetry.unexpected import UnexpectedErrors

OWN_INSTANCE = Member("10.0.0.1:1", FailureDomain("a"), 1000.0)
UPSTREAM = StoredValue("upstreams/u0", b'["10.9.0.1:80", "a"]', 2)


def build_member(number: int, domain: str = "a", revision: int = 3) -> StoredValue:
    value = json.dumps([f"10.0.0.{number}:1", domain, 1000.0]).encode()
    return StoredValue(f"members/{number}", value, revision)


@dataclass
class ScriptedStore:
    """Store that returns one snapshot and then rejects calls or hangs by its mode.

    :param mode: ``ok``, ``refuse`` or ``hang``.
    """

    values: tuple[StoredValue, ...]
    revision: int = 10
    mode: str = "ok"
    era: int = 0
    calls: int = 0

    async def _fail(self, seconds: float) -> Result[Any, StoreFailure] | None:
        if self.mode == "ok":
            return None
        if self.mode == "hang":
            await asyncio.sleep(seconds)
        return Error(StoreFailure("store", self.mode))

    async def read_all(self):
        self.calls += 1
        return await self._fail(1.0) or Ok(
            Snapshot(self.values, self.revision, self.era)
        )

    async def watch(self, revision, seconds):
        self.calls += 1
        failed = await self._fail(seconds + 0.5)
        if failed is None and self.revision <= revision:
            await asyncio.sleep(seconds)
            failed = await self._fail(0.5)
        return failed or Ok(Changes((), self.revision, self.era))


Responder = Callable[[ChangesRequest], ChangesResponse | None]


@dataclass
class ScriptedPeers:
    """Peers that respond by address; the others do not respond."""

    responders: dict[str, Responder] = field(default_factory=dict)
    asked_addresses: list[str] = field(default_factory=list)

    def register(self, message_type: type, handler: Any) -> None:
        """Ignore the handler, since no peer sends requests."""

    async def request(self, address: str, message: Any, timeout: float) -> Any:
        self.asked_addresses.append(address)
        responder = self.responders.get(address)
        response = responder(message) if responder else None
        if response is None:
            await asyncio.sleep(timeout)
            return RequestTimedOut("peers", "no response", address)
        return response


def report_removals(*keys: str, revision: int = 20) -> Responder:
    """Return a peer that has just learned of removals."""
    events = tuple((key, b"", 0, True) for key in keys)

    def responder(request: ChangesRequest) -> ChangesResponse:
        reported = events if request.revision < revision else ()
        return ChangesResponse(revision, 0.1, 0.0, events=reported)

    return responder


def receive(response: ChangesResponse) -> ReceivedResponse:
    """Return a response as received from a peer just now."""
    return ReceivedResponse(response, "10.0.0.2:1", SystemClock().boottime())


def report_no_changes(response_age: float, revision: int = 10) -> Responder:
    """Return a peer that reports no changes.

    :param response_age: time since the store responded to the peer, in seconds.
    """
    return lambda _: ChangesResponse(revision, response_age + 0.1, response_age)


@asynccontextmanager
async def following_store(
    store: ScriptedStore, peers: ScriptedPeers
) -> AsyncIterator[StoreFollower]:
    """Run a follower that has read the store once."""
    follower = StoreFollower(
        OWN_INSTANCE,
        store,
        DocumentDecoder(),
        peers,
        SystemClock(),
        UnexpectedErrors(),
    )
    follower.set_loop(asyncio.get_running_loop())
    task = asyncio.create_task(follower.start())
    try:
        await await_true(lambda: follower.revision > 0, 2.0)
        yield follower
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task


async def await_true(check: Callable[[], bool], seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while not check():
            await asyncio.sleep(0.01)


def has_upstream(follower: StoreFollower) -> bool:
    return bool(follower.upstreams.list_usable(SERVICE))


class TestFormerMembers:
    async def test_instances_whose_membership_ended_are_still_asked(self):
        # Guards against an instance that asks nobody. After an outage in which all
        # leases ended, a peer reported that there were no members. The instance, whose
        # calls the store rejected, then learned of no change for 4.4 s.
        members = [build_member(number) for number in (2, 3)]
        store = ScriptedStore((UPSTREAM, *members))
        peers = ScriptedPeers()
        async with following_store(store, peers) as follower:
            members_left = report_removals(
                *(member.key for member in members), revision=20
            )
            peers.responders = {"10.0.0.2:1": members_left, "10.0.0.3:1": members_left}
            store.mode = "refuse"
            await await_true(lambda: not follower.members, 3.0)
            upstream_left = report_removals(UPSTREAM.key, revision=30)
            peers.responders = {
                "10.0.0.2:1": upstream_left,
                "10.0.0.3:1": upstream_left,
            }
            await await_true(lambda: not has_upstream(follower), 2.0)

    async def test_present_members_are_asked_before_former_ones(self):
        # Guards against requests to stopped instances while running ones respond.
        members = [build_member(number) for number in (2, 3, 4, 5)]
        store = ScriptedStore((UPSTREAM, *members))
        peers = ScriptedPeers()
        async with following_store(store, peers) as follower:
            for member in members[2:]:
                follower._apply_removal(member.key, SystemClock().boottime())
            assert set(follower.roster.list_peers_to_ask()) == {
                "10.0.0.2:1",
                "10.0.0.3:1",
            }

    async def test_members_that_left_long_ago_are_forgotten(self, monkeypatch):
        # Guards against a list that grows with every former member.
        monkeypatch.setattr(peer_roster, "FORMER_MEMBER_TTL_SECONDS", 0.1)
        member = build_member(2)
        store = ScriptedStore((UPSTREAM, member))
        async with following_store(store, ScriptedPeers()) as follower:
            follower._apply_removal(member.key, SystemClock().boottime())
            await asyncio.sleep(0.2)
            assert not follower.roster.list_peers_to_ask()


class TestOutages:
    async def test_a_store_that_responded_to_peers_was_not_unavailable(self):
        # Guards against keeping entries that disappeared although the store rejected
        # only this instance. The wait of its own watch and of its peer's watch counted
        # as time without a response of the store.
        store = ScriptedStore((UPSTREAM, build_member(2, "b")))
        peers = ScriptedPeers({"10.0.0.2:1": report_no_changes(response_age=0.9)})
        async with following_store(store, peers) as follower:
            store.mode = "refuse"
            await asyncio.sleep(
                following.WATCH_SECONDS + following.MIN_OUTAGE_SECONDS + 1
            )
            assert follower._failing_since is not None
            store.mode = "ok"
            await await_true(lambda: follower._failing_since is None, 2.0)
            assert (
                follower.upstreams.get_remaining_grace(SystemClock().boottime()) == 0.0
            )

    async def test_a_store_that_responded_to_no_instance_was_unavailable(self):
        # Guards against dropping upstreams that could not announce themselves during
        # the outage.
        store = ScriptedStore((UPSTREAM, build_member(2, "b")))
        last_response_at = SystemClock().boottime() + following.WATCH_SECONDS

        def report_response_age(request: ChangesRequest) -> ChangesResponse:
            response_age = max(0.0, SystemClock().boottime() - last_response_at)
            return ChangesResponse(10, response_age + 0.1, response_age)

        peers = ScriptedPeers({"10.0.0.2:1": report_response_age})
        async with following_store(store, peers) as follower:
            store.mode = "refuse"
            await asyncio.sleep(following.WATCH_SECONDS + 2.0)
            store.mode = "ok"
            await await_true(lambda: follower._failing_since is None, 2.0)
            assert (
                follower.upstreams.get_remaining_grace(SystemClock().boottime()) > 1.0
            )

    async def test_an_outage_covered_by_a_single_call_is_noticed(self, monkeypatch):
        # Guards against dropping entries at once that expired in an outage. The only
        # call that failed ended just before the store was available again.
        monkeypatch.setattr(following, "WATCH_SECONDS", 1.5)
        store = ScriptedStore((UPSTREAM,))
        async with following_store(store, ScriptedPeers()) as follower:
            store.mode = "hang"
            await await_true(lambda: follower._failing_since is not None, 4.0)
            store.mode = "ok"
            store.revision += 1
            await await_true(lambda: follower._failing_since is None, 4.0)
            assert (
                follower.upstreams.get_remaining_grace(SystemClock().boottime()) > 1.0
            )


@dataclass
class RecoveringStore(ScriptedStore):
    """Store whose reads take until ``may_read`` is set after an outage.

    :param events: what a watch reports after the outage.
    """

    events: tuple[StoredValue | str, ...] = ()
    may_read: asyncio.Event = field(default_factory=asyncio.Event)

    async def read_all(self):
        if self.revision > 10:
            await self.may_read.wait()
        return await super().read_all()

    async def watch(self, revision, seconds):
        changes = await super().watch(revision, seconds)
        return changes.map(lambda ok: Changes(self.events, ok.revision))


def build_configuration(version: int, revision: int) -> StoredValue:
    document = {"version": version, "keys": [f"key-{version}"], "rate": 1.0}
    return StoredValue("configuration", json.dumps(document).encode(), revision)


class TestConfirmations:
    # Guards against a withdrawn key that works again for a moment: the view was
    # confirmed by the first response after an outage, before what it told was applied.

    async def measure_ages(self, events) -> list[float]:
        """Return the ages told of the old view after the store responds again."""
        store = RecoveringStore((build_configuration(1, 2),))
        async with following_store(store, ScriptedPeers()) as follower:
            store.mode = "refuse"
            await asyncio.sleep(following.MIN_UNREACHABLE_SECONDS + 1.0)
            store.values = (build_configuration(2, 20),)
            store.events, store.revision, store.mode = events, 20, "ok"
            ages = []
            until = SystemClock().boottime() + 1.5
            while SystemClock().boottime() < until:
                if follower.configuration.bundle.version == 1:
                    freshness = follower._read_freshness()
                    ages += [freshness.age_seconds]
                    ages += [freshness.store_response_age_seconds]
                await asyncio.sleep(0.01)
            store.may_read.set()
            await await_true(lambda: follower.configuration.bundle.version == 2, 2.0)
            now = SystemClock().boottime()
            await await_true(lambda: follower._confirmed_at > now - 2.0, 2.0)
        return ages

    async def test_a_skipped_change_is_read_before_the_view_is_confirmed(self):
        ages = await self.measure_ages(())
        assert ages
        assert min(ages) >= following.MIN_UNREACHABLE_SECONDS

    async def test_changes_are_applied_before_the_view_is_confirmed(self):
        ages = await self.measure_ages((build_configuration(2, 20),))
        assert min(ages) >= following.MIN_UNREACHABLE_SECONDS

    async def test_a_failed_read_after_an_outage_is_repeated(self):
        # Guards against a view that a watch confirms although it may lack changes.
        store = ScriptedStore((build_configuration(1, 2),))
        follower = TestOutdatedChanges().follow(revision=10)
        follower.store = store
        follower._failing_since = SystemClock().boottime() - 5.0
        store.mode = "refuse"
        await follower._handle_watch_response(Changes((), 10), SystemClock().boottime())
        assert follower._confirmed_at < 0
        store.mode = "ok"
        await follower._watch()
        assert follower.configuration.bundle.version == 1
        assert follower._confirmed_at > 0


# Time in which an instance must learn that an upstream left. Requests whose slot was
# granted before that, and requests to terminated peers, take the rest of the 2 s
# allowed.
MAX_CHANGE_DELAY_SECONDS = 1.7


class TestOutdatedChanges:
    def follow(self, *events, revision):
        follower = StoreFollower(
            OWN_INSTANCE,
            ScriptedStore(()),
            DocumentDecoder(),
            ScriptedPeers(),
            SystemClock(),
            UnexpectedErrors(),
        )
        follower._apply(Changes((UPSTREAM,), 10))
        follower._apply_unless_outdated(Changes(events, revision))
        return follower

    def test_an_outdated_peer_does_not_restore_an_upstream(self):
        # Guards against requests to a removed upstream. The instance's watch reported
        # the removal while an older response of a peer was on its way.
        put = StoredValue(UPSTREAM.key, UPSTREAM.value, 11)
        follower = self.follow(put, UPSTREAM.key, revision=12)
        event = (put.key, put.value, 11, False)
        response = ChangesResponse(11, 0.1, 0.1, events=(event,))
        follower._apply_response(receive(response))
        assert not has_upstream(follower)

    def test_an_outdated_peer_removes_no_upstream(self):
        # Guards against losing an upstream that announced itself again.
        put = StoredValue(UPSTREAM.key, UPSTREAM.value, 12)
        follower = self.follow(UPSTREAM.key, put, revision=12)
        response = ChangesResponse(11, 0.1, 0.1, events=((put.key, b"", 0, True),))
        follower._apply_response(receive(response))
        assert has_upstream(follower)


class TestUnresponsiveStore:
    async def test_a_watcher_learns_of_a_change_while_its_call_hangs(self):
        # Guards against a change that waits for the end of a call without a response.
        store = ScriptedStore((UPSTREAM, build_member(2, "b")))
        peers = ScriptedPeers({"10.0.0.2:1": report_removals(UPSTREAM.key)})
        async with following_store(store, peers) as follower:
            store.mode = "hang"
            await await_true(
                lambda: not has_upstream(follower), MAX_CHANGE_DELAY_SECONDS
            )

    async def test_an_instance_whose_watchers_lost_the_store_learns_of_a_change(
        self, monkeypatch
    ):
        # Guards against a hanging call that delays the requests to peers. All watchers
        # and this instance lose the store at once; one peer still reaches it.
        members = [build_member(number) for number in (2, 3)]
        store = ScriptedStore((UPSTREAM, *members))
        started_at = SystemClock().boottime()

        def report_growing_response_age(request: ChangesRequest) -> ChangesResponse:
            response_age = SystemClock().boottime() - started_at
            return ChangesResponse(10, response_age, response_age)

        peers = ScriptedPeers({"10.0.0.2:1": report_growing_response_age})
        async with following_store(store, peers) as follower:
            monkeypatch.setattr(
                follower.roster, "rank_watchers", lambda *_: ["10.0.0.2:1"]
            )
            store.mode = "hang"
            peers.responders["10.0.0.3:1"] = report_removals(UPSTREAM.key)
            await await_true(
                lambda: not has_upstream(follower), MAX_CHANGE_DELAY_SECONDS
            )

    async def test_a_watcher_that_the_store_rejects_is_not_waited_for(self):
        # Guards against a change that waits until the last response of a watcher is
        # old, although the watcher knows that it learns of nothing.
        members = (build_member(2), build_member(4, "b"))
        store = ScriptedStore((UPSTREAM, *members))
        failing = ChangesResponse(10, 0.1, 0.0, is_store_failing=True)
        peers = ScriptedPeers({"10.0.0.2:1": lambda _: failing})
        async with following_store(store, peers) as follower:
            follower.roster.rank_watchers = lambda domain=None: [
                "10.0.0.4:1" if domain == "b" else "10.0.0.2:1"
            ]
            calls = store.calls
            peers.responders["10.0.0.4:1"] = report_removals(UPSTREAM.key)
            await await_true(lambda: not has_upstream(follower), 1.0)
            assert store.calls == calls

    async def test_a_rejected_instance_says_so_until_a_peer_has_a_later_response(self):
        # Guards against peers that leave a watcher which learns of changes from others.
        store = ScriptedStore((UPSTREAM, build_member(2, "b")))
        async with following_store(store, ScriptedPeers()) as follower:
            store.mode = "refuse"
            await await_true(lambda: follower._failing_since is not None, 2.0)
            assert follower._read_freshness().is_store_failing
            follower._apply_response(receive(ChangesResponse(10, 0.0, 0.0)))
            assert not follower._read_freshness().is_store_failing

    async def test_a_long_list_of_changes_arrives_at_once(self):
        # Guards against a configuration behind changes that take a poll for each part.
        store = ScriptedStore((UPSTREAM, build_member(2)))

        def report_one_change(request: ChangesRequest) -> ChangesResponse:
            revision = min(request.revision + 1, 50)
            events = ((UPSTREAM.key, b"", 0, True),) if revision == 50 else ()
            is_complete = revision == 50
            return ChangesResponse(
                revision, 0.1, 0.0, events=events, is_complete=is_complete
            )

        peers = ScriptedPeers({"10.0.0.2:1": report_one_change})
        async with following_store(store, peers) as follower:
            follower.roster.rank_watchers = lambda *_: ["10.0.0.2:1"]
            await await_true(lambda: not has_upstream(follower), 1.0)

    async def test_peers_are_asked_until_one_is_fresh(self):
        # Guards against a stale response that ends the search. Peers of its own domain
        # knew only what this instance knew, and the one that reached the store was not
        # asked.
        members = (build_member(2), build_member(3), build_member(4, "b"))
        store = ScriptedStore((UPSTREAM, *members))
        stale = report_no_changes(response_age=2.0)
        peers = ScriptedPeers(
            {
                "10.0.0.2:1": stale,
                "10.0.0.3:1": stale,
                "10.0.0.4:1": report_removals(UPSTREAM.key),
            }
        )
        async with following_store(store, peers) as follower:
            follower.roster.rank_watchers = lambda *_: [OWN_INSTANCE.address]
            store.mode = "refuse"
            await await_true(lambda: not has_upstream(follower), 2.5)

    async def test_the_store_is_not_called_while_a_watcher_is_fresh(self):
        # Guards against calls to the store by every instance.
        store = ScriptedStore((UPSTREAM, build_member(2)))
        peers = ScriptedPeers({"10.0.0.2:1": report_no_changes(response_age=0.5)})
        async with following_store(store, peers) as follower:
            follower.roster.rank_watchers = lambda *_: ["10.0.0.2:1"]
            await asyncio.sleep(following.WATCH_SECONDS + 0.5)
            calls = store.calls
            await asyncio.sleep(1.0)
            assert store.calls == calls

    async def test_a_store_that_rejects_calls_is_called_twice_a_second(self):
        # Guards against the cost of rejected calls: of 44 instances, 21 that the store
        # rejected for 20 s made 4171 calls in 32 s.
        store = ScriptedStore((UPSTREAM, build_member(2, "b")))
        peers = ScriptedPeers({"10.0.0.2:1": report_no_changes(response_age=0.5)})
        async with following_store(store, peers) as follower:
            store.mode = "refuse"
            await await_true(lambda: follower._failing_since is not None, 2.0)
            calls = store.calls
            await asyncio.sleep(2.0)
            assert store.calls - calls <= 5

    async def test_only_watchers_call_a_store_that_responds_to_nobody_often(self):
        # Guards against an outage in which each of hundreds of instances calls the
        # store twice a second.
        async with following_store(ScriptedStore((UPSTREAM,)), ScriptedPeers()) as own:
            own.roster.rank_watchers = lambda *_: ["10.0.0.2:1"]
            delays = [own._choose_retry_delay() for _ in range(4)]
            assert delays == [0.5, 1.0, 2.0, 2.0]
            own._record_store_response(0.0)
            assert own._choose_retry_delay() == 0.5
            own.roster.rank_watchers = lambda *_: [OWN_INSTANCE.address]
            assert {own._choose_retry_delay() for _ in range(4)} == {0.5}

    async def test_an_outdated_response_of_the_store_reverts_nothing(self):
        # Guards against a slow response that reverts what a peer reported meanwhile.
        store = ScriptedStore((UPSTREAM, build_member(2, "b")))
        async with following_store(store, ScriptedPeers()) as follower:
            added = StoredValue("upstreams/u1", UPSTREAM.value, 20)
            follower._apply(Changes((added,), 20))
            follower._apply_snapshot(Snapshot(store.values, 10))
            follower._apply_unless_outdated(Changes(("upstreams/u1",), 15))
            assert len(follower.upstreams.list_usable(SERVICE)) == 2


class RejectingDecoder(DocumentDecoder):
    """Decoder that finds a fault in each configuration whose version is odd."""

    def decode_configuration(self, data):
        decoded = super().decode_configuration(data)
        if decoded.ok.bundle.version % 2:
            return Error((Failure("configuration", "odd"), Failure("test", "odd")))
        return decoded


class TestRejectedConfigurations:
    def test_a_rejected_configuration_is_reported_until_a_valid_one_arrives(self):
        # Guards against an instance that serves an older version and tells nobody.
        follower = StoreFollower(
            OWN_INSTANCE,
            ScriptedStore(()),
            RejectingDecoder(),
            ScriptedPeers(),
            SystemClock(),
            UnexpectedErrors(),
        )
        observed = []
        for version in (2, 3, 4):
            document = json.dumps({"version": version, "keys": [], "rate": 1.0})
            stored = StoredValue("configuration", document.encode(), version)
            follower._apply(Changes((stored,), version))
            active_version = follower.configuration.bundle.version
            observed.append((active_version, follower.is_configuration_rejected))
        assert observed == [(2, False), (2, True), (4, False)]


class DrainingDecoder(DocumentDecoder):
    """Decoder to which announcements in failure domain ``d`` are draining."""

    def decode_announcement(self, key, data):
        decoded = super().decode_announcement(key, data)
        if decoded.ok.domain == "d":
            return decoded.map(lambda ok: replace(ok, state=AnnouncedState.DRAINING))
        return decoded


class TestEras:
    def follow(self, *values: StoredValue, mode: str = "ok") -> StoreFollower:
        """Return a follower of a store in era 1 that has read values in era 0."""
        follower = TestOutdatedChanges().follow(*values, revision=10)
        follower._decoder = DrainingDecoder()
        follower.store = ScriptedStore((UPSTREAM,), revision=5, mode=mode, era=1)
        return follower

    async def test_a_newer_era_is_read_whole_before_the_view_is_confirmed(self):
        # Guards against a confirmed view that lacks what the store holds now. Its
        # revisions are lower, so each response looked outdated.
        follower = self.follow(build_configuration(1, 9), mode="refuse")
        follower._full_read_at = SystemClock().boottime()
        follower._poll_watchers = partial(asyncio.sleep, 0, True)
        await follower._poll()
        assert follower._must_watch.is_set()
        await follower._handle_watch_response(Changes(("upstreams/u1",), 12, 1), 1.0)
        assert (follower.era, follower._confirmed_at) == (0, -math.inf)
        follower.store.mode = "ok"
        await follower._watch()
        assert (follower.era, follower.revision) == (1, 5)
        assert follower._confirmed_at > 0

    async def test_what_is_of_an_earlier_era_changes_and_confirms_nothing(self):
        # Guards against a view of an older era that replaces one of a newer era.
        follower = self.follow()
        await follower._read_all()
        confirmed_at = follower._confirmed_at
        event = (UPSTREAM.key, b"", 0, True)
        for is_view in (False, True):
            response = ChangesResponse(20, -9.0, -9.0, events=(event,) * (not is_view))
            received = replace(receive(response), is_view=is_view)
            assert not follower._apply_response(received)
        follower.store = ScriptedStore((), revision=20)
        await follower._read_all()
        assert has_upstream(follower)
        assert follower._confirmed_at == confirmed_at

    async def test_only_all_values_of_a_peer_begin_an_era(self):
        # Guards against changes between two eras that are applied to the wrong values,
        # and against an instance that the store rejects and that learns of no era.
        follower = self.follow(mode="refuse")
        follower.store.era = 0
        follower._full_read_at = SystemClock().boottime()
        received = receive(ChangesResponse(5, 0.1, 0.1, era=1))
        assert not follower._apply_response(received)
        assert follower._is_full_read_due(SystemClock().boottime())
        assert follower._apply_response(replace(received, is_view=True))
        assert (follower.era, follower._confirmed_at > 0) == (1, True)

    async def test_requests_of_another_era_get_no_changes(self):
        # Guards against builds without eras that confirm a view which they reject, and
        # against an era that an instance learns of only from the store.
        follower = self.follow()
        await follower._read_all()
        assert follower._handle_view_request("p:1", ViewRequest(10)) is None
        follower._peers.fits_datagram = lambda _: True
        response = follower._handle_request("p:1", ChangesRequest(10))
        assert response.is_history_missing
        assert follower._handle_view_request("p:1", ViewRequest(10, 0)).summary.era == 1
        follower._handle_request("p:1", ChangesRequest(3, 2))
        assert follower._is_full_read_due(SystemClock().boottime())

    async def test_a_withdrawn_key_stays_withdrawn(self):
        # Guards against an older configuration that the store shows again.
        follower = self.follow(build_configuration(2, 12))
        follower.store.values = (build_configuration(1, 4),)
        await follower._read_all()
        assert follower.configuration.bundle.version == 2
        follower._apply(Changes((build_configuration(3, 6),), 6, 1))
        assert follower.configuration.bundle.version == 3

    async def test_a_draining_upstream_stays_out_until_it_is_announced_again(self):
        # Guards against requests to an upstream that is about to stop.
        follower = self.follow()
        draining = StoredValue(UPSTREAM.key, b'["10.9.0.1:80", "d"]', 12)
        follower._apply(Changes((draining,), 12))
        await follower._read_all()
        assert not has_upstream(follower)
        follower._apply(Changes((replace(UPSTREAM, revision=6),), 6, 1))
        assert has_upstream(follower)

    async def test_an_evacuation_that_the_store_lost_ends_only_after_a_while(self):
        # Guards against requests to an evacuated domain before the operator has written
        # the evacuation again, and against one that nobody can end.
        follower = self.follow(StoredValue("evacuations/d", b"", 12))
        await follower._read_all()
        assert set(follower.upstreams.evacuated_domains) == {"d"}
        for key in follower._retained_keys.take_expired(math.inf):
            follower._apply_removal(key, 0.0)
        assert not follower.upstreams.evacuated_domains

    async def test_what_the_store_lost_is_kept_for_a_while(self):
        # Guards against a service without upstreams until they announce themselves, and
        # against keys of the operator that end before they are written again.
        evacuation = StoredValue("evacuations/d", b"", 12)
        follower = self.follow(build_configuration(2, 12), evacuation)
        follower.store.values = ()
        await follower._read_all()
        assert has_upstream(follower)
        assert follower.configuration.bundle.version == 2
        assert follower._retained_keys._keys == {evacuation.key}
        follower._apply(Changes((replace(evacuation, revision=6),), 6, 1))
        assert follower._retained_keys.take_expired(math.inf) == []
