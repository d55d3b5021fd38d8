"""Task that tracks which partitions this instance owns.

The state changes only in ``handle``. Other coroutines communicate with the store, the
platform and the peers, and send the results to the inbox. ``may_act`` reads the state
without an await, so that its result holds until the caller next awaits.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, Protocol

from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry import handovers, reconciliation
from shallotspindle_entry import ownership_records as records
from shallotspindle_entry.interfaces import (
    PartitionGained,
    PartitionLost,
    PeerMessaging,
)
from shallotspindle_entry.ownership_access import ReleasedPartitions
from shallotspindle_entry.ownership_inbox import (
    PeerMessage,
    ReleaseRequest,
    SessionRenewed,
    TableUpdated,
    WriteStarting,
)
from shallotspindle_entry.sessions import SessionWriter
from shallotspindle_entry.table_sharing import TableSharing
from shallotspindle_entry.tasks import InboxTask
from shallotspindle_environment.interface import (
    Conflict,
    InstanceList,
    OutcomeUnknown,
    Store,
)
from shallotspindle_ownership import holdings, sessions
from shallotspindle_ownership import table as tables
from shallotspindle_ownership.holdings import Gained, OwnershipEvent, OwnershipState
from shallotspindle_ownership.messages import (
    HandedOverPartition,
    Handover,
    HandoverOffer,
    HandoverReceived,
    OfferAccepted,
    OfferDeclined,
    OwnershipChangeNotice,
    TableResponse,
)
from shallotspindle_ownership.sessions import Phase
from shallotspindle_ownership.table import OwnershipEntry, OwnershipTable, WriteResult

# Interval of reconciliation passes, and the longest delay after a failed step.
RETRY_INTERVAL_SECONDS = 10.0
# Interval at which a new instance checks whether its session is stored.
STARTUP_POLL_SECONDS = 0.2
MAX_WRITE_ATTEMPTS = 6
MAX_WRITE_PAUSE_SECONDS = 0.5


class PartitionListener(Protocol):
    """Task whose state is kept by partition."""

    def tell(self, message: PartitionGained | PartitionLost) -> None:
        """Notify the task of a gained or lost partition."""

    async def ask(self, message: PartitionLost) -> bytes:
        """Notify the task of a partition that is handed over and return its state."""


class OwnershipTask(InboxTask):
    """Owns the partitions of this instance; implements ``PartitionOwnership``.

    :param sleep: waits for a number of seconds.
    """

    def __init__(
        self,
        own_instance: Instance,
        store: Store,
        instances: InstanceList,
        peers: PeerMessaging,
        clock: Clock,
        random: RandomSource,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.own_instance = own_instance
        self.store = store
        self.peers = peers
        self.clock = clock
        self.random = random
        self.sleep = sleep
        self.state = OwnershipState(own_instance.incarnation)
        self.table = OwnershipTable()
        self.is_stopping = False
        self._known_entries: dict[int, OwnershipEntry] = {}
        self._known_instances = {own_instance.incarnation: own_instance}
        self._listeners: dict[str, PartitionListener] = {}
        self._table_sharing = TableSharing(self)
        self._background_tasks: list[asyncio.Task] = []
        self._session_writer = SessionWriter(
            own_instance, store, clock, self._acknowledge
        )
        self._reconciler = reconciliation.OwnershipReconciler(self, instances)
        peers.register(HandoverOffer, self._handle_peer_message)
        peers.register(OwnershipChangeNotice, self._handle_peer_message)
        peers.register(Handover, self._handle_handover)

    def subscribe(self, name: str, listener: PartitionListener) -> None:
        """Add a task that keeps state by partition.

        :param name: identifies the task's state in a handover; the same on all
            instances.
        """
        self._listeners[name] = listener

    def may_act(self, partition: int, now: float) -> bool:
        return holdings.may_act(self.state, partition, now)

    def find_epoch(self, partition: int) -> int | None:
        """Return the epoch of a partition that this instance holds, else None."""
        holding = self.state.held.get(partition)
        return holding.epoch if holding else None

    def find_holder(self, partition: int) -> Instance | None:
        if partition in self.state.held:
            return self.own_instance
        entry = self._known_entries.get(partition)
        if entry is None or entry.holder == self.own_instance.incarnation:
            return None
        if entry.holder not in self._known_instances:
            self.add_instances(self.peers.list_peers())
        return self._known_instances.get(entry.holder)

    def add_instances(self, instances: Iterable[Instance]) -> None:
        """Store the addresses of instances."""
        self._known_instances.update((each.incarnation, each) for each in instances)

    def find_instance(self, incarnation: Incarnation) -> Instance | None:
        return self._known_instances.get(incarnation)

    def find_phase(self) -> Phase:
        return sessions.find_phase(self.state.session, self.clock.boottime())

    async def prepare(self) -> None:
        self._background_tasks = [
            asyncio.create_task(
                self._run_periodically(self.renew, self._compute_renewal_interval)
            ),
            asyncio.create_task(self._run_reconciliation()),
        ]

    async def stop(self, exception: Exception | None = None) -> None:
        for task in self._background_tasks:
            task.cancel()
        await super().stop(exception)

    @property
    def seen_revision(self) -> int:
        """Highest table revision seen in the store or from a peer."""
        return max(self.table.revision, self._table_sharing.peer_table.revision)

    def handle_peer_ahead(self, peer: Instance, revision: int) -> None:
        """Request the table of a peer if its revision is newer.

        An instance that starts while the store is unavailable learns the holders this
        way.
        """
        self._table_sharing.request_newer_table(peer, revision)

    async def record_peer_table(self, peer: Instance, response: TableResponse) -> None:
        """Record the holders in a table that a peer sent."""
        await self.ask(PeerMessage(peer, response))

    async def renew(self) -> bool:
        """Renew the session once and return whether it succeeded."""
        if not sessions.may_renew(self.state.session):
            return True
        return await self._session_writer.renew(self.state.session)

    async def reconcile(self) -> bool:
        """Run one reconciliation pass; return False if it must be repeated soon."""
        return self.is_stopping or await self._reconciler.run()

    async def hand_over_all(self, seconds: float = 60.0) -> int:
        """Hand over all partitions before a graceful shutdown.

        :param seconds: time after which the remaining partitions are given up.
        :returns: number of partitions that were given up without a successor.
        """
        self.is_stopping = True
        return await handovers.hand_over_all(self, self.clock.boottime() + seconds)

    async def handle(self, message: Any) -> Any:
        now = self.clock.boottime()
        match message:
            case SessionRenewed(counter, sent_at):
                self._apply_change(
                    holdings.record_renewal(self.state, counter, sent_at, now)
                )
            case TableUpdated(table):
                self._apply_table(table, now)
            case WriteStarting(changes):
                self.state = holdings.expect_own_entries(self.state, changes)
            case ReleaseRequest(partitions, without_store):
                return await self._release(partitions, without_store, now)
            case PeerMessage(_, HandoverOffer(offered)):
                return self._handle_offer(offered, now)
            case PeerMessage(_, Handover() as received):
                return self._receive_handover(received, now)
            case PeerMessage(_, TableResponse() as response):
                self._apply_peer_table(response)
            case PeerMessage(_, OwnershipChangeNotice(entries)):
                self._apply_change_notice(entries)
        return None

    async def read_table(self) -> OwnershipTable | None:
        """Read the table; None if the store does not respond or it is damaged."""
        stored = await self.store.get(records.TABLE_KEY)
        if stored.is_error():
            return None
        table = records.decode_table(stored.ok.data, stored.ok.revision)
        if table.is_error():
            logging.error("the ownership table is damaged: %s", table.error)
            return None
        await self.ask(TableUpdated(table.ok))
        return table.ok

    async def write_table(
        self, base: OwnershipTable, changes: Mapping[int, OwnershipEntry]
    ) -> WriteResult:
        """Write entries by compare-and-swap.

        After a lost response the table is read back to find out the result.
        ``UNDECIDED`` means that the write may still take effect.
        """
        await self.ask(WriteStarting(changes))
        changed = tables.apply_changes(base, changes)
        data = records.encode_table(changed)
        for attempt in range(MAX_WRITE_ATTEMPTS):
            written = await self.store.replace(records.TABLE_KEY, data, base.revision)
            if written.is_ok():
                await self.ask(
                    TableUpdated(OwnershipTable(written.ok, changed.entries))
                )
                self.announce(changes)
                return WriteResult.APPLIED
            may_have_applied = isinstance(written.error, Conflict | OutcomeUnknown)
            if attempt == 0 and not may_have_applied:
                return WriteResult.SUPERSEDED
            result = await self._read_back(base, changes)
            if result is not WriteResult.UNDECIDED:
                return result
            await self.sleep(MAX_WRITE_PAUSE_SECONDS * self.random.random())
        return WriteResult.UNDECIDED

    async def release(
        self, partitions: tuple[int, ...], without_store: bool
    ) -> ReleasedPartitions | None:
        """Stop acting for partitions and collect their state.

        :returns: None if they cannot be handed over without the store.
        """
        return await self.ask(ReleaseRequest(partitions, without_store))

    def announce(self, changes: Mapping[int, OwnershipEntry]) -> None:
        """Announce new holders to the peers."""
        entries = ((n, entry.holder, entry.epoch) for n, entry in changes.items())
        self.peers.gossip(OwnershipChangeNotice(tuple(entries)))

    async def _read_back(
        self, base: OwnershipTable, changes: Mapping[int, OwnershipEntry]
    ) -> WriteResult:
        current = await self.read_table()
        if current is None:
            return WriteResult.UNDECIDED
        result = tables.resolve_write(base, changes, current)
        if result is WriteResult.APPLIED:
            self.announce(changes)
        return result

    async def _acknowledge(self, counter: int, sent_at: float) -> None:
        await self.ask(SessionRenewed(counter, sent_at))

    async def _handle_peer_message(
        self, sender: Instance, message: HandoverOffer | OwnershipChangeNotice
    ) -> Any:
        return await self.ask(PeerMessage(sender, message))

    async def _handle_handover(self, sender: Instance, message: Handover) -> Any:
        epochs = {part.partition: part.epoch for part in message.partitions}
        is_shown = all(tables.find_epoch(self.table, n) >= e for n, e in epochs.items())
        if message.is_recorded and not is_shown:
            await self.read_table()
        return await self.ask(PeerMessage(sender, message))

    async def _run_periodically(
        self, step: Callable[[], Awaitable[bool]], interval: Callable[[], float]
    ) -> None:
        while True:
            succeeded = False
            # The loop must go on: without renewals the session would expire.
            with self.errors.absorb("step of the ownership task"):
                succeeded = await step()
            wait = interval() if succeeded else min(interval(), RETRY_INTERVAL_SECONDS)
            # Jitter spreads the calls of instances that started together.
            await self.sleep(wait * (0.9 + 0.1 * self.random.random()))

    def _compute_renewal_interval(self) -> float:
        return sessions.compute_renewal_interval(len(self.peers.list_peers()) + 1)

    async def _run_reconciliation(self) -> None:
        while self.find_phase() is Phase.EXPIRED and not self.state.session.counter:
            await self.sleep(STARTUP_POLL_SECONDS)
        await self._run_periodically(self.reconcile, lambda: RETRY_INTERVAL_SECONDS)

    def _apply_peer_table(self, response: TableResponse) -> None:
        table = self._table_sharing.store_peer_table(response)
        if table is not None:
            for partition, entry in table.entries.items():
                self._record_entry(partition, entry)

    def _apply_table(self, table: OwnershipTable, now: float) -> None:
        if table.revision >= self.table.revision:
            self.table = table
        for partition, entry in table.entries.items():
            self._record_entry(partition, entry)
        self._apply_change(holdings.apply_table(self.state, table, now))

    def _apply_change_notice(
        self, entries: tuple[tuple[int, Incarnation, int], ...]
    ) -> None:
        """Record new entries and forward them, so that they reach every instance."""
        new_entries = {
            partition: OwnershipEntry(holder, epoch)
            for partition, holder, epoch in entries
            if self._record_entry(partition, OwnershipEntry(holder, epoch))
        }
        if new_entries:
            self.announce(new_entries)

    def _record_entry(self, partition: int, entry: OwnershipEntry) -> bool:
        known = self._known_entries.get(partition)
        if known is not None and known.epoch >= entry.epoch:
            return False
        self._known_entries[partition] = entry
        return True

    def _handle_offer(
        self, offered: tuple[tuple[int, int], ...], now: float
    ) -> OfferAccepted | OfferDeclined:
        if self.is_stopping:
            return OfferDeclined()
        self.state, is_accepted = holdings.expect_offered(self.state, offered, now)
        return OfferAccepted(now) if is_accepted else OfferDeclined()

    def _receive_handover(self, message: Handover, now: float) -> HandoverReceived:
        *change, gained = holdings.receive_handover(
            self.state, message, self.table, now
        )
        self._apply_change(change)
        unrecorded = holdings.list_unrecorded_entries(self.state)
        if unrecorded:
            self.announce(unrecorded)
        return HandoverReceived(gained)

    async def _release(
        self, partitions: tuple[int, ...], without_store: bool, now: float
    ) -> ReleasedPartitions | None:
        before = self.state
        owned = tuple(n for n in partitions if holdings.may_act(before, n, now))
        remaining = sessions.compute_remaining_seconds(before.session, now)
        if without_store:
            result = holdings.hand_over_without_store(before, owned, now)
            if result is None:
                return None
            self.state, _, remaining = result
        else:
            self.state = holdings.release(before, owned)
        released = [
            HandedOverPartition(
                n, before.held[n].epoch + 1, await self._collect_state(n)
            )
            for n in owned
        ]
        return ReleasedPartitions(remaining, tuple(released))

    async def _collect_state(self, partition: int) -> tuple[tuple[str, bytes], ...]:
        message = PartitionLost(partition)
        return tuple(
            [(name, await each.ask(message)) for name, each in self._listeners.items()]
        )

    def _apply_change(self, change: Iterable[Any]) -> None:
        self.state, events = change
        for event in events:
            message = self._create_notification(event)
            for listener in self._listeners.values():
                listener.tell(message)

    @staticmethod
    def _create_notification(event: OwnershipEvent) -> PartitionGained | PartitionLost:
        if not isinstance(event, Gained):
            return PartitionLost(event.partition)
        return PartitionGained(
            event.partition, event.epoch, event.is_takeover, event.states
        )
