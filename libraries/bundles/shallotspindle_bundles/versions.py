"""Which version an instance puts in force, and how often it asks.

The version in force never goes down.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from shallotspindle_bundles.manifests import Manifest
from shallotspindle_core import hashing
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import FailureDomain, Incarnation

WATCHER_COUNT = 8
# All instances together read the manifest this many times a second.
FLEET_READS_PER_SECOND = 50
MIN_POLL_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class VersionFailure(Failure):
    """A manifest is older than the bundle in force or does not follow its parent."""


def check_version(manifest: Manifest, current: int) -> VersionFailure | None:
    """Check that a manifest raises the version.

    :param current: version of the bundle in force; 0 for none.
    """
    source = f"manifest {manifest.version}"
    if not 0 <= manifest.parent < manifest.version:
        return VersionFailure(
            source, "the version is not above its parent", str(manifest.parent)
        )
    if manifest.version <= current:
        return VersionFailure(
            source, "the version is not above the one in force", str(current)
        )
    return None


def compute_poll_interval(instances: int) -> float:
    """Return the time between two reads of the manifest by one instance, in seconds."""
    return max(MIN_POLL_INTERVAL_SECONDS, instances / FLEET_READS_PER_SECOND)


def is_watcher(own: Incarnation, members: Iterable[Incarnation]) -> bool:
    """Return whether this instance holds a watch on the manifest."""
    ranked = hashing.rank_rendezvous("manifest watch", {own, *members})
    return own in ranked[:WATCHER_COUNT]


def find_required_version(
    reported_versions: Mapping[FailureDomain, int],
    own: FailureDomain,
    domains: frozenset[FailureDomain],
) -> int | None:
    """Return the version that a new instance needs while the store is away.

    :param told: highest version that each failure domain told.
    :param domains: all failure domains of the fleet.
    :returns: the highest version told, or None while no majority was heard.
    """
    known = domains | {own}
    heard = {own, *reported_versions} & known
    if len(heard) * 2 <= len(known):
        return None
    return max(reported_versions.values(), default=None)
