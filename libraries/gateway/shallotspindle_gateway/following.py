"""Task that follows the store: configuration, upstreams, members and held rights.

A few watchers in each failure domain watch the store; the others ask them for what
changed and turn to the store only if no watcher is fresh. Neighbours are asked beside
the calls at the store, so that a call without an answer delays no news: whoever was
silent is passed over ``LARGEST_SILENCE_SECONDS`` after the last answer of the store
that is known of, at the next poll. What the store said is
*confirmed* as of the sending of the question to it, also when it came through a
neighbour. A request with a key needs a confirmation that is younger than the time in
which a withdrawn key must stop working.
"""

import asyncio
import json
from collections.abc import Callable, Set
from typing import Any

from absl import logging
from aiomisc import Service
from expression import Result

from shallotspindle_core import hashing
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import FailureDomain
from shallotspindle_environment.interface import StoreFailure
from shallotspindle_gateway.changelog import ChangeLog, ViewFreshness
from shallotspindle_gateway.election import rank_members
from shallotspindle_gateway.messages import ChangesRequest, ChangesResponse
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.records import NO_DEPLOYMENT, Deployment, Member
from shallotspindle_gateway.storage import (
    Changes,
    Decoder,
    HistoryLost,
    Snapshot,
    Store,
    StoredValue,
)
from shallotspindle_registry.directory import OUTAGE_GRACE_SECONDS, UpstreamDirectory

MEMBER_PREFIX = "members/"
PARTITION_PREFIX = "limits/"
# Each waiting watch is a call at the store; watchers of other domains stand in for one.
WATCHER_COUNT = 1
STAND_INS_ASKED = 2
# A pause and a watch without changes end before followers stop believing the watcher.
WATCH_SECONDS = 0.8
# Changes that come together are taken with one call.
PAUSE_SECONDS = 0.2
# Refused calls are priced too; while the store fails, neighbours bring the news.
RETRY_SECONDS = 0.5
# A watcher reads all values this often: a watch that stays silent misses changes.
REREAD_SECONDS = 10.0
# How often a watcher is asked for changes.
POLL_SECONDS = 0.25
RESPONSE_TIMEOUT_SECONDS = 0.1
# Silence of the store after which a watcher is not believed. A change must be in force
# within two seconds, also when the watcher is cut off right after an answer.
LARGEST_SILENCE_SECONDS = 1.2
NEIGHBOURS_ASKED = 3
# Instances whose membership ended are still asked for this time: in an outage all
# leases lapse, also those of instances that serve on and reach the store again.
REMEMBERED_SECONDS = 30.0
# Stands for an age without end in messages and logs.
LONGEST_SECONDS = 9999.0
EXPIRY_SLACK_SECONDS = 0.1
# Shorter gaps leave no time for entries to lapse.
OUTAGE_SECONDS = 1.0
# While the store answered a neighbour within this time the store was not away,
# whatever happened to the calls of this instance. A watch without changes is answered
# after ``WATCH_SECONDS``, and a poll and a pause come on top.
UNHEARD_SECONDS = 1.6
Listener = Callable[[], None]


