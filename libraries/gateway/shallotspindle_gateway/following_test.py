import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Ok, Result

from shallotspindle_core.identifiers import FailureDomain
from shallotspindle_environment.clock import SystemClock
from shallotspindle_environment.interface import StoreFailure
from shallotspindle_gateway import following
from shallotspindle_gateway.conftest import SERVICE, DocumentDecoder
from shallotspindle_gateway.following import Follower
from shallotspindle_gateway.messages import ChangesAsked, ChangesTold
from shallotspindle_gateway.peers import Unanswered
from shallotspindle_gateway.records import Member
from shallotspindle_gateway.storage import Changes, Snapshot, Stored

OWN = Member("10.0.0.1:1", FailureDomain("a"), 1000.0)
UPSTREAM = Stored("upstreams/u0", b'["10.9.0.1:80", "a"]', 2)


def store_member(number: int, domain: str = "a", revision: int = 3) -> Stored:
    value = json.dumps([f"10.0.0.{number}:1", domain, 1000.0]).encode()
    return Stored(f"members/{number}", value, revision)


@dataclass
class ScriptedStore:
    """Store that tells one snapshot, then refuses or hangs for as long as told.

    :param mode: ``ok``, ``refuse`` or ``hang``.
    """

    items: tuple[Stored, ...]
    revision: int = 10
    mode: str = "ok"
    calls: int = 0

    async def _fail(self, seconds: float) -> Result[Any, StoreFailure] | None:
        if self.mode == "ok":
            return None
        if self.mode == "hang":
            await asyncio.sleep(seconds)
        return Error(StoreFailure("store", self.mode))

    async def read_all(self):
        self.calls += 1
        return await self._fail(1.0) or Ok(Snapshot(self.items, self.revision))

    async def follow(self, revision, seconds):
        self.calls += 1
        failed = await self._fail(seconds + 0.5)
        if failed is None and self.revision <= revision:
            await asyncio.sleep(seconds)
            failed = await self._fail(0.5)
        return failed or Ok(Changes((), self.revision))


Answer = Callable[[ChangesAsked], ChangesTold | None]


@dataclass
class ScriptedPeers:
    """Peers that answer by address; the others are silent."""

    answers: dict[str, Answer] = field(default_factory=dict)
    asked: list[str] = field(default_factory=list)

    def register(self, message_type: type, handler: Any) -> None:
        """Take no handler: nobody asks."""

    async def request(self, address: str, message: Any, timeout: float) -> Any:
        self.asked.append(address)
        answer = self.answers.get(address)
        told = answer(message) if answer else None
        if told is None:
            await asyncio.sleep(timeout)
            return Unanswered("peers", "silent", address)
        return told


def tell_removals(*keys: str, revision: int = 20) -> Answer:
    """Return an answer of a neighbour that has just heard of removals."""
    events = tuple((key, b"", 0, True) for key in keys)

    def answer(asked: ChangesAsked) -> ChangesTold:
        news = events if asked.revision < revision else ()
        return ChangesTold(revision, 0.1, 0.0, events=news)

    return answer


def tell_nothing(silence: float, revision: int = 10) -> Answer:
    """Return an answer of a neighbour to which the store has been silent."""
    return lambda _: ChangesTold(revision, silence + 0.1, silence)


@asynccontextmanager
async def following_store(
    store: ScriptedStore, peers: ScriptedPeers
) -> AsyncIterator[Follower]:
    """Run a follower that has read the store once."""
    follower = Follower(OWN, store, DocumentDecoder(), peers, SystemClock())
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


def has_upstream(follower: Follower) -> bool:
    return bool(follower.upstreams.list_usable(SERVICE))


