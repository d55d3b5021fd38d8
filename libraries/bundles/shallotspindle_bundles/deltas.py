"""Deltas: the changes from one accepted version to the next.

A delta is not signed. An instance that applies one compares the digest of the resulting
index with the digest in the signed manifest.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from shallotspindle_bundles import differences
from shallotspindle_bundles.differences import Change
from shallotspindle_bundles.records import Bundle
from shallotspindle_core.failures import Failure

# With 1,900 changes a day, 256 deltas cover the last 3.2 hours. An instance that is
# further behind reads the changed chunks.
MAX_STORED_DELTAS = 256


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes that lead from version ``parent`` to ``version``.

    :param dropped: digests of the chunks that only the parent uses; they are deleted
        from the store when the delta is overwritten.
    """

    version: int
    parent: int
    changes: tuple[Change, ...]
    dropped: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DeltaGap(Failure):
    """The deltas do not lead from the given bundle to the requested version."""


def find_storage_slot(version: int) -> int:
    """Return the number under which a delta is stored, overwriting the oldest one."""
    return version % MAX_STORED_DELTAS


def apply_deltas(
    bundle: Bundle, deltas: Iterable[Delta], version: int
) -> tuple[Bundle, tuple[Change, ...]] | DeltaGap:
    """Apply deltas in the order of their versions.

    :param version: version to reach; later deltas are ignored.
    :returns: the new bundle and all applied changes; a failure if a delta is missing.
    """
    changes: list[Change] = []
    reached_version = bundle.version
    for delta in sorted(deltas, key=lambda item: item.version):
        if not reached_version < delta.version <= version:
            continue
        if delta.parent != reached_version:
            break
        changes += delta.changes
        reached_version = delta.version
    if reached_version != version:
        source = f"bundle {version}"
        return DeltaGap(
            source, "a delta is missing", f"after version {reached_version}"
        )
    return differences.apply(bundle, changes, version), tuple(changes)
