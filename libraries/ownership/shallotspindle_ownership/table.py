"""The ownership table: the holder of each partition.

The table is one value of the store and changes by compare-and-swap. The epoch of a
partition increases with every change of its holder.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType

from shallotspindle_core.hashing import PARTITION_COUNT
from shallotspindle_core.identifiers import Incarnation

# Before the ownership of a partition expires, the partition may have been handed over
# repeatedly without the store, each time at the next epoch. The step keeps the epoch of
# the new holder above all of these, so that peers do not take a former holder for the
# newer one.
EXPIRY_EPOCH_STEP = 1024


@dataclass(frozen=True, slots=True)
class OwnershipEntry:
    """Holder of one partition."""

    holder: Incarnation
    epoch: int


@dataclass(frozen=True, slots=True)
class OwnershipTable:
    """Entries by partition.

    :param revision: revision of the stored value; 0 when there is none.
    """

    revision: int = 0
    entries: Mapping[int, OwnershipEntry] = field(
        default_factory=lambda: MappingProxyType({})
    )


class WriteResult(Enum):
    """What a later read shows about a write whose response was lost.

    ``UNDECIDED``: the write may still take effect.
    """

    APPLIED = "applied"
    SUPERSEDED = "superseded"
    UNDECIDED = "undecided"


def apply_changes(
    table: OwnershipTable, changes: Mapping[int, OwnershipEntry]
) -> OwnershipTable:
    """Return the table with new entries.

    :raises ValueError: if a new epoch is not above the present one.
    """
    for partition, entry in changes.items():
        if entry.epoch <= find_epoch(table, partition):
            raise ValueError(
                f"new epoch {entry.epoch} of partition {partition} "
                f"is not above its epoch {find_epoch(table, partition)}"
            )
    merged = MappingProxyType({**table.entries, **changes})
    return OwnershipTable(table.revision, merged)


def find_epoch(table: OwnershipTable, partition: int) -> int:
    """Return the epoch of a partition, 0 if it never had a holder."""
    entry = table.entries.get(partition)
    return entry.epoch if entry else 0


def list_free_partitions(table: OwnershipTable) -> list[int]:
    return [
        partition
        for partition in range(PARTITION_COUNT)
        if partition not in table.entries
    ]


def list_held_partitions(table: OwnershipTable, holder: Incarnation) -> list[int]:
    return [
        partition
        for partition, entry in table.entries.items()
        if entry.holder == holder
    ]


def count_partitions_by_holder(table: OwnershipTable) -> Counter[Incarnation]:
    return Counter(entry.holder for entry in table.entries.values())


def create_entries(
    table: OwnershipTable,
    partitions: Iterable[int],
    holder: Incarnation,
    epoch_step: int = 1,
) -> dict[int, OwnershipEntry]:
    """Return new entries that give partitions to a holder at a higher epoch.

    :param epoch_step: increase of the epoch; ``EXPIRY_EPOCH_STEP`` after a proof of
        expiry.
    """
    return {
        partition: OwnershipEntry(holder, find_epoch(table, partition) + epoch_step)
        for partition in partitions
    }


def resolve_write(
    base: OwnershipTable,
    changes: Mapping[int, OwnershipEntry],
    current: OwnershipTable,
) -> WriteResult:
    """Find out from a later read whether a write whose response was lost took effect.

    While the table still has the revision that the write expected, the write may be
    in flight. Writing again at the same revision settles it.

    :param base: the table that the write was based on.
    :param current: the table read later.
    """
    if all(
        current.entries.get(partition) == entry for partition, entry in changes.items()
    ):
        return WriteResult.APPLIED
    if current.revision == base.revision:
        return WriteResult.UNDECIDED
    return WriteResult.SUPERSEDED
