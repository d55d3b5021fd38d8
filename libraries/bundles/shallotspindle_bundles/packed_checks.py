"""Parts of a packed bundle that are checked one after the other.

A whole bundle as loose records takes three times the memory of the packed one, and a
change of one team needs no check of all routes.
"""

from collections.abc import Iterable, Iterator

from shallotspindle_bundles import checks, differences, teams
from shallotspindle_bundles.checks import BundleFailure
from shallotspindle_bundles.differences import Change
from shallotspindle_bundles.records import Bundle, Draft, Team
from shallotspindle_core.identifiers import TeamName


def find_teams(bundle: Bundle, names: Iterable[TeamName | None]) -> tuple[Team, ...]:
    """Return the teams with the names, each once, without unknown names."""
    known = sorted({name for name in names if name and name in bundle.teams})
    return tuple(bundle.teams[name] for name in known)


def list_drafts(bundle: Bundle) -> Iterator[Draft]:
    """Return drafts that together have every record of the bundle.

    Only the uniqueness of key digests crosses parts; the index of keys proves it.
    """
    yield Draft(
        bundle.version,
        bundle.salt,
        find_teams(bundle, (route.team for route in bundle.routes)),
        tuple(bundle.services.values()),
        bundle.routes,
        tuple(bundle.withdrawn),
    )
    for bucket in bundle.teams.buckets:
        members = tuple(teams.unpack_teams(bucket))
        yield Draft(bundle.version, bundle.salt, members)


def select_affected_records(bundle: Bundle, changes: Iterable[Change]) -> Draft:
    """Return the records that changes may have made invalid.

    :param bundle: the bundle after the changes.
    """
    changed, only_teams = set(), True
    for change in changes:
        if isinstance(change, differences.TeamChange) and change.after is not None:
            changed.add(change.name)
        elif not isinstance(change, differences.WithdrawnChange):
            only_teams = False
    withdrawn = tuple(bundle.withdrawn)
    if only_teams:
        found = find_teams(bundle, changed)
        return Draft(bundle.version, bundle.salt, found, withdrawn=withdrawn)
    named = {route.team for route in bundle.routes}
    return Draft(
        bundle.version,
        bundle.salt,
        find_teams(bundle, named | changed),
        tuple(bundle.services.values()),
        bundle.routes,
        withdrawn,
    )


def check_bundle(bundle: Bundle) -> tuple[BundleFailure, ...]:
    """Return all failures of a packed bundle."""
    return tuple(f for draft in list_drafts(bundle) for f in checks.check_draft(draft))
