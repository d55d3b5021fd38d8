"""Task that keeps the requests which crash upstreams, in memory and in the store.

All instances hear of every crash. For each key of the store one instance, the first by
rendezvous hash, writes what is known. Writing again changes nothing, so a lost response
or a second writer does no harm.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from absl import logging
from aiomisc import Service
from expression import Result

from shallotspindle_core.clock import Clock
from shallotspindle_gateway import stored_forms
from shallotspindle_gateway.election import rank_members
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.records import Member
from shallotspindle_gateway.storage import NO_LEASE, Store, StoredValue
from shallotspindle_lending.crashes import CrashRecord, CrashTracker
from shallotspindle_lending.records import RequestCompleted, UpstreamCrashed
from shallotspindle_telemetry.unexpected import UnexpectedErrors

# Changes within this time are written with one call.
WRITE_INTERVAL_SECONDS = 0.2
# A rejected call is repeated after this time.
RETRY_DELAY_SECONDS = 1.0
# A key that stays out of date for this time is written by the next instance too.
SUBSTITUTE_DELAY_SECONDS = 2.0
MAX_WRITERS = 3
CrashListener = Callable[[int], None]


class CrashRecorder(Service):
    """Owns the tracker of crashes; the schedulers of the instance share it.

    :param errors: counts unexpected errors; one write must not be the last one.
    """

    def __init__(
        self,
        own_instance: Member,
        store: Store,
        follower: StoreFollower,
        peers: PeerTransport,
        clock: Clock,
        errors: UnexpectedErrors,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.tracker = CrashTracker()
        self._own_instance = own_instance
        self._store = store
        self._follower = follower
        self._peers = peers
        self._clock = clock
        self._errors = errors
        self._listeners: list[CrashListener] = []
        self._applied_values: dict[str, StoredValue] = {}
        # Era of the store of which the records were applied last.
        self._era = 0
        # When each key was first seen not to be up to date, as boot-time in seconds.
        self._unstored_since: dict[str, float] = {}
        # Revisions of writes that the view of the store does not show yet.
        self._written_at: dict[str, int] = {}
        follower.subscribe(self._apply_stored)
        peers.register(UpstreamCrashed, self._handle_crash)
        peers.register(RequestCompleted, self._handle_completed)

    def subscribe(self, listener: CrashListener) -> None:
        """Call a function with the fingerprint of each request that crashed."""
        self._listeners.append(listener)

    async def start(self) -> None:
        self.start_event.set()
        while True:
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)
            with self._errors.absorb("records of crashes"):
                self._announce_completed()
                if not (await self._write_records() and await self._open_trials()):
                    await asyncio.sleep(RETRY_DELAY_SECONDS)

    def _handle_crash(self, sender: str, crash: UpstreamCrashed) -> None:
        now = self._clock.now().timestamp()
        self.tracker.record_crash(crash.fingerprint, crash.upstream, now)
        for listener in self._listeners:
            listener(crash.fingerprint)

    def _handle_completed(self, sender: str, completed: RequestCompleted) -> None:
        self.tracker.forget(completed.fingerprint)

    def _announce_completed(self) -> None:
        members = {member.address for member in self._follower.members.values()}
        for fingerprint in self.tracker.take_completed():
            for address in members - {self._own_instance.address}:
                self._peers.send(address, RequestCompleted(fingerprint))

    def _apply_stored(self) -> None:
        """Take over the records of the store if any have changed."""
        values = dict(self._follower.crash_values)
        begins_era = self._follower.era > self._era
        if begins_era:
            self._era = self._follower.era
            self._written_at.clear()
        if values == self._applied_values:
            return
        self._applied_values = values
        stored: dict[int, CrashRecord] = {}
        for value in values.values():
            match stored_forms.decode_crashes(value):
                case Result(tag="ok", ok=records):
                    stored |= records
                case Result(error=failure):
                    logging.warning("ignored records of crashes: %s", failure)
        self.tracker.apply_stored(stored, may_be_older=begins_era)

    def _list_records(self, key: str) -> dict[int, CrashRecord]:
        """Return what is known of the requests whose crashes belong to a key."""
        return {
            fingerprint: record
            for fingerprint, record in self.tracker.list_records().items()
            if stored_forms.find_crash_key(fingerprint) == key
        }

    async def _write_records(self) -> bool:
        """Store what is not stored yet; return whether the store took everything."""
        now = self._clock.boottime()
        keys = {
            stored_forms.find_crash_key(fingerprint)
            for fingerprint in self.tracker.list_unstored()
        }
        self._unstored_since = {key: self._unstored_since.get(key, now) for key in keys}
        taken = True
        for key in sorted(keys):
            value = stored_forms.encode_crashes(self._list_records(key))
            # Equal if the records that are not stored have no room.
            is_new = value != self._get_stored(key).value
            if is_new and self._is_writer(key, now) and not self._awaits_view(key):
                taken &= await self._write(key, value)
        return taken

    def _is_writer(self, key: str, now: float) -> bool:
        """Return whether this instance writes a key that is not up to date.

        The store may reject the first instance while it serves the others.
        """
        members = [*self._follower.members.values(), self._own_instance]
        rank = rank_members(key, members).index(self._own_instance.address)
        if rank >= MAX_WRITERS:
            return False
        return now - self._unstored_since[key] >= rank * SUBSTITUTE_DELAY_SECONDS

    def _awaits_view(self, key: str) -> bool:
        """Return whether the view does not show the last write of a key yet."""
        return self._written_at.get(key, 0) > self._follower.revision

    def _get_stored(self, key: str) -> StoredValue:
        """Return what the view shows of a key; revision 0 if it does not exist."""
        return self._follower.crash_values.get(key, StoredValue(key, b"", 0))

    async def _write(self, key: str, value: bytes) -> bool:
        """Write a value; return whether it is stored."""
        if self._store.era > self._follower.era:
            # The expected revision is of an earlier era and may be of another write.
            return False
        written = await self._store.write_if_unchanged(
            {key: value}, {key: self._get_stored(key).revision}, NO_LEASE
        )
        match written:
            case Result(tag="ok", ok=revision):
                self._written_at[key] = revision
                return True
            case Result(error=failure):
                logging.warning("could not store crashes under %s: %s", key, failure)
                return False

    async def _open_trials(self) -> bool:
        """Let quarantined requests through whose trial is due and stored."""
        due = self.tracker.take_due_trials(self._clock.now().timestamp())
        taken = True
        for fingerprint, record in due.items():
            key = stored_forms.find_crash_key(fingerprint)
            value = stored_forms.encode_crashes(
                {**self._list_records(key), fingerprint: record}
            )
            if value == self._get_stored(key).value:
                # There is no room for the trial, so it cannot be remembered.
                continue
            if self._awaits_view(key) or not await self._write(key, value):
                taken = False
                continue
            self.tracker.open_trial(fingerprint, record)
            logging.info(
                "a request that crashed %d upstreams gets trial %d",
                record.count,
                record.trials,
            )
        return taken
