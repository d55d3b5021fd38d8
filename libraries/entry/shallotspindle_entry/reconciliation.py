"""Periodic reconciliation of the ownership table with the instances of the fleet.

Acquires free partitions, takes over those of holders that no longer act, records
partitions that were handed over without the store, and hands over surplus partitions.
"""

from absl import logging

from shallotspindle_core.identifiers import Incarnation
from shallotspindle_entry import handovers
from shallotspindle_entry import ownership_records as records
from shallotspindle_entry.ownership_access import OwnershipAccess
from shallotspindle_environment.interface import InstanceList
from shallotspindle_ownership import holdings, placement, proofs, sessions
from shallotspindle_ownership import table as tables
from shallotspindle_ownership.proofs import Observation
from shallotspindle_ownership.sessions import Phase
from shallotspindle_ownership.table import OwnershipEntry, OwnershipTable, WriteResult

# Instances that start together compete to write the table.
MAX_RACE_ATTEMPTS = 8
MAX_RACE_PAUSE_SECONDS = 0.5
MIN_LIST_INTERVAL_SECONDS = 10.0
# At 770 instances the list has about 90 KB; reading it every 154 s takes 0.6 KB/s.
LIST_INTERVAL_SECONDS_PER_INSTANCE = 0.2
MIN_TABLE_INTERVAL_SECONDS = 10.0
# At 770 instances the table has less than 20 KB; reading it every 31 s takes 0.7 KB/s.
TABLE_INTERVAL_SECONDS_PER_INSTANCE = 0.04
RENEWAL_OVERDUE_SECONDS = 1.5 * sessions.MAX_RENEWAL_INTERVAL_SECONDS


