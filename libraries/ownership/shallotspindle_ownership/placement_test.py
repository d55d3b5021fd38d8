from collections import Counter

from shallotspindle_core.hashing import PARTITION_COUNT
from shallotspindle_ownership import placement
from shallotspindle_ownership import table as tables
from shallotspindle_ownership.table import OwnershipEntry, OwnershipTable, WriteResult

LIVE = [f"{n:032x}" for n in range(40)]


def assign_all_partitions(live) -> OwnershipTable:
    table = OwnershipTable()
    for name in live:
        own = placement.choose_partitions_to_acquire(OwnershipTable(), name, live, 0.0)
        table = tables.apply_changes(table, tables.create_entries(table, own, name))
    return table


class TestFreePartitions:
    def test_are_all_acquired_and_evenly_distributed(self):
        # Guards against partitions without a holder and an overloaded instance.
        table = assign_all_partitions(LIVE)
        assert len(table.entries) == PARTITION_COUNT
        loads = tables.count_partitions_by_holder(table)
        assert max(loads.values()) <= placement.compute_fair_load(LIVE)

    def test_are_acquired_by_others_when_the_best_instance_does_not(self):
        # Guards against partitions that stay free because their best instance hangs.
        table = assign_all_partitions(LIVE)
        freed = tables.list_held_partitions(table, LIVE[0])
        remaining = {
            partition: entry
            for partition, entry in table.entries.items()
            if partition not in freed
        }
        free_seconds = placement.FALLBACK_DELAY_SECONDS * len(LIVE)
        found = placement.choose_partitions_to_acquire(
            OwnershipTable(0, remaining), LIVE[1], LIVE, free_seconds
        )
        assert found == sorted(freed)


class TestMoves:
    def test_overloaded_instance_hands_over_a_bounded_part_of_its_surplus(self):
        # Guards against a burst of handovers, and against moves in an even fleet.
        held = {n: OwnershipEntry(LIVE[0], 1) for n in range(PARTITION_COUNT)}
        moves = placement.choose_moves(OwnershipTable(0, held), LIVE[0], LIVE)
        assert len(moves) == placement.MAX_MOVES_PER_PASS
        assert LIVE[0] not in moves.values()
        assert placement.choose_moves(assign_all_partitions(LIVE), LIVE[0], LIVE) == {}

    def test_partitions_of_a_leaving_instance_do_not_overload_others(self):
        # Guards against a graceful shutdown that exceeds the fair load of an instance.
        table = assign_all_partitions(LIVE)
        own = tables.list_held_partitions(table, LIVE[0])
        loads = tables.count_partitions_by_holder(table)
        successors = placement.choose_holders(own, LIVE[1:], loads)
        assert set(successors) == set(own)
        new_loads = loads + Counter(successors.values())
        assert max(new_loads[n] for n in LIVE[1:]) <= placement.compute_fair_load(
            LIVE[1:]
        )


class TestObservers:
    def test_each_holder_has_two_or_three(self):
        # Guards against a holder whose end nobody would notice.
        counts = Counter()
        for name in LIVE:
            counts.update(
                placement.list_observed_holders(name, LIVE, [*LIVE, "f" * 32])
            )
        assert all(2 <= counts[name] <= 3 for name in [*LIVE, "f" * 32])


class TestLostResponse:
    def test_is_resolved_by_reading_the_table_back(self):
        # Guards against giving up a write that may still reach the store.
        base = OwnershipTable(3)
        changes = {7: OwnershipEntry("a", 1)}
        own = OwnershipTable(4, changes)
        other = OwnershipTable(4, {7: OwnershipEntry("b", 1)})
        assert tables.resolve_write(base, changes, own) is WriteResult.APPLIED
        assert tables.resolve_write(base, changes, other) is WriteResult.SUPERSEDED
        assert tables.resolve_write(base, changes, base) is WriteResult.UNDECIDED
