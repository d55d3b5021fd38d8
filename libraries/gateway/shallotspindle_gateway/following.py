"""Task that follows the store: configuration, upstreams, members and held rights.

One watch over all keys brings every change. What the store said is *confirmed* as of
the moment at which the question was sent; a request with a key needs a confirmation
that is younger than the time in which a withdrawn key must stop working.
"""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from absl import logging
from aiomisc import Service
from expression import Result

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import FailureDomain
from shallotspindle_gateway.records import NO_DEPLOYMENT, Deployment, Member
from shallotspindle_gateway.storage import (
    Changes,
    Decoder,
    HistoryLost,
    Snapshot,
    Store,
    Stored,
)
from shallotspindle_platform.interface import StoreFailure
from shallotspindle_registry.directory import GRACE_SECONDS, Directory

MEMBER_PREFIX = "members/"
RIGHT_PREFIX = "limits/"
WATCH_SECONDS = 1.5
# Changes that come together are taken with one call.
PAUSE_SECONDS = 0.2
RETRY_SECONDS = 0.25
# Shorter gaps leave no time for entries to lapse.
OUTAGE_SECONDS = 1.0
Listener = Callable[[], None]


class Follower(Service):
    """Owns the view of the store; others read it and are told of changes."""

    def __init__(
        self, store: Store, decoder: Decoder, clock: Clock, **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self._store = store
        self._decoder = decoder
        self._clock = clock
        self._revision = 0
        self._listeners: list[Listener] = []
        self._answered_at = float("-inf")
        self._confirmed_at = float("-inf")
        self.deployment: Deployment = NO_DEPLOYMENT
        self.document = b""
        self.upstreams = Directory()
        self.members: dict[str, Member] = {}
        self.rights: dict[str, Stored] = {}

    def subscribe(self, listener: Listener) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def find_age(self, now: float) -> float:
        """Return the time since the last confirmation, in seconds."""
        return now - self._confirmed_at

    def hears_store(self, now: float) -> bool:
        """Return whether the store itself answered lately."""
        return now - self._answered_at < 2 * WATCH_SECONDS

    def confirm(self, at: float) -> None:
        """Take a confirmation of another instance, as of a time in seconds."""
        self._confirmed_at = max(self._confirmed_at, at)

    def take_document(self, document: bytes) -> None:
        """Take the configuration from another instance."""
        self._learn_configuration(document)
        self._notify()

    async def start(self) -> None:
        while True:
            if self._revision == 0:
                await self._read_all()
            else:
                await self._follow()

    async def _read_all(self) -> None:
        asked_at = self._clock.boottime()
        match await self._store.read_all():
            case Result(tag="ok", ok=Snapshot() as snapshot):
                self._note_answer(asked_at)
                self._replace(snapshot)
                await asyncio.sleep(PAUSE_SECONDS)
            case Result(tag="error", error=failure):
                await self._note_failure(failure)

    async def _follow(self) -> None:
        asked_at = self._clock.boottime()
        match await self._store.follow(self._revision, WATCH_SECONDS):
            case Result(tag="ok", ok=Changes() as changes):
                self._note_answer(asked_at)
                self._revision = changes.revision
                self._apply(changes)
                if changes.events:
                    await asyncio.sleep(PAUSE_SECONDS)
            case Result(tag="error", error=HistoryLost()):
                logging.info("the store lost the history after %d", self._revision)
                self._revision = 0
            case Result(tag="error", error=failure):
                await self._note_failure(failure)

    def _note_answer(self, asked_at: float) -> None:
        now = self._clock.boottime()
        if now - self._answered_at > WATCH_SECONDS + OUTAGE_SECONDS:
            logging.info("the store answers")
            self.upstreams.note_outage_end(now)
            asyncio.get_running_loop().call_later(GRACE_SECONDS + 0.1, self._expire)
            self._revision = 0
        self._answered_at = now
        self.confirm(asked_at)

    def _expire(self) -> None:
        self.upstreams.expire(self._clock.boottime())
        self._notify()

    async def _note_failure(self, failure: StoreFailure) -> None:
        logging.warning(
            "the store failed after %.1f s without a confirmation: %s",
            min(9999.0, self.find_age(self._clock.boottime())),
            failure,
        )
        await asyncio.sleep(RETRY_SECONDS)

    def _replace(self, snapshot: Snapshot) -> None:
        now = self._clock.boottime()
        self._revision = snapshot.revision
        self.members.clear()
        self.rights.clear()
        announcements = []
        for item in snapshot.items:
            if self._decoder.is_announcement(item.key):
                announcements.append(item)
            else:
                self._learn(item, now)
        decoded = (self._decode_announcement(item) for item in announcements)
        self.upstreams.replace((item for item in decoded if item is not None), now)
        self._notify()

    def _apply(self, changes: Changes) -> None:
        now = self._clock.boottime()
        for event in changes.events:
            if isinstance(event, Stored):
                self._learn(event, now)
            else:
                self._forget(event, now)
        if changes.events:
            self._notify()

    def _learn(self, item: Stored, now: float) -> None:
        if self._decoder.is_configuration(item.key):
            self._learn_configuration(item.value)
        elif self._decoder.is_announcement(item.key):
            announcement = self._decode_announcement(item)
            if announcement is None:
                self.upstreams.remove(self._decoder.name_upstream(item.key), now)
            else:
                self.upstreams.announce(announcement, now)
        elif item.key.startswith(MEMBER_PREFIX):
            self._learn_member(item)
        elif item.key.startswith(RIGHT_PREFIX):
            self.rights[item.key] = item

    def _forget(self, key: str, now: float) -> None:
        if self._decoder.is_announcement(key):
            self.upstreams.remove(self._decoder.name_upstream(key), now)
        self.members.pop(key, None)
        self.rights.pop(key, None)

    def _decode_announcement(self, item: Stored) -> Any:
        match self._decoder.decode_announcement(item.key, item.value):
            case Result(tag="ok", ok=announcement):
                return announcement
            case Result(tag="error", error=failure):
                logging.warning("an announcement was ignored: %s", failure)
        return None

    def _learn_member(self, item: Stored) -> None:
        try:
            address, domain = json.loads(item.value)
        except ValueError as error:
            logging.warning("the member %s was ignored: %s", item.key, error)
            return
        self.members[item.key] = Member(address, FailureDomain(domain))

    def _learn_configuration(self, document: bytes) -> None:
        match self._decoder.decode_configuration(document):
            case Result(tag="ok", ok=Deployment() as found):
                if found.bundle.version <= self.deployment.bundle.version:
                    return
                self.deployment = found
                self.document = document
                logging.info("configuration %d is in force", found.bundle.version)
            case Result(tag="error", error=failures):
                for failure in failures:
                    logging.error("the configuration was not taken: %s", failure)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
