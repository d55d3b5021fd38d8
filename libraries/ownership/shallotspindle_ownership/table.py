"""The ownership table: who holds each partition.

The table lives in one value of the store and changes by compare-and-swap. The epoch
of a partition rises with every change of its holder.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType

from shallotspindle_core.hashing import PARTITION_COUNT
from shallotspindle_core.identifiers import Incarnation

# A partition may have been handed on without the store, each time at the next epoch,
# before its right lapsed. The step keeps the epoch of a later holder above these, so
# that peers do not take the lapsed holder for the newer one.
LAPSE_STEP = 1024


@dataclass(frozen=True, slots=True)
class Entry:
    """Holder of one partition."""

    holder: Incarnation
    epoch: int


@dataclass(frozen=True, slots=True)
class Table:
    """Entries by partition.

    :param revision: revision of the stored value; 0 when there is none.
    """

    revision: int = 0
    entries: Mapping[int, Entry] = field(default_factory=lambda: MappingProxyType({}))


class Write(Enum):
    """What a read shows of a write whose answer was lost."""

    APPLIED = "applied"
    SUPERSEDED = "superseded"
    UNDECIDED = "undecided"


def assign(table: Table, changes: Mapping[int, Entry]) -> Table:
    """Return the table with new entries.

    :raises ValueError: if an epoch does not rise.
    """
    for partition, entry in changes.items():
        if entry.epoch <= find_epoch(table, partition):
            raise ValueError(f"epoch of partition {partition} does not rise")
    merged = MappingProxyType({**table.entries, **changes})
    return Table(table.revision, merged)


def find_epoch(table: Table, partition: int) -> int:
    """Return the epoch of a partition, 0 if it never had a holder."""
    entry = table.entries.get(partition)
    return entry.epoch if entry else 0


def list_free(table: Table) -> list[int]:
    return [number for number in range(PARTITION_COUNT) if number not in table.entries]


def list_held(table: Table, holder: Incarnation) -> list[int]:
    return [n for n, entry in table.entries.items() if entry.holder == holder]


def count_holdings(table: Table) -> Counter[Incarnation]:
    return Counter(entry.holder for entry in table.entries.values())


def name_holder(
    table: Table, partitions: Iterable[int], holder: Incarnation, step: int = 1
) -> dict[int, Entry]:
    """Return changes that give partitions to a holder at a higher epoch.

    :param step: distance to the new epoch; ``LAPSE_STEP`` after a proof of lapse.
    """
    return {n: Entry(holder, find_epoch(table, n) + step) for n in partitions}


def resolve_write(base: Table, changes: Mapping[int, Entry], current: Table) -> Write:
    """Decide a write whose answer was lost from a later read.

    While the revision is the one that the write expected, the write may still be on
    its way; writing again at the same revision settles it.
    """
    if all(current.entries.get(n) == entry for n, entry in changes.items()):
        return Write.APPLIED
    if current.revision == base.revision:
        return Write.UNDECIDED
    return Write.SUPERSEDED