class TestLapsedMembers:
    async def test_instances_whose_membership_lapsed_are_still_asked(self):
        # Guards against an instance that asks nobody: after an outage in which all
        # leases ended a neighbour told that there were no members, and the instance
        # that the store turned away heard nothing for 4.4 s.
        members = [store_member(number) for number in (2, 3)]
        store = ScriptedStore((UPSTREAM, *members))
        peers = ScriptedPeers()
        async with following_store(store, peers) as follower:
            gone = tell_removals(*(item.key for item in members), revision=20)
            peers.answers = {"10.0.0.2:1": gone, "10.0.0.3:1": gone}
            store.mode = "refuse"
            await await_true(lambda: not follower.members, 3.0)
            left = tell_removals(UPSTREAM.key, revision=30)
            peers.answers = {"10.0.0.2:1": left, "10.0.0.3:1": left}
            await await_true(lambda: not has_upstream(follower), 2.0)

    async def test_members_of_now_are_asked_before_those_that_lapsed(self):
        # Guards against questions to instances that stopped while others answer.
        members = [store_member(number) for number in (2, 3, 4, 5)]
        store = ScriptedStore((UPSTREAM, *members))
        peers = ScriptedPeers()
        async with following_store(store, peers) as follower:
            for item in members[2:]:
                follower._forget(item.key, SystemClock().boottime())
            assert set(follower.list_neighbours()) == {"10.0.0.2:1", "10.0.0.3:1"}

    async def test_members_that_lapsed_long_ago_are_forgotten(self, monkeypatch):
        # Guards against a list of everybody who was ever a member.
        monkeypatch.setattr(following, "REMEMBERED_SECONDS", 0.1)
        item = store_member(2)
        store = ScriptedStore((UPSTREAM, item))
        async with following_store(store, ScriptedPeers()) as follower:
            follower._forget(item.key, SystemClock().boottime())
            await asyncio.sleep(0.2)
            assert not follower.list_neighbours()


class TestOutages:
    async def test_a_store_that_answered_neighbours_was_not_away(self):
        # Guards against vanished entries that are kept although the store only turned
        # this instance away: the wait of its own watch and of its neighbour's watch
        # counted as silence of the store.
        store = ScriptedStore((UPSTREAM, store_member(2, "b")))
        peers = ScriptedPeers({"10.0.0.2:1": tell_nothing(silence=0.9)})
        async with following_store(store, peers) as follower:
            store.mode = "refuse"
            await asyncio.sleep(following.WATCH_SECONDS + following.OUTAGE_SECONDS + 1)
            assert follower._failing_since is not None
            store.mode = "ok"
            await await_true(lambda: follower._failing_since is None, 2.0)
            assert (
                follower.upstreams.get_remaining_grace(SystemClock().boottime()) == 0.0
            )

    async def test_a_store_that_answered_nobody_was_away(self):
        # Guards against upstreams that are lost because they could not announce
        # themselves.
        store = ScriptedStore((UPSTREAM, store_member(2, "b")))
        heard_at = SystemClock().boottime() + following.WATCH_SECONDS

        def tell_age(asked: ChangesAsked) -> ChangesTold:
            silence = max(0.0, SystemClock().boottime() - heard_at)
            return ChangesTold(10, silence + 0.1, silence)

        peers = ScriptedPeers({"10.0.0.2:1": tell_age})
        async with following_store(store, peers) as follower:
            store.mode = "refuse"
            await asyncio.sleep(following.WATCH_SECONDS + 2.0)
            store.mode = "ok"
            await await_true(lambda: follower._failing_since is None, 2.0)
            assert (
                follower.upstreams.get_remaining_grace(SystemClock().boottime()) > 1.0
            )

    async def test_an_outage_that_one_call_spanned_is_noticed(self, monkeypatch):
        # Guards against entries that lapsed in an outage and are dropped at once: the
        # only call that failed ended just before the store came back.
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


# Largest time in which an instance may learn that an upstream left. Requests that were
# decided before that, and questions to dead neighbours, take the rest of 2 s.
NEWS_SECONDS = 1.7


class TestOlderAnswers:
    def follow(self, *events, revision):
        follower = Follower(
            OWN, ScriptedStore(()), DocumentDecoder(), ScriptedPeers(), SystemClock()
        )
        follower._apply(Changes((UPSTREAM,), 10))
        follower._take_changes(Changes(events, revision))
        return follower

    def test_a_neighbour_that_knows_less_brings_no_upstream_back(self):
        # Guards against work for an upstream whose removal the own watch told while a
        # neighbour's older answer was on its way.
        put = Stored(UPSTREAM.key, UPSTREAM.value, 11)
        follower = self.follow(put, UPSTREAM.key, revision=12)
        event = (put.key, put.value, 11, False)
        told = ChangesTold(11, 0.1, 0.1, events=(event,))
        follower._take(told, SystemClock().boottime())
        assert not has_upstream(follower)

    def test_a_neighbour_that_knows_less_removes_nothing(self):
        put = Stored(UPSTREAM.key, UPSTREAM.value, 12)
        follower = self.follow(UPSTREAM.key, put, revision=12)
        told = ChangesTold(11, 0.1, 0.1, events=((put.key, b"", 0, True),))
        follower._take(told, SystemClock().boottime())
        assert has_upstream(follower)


