from collections import Counter

from shallotspindle_core.hashing import PARTITION_COUNT
from shallotspindle_ownership import placement
from shallotspindle_ownership import table as tables
from shallotspindle_ownership.table import Entry, Table, Write

LIVE = [f"{n:032x}" for n in range(40)]


def fill(live) -> Table:
    table = Table()
    for name in live:
        mine = placement.choose_free(Table(), name, live, 0.0)
        table = tables.assign(table, tables.name_holder(table, mine, name))
    return table


class TestFreePartitions:
    def test_are_spread_evenly_and_completely(self):
        table = fill(LIVE)
        assert len(table.entries) == PARTITION_COUNT
        loads = tables.count_holdings(table)
        assert max(loads.values()) <= placement.measure_fair_load(LIVE)

    def test_of_a_silent_instance_are_acquired_by_others_later(self):
        # Guards against partitions that stay free as their best instance hangs.
        table = fill(LIVE)
        lost = tables.list_held(table, LIVE[0])
        rest = {n: e for n, e in table.entries.items() if n not in lost}
        waited = placement.PATIENCE_SECONDS * len(LIVE)
        found = placement.choose_free(Table(0, rest), LIVE[1], LIVE, waited)
        assert found == sorted(lost)


class TestMoves:
    def test_first_instance_gives_only_its_surplus_away(self):
        held = {n: Entry(LIVE[0], 1) for n in range(PARTITION_COUNT)}
        moves = placement.choose_moves(Table(0, held), LIVE[0], LIVE)
        assert len(moves) == placement.MOVES_PER_PASS
        assert LIVE[0] not in moves.values()
        assert placement.choose_moves(fill(LIVE), LIVE[0], LIVE) == {}

    def test_a_leaving_instance_moves_only_its_own_partitions(self):
        table = fill(LIVE)
        mine = tables.list_held(table, LIVE[0])
        loads = tables.count_holdings(table)
        placed = placement.place(mine, LIVE[1:], loads)
        assert set(placed) == set(mine)
        after = loads + Counter(placed.values())
        assert max(after[n] for n in LIVE[1:]) <= placement.measure_fair_load(LIVE[1:])


class TestObservers:
    def test_each_holder_has_a_few(self):
        counts = Counter()
        for name in LIVE:
            counts.update(placement.list_observed(name, LIVE, [*LIVE, "f" * 32]))
        assert all(2 <= counts[name] <= 3 for name in [*LIVE, "f" * 32])


class TestLostAnswer:
    def test_is_resolved_by_reading_back(self):
        # Guards against dropping a write that may still reach the store.
        base = Table(3)
        changes = {7: Entry("a", 1)}
        mine = Table(4, changes)
        other = Table(4, {7: Entry("b", 1)})
        assert tables.resolve_write(base, changes, mine) is Write.APPLIED
        assert tables.resolve_write(base, changes, other) is Write.SUPERSEDED
        assert tables.resolve_write(base, changes, base) is Write.UNDECIDED
