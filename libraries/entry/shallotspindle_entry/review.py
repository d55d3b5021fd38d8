"""Regular comparison of the ownership table with the fleet.

Acquires free partitions, takes over those of ended holders, records what was handed
over without the store, and gives surplus partitions away.
"""

from absl import logging

from shallotspindle_core.identifiers import Incarnation
from shallotspindle_entry import ownership_records as records
from shallotspindle_entry import transfers
from shallotspindle_entry.ownership_access import OwnershipAccess
from shallotspindle_environment.interface import InstanceList
from shallotspindle_ownership import holdings, placement, proofs, sessions
from shallotspindle_ownership import table as tables
from shallotspindle_ownership.proofs import Observation
from shallotspindle_ownership.sessions import Phase
from shallotspindle_ownership.table import OwnershipEntry, OwnershipTable, WriteResult

# Instances that start together race for the table.
RACE_TRIES = 8
RACE_PAUSE_SECONDS = 0.5
LIST_SECONDS = 10.0
# At 770 instances the list has about 90 KB; read every 154 s it takes 0.6 KB/s.
LIST_SECONDS_PER_INSTANCE = 0.2
TABLE_SECONDS = 10.0
# At 770 instances the table has less than 20 KB; read every 31 s it takes 0.7 KB/s.
TABLE_SECONDS_PER_INSTANCE = 0.04
OVERDUE_SECONDS = 1.5 * sessions.MAX_RENEWAL_INTERVAL_SECONDS