class TestSilentStore:
    async def test_a_watcher_hears_of_a_change_while_its_call_hangs(self):
        # Guards against news that waits for the end of a call without an answer.
        store = ScriptedStore((UPSTREAM, store_member(2, "b")))
        peers = ScriptedPeers({"10.0.0.2:1": tell_removals(UPSTREAM.key)})
        async with following_store(store, peers) as follower:
            store.mode = "hang"
            await await_true(lambda: not has_upstream(follower), NEWS_SECONDS)

    async def test_an_instance_whose_watchers_lost_the_store_hears_of_a_change(
        self, monkeypatch
    ):
        # Guards against a call that hangs before the neighbours are asked: all watchers
        # and this instance lost the store at once, one neighbour has it.
        members = [store_member(number) for number in (2, 3)]
        store = ScriptedStore((UPSTREAM, *members))
        started = SystemClock().boottime()

        def tell_growing(asked: ChangesAsked) -> ChangesTold:
            silence = SystemClock().boottime() - started
            return ChangesTold(10, silence, silence)

        peers = ScriptedPeers({"10.0.0.2:1": tell_growing})
        async with following_store(store, peers) as follower:
            monkeypatch.setattr(follower, "rank_watchers", lambda *_: ["10.0.0.2:1"])
            store.mode = "hang"
            peers.answers["10.0.0.3:1"] = tell_removals(UPSTREAM.key)
            await await_true(lambda: not has_upstream(follower), NEWS_SECONDS)

    async def test_neighbours_are_asked_until_one_is_fresh(self):
        # Guards against old news that ends the search: near neighbours knew what this
        # instance knew, and the one that had the store was not asked.
        members = (store_member(2), store_member(3), store_member(4, "b"))
        store = ScriptedStore((UPSTREAM, *members))
        stale = tell_nothing(silence=2.0)
        peers = ScriptedPeers(
            {
                "10.0.0.2:1": stale,
                "10.0.0.3:1": stale,
                "10.0.0.4:1": tell_removals(UPSTREAM.key),
            }
        )
        async with following_store(store, peers) as follower:
            follower.rank_watchers = lambda *_: [OWN.address]
            store.mode = "refuse"
            await await_true(lambda: not has_upstream(follower), 2.5)

    async def test_the_store_is_not_called_while_a_watcher_is_fresh(self):
        # Guards against calls at the store by every instance.
        store = ScriptedStore((UPSTREAM, store_member(2)))
        peers = ScriptedPeers({"10.0.0.2:1": tell_nothing(silence=0.5)})
        async with following_store(store, peers) as follower:
            follower.rank_watchers = lambda *_: ["10.0.0.2:1"]
            await asyncio.sleep(following.WATCH_SECONDS + 0.5)
            calls = store.calls
            await asyncio.sleep(1.0)
            assert store.calls == calls

    async def test_a_store_that_refuses_is_called_twice_a_second(self):
        # Guards against the price of refused calls: 21 of 44 instances that were turned
        # away for 20 s made 4171 calls in 32 s.
        store = ScriptedStore((UPSTREAM, store_member(2, "b")))
        peers = ScriptedPeers({"10.0.0.2:1": tell_nothing(silence=0.5)})
        async with following_store(store, peers) as follower:
            store.mode = "refuse"
            await await_true(lambda: follower._failing_since is not None, 2.0)
            calls = store.calls
            await asyncio.sleep(2.0)
            assert store.calls - calls <= 5

    async def test_an_older_answer_of_the_store_takes_nothing_back(self):
        # Guards against a slow answer that undoes what a neighbour told meanwhile.
        store = ScriptedStore((UPSTREAM, store_member(2, "b")))
        async with following_store(store, ScriptedPeers()) as follower:
            added = Stored("upstreams/u1", UPSTREAM.value, 20)
            follower._apply(Changes((added,), 20))
            follower._take_snapshot(Snapshot(store.items, 10), 0.0)
            follower._take_changes(Changes(("upstreams/u1",), 15))
            assert len(follower.upstreams.list_usable(SERVICE)) == 2
