"""Task that follows the store: configuration, upstreams, members and held partitions.

A few watchers in each failure domain watch the store. The other instances ask the
watchers for changes and call the store only if no watcher is fresh. Peers are asked
concurrently with calls to the store, so that a call without a response delays no
change. An instance that got no response of the store for
``peer_responses.MAX_STORE_RESPONSE_AGE_SECONDS`` is passed over at the next poll.

A store that comes back older than what it had acknowledged begins a new era. Revisions
are comparable only within an era, so all values are read then, from the store or, while
it does not respond, from a peer. A response of an earlier era changes and confirms
nothing.

The view of the store is *confirmed* as of the sending of the call to the store, also if
the response came through a peer. A request with a key needs a confirmation that is
younger than the time in which a withdrawn key must stop working.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from absl import logging
from aiomisc import Service
from expression import Result

from shallotspindle_core.clock import Clock
from shallotspindle_core.failures import Failure
from shallotspindle_environment.interface import StoreFailure
from shallotspindle_gateway import peer_responses, stored_forms, transfers
from shallotspindle_gateway.changelog import ChangeLog, ViewFreshness
from shallotspindle_gateway.messages import (
    ChangesOffer,
    ChangesRequest,
    ChangesResponse,
    PartRequest,
    ViewRequest,
)
from shallotspindle_gateway.peer_responses import ReceivedResponse
from shallotspindle_gateway.peer_roster import PeerRoster
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.records import (
    EMPTY_CONFIGURATION,
    Configuration,
    Member,
    PartitionHolder,
    UnreadableHolder,
)
from shallotspindle_gateway.retention import RETENTION_SECONDS, RetainedKeys
from shallotspindle_gateway.storage import (
    Changes,
    Decoder,
    HistoryLost,
    Position,
    Snapshot,
    Store,
    StoredValue,
)
from shallotspindle_registry.directory import OUTAGE_GRACE_SECONDS, UpstreamDirectory
from shallotspindle_registry.drained import DrainedUpstreams
from shallotspindle_retries.pauses import GrowingPause
from shallotspindle_telemetry.unexpected import UnexpectedErrors

# A watch without changes and the delay after it must end before the peers consider the
# watcher stale.
WATCH_SECONDS = 0.8
# Changes that arrive within this time are fetched with one call.
COALESCING_DELAY_SECONDS = 0.2
# Rejected calls are charged too; while the store fails, peers pass the changes on.
RETRY_DELAY_SECONDS = 0.5
# An instance that is no watcher learns from the watchers when the store responds again.
MAX_RETRY_DELAY_SECONDS = 2.0
# A watcher reads all values this often, since a watch that reports nothing may have
# missed changes.
FULL_READ_INTERVAL_SECONDS = 10.0
# How often a watcher is asked for changes.
POLL_INTERVAL_SECONDS = 0.25
# A peer that knows more changes than fit into a response is asked again at once.
MAX_RESPONSES_PER_POLL = 100
# Replaces an infinite age in messages and logs.
MAX_REPORTED_AGE_SECONDS = 9999.0
EXPIRY_MARGIN_SECONDS = 0.1
# In a shorter outage no announcement has time to expire.
MIN_OUTAGE_SECONDS = 1.0
# If the store responded to any instance within this time it was reachable, whatever
# happened to the calls of this instance. A watch without changes gets its response
# after ``WATCH_SECONDS``; a poll and a delay come on top.
MIN_UNREACHABLE_SECONDS = 1.6
# Names the store in log lines where a peer has its address.
STORE_SOURCE = "the store"
# A configuration may contain thousands of routes with the same fault.
MAX_LOGGED_WARNINGS = 20
Listener = Callable[[], None]


class StoreFollower(Service):
    """Owns the view of the store; others read it and are notified of changes.

    :param own_instance: this instance.
    :param errors: counts unexpected errors. An error while one call, entry or listener
        is handled must not stop the following of the store.
    """

    def __init__(
        self,
        own_instance: Member,
        store: Store,
        decoder: Decoder,
        peers: PeerTransport,
        clock: Clock,
        errors: UnexpectedErrors,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own_instance = own_instance
        self._errors = errors
        self.store = store
        self._decoder = decoder
        self._peers = peers
        self._clock = clock
        self._log = ChangeLog()
        self._listeners: list[Listener] = []
        # When the call was sent whose response confirmed the view last.
        self._confirmed_at = float("-inf")
        # Time up to which all changes are known, as far as the store reported them.
        self._complete_until = float("-inf")
        # When the store responded last, whether or not the view was complete then.
        self._responded_at = float("-inf")
        # When the store began to fail, or None while it responds.
        self._failing_since: float | None = None
        self._retry_pause = GrowingPause(RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS)
        # Set while no watcher is fresh, so that the store must be called.
        self._must_watch = asyncio.Event()
        # When the last full read began, or None if one must come before the view is
        # confirmed again.
        self._full_read_at: float | None = None
        # Latest era of which a peer told since the last full read.
        self._reported_era = 0
        self._retained_keys = RetainedKeys()
        self._drained_upstreams = DrainedUpstreams()
        self.configuration: Configuration = EMPTY_CONFIGURATION
        # Faults of the newest configuration, if it is invalid. An older one is active
        # then, or none at all.
        self.configuration_failures: tuple[Failure, ...] = ()
        self.upstreams = UpstreamDirectory()
        self.members: dict[str, Member] = {}
        self.roster = PeerRoster(own_instance, self.members, clock)
        self.partitions: dict[str, PartitionHolder | UnreadableHolder] = {}
        # Records of the requests that crash upstreams, by key.
        self.crash_values: dict[str, StoredValue] = {}
        self._transfers = transfers.OutgoingTransfers()
        peers.register(ChangesRequest, self._handle_request)
        peers.register(ViewRequest, self._handle_view_request)
        peers.register(PartRequest, self._transfers.handle_part_request)

    @property
    def is_configuration_rejected(self) -> bool:
        """Whether the newest configuration is invalid."""
        return bool(self.configuration_failures)

    @property
    def revision(self) -> int:
        """Revision of the store up to which all changes are known."""
        return self._log.revision

    @property
    def era(self) -> int:
        """Era of the store to which that revision belongs."""
        return self._log.era

    def subscribe(self, listener: Listener) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def compute_confirmation_age(self, now: float) -> float:
        """Return the time since the last confirmation, in seconds."""
        return now - self._confirmed_at

    def compute_response_age(self, now: float) -> float:
        """Return the time up to which changes may be unknown, in seconds."""
        return now - self._complete_until

    async def start(self) -> None:
        self.start_event.set()
        while not self._log.revision:
            await self._run_step("first read of the store", self._read_all)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow_store())
            tasks.create_task(self._follow_peers())

    async def _follow_store(self) -> None:
        """Watch the store while no watcher is fresh; a watcher always does."""
        while True:
            await self._must_watch.wait()
            await self._run_step("watch of the store", self._watch)

    async def _follow_peers(self) -> None:
        """Poll the watchers, and other peers too while the store does not respond."""
        while True:
            await self._run_step("poll of the peers", self._poll)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _run_step(
        self, kind: str, step: Callable[[], Coroutine[Any, Any, Any]]
    ) -> None:
        """Run one call; an unexpected error ends only that call."""
        with self._errors.absorb(kind):
            await step()
            return
        await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _poll(self) -> None:
        if not self._is_era_outdated() and await self._poll_watchers():
            self._must_watch.clear()
            self._failing_since = None
            return
        self._must_watch.set()
        if self._is_store_unresponsive():
            addresses = [
                *self.roster.list_remote_watchers(),
                *self.roster.list_peers_to_ask(),
            ]
            await self._poll_peers(addresses)

    async def _poll_watchers(self) -> bool:
        """Fetch changes from a watcher, unless this instance is one."""
        watchers = self.roster.rank_watchers()
        if self._own_instance.address in watchers:
            return False
        return await self._poll_peers([*watchers, *self.roster.list_remote_watchers()])

    def _is_store_unresponsive(self) -> bool:
        """Return whether the store fails, or did not respond for too long."""
        response_age = self.compute_response_age(self._clock.boottime())
        return (
            self._failing_since is not None
            or response_age > peer_responses.MAX_STORE_RESPONSE_AGE_SECONDS
        )

    def _is_era_outdated(self) -> bool:
        """Return whether the store is known to have begun an era after this view."""
        return max(self.store.era, self._reported_era) > self._log.era

    def _record_reported_era(self, era: int) -> None:
        """Read all values soon if a peer knows a later era."""
        if era > self._log.era:
            self._reported_era = max(self._reported_era, era)
            self._must_watch.set()

    # Calls to the store.

    async def _read_all(self) -> bool:
        sent_at = self._clock.boottime()
        match await self.store.read_all():
            case Result(tag="ok", ok=Snapshot() as snapshot):
                self._record_store_response(sent_at)
                self._reported_era = 0
                if self._apply_snapshot(snapshot):
                    self._full_read_at = sent_at
                if snapshot.era == self._log.era:
                    self._confirm(sent_at, sent_at)
                await asyncio.sleep(COALESCING_DELAY_SECONDS)
                return True
            case Result(tag="error", error=failure):
                await self._record_store_failure(failure)
        return False

    def _apply_snapshot(self, snapshot: Snapshot, source: str = STORE_SOURCE) -> bool:
        """Apply all values, unless later ones have arrived meanwhile.

        :param source: address of the peer that sent them, for log lines.
        :returns: whether they were applied.
        """
        if snapshot.position < self._log.position:
            return False
        values = tuple(map(self._limit_size, snapshot.values))
        changes = self._log.diff_snapshot(replace(snapshot, values=values))
        self._apply(changes, source)
        return True

    async def _watch(self) -> bool:
        """Wait for changes at the store; return whether it responded."""
        sent_at = self._clock.boottime()
        if self._is_full_read_due(sent_at):
            return await self._read_all()
        match await self.store.watch(self._log.revision, WATCH_SECONDS):
            case Result(tag="ok", ok=Changes() as changes):
                return await self._handle_watch_response(changes, sent_at)
            case Result(tag="error", error=HistoryLost()):
                logging.info(
                    "the store no longer has the changes after revision %d; "
                    "reading all values",
                    self._log.revision,
                )
                return await self._read_all()
            case Result(tag="error", error=failure):
                await self._record_store_failure(failure)
        return False

    def _is_full_read_due(self, now: float) -> bool:
        """Return whether all values must be read before changes are watched."""
        return (
            self._full_read_at is None
            or self._is_era_outdated()
            or now - self._full_read_at > FULL_READ_INTERVAL_SECONDS
        )

    async def _handle_watch_response(self, changes: Changes, sent_at: float) -> bool:
        """Apply changes; return whether the view is complete.

        The view is confirmed only after all that the store told of is applied. Where a
        response may lack changes, reading all values confirms it.
        """
        received_at = self._clock.boottime()
        if self._record_store_response(sent_at):
            self._full_read_at = None
        if changes.era != self._log.era:
            return await self._read_all()
        has_skipped = not changes.events and changes.revision > self._log.revision
        if has_skipped:
            logging.info("the watch skipped changes; reading all values")
            return await self._read_all()
        self._apply_unless_outdated(changes)
        if self._full_read_at is None:
            return await self._read_all()
        self._confirm(sent_at, received_at)
        if changes.events:
            await asyncio.sleep(COALESCING_DELAY_SECONDS)
        return True

    def _apply_unless_outdated(
        self, changes: Changes, source: str = STORE_SOURCE
    ) -> None:
        """Apply changes of this era, unless later ones have arrived meanwhile.

        The changes start at the revision that was known when the request was sent. An
        outdated response would therefore revert changes that are known by now.

        :param source: address of the peer that sent them, for log lines.
        """
        if changes.era == self._log.era and changes.revision >= self._log.revision:
            events = tuple(
                event if isinstance(event, str) else self._limit_size(event)
                for event in changes.events
            )
            self._apply(replace(changes, events=events), source)

    def _limit_size(self, stored: StoredValue) -> StoredValue:
        """Drop the value of an oversized entry; a configuration may be large."""
        if self._decoder.is_configuration(stored.key):
            return stored
        return stored_forms.drop_oversized_value(stored)

    def _record_store_response(self, sent_at: float) -> bool:
        """Record a response; return whether the store was unavailable before it.

        :param sent_at: when the call was sent, as boot-time in seconds.
        """
        now = self._clock.boottime()
        # The wait for this response does not count as time without one.
        last_response_at = max(self._complete_until, self._responded_at)
        was_unreachable = sent_at - last_response_at >= MIN_UNREACHABLE_SECONDS
        since, self._failing_since = self._failing_since, None
        self._responded_at = now
        self._retry_pause.record_success()
        if since is None:
            return False
        if was_unreachable:
            self.upstreams.start_grace_period(now)
            self._schedule_expiry(OUTAGE_GRACE_SECONDS)
        elif now - since < MIN_OUTAGE_SECONDS:
            return False
        logging.info("the store responds again after %.1f s", now - since)
        return True

    def _schedule_expiry(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(seconds + EXPIRY_MARGIN_SECONDS, self._expire)

    def _confirm(self, sent_at: float, complete_until: float) -> None:
        """Record that the view is complete; all known changes must be applied before.

        :param sent_at: when the call to the store was sent, as boot-time in seconds.
        :param complete_until: time up to which the view contains all changes, as
            boot-time in seconds.
        """
        self._confirmed_at = max(self._confirmed_at, sent_at)
        self._complete_until = max(self._complete_until, complete_until)

    def _expire(self) -> None:
        now = self._clock.boottime()
        self.upstreams.drop_missing(now)
        for key in self._retained_keys.take_expired(now):
            logging.info("%s was not written again after the new era", key)
            with self._errors.absorb("entry of the store"):
                self._apply_removal(key, now)
        self._notify()

    async def _record_store_failure(self, failure: StoreFailure) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.boottime()
        age = min(
            MAX_REPORTED_AGE_SECONDS,
            self.compute_confirmation_age(self._clock.boottime()),
        )
        logging.warning(
            "a call to the store failed, last confirmation %.1f s ago: %s", age, failure
        )
        await asyncio.sleep(self._choose_retry_delay())

    def _choose_retry_delay(self) -> float:
        """Return the seconds until the next call after one that failed."""
        is_watcher = self._own_instance.address in self.roster.rank_watchers()
        if is_watcher or not self._log.revision:
            return RETRY_DELAY_SECONDS
        return self._retry_pause.record_failure()

    # Requests to peers.

    async def _poll_peers(self, addresses: list[str]) -> bool:
        """Fetch changes from peers until one is fresh; return whether one is.

        Changes from stale peers are applied too, since they may be newer than
        the view of this instance.
        """
        for address in addresses:
            response = await self._follow_peer(address)
            if response is not None and peer_responses.is_fresh(response):
                return True
        return False

    async def _follow_peer(self, address: str) -> ChangesResponse | None:
        """Apply all changes that a peer knows; return its last response."""
        response = None
        for _ in range(MAX_RESPONSES_PER_POLL):
            known_revision = self._log.revision
            received = await self._fetch_changes(address)
            if received is None or not self._apply_response(received):
                break
            response = received.response
            if response.is_complete or self._log.revision == known_revision:
                break
        return response

    async def _fetch_changes(self, address: str) -> ReceivedResponse | None:
        """Fetch the changes that a peer knows, or all values if it lacks some.

        A peer lacks changes that it missed before its start. Reading the store then
        costs less than all values of a peer, unless the store does not respond.
        """
        position = self._log.position
        received = await self._ask_peer(
            address, ChangesRequest(position.revision, position.era)
        )
        if received is None or not received.response.is_history_missing:
            return received
        self._record_reported_era(received.response.era)
        if not self._is_store_unresponsive():
            return None
        return await self._ask_peer(
            address, ViewRequest(position.revision, position.era)
        )

    async def _ask_peer(
        self, address: str, request: ChangesRequest | ViewRequest
    ) -> ReceivedResponse | None:
        return await peer_responses.ask_peer(self._peers, self._clock, address, request)

    def _apply_response(self, received: ReceivedResponse) -> bool:
        """Apply what a peer knows; return False if it is of an unsuitable era.

        Only all values of a peer can begin an era, as those of the store do.
        """
        response, sent_at = received.response, received.sent_at
        begins_era = received.is_view and response.era > self._log.era
        if response.era != self._log.era and not begins_era:
            self._record_reported_era(response.era)
            return False
        now = self._clock.boottime()
        if (
            response.grace_seconds > 0
            and sent_at - self._complete_until >= MIN_UNREACHABLE_SECONDS
        ):
            self.upstreams.extend_grace_period(response.grace_seconds, now)
            self._schedule_expiry(response.grace_seconds)
        if received.is_view:
            self._apply_snapshot(received.read_snapshot(), received.sender)
        else:
            self._apply_unless_outdated(received.read_changes(), received.sender)
        if response.is_complete:
            # Counted from the sending of the request, so that a delay on the network
            # makes the confirmation older, never younger.
            self._confirm(
                sent_at - response.age_seconds,
                sent_at - response.store_response_age_seconds,
            )
        return True

    def _handle_request(
        self, sender: str, request: ChangesRequest
    ) -> ChangesResponse | ChangesOffer | None:
        self._record_reported_era(request.era)
        response = self._log.build_response(
            request.revision, self._read_freshness(), request.era
        )
        if self._peers.fits_datagram(response):
            return response
        return self._transfers.offer(request.revision, response)

    def _handle_view_request(
        self, sender: str, request: ViewRequest
    ) -> ChangesOffer | None:
        era = self._log.era if request.era is None else request.era
        if self._log.position < Position(era, request.revision):
            return None
        return self._transfers.offer(0, self._log.build_view(self._read_freshness()))

    def _read_freshness(self) -> ViewFreshness:
        now = self._clock.boottime()
        return ViewFreshness(
            min(MAX_REPORTED_AGE_SECONDS, self.compute_confirmation_age(now)),
            min(MAX_REPORTED_AGE_SECONDS, self.compute_response_age(now)),
            self.upstreams.get_remaining_grace(now),
            is_store_failing=self._failing_since is not None
            and self._complete_until < self._failing_since,
        )

    # Changes of the view.

    def _apply(self, changes: Changes, source: str = STORE_SOURCE) -> None:
        now = self._clock.boottime()
        begins_era = changes.era > self._log.era and self._log.revision > 0
        if begins_era:
            self._begin_era(changes, now, source)
        for event in self._log.add(changes):
            with self._errors.absorb("entry of the store"):
                if isinstance(event, StoredValue):
                    self._retained_keys.release(event.key)
                    self._apply_value(event, now, source)
                elif begins_era and self._is_retained(event):
                    self._retained_keys.retain(event)
                else:
                    self._apply_removal(event, now)
        self.upstreams.complete_first_read()
        if changes.events or begins_era:
            self._notify()

    def _begin_era(self, changes: Changes, now: float, source: str) -> None:
        """Prepare for the first values of an era, which may be older than the view."""
        logging.warning(
            "the store went from era %d to era %d and is at revision %d, after "
            "revision %d (from %s); what it has lost must be written again",
            self._log.era,
            changes.era,
            changes.revision,
            self._log.revision,
            source,
        )
        self.upstreams.start_grace_period(now)
        self._schedule_expiry(OUTAGE_GRACE_SECONDS)
        self._retained_keys.begin_era(now)
        self._schedule_expiry(RETENTION_SECONDS)
        self._drained_upstreams.begin_era(changes.revision)

    def _is_retained(self, key: str) -> bool:
        """Return whether a key stays in force for a while if a new era lacks it."""
        evacuation = self._decoder.decode_evacuation(key)
        return evacuation is not None and evacuation.is_ok()

    def _apply_value(self, stored: StoredValue, now: float, source: str) -> None:
        if self._decoder.is_configuration(stored.key):
            self._apply_configuration(stored, source)
        elif self._decoder.is_announcement(stored.key):
            self._apply_announcement(stored, now)
        elif stored.key.startswith(stored_forms.MEMBER_PREFIX):
            self._apply_member(stored, now)
        elif stored.key in stored_forms.PARTITION_KEYS:
            self._apply_partition(stored, now)
        elif stored.key in stored_forms.CRASH_KEYS:
            self.crash_values[stored.key] = stored
        else:
            self._apply_evacuation(stored.key)

    def _apply_removal(self, key: str, now: float) -> None:
        if self._decoder.is_announcement(key):
            self.upstreams.remove_announcement(
                self._decoder.get_upstream_name(key), now
            )
        self._end_evacuation(key, now)
        self._remove_member(key, now)
        self.partitions.pop(key, None)
        self.crash_values.pop(key, None)

    def _remove_member(self, key: str, now: float) -> None:
        member = self.members.pop(key, None)
        if member is not None:
            self.roster.record_departure(member, now)

    def _apply_announcement(self, stored: StoredValue, now: float) -> None:
        match self._decoder.decode_announcement(stored.key, stored.value):
            case Result(tag="ok", ok=announcement):
                current = self._drained_upstreams.correct(announcement, stored.revision)
                self.upstreams.apply_announcement(current, now)
            case Result(tag="error", error=failure):
                logging.warning("ignored an invalid announcement: %s", failure)
                self.upstreams.remove_announcement(
                    self._decoder.get_upstream_name(stored.key), now
                )

    def _apply_evacuation(self, key: str) -> None:
        match self._decoder.decode_evacuation(key):
            case Result(tag="ok", ok=domain):
                if self.upstreams.start_evacuation(domain):
                    logging.info(
                        "failure domain %s is evacuated (revision %d)",
                        domain,
                        self._log.revision,
                    )
            case Result(tag="error", error=failure):
                logging.warning("ignored an invalid evacuation: %s", failure)

    def _end_evacuation(self, key: str, now: float) -> None:
        match self._decoder.decode_evacuation(key):
            case Result(tag="ok", ok=domain):
                if self.upstreams.end_evacuation(domain, now):
                    logging.info(
                        "failure domain %s is no longer evacuated (revision %d)",
                        domain,
                        self._log.revision,
                    )

    def _apply_member(self, stored: StoredValue, now: float) -> None:
        match stored_forms.decode_member(stored):
            case Result(tag="ok", ok=member):
                self.members[stored.key] = member
            case Result(tag="error", error=failure):
                logging.warning("ignored an invalid member: %s", failure)
                self._remove_member(stored.key, now)

    def _apply_partition(self, stored: StoredValue, now: float) -> None:
        match stored_forms.decode_holder(stored):
            case Result(tag="ok", ok=holder):
                self.partitions[stored.key] = holder
            case Result(tag="error", error=failure):
                logging.warning("a partition has no valid holder: %s", failure)
                self.partitions[stored.key] = UnreadableHolder(stored.revision, now)

    def _apply_configuration(self, stored: StoredValue, source: str) -> None:
        match self._decoder.decode_configuration(stored.value):
            case Result(tag="ok", ok=Configuration() as configuration):
                self.configuration_failures = ()
                if configuration.bundle.version <= self.configuration.bundle.version:
                    self._log_older_configuration(configuration)
                    return
                self.configuration = configuration
                logging.info(
                    "configuration version %d is active (revision %d, from %s)",
                    configuration.bundle.version,
                    stored.revision,
                    source,
                )
                for warning in configuration.warnings[:MAX_LOGGED_WARNINGS]:
                    logging.warning(
                        "configuration version %d: %s",
                        configuration.bundle.version,
                        warning,
                    )
            case Result(tag="error", error=failures):
                self.configuration_failures = tuple(failures)
                for failure in failures:
                    logging.error(
                        "rejected the configuration of revision %d, from %s; "
                        "version %d stays active: %s",
                        stored.revision,
                        source,
                        self.configuration.bundle.version,
                        failure,
                    )

    def _log_older_configuration(self, stored: Configuration) -> None:
        active_version = self.configuration.bundle.version
        if self._log.era and stored.bundle.version < active_version:
            logging.warning(
                "the store holds configuration version %d; version %d stays active",
                stored.bundle.version,
                active_version,
            )

    def _notify(self) -> None:
        for listener in self._listeners:
            with self._errors.absorb("change of the store"):
                listener()
