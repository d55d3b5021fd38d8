"""Task that owns the rights of this instance on partitions.

The state changes only in ``handle``. Coroutines beside it talk to the store, the
platform and the peers, and send what they learn to the inbox. ``may_act`` reads the
state in the same step as the act of its caller.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, Protocol

from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry import ownership_records as records
from shallotspindle_entry import review, transfers
from shallotspindle_entry.interfaces import (
    PartitionGained,
    PartitionLost,
    PeerMessaging,
)
from shallotspindle_entry.ownership_access import Released
from shallotspindle_entry.ownership_inbox import (
    PeerMessage,
    Release,
    Renewed,
    TableSeen,
    Writing,
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

RETRY_SECONDS = 10.0
# A new instance looks again this often until its session is stored.
START_SECONDS = 0.2
WRITE_TRIES = 6
WRITE_PAUSE_SECONDS = 0.5


class Listener(Protocol):
    """Task whose state is kept by partition."""

    def tell(self, message: PartitionGained | PartitionLost) -> None:
        """Tell of a gained or lost partition."""

    async def ask(self, message: PartitionLost) -> bytes:
        """Tell of a partition that is handed over and return its state."""


class OwnershipTask(InboxTask):
    """Holds the rights of this instance; implements ``PartitionOwnership``.

    :param me: this instance.
    :param sleep: waits for a number of seconds.
    """

    def __init__(
        self,
        me: Instance,
        store: Store,
        instances: InstanceList,
        link: PeerMessaging,
        clock: Clock,
        source: RandomSource,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.me = me
        self.store = store
        self.link = link
        self.clock = clock
        self.source = source
        self.sleep = sleep
        self.rights = OwnershipState(me.incarnation)
        self.table = OwnershipTable()
        self.stopping = False
        self._view: dict[int, OwnershipEntry] = {}
        self._known = {me.incarnation: me}
        self._listeners: dict[str, Listener] = {}
        self._sharing = TableSharing(self)
        self._loops: list[asyncio.Task] = []
        self._session = SessionWriter(me, store, clock, self._acknowledge)
        self._review = review.Reviewer(self, instances)
        link.register(HandoverOffer, self._on_peer)
        link.register(OwnershipChangeNotice, self._on_peer)
        link.register(Handover, self._on_hand_over)

    def subscribe(self, name: str, listener: Listener) -> None:
        """Add a task that keeps state by partition.

        :param name: the same on all instances; names its state in a hand-over.
        """
        self._listeners[name] = listener

    def may_act(self, partition: int, now: float) -> bool:
        return holdings.may_act(self.rights, partition, now)

    def find_epoch(self, partition: int) -> int | None:
        """Return the epoch of the right on a partition; None without a right."""
        holding = self.rights.held.get(partition)
        return holding.epoch if holding else None

    def find_holder(self, partition: int) -> Instance | None:
        if partition in self.rights.held:
            return self.me
        entry = self._view.get(partition)
        if entry is None or entry.holder == self.me.incarnation:
            return None
        if entry.holder not in self._known:
            self.learn(self.link.list_peers())
        return self._known.get(entry.holder)

    def learn(self, instances: Iterable[Instance]) -> None:
        """Remember the addresses of instances."""
        self._known.update((each.incarnation, each) for each in instances)

    def find_instance(self, incarnation: Incarnation) -> Instance | None:
        return self._known.get(incarnation)

    def find_phase(self) -> Phase:
        return sessions.find_phase(self.rights.session, self.clock.boottime())

    async def prepare(self) -> None:
        self._loops = [
            asyncio.create_task(self._repeat(self.renew, self._find_renewal_interval)),
            asyncio.create_task(self._repeat_reviews()),
        ]

    async def stop(self, exception: Exception | None = None) -> None:
        for loop in self._loops:
            loop.cancel()
        await super().stop(exception)

    @property
    def seen_revision(self) -> int:
        """Highest revision of the table that the store or a peer showed."""
        return max(self.table.revision, self._sharing.told.revision)

    def note_ahead(self, peer: Instance, revision: int) -> None:
        """Note that a peer knows a table; ask for it if it is newer.

        An instance that starts while the store is away learns the holders so.
        """
        self._sharing.note_ahead(peer, revision)

    async def take_told(self, peer: Instance, told: TableResponse) -> None:
        """Note the holders that a peer told."""
        await self.ask(PeerMessage(peer, told))

    async def renew(self) -> bool:
        """Renew the session once and return whether it succeeded."""
        if not sessions.may_renew(self.rights.session):
            return True
        return await self._session.renew(self.rights.session)

    async def review(self) -> bool:
        """Compare the table with the fleet once, and acquire what is due."""
        return self.stopping or await self._review.run()

    async def hand_over_all(self, seconds: float = 60.0) -> int:
        """Hand over all partitions before a planned stop.

        :param seconds: time after which the rest is given up.
        :returns: number of partitions that were given up without a successor.
        """
        self.stopping = True
        return await transfers.hand_over_all(self, self.clock.boottime() + seconds)

    async def handle(self, message: Any) -> Any:
        now = self.clock.boottime()
        match message:
            case Renewed(counter, sent):
                self._update(holdings.record_renewal(self.rights, counter, sent, now))
            case TableSeen(table):
                self._see(table, now)
            case Writing(changes):
                self.rights = holdings.expect_own_entries(self.rights, changes)
            case Release(partitions, alone):
                return await self._release(partitions, alone, now)
            case PeerMessage(_, HandoverOffer(offered)):
                return self._answer_offer(offered, now)
            case PeerMessage(_, Handover() as received):
                return self._receive(received, now)
            case PeerMessage(_, TableResponse() as told):
                self._take_told(told)
            case PeerMessage(_, OwnershipChangeNotice(entries)):
                self._learn_moves(entries)
        return None

    async def read_table(self) -> OwnershipTable | None:
        """Read the table; None if the store does not answer."""
        found = await self.store.get(records.TABLE_KEY)
        if found.is_error():
            return None
        try:
            table = records.decode_table(found.ok.data, found.ok.revision)
        except records.DAMAGED as error:
            logging.error("the ownership table is damaged: %r", error)
            return None
        await self.ask(TableSeen(table))
        return table

    async def write_table(
        self, base: OwnershipTable, changes: Mapping[int, OwnershipEntry]
    ) -> WriteResult:
        """Write entries by compare-and-swap and settle a lost answer.

        ``UNDECIDED`` means that the write may still take effect.
        """
        await self.ask(Writing(changes))
        changed = tables.apply_changes(base, changes)
        data = records.encode_table(changed)
        for attempt in range(WRITE_TRIES):
            written = await self.store.replace(records.TABLE_KEY, data, base.revision)
            if written.is_ok():
                await self.ask(TableSeen(OwnershipTable(written.ok, changed.entries)))
                self.announce(changes)
                return WriteResult.APPLIED
            uncertain = isinstance(written.error, Conflict | OutcomeUnknown)
            if attempt == 0 and not uncertain:
                return WriteResult.SUPERSEDED
            verdict = await self._read_back(base, changes)
            if verdict is not WriteResult.UNDECIDED:
                return verdict
            await self.sleep(WRITE_PAUSE_SECONDS * self.source.random())
        return WriteResult.UNDECIDED

    async def release(
        self, partitions: tuple[int, ...], alone: bool
    ) -> Released | None:
        """Stop acting for partitions and collect their state.

        :returns: None when they cannot be handed over without the store.
        """
        return await self.ask(Release(partitions, alone))

    def announce(self, changes: Mapping[int, OwnershipEntry]) -> None:
        """Tell peers of new holders."""
        entries = ((n, entry.holder, entry.epoch) for n, entry in changes.items())
        self.link.gossip(OwnershipChangeNotice(tuple(entries)))

    async def _read_back(
        self, base: OwnershipTable, changes: Mapping[int, OwnershipEntry]
    ) -> WriteResult:
        current = await self.read_table()
        if current is None:
            return WriteResult.UNDECIDED
        verdict = tables.resolve_write(base, changes, current)
        if verdict is WriteResult.APPLIED:
            self.announce(changes)
        return verdict

    async def _acknowledge(self, counter: int, sent: float) -> None:
        await self.ask(Renewed(counter, sent))

    async def _on_peer(
        self, sender: Instance, message: HandoverOffer | OwnershipChangeNotice
    ) -> Any:
        return await self.ask(PeerMessage(sender, message))

    async def _on_hand_over(self, sender: Instance, message: Handover) -> Any:
        parts = {part.partition: part.epoch for part in message.partitions}
        shown = all(tables.find_epoch(self.table, n) >= e for n, e in parts.items())
        if message.is_recorded and not shown:
            await self.read_table()
        return await self.ask(PeerMessage(sender, message))

    async def _repeat(
        self, step: Callable[[], Awaitable[bool]], interval: Callable[[], float]
    ) -> None:
        while True:
            try:
                done = await step()
            except Exception:
                # The next step comes anyway; without it the leases would end.
                logging.exception("a step of the ownership task failed")
                done = False
            wait = interval() if done else min(interval(), RETRY_SECONDS)
            # Spreads the calls of instances that started together.
            await self.sleep(wait * (0.9 + 0.1 * self.source.random()))

    def _find_renewal_interval(self) -> float:
        return sessions.compute_renewal_interval(len(self.link.list_peers()) + 1)

    async def _repeat_reviews(self) -> None:
        while self.find_phase() is Phase.EXPIRED and not self.rights.session.counter:
            await self.sleep(START_SECONDS)
        await self._repeat(self.review, lambda: RETRY_SECONDS)

    def _take_told(self, told: TableResponse) -> None:
        table = self._sharing.take(told)
        if table is not None:
            for partition, entry in table.entries.items():
                self._note(partition, entry)

    def _see(self, table: OwnershipTable, now: float) -> None:
        if table.revision >= self.table.revision:
            self.table = table
        for partition, entry in table.entries.items():
            self._note(partition, entry)
        self._update(holdings.apply_table(self.rights, table, now))

    def _learn_moves(self, entries: tuple[tuple[int, Incarnation, int], ...]) -> None:
        """Push on what is new, so that it reaches every instance in a few rounds."""
        news = {
            partition: OwnershipEntry(holder, epoch)
            for partition, holder, epoch in entries
            if self._note(partition, OwnershipEntry(holder, epoch))
        }
        if news:
            self.announce(news)

    def _note(self, partition: int, entry: OwnershipEntry) -> bool:
        known = self._view.get(partition)
        if known is not None and known.epoch >= entry.epoch:
            return False
        self._view[partition] = entry
        return True

    def _answer_offer(
        self, offered: tuple[tuple[int, int], ...], now: float
    ) -> OfferAccepted | OfferDeclined:
        if self.stopping:
            return OfferDeclined()
        self.rights, ready = holdings.expect_offered(self.rights, offered, now)
        return OfferAccepted(now) if ready else OfferDeclined()

    def _receive(self, message: Handover, now: float) -> HandoverReceived:
        *change, taken = holdings.receive_handover(
            self.rights, message, self.table, now
        )
        self._update(change)
        unrecorded = holdings.list_unrecorded_entries(self.rights)
        if unrecorded:
            self.announce(unrecorded)
        return HandoverReceived(taken)

    async def _release(
        self, partitions: tuple[int, ...], alone: bool, now: float
    ) -> Released | None:
        before = self.rights
        acting = tuple(n for n in partitions if holdings.may_act(before, n, now))
        remaining = sessions.compute_remaining_seconds(before.session, now)
        if alone:
            result = holdings.hand_over_without_store(before, acting, now)
            if result is None:
                return None
            self.rights, _, remaining = result
        else:
            self.rights = holdings.release(before, acting)
        parts = [
            HandedOverPartition(n, before.held[n].epoch + 1, await self._collect(n))
            for n in acting
        ]
        return Released(remaining, tuple(parts))

    async def _collect(self, partition: int) -> tuple[tuple[str, bytes], ...]:
        message = PartitionLost(partition)
        return tuple(
            [(name, await each.ask(message)) for name, each in self._listeners.items()]
        )

    def _update(self, change: Iterable[Any]) -> None:
        self.rights, effects = change
        for effect in effects:
            message = self._describe(effect)
            for listener in self._listeners.values():
                listener.tell(message)

    @staticmethod
    def _describe(effect: OwnershipEvent) -> PartitionGained | PartitionLost:
        if not isinstance(effect, Gained):
            return PartitionLost(effect.partition)
        return PartitionGained(
            effect.partition, effect.epoch, effect.is_takeover, effect.states
        )