class StoreFollower(Service):
    """Owns the view of the store; others read it and are told of changes.

    :param own: this instance.
    """

    def __init__(
        self,
        own: Member,
        store: Store,
        decoder: Decoder,
        peers: PeerTransport,
        clock: Clock,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own = own
        self.store = store
        self._decoder = decoder
        self._peers = peers
        self._clock = clock
        self._log = ChangeLog()
        self._listeners: list[Listener] = []
        self._confirmed_at = float("-inf")
        # Until when all changes are known, as far as the store answered.
        self._heard_at = float("-inf")
        # When the store began to fail, or None while it answers.
        self._failing_since: float | None = None
        # Set while no watcher is believed, so that the store must be called.
        self._is_needed = asyncio.Event()
        self._read_at = float("-inf")
        self.deployment: Deployment = NO_DEPLOYMENT
        self.upstreams = UpstreamDirectory()
        self.members: dict[str, Member] = {}
        # Instances whose membership ended, with the time of that, in seconds.
        self._former: dict[Member, float] = {}
        self.partitions: dict[str, StoredValue] = {}
        peers.register(ChangesRequest, self._tell_changes)

    @property
    def revision(self) -> int:
        """Revision of the store up to which all changes are known."""
        return self._log.revision

    def subscribe(self, listener: Listener) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def compute_confirmation_age(self, now: float) -> float:
        """Return the time since the last confirmation, in seconds."""
        return now - self._confirmed_at

    async def start(self) -> None:
        self.start_event.set()
        while not self._log.revision:
            await self._read_all()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow_store())
            tasks.create_task(self._follow_neighbours())

    async def _follow_store(self) -> None:
        """Watch the store while no watcher is believed; a watcher always does."""
        while True:
            await self._is_needed.wait()
            await self._watch()

    async def _follow_neighbours(self) -> None:
        """Ask the watchers, and everybody while the store does not answer."""
        while True:
            if await self._hear_watchers():
                self._is_needed.clear()
                self._failing_since = None
            else:
                self._is_needed.set()
                if self._is_uninformed():
                    asked = [*self._list_stand_ins(), *self.list_peers_to_ask()]
                    await self._ask_neighbours(asked)
            await asyncio.sleep(POLL_SECONDS)

    async def _hear_watchers(self) -> bool:
        """Take changes from a watcher, unless this instance is one."""
        watchers = self.rank_watchers()
        if self._own.address in watchers:
            return False
        return await self._ask_neighbours([*watchers, *self._list_stand_ins()])

    def _is_uninformed(self) -> bool:
        """Return whether the store fails, or was silent for too long."""
        silence = self._clock.boottime() - self._heard_at
        return self._failing_since is not None or silence > LARGEST_SILENCE_SECONDS

    # What the store says.

    async def _read_all(self) -> bool:
        asked_at = self._clock.boottime()
        match await self.store.read_all():
            case Result(tag="ok", ok=Snapshot() as snapshot):
                self._note_store(asked_at, asked_at)
                self._take_snapshot(snapshot, asked_at)
                await asyncio.sleep(PAUSE_SECONDS)
                return True
            case Result(tag="error", error=failure):
                await self._note_failure(failure)
        return False

    def _take_snapshot(self, snapshot: Snapshot, asked_at: float) -> None:
        """Take all values, unless a neighbour told later ones meanwhile."""
        if snapshot.revision >= self._log.revision:
            self._read_at = asked_at
            self._apply(self._log.compare(snapshot))

    async def _watch(self) -> bool:
        """Wait for changes at the store; return whether it answered."""
        asked_at = self._clock.boottime()
        if asked_at - self._read_at > REREAD_SECONDS:
            return await self._read_all()
        match await self.store.watch(self._log.revision, WATCH_SECONDS):
            case Result(tag="ok", ok=Changes() as changes):
                if self._note_store(asked_at, self._clock.boottime()):
                    return await self._read_all()
                if not changes.events and changes.revision > self._log.revision:
                    logging.info("the watch passed over changes, read all values")
                    return await self._read_all()
                self._take_changes(changes)
                if changes.events:
                    await asyncio.sleep(PAUSE_SECONDS)
                return True
            case Result(tag="error", error=HistoryLost()):
                logging.info("the store lost the history after %d", self._log.revision)
                return await self._read_all()
            case Result(tag="error", error=failure):
                await self._note_failure(failure)
        return False

    def _take_changes(self, changes: Changes) -> None:
        """Take what the store or a neighbour told, unless later news came meanwhile.

        The changes begin where the question was asked: those of an older answer would
        take back what is known by now.
        """
        if changes.revision >= self._log.revision:
            self._apply(changes)

    def _note_store(self, asked_at: float, heard_at: float) -> bool:
        """Count an answer; return whether the store was away before it.

        :param heard_at: until when the answer tells all changes, in seconds.
        """
        now = self._clock.boottime()
        # The wait for this answer is no silence of the store.
        was_unheard = asked_at - self._heard_at >= UNHEARD_SECONDS
        since, self._failing_since = self._failing_since, None
        self._confirm(asked_at, heard_at)
        if since is None:
            return False
        if was_unheard:
            self.upstreams.start_grace_period(now)
            self._expire_later(OUTAGE_GRACE_SECONDS)
        elif now - since < OUTAGE_SECONDS:
            return False
        logging.info("the store answers after %.1f s", now - since)
        return True

    def _expire_later(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(seconds + EXPIRY_SLACK_SECONDS, self._expire)

    def _confirm(self, asked_at: float, heard_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, asked_at)
        self._heard_at = max(self._heard_at, heard_at)

    def _expire(self) -> None:
        self.upstreams.drop_missing(self._clock.boottime())
        self._notify()

    async def _note_failure(self, failure: StoreFailure) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.boottime()
        age = min(
            LONGEST_SECONDS, self.compute_confirmation_age(self._clock.boottime())
        )
        logging.warning("the store failed, confirmed %.1f s ago: %s", age, failure)
        await asyncio.sleep(RETRY_SECONDS)

    # What neighbours say.

    def rank_watchers(self, domain: FailureDomain | None = None) -> list[str]:
        """Return the addresses of the instances that watch for a domain.

        :param domain: the failure domain; None for that of this instance.
        """
        domain = domain or self._own.domain
        ranked = rank_members("watcher", self.list_members(domain))
        return ranked[:WATCHER_COUNT]

    def list_members(self, domain: FailureDomain) -> list[Member]:
        """Return the instances of a failure domain, this one among its own."""
        found = [m for m in self.members.values() if m.domain == domain]
        if domain == self._own.domain and self._own not in found:
            found.append(self._own)
        return found

    def _list_stand_ins(self) -> list[str]:
        """Return watchers of other domains, in an order of this instance's own."""
        domains = {m.domain for m in self.members.values()} - {self._own.domain}
        ranked = hashing.rank_rendezvous(f"stand-in {self._own.address}", domains)
        found = [address for domain in ranked for address in self.rank_watchers(domain)]
        return found[:STAND_INS_ASKED]

    def list_peers_to_ask(self) -> list[str]:
        """Return the instances to ask when the store does not answer."""
        present = set(self.members.values()) - {self._own}
        former = self._list_former() - present
        near, far = self._rank_neighbours(present)
        former_near, former_far = self._rank_neighbours(former)
        return [
            *[*near, *former_near][: NEIGHBOURS_ASKED - 1],
            *[*far, *former_far][:1],
        ]

    def _rank_neighbours(self, members: Set[Member]) -> tuple[list[str], list[str]]:
        """Return the addresses in the own and in other domains, in a new order."""
        near = {m.address for m in members if m.domain == self._own.domain}
        far = {m.address for m in members} - near
        seed = f"neighbour {self._own.address} {self._clock.boottime():.1f}"
        return hashing.rank_rendezvous(seed, near), hashing.rank_rendezvous(seed, far)

    def _list_former(self) -> set[Member]:
        """Return the instances whose membership ended lately."""
        since = self._clock.boottime() - REMEMBERED_SECONDS
        self._former = {m: at for m, at in self._former.items() if at > since}
        return self._former.keys() - {self._own}

    async def _ask_neighbours(self, addresses: list[str]) -> bool:
        """Take changes from neighbours until one is fresh; return whether one is.

        What the others know is taken too: it is better than nothing.
        """
        for address in addresses:
            sent_at = self._clock.boottime()
            asked = ChangesRequest(self._log.revision)
            answer = await self._peers.request(address, asked, RESPONSE_TIMEOUT_SECONDS)
            if not isinstance(answer, ChangesResponse) or not self._take(
                answer, sent_at
            ):
                continue
            if answer.store_silence_seconds <= LARGEST_SILENCE_SECONDS:
                return True
        return False

    def _take(self, told: ChangesResponse, sent_at: float) -> bool:
        if told.is_history_missing:
            return False
        events = tuple(
            key if is_removed else StoredValue(key, value, revision)
            for key, value, revision, is_removed in told.events
        )
        now = self._clock.boottime()
        if told.grace_seconds > 0 and sent_at - self._heard_at >= UNHEARD_SECONDS:
            self.upstreams.extend_grace_period(told.grace_seconds, now)
            self._expire_later(told.grace_seconds)
        self._take_changes(Changes(events, told.revision))
        if told.is_complete:
            # Delays on the way make the confirmation older, never younger.
            self._confirm(
                sent_at - told.age_seconds, sent_at - told.store_silence_seconds
            )
        return True

    def _tell_changes(self, sender: str, asked: ChangesRequest) -> ChangesResponse:
        now = self._clock.boottime()
        age = min(LONGEST_SECONDS, self.compute_confirmation_age(now))
        silence = min(LONGEST_SECONDS, now - self._heard_at)
        grace = self.upstreams.get_remaining_grace(now)
        return self._log.tell(asked.revision, ViewFreshness(age, silence, grace))

    # What it means.

    def _apply(self, changes: Changes) -> None:
        now = self._clock.boottime()
        for event in self._log.add(changes):
            if isinstance(event, StoredValue):
                self._learn(event, now)
            else:
                self._forget(event, now)
        if changes.events:
            self._notify()

    def _learn(self, item: StoredValue, now: float) -> None:
        if self._decoder.is_configuration(item.key):
            self._learn_configuration(item.value)
        elif self._decoder.is_announcement(item.key):
            self._learn_announcement(item, now)
        elif item.key.startswith(MEMBER_PREFIX):
            self._learn_member(item)
        elif item.key.startswith(PARTITION_PREFIX):
            self.partitions[item.key] = item

    def _forget(self, key: str, now: float) -> None:
        if self._decoder.is_announcement(key):
            self.upstreams.remove_announcement(
                self._decoder.get_upstream_name(key), now
            )
        member = self.members.pop(key, None)
        if member is not None:
            self._former[member] = now
        self.partitions.pop(key, None)

    def _learn_announcement(self, item: StoredValue, now: float) -> None:
        match self._decoder.decode_announcement(item.key, item.value):
            case Result(tag="ok", ok=announcement):
                self.upstreams.apply_announcement(announcement, now)
            case Result(tag="error", error=failure):
                logging.warning("an announcement was ignored: %s", failure)
                self.upstreams.remove_announcement(
                    self._decoder.get_upstream_name(item.key), now
                )

    def _learn_member(self, item: StoredValue) -> None:
        try:
            address, domain, capacity = json.loads(item.value)
        except ValueError as error:
            logging.warning("the member %s was ignored: %s", item.key, error)
            return
        self.members[item.key] = Member(address, FailureDomain(domain), capacity)

    def _learn_configuration(self, document: bytes) -> None:
        match self._decoder.decode_configuration(document):
            case Result(tag="ok", ok=Deployment() as found):
                if found.bundle.version <= self.deployment.bundle.version:
                    return
                self.deployment = found
                logging.info("configuration %d is in force", found.bundle.version)
            case Result(tag="error", error=failures):
                for failure in failures:
                    logging.error("the configuration was not taken: %s", failure)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
