"""Rules for accepting a version, polling the store and starting without it.

The active version never decreases.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from shallotspindle_bundles.manifests import Manifest
from shallotspindle_core import hashing
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import FailureDomain, Incarnation

WATCHER_COUNT = 8
# Target rate at which all instances together read the manifest.
FLEET_READS_PER_SECOND = 50
MIN_POLL_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class VersionFailure(Failure):
    """A manifest is not newer than the active bundle or than its own parent."""


def check_version(manifest: Manifest, current: int) -> VersionFailure | None:
    """Check that a manifest increases the version.

    :param current: version of the active bundle; 0 for none.
    """
    source = f"manifest {manifest.version}"
    if not 0 <= manifest.parent < manifest.version:
        return VersionFailure(
            source, "the version is not greater than its parent", str(manifest.parent)
        )
    if manifest.version <= current:
        return VersionFailure(
            source, "the version is not greater than the active one", str(current)
        )
    return None


def compute_poll_interval(instances: int) -> float:
    """Return the interval between reads of the manifest by one instance, in seconds."""
    return max(MIN_POLL_INTERVAL_SECONDS, instances / FLEET_READS_PER_SECOND)


def is_watcher(own_incarnation: Incarnation, peers: Iterable[Incarnation]) -> bool:
    """Return whether this instance watches the manifest in the store.

    Instances with the same list of peers choose the same ``WATCHER_COUNT`` watchers by
    rendezvous hashing.
    """
    ranked = hashing.rank_rendezvous("manifest watch", {own_incarnation, *peers})
    return own_incarnation in ranked[:WATCHER_COUNT]


def find_required_version(
    reported_versions: Mapping[FailureDomain, int],
    own_domain: FailureDomain,
    domains: frozenset[FailureDomain],
) -> int | None:
    """Return the version that a new instance needs while the store is unavailable.

    :param reported_versions: highest version that each failure domain reported.
    :param domains: all failure domains of the fleet.
    :returns: the highest reported version; None until a majority of the failure
        domains, including the own one, has reported.
    """
    all_domains = domains | {own_domain}
    reporting_domains = {own_domain, *reported_versions} & all_domains
    if len(reporting_domains) * 2 <= len(all_domains):
        return None
    return max(reported_versions.values(), default=None)
