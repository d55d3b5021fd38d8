"""Checks of a packed bundle, one part at a time.

A whole bundle as unpacked records takes three times the memory of the packed one. A
change of one team does not require a check of all routes.
"""

from collections.abc import Iterable, Iterator

from shallotspindle_bundles import checks, differences, teams
from shallotspindle_bundles.checks import BundleFailure
from shallotspindle_bundles.differences import Change
from shallotspindle_bundles.records import Bundle, Draft, Team
from shallotspindle_core.identifiers import TeamName


def find_teams(bundle: Bundle, names: Iterable[TeamName | None]) -> tuple[Team, ...]:
    """Return the teams with the given names, each once; unknown names are skipped."""
    known_names = sorted({name for name in names if name and name in bundle.teams})
    return tuple(bundle.teams[name] for name in known_names)


def list_drafts(bundle: Bundle) -> Iterator[Draft]:
    """Return drafts that together contain all records of the bundle.

    Checks of single drafts cannot find a key digest that teams of two buckets share.
    Building the index of keys finds it.
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
        bucket_teams = tuple(teams.unpack_teams(bucket))
        yield Draft(bundle.version, bundle.salt, bucket_teams)


def select_affected_records(bundle: Bundle, changes: Iterable[Change]) -> Draft:
    """Return the records that the changes may have made invalid.

    :param bundle: the bundle after the changes.
    """
    changed_teams, has_only_teams = set(), True
    for change in changes:
        if isinstance(change, differences.TeamChange) and change.after is not None:
            changed_teams.add(change.name)
        elif not isinstance(change, differences.WithdrawnChange):
            has_only_teams = False
    withdrawn = tuple(bundle.withdrawn)
    if has_only_teams:
        team_records = find_teams(bundle, changed_teams)
        return Draft(bundle.version, bundle.salt, team_records, withdrawn=withdrawn)
    route_teams = {route.team for route in bundle.routes}
    return Draft(
        bundle.version,
        bundle.salt,
        find_teams(bundle, route_teams | changed_teams),
        tuple(bundle.services.values()),
        bundle.routes,
        withdrawn,
    )


def check_bundle(bundle: Bundle) -> tuple[BundleFailure, ...]:
    """Return all failures of a packed bundle."""
    return tuple(f for draft in list_drafts(bundle) for f in checks.check_draft(draft))