class OwnershipReconciler:
    """Reconciles the ownership table for an ownership task, one pass at a time.

    The table is read at an interval that grows with the fleet, and at once when a
    holder's renewal is overdue or this instance has entries to write.
    """

    def __init__(self, task: OwnershipAccess, instances: InstanceList) -> None:
        self._task = task
        self._instances = instances
        self._live: frozenset[Incarnation] = frozenset()
        self._listed: frozenset[Incarnation] = frozenset()
        self._ever_listed: set[Incarnation] = set()
        self._list_read_at: float | None = None
        self._table_read_at: float | None = None
        self._observations: dict[Incarnation, Observation] = {}
        self._free_partitions: tuple[frozenset[int], float] = (frozenset(), 0.0)

    async def run(self) -> bool:
        """Run one pass; False if it must be repeated soon."""
        if not self._is_due():
            await self._observe_sessions(self._task.table)
            if not any(map(self._is_overdue, self._observations)):
                return True
        for _ in range(MAX_RACE_ATTEMPTS):
            table = await self._task.read_table()
            if table is None:
                return False
            self._table_read_at = self._task.clock.boottime()
            changes = await self._plan_changes(table)
            if not changes:
                await self._rebalance(table)
                return True
            if (
                await self._task.write_table(table, changes)
                is not WriteResult.SUPERSEDED
            ):
                return True
            await self._task.sleep(MAX_RACE_PAUSE_SECONDS * self._task.random.random())
        return False

    def _is_due(self) -> bool:
        """Return whether to read the table even if no renewal is overdue."""
        state = self._task.state
        if state.expected or holdings.list_unrecorded_entries(state):
            return True
        interval = max(
            MIN_TABLE_INTERVAL_SECONDS,
            TABLE_INTERVAL_SECONDS_PER_INSTANCE * len(self._live),
        )
        now = self._task.clock.boottime()
        return self._table_read_at is None or now >= self._table_read_at + interval

    async def _plan_changes(self, table: OwnershipTable) -> dict[int, OwnershipEntry]:
        """Return the entries to write.

        The sessions are read after the table: a holder that renews after its session
        expired reclaims its entries by a write, which changes the table's revision and
        makes the write of this instance fail.
        """
        epoch_steps = await self._find_inactive_holders(table)
        task = self._task
        if task.is_stopping:
            return {}
        unrecorded = {
            n: entry
            for n, entry in holdings.list_unrecorded_entries(task.state).items()
            if entry.epoch > tables.find_epoch(table, n)
        }
        if task.find_phase() is not Phase.CONNECTED:
            return unrecorded
        wanted = set(self._list_partitions_to_acquire(table))
        wanted.update(holdings.list_reclaimable_partitions(task.state, table))
        own_incarnation = task.own_instance.incarnation
        changes = tables.create_entries(table, wanted, own_incarnation)
        for holder, epoch_step in epoch_steps.items():
            logging.info("taking over the partitions of instance %s", holder)
            held = tables.list_held_partitions(table, holder)
            changes.update(
                tables.create_entries(table, held, own_incarnation, epoch_step)
            )
        return {**changes, **unrecorded}

    def _list_partitions_to_acquire(self, table: OwnershipTable) -> list[int]:
        if self._list_read_at is None:
            return []
        now = self._task.clock.boottime()
        free = frozenset(tables.list_free_partitions(table))
        if free != self._free_partitions[0]:
            self._free_partitions = (free, now)
        own_incarnation, free_seconds = (
            self._task.own_instance.incarnation,
            now - self._free_partitions[1],
        )
        return placement.choose_partitions_to_acquire(
            table, own_incarnation, self._live | {own_incarnation}, free_seconds
        )

    async def _find_inactive_holders(
        self, table: OwnershipTable
    ) -> dict[Incarnation, int]:
        """Return the epoch increment of each holder that provably no longer acts."""
        read_times = await self._observe_sessions(table)
        if any(map(self._is_overdue, read_times)):
            await self._read_list(is_forced=True)
        epoch_steps = {
            holder: self._find_epoch_step(holder, started_at)
            for holder, started_at in read_times.items()
        }
        return {
            holder: epoch_step
            for holder, epoch_step in epoch_steps.items()
            if epoch_step is not None
        }

    async def _observe_sessions(
        self, table: OwnershipTable
    ) -> dict[Incarnation, float | None]:
        """Read the sessions that this instance observes.

        :returns: start of the read by holder, as boot-time in seconds; None if the
            read failed.
        """
        await self._read_list()
        own_incarnation = self._task.own_instance.incarnation
        holders = set(tables.count_partitions_by_holder(table)) - {own_incarnation}
        self._ever_listed &= holders | self._listed
        observed = placement.list_observed_holders(
            own_incarnation, self._live | {own_incarnation}, sorted(holders)
        )
        self._observations = {
            holder: observation
            for holder, observation in self._observations.items()
            if holder in observed
        }
        return {holder: await self._observe_session(holder) for holder in observed}

    async def _observe_session(self, holder: Incarnation) -> float | None:
        """Read the session of a holder.

        :returns: start of the read as boot-time in seconds; None if it failed.
        """
        started_at = self._task.clock.boottime()
        result = await self._task.store.get(records.build_session_key(holder))
        if result.is_error():
            return None
        ended_at = self._task.clock.boottime()
        counter = records.decode_counter(result.ok.data)
        known = self._observations.get(holder)
        self._observations[holder] = proofs.add_read(
            known, counter, started_at, ended_at
        )
        return started_at

    def _is_overdue(self, holder: Incarnation) -> bool:
        known = self._observations.get(holder)
        now = self._task.clock.boottime()
        return (
            known is not None
            and now > known.first_read_ended_at + RENEWAL_OVERDUE_SECONDS
        )

    def _find_epoch_step(
        self, holder: Incarnation, started_at: float | None
    ) -> int | None:
        """Return the epoch increment for a takeover; None while the holder may act."""
        known = self._observations.get(holder)
        if known is None or started_at is None:
            return None
        was_listed = holder in self._ever_listed
        is_listed = holder in self._listed
        read_at = self._list_read_at
        if read_at is not None and proofs.proves_termination(
            known, was_listed, is_listed, read_at
        ):
            return 1
        return (
            tables.EXPIRY_EPOCH_STEP
            if proofs.proves_expiry(known, started_at)
            else None
        )

    async def _read_list(self, is_forced: bool = False) -> None:
        now = self._task.clock.boottime()
        interval = max(
            MIN_LIST_INTERVAL_SECONDS,
            LIST_INTERVAL_SECONDS_PER_INSTANCE * len(self._listed),
        )
        is_due = self._list_read_at is None or now >= self._list_read_at + interval
        if not is_due and not is_forced:
            return
        result = await self._instances.list()
        if result.is_error():
            return
        self._list_read_at = self._task.clock.boottime()
        self._task.add_instances(listed.instance for listed in result.ok)
        self._listed = frozenset(listed.instance.incarnation for listed in result.ok)
        self._ever_listed |= self._listed
        self._live = frozenset(
            listed.instance.incarnation for listed in result.ok if not listed.is_leaving
        )

    async def _rebalance(self, table: OwnershipTable) -> None:
        task = self._task
        if task.is_stopping or task.find_phase() is not Phase.CONNECTED:
            return
        own_incarnation = task.own_instance.incarnation
        usable = {peer.incarnation for peer in task.peers.list_peers()}
        live = {name for name in self._live if name in usable} | {own_incarnation}
        moves = placement.choose_moves(table, own_incarnation, live)
        for successor, partitions in handovers.group_by_successor(moves).items():
            await handovers.hand_over_in_batches(task, successor, partitions)