class Reviewer:
    """Runs one review after the other for an ownership task."""

    def __init__(self, task: OwnershipAccess, instances: InstanceList) -> None:
        self._task = task
        self._instances = instances
        self._live: frozenset[Incarnation] = frozenset()
        self._listed: frozenset[Incarnation] = frozenset()
        self._ever_listed: set[Incarnation] = set()
        self._list_read: float | None = None
        self._table_read: float | None = None
        self._observed: dict[Incarnation, Observation] = {}
        self._free: tuple[frozenset[int], float] = (frozenset(), 0.0)

    async def run(self) -> bool:
        """Review once and return whether nothing is left to do at once."""
        if not self._is_due():
            await self._watch(self._task.table)
            if not any(map(self._is_overdue, self._observed)):
                return True
        for _ in range(RACE_TRIES):
            table = await self._task.read_table()
            if table is None:
                return False
            self._table_read = self._task.clock.boottime()
            changes = await self._plan(table)
            if not changes:
                await self._even_out(table)
                return True
            if (
                await self._task.write_table(table, changes)
                is not WriteResult.SUPERSEDED
            ):
                return True
            await self._task.sleep(RACE_PAUSE_SECONDS * self._task.source.random())
        return False

    def _is_due(self) -> bool:
        """Return whether the table is read without another reason."""
        rights = self._task.rights
        if rights.expected or holdings.list_unrecorded_entries(rights):
            return True
        interval = max(TABLE_SECONDS, TABLE_SECONDS_PER_INSTANCE * len(self._live))
        now = self._task.clock.boottime()
        return self._table_read is None or now >= self._table_read + interval

    async def _plan(self, table: OwnershipTable) -> dict[int, OwnershipEntry]:
        """Return the entries to write.

        The sessions are read after the table: a holder that renews after its lapse
        reclaims its entries by a write, which changes the revision of the table.
        """
        ended = await self._find_ended(table)
        task = self._task
        if task.stopping:
            return {}
        unrecorded = {
            n: entry
            for n, entry in holdings.list_unrecorded_entries(task.rights).items()
            if entry.epoch > tables.find_epoch(table, n)
        }
        if task.find_phase() is not Phase.CONNECTED:
            return unrecorded
        wanted = set(self._list_free(table))
        wanted.update(holdings.list_reclaimable_partitions(task.rights, table))
        me = task.me.incarnation
        changes = tables.create_entries(table, wanted, me)
        for holder, step in ended.items():
            logging.info("taking over the partitions of %s", holder)
            held = tables.list_held_partitions(table, holder)
            changes.update(tables.create_entries(table, held, me, step))
        return {**changes, **unrecorded}

    def _list_free(self, table: OwnershipTable) -> list[int]:
        if self._list_read is None:
            return []
        now = self._task.clock.boottime()
        free = frozenset(tables.list_free_partitions(table))
        if free != self._free[0]:
            self._free = (free, now)
        me, waited = self._task.me.incarnation, now - self._free[1]
        return placement.choose_partitions_to_acquire(
            table, me, self._live | {me}, waited
        )

    async def _find_ended(self, table: OwnershipTable) -> dict[Incarnation, int]:
        """Return the holders that provably act no more, with the step of the epoch."""
        started = await self._watch(table)
        if any(map(self._is_overdue, started)):
            await self._read_list(at_once=True)
        steps = {h: self._find_step(h, read) for h, read in started.items()}
        return {h: step for h, step in steps.items() if step is not None}

    async def _watch(self, table: OwnershipTable) -> dict[Incarnation, float | None]:
        """Read the sessions that this instance observes.

        :returns: start of the read by holder, None if the read failed.
        """
        await self._read_list()
        me = self._task.me.incarnation
        holders = set(tables.count_partitions_by_holder(table)) - {me}
        self._ever_listed &= holders | self._listed
        observed = placement.list_observed_holders(
            me, self._live | {me}, sorted(holders)
        )
        self._observed = {n: o for n, o in self._observed.items() if n in observed}
        return {holder: await self._observe(holder) for holder in observed}

    async def _observe(self, holder: Incarnation) -> float | None:
        """Read the session of a holder; returns the start of a read that succeeded."""
        started = self._task.clock.boottime()
        found = await self._task.store.get(records.name_session(holder))
        if found.is_error():
            return None
        ended = self._task.clock.boottime()
        counter = records.decode_counter(found.ok.data)
        known = self._observed.get(holder)
        self._observed[holder] = proofs.add_read(known, counter, started, ended)
        return started

    def _is_overdue(self, holder: Incarnation) -> bool:
        known = self._observed.get(holder)
        now = self._task.clock.boottime()
        return known is not None and now > known.first_read_ended_at + OVERDUE_SECONDS

    def _find_step(self, holder: Incarnation, started: float | None) -> int | None:
        """Return the step of the epoch if the holder acts no more."""
        known = self._observed.get(holder)
        if known is None or started is None:
            return None
        was_listed = holder in self._ever_listed
        is_listed = holder in self._listed
        read = self._list_read
        if read is not None and proofs.proves_termination(
            known, was_listed, is_listed, read
        ):
            return 1
        return (
            tables.EXPIRY_EPOCH_STEP if proofs.proves_expiry(known, started) else None
        )

    async def _read_list(self, at_once: bool = False) -> None:
        now = self._task.clock.boottime()
        interval = max(LIST_SECONDS, LIST_SECONDS_PER_INSTANCE * len(self._listed))
        due = self._list_read is None or now >= self._list_read + interval
        if not due and not at_once:
            return
        found = await self._instances.list()
        if found.is_error():
            return
        self._list_read = self._task.clock.boottime()
        self._task.learn(item.instance for item in found.ok)
        self._listed = frozenset(item.instance.incarnation for item in found.ok)
        self._ever_listed |= self._listed
        self._live = frozenset(
            item.instance.incarnation for item in found.ok if not item.leaving
        )

    async def _even_out(self, table: OwnershipTable) -> None:
        task = self._task
        if task.stopping or task.find_phase() is not Phase.CONNECTED:
            return
        me = task.me.incarnation
        usable = {peer.incarnation for peer in task.link.list_peers()}
        live = {name for name in self._live if name in usable} | {me}
        moves = placement.choose_moves(table, me, live)
        for successor, partitions in transfers.group(moves).items():
            await transfers.hand_over_groups(task, successor, partitions)
