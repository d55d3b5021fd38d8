"""Deltas: the changes from one accepted version to the next.

A delta has no signature of its own. Whoever applies it compares the digest of the
resulting index with the one in the signed manifest.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from shallotspindle_bundles import differences
from shallotspindle_bundles.differences import Change
from shallotspindle_bundles.records import Bundle
from shallotspindle_core.failures import Failure

# At 1,900 changes a day, 256 deltas cover the last 3.2 hours; whoever is further
# behind reads the changed chunks.
MAX_STORED_DELTAS = 256


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes that lead from version ``parent`` to ``version``.

    :param dropped: digests of the chunks that the parent has and the version has not;
        they are removed from the store when the delta itself is overwritten.
    """

    version: int
    parent: int
    changes: tuple[Change, ...]
    dropped: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DeltaGap(Failure):
    """The deltas do not lead from the bundle at hand to the wanted version."""


def find_storage_slot(version: int) -> int:
    """Return the number under which a delta is kept; the oldest is overwritten."""
    return version % MAX_STORED_DELTAS


def apply_deltas(
    bundle: Bundle, deltas: Iterable[Delta], version: int
) -> tuple[Bundle, tuple[Change, ...]] | DeltaGap:
    """Apply deltas in the order of their versions.

    :param version: version to reach; later deltas are left out.
    :returns: the bundle and all its changes, or the gap.
    """
    changes: list[Change] = []
    reached = bundle.version
    for delta in sorted(deltas, key=lambda item: item.version):
        if not reached < delta.version <= version:
            continue
        if delta.parent != reached:
            break
        changes += delta.changes
        reached = delta.version
    if reached != version:
        source = f"bundle {version}"
        return DeltaGap(source, "a delta is missing", f"after version {reached}")
    return differences.apply(bundle, changes, version), tuple(changes)
