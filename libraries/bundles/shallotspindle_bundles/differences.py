"""Typed changes between two bundles, and their application.

``apply(old, compare(old, new), version)`` equals ``new`` except for the version.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import TypeVar

from shallotspindle_bundles import records, teams
from shallotspindle_bundles.records import Bundle, Route, Service, Team, Upstream
from shallotspindle_core.identifiers import ServiceName, TeamName, UpstreamName

Record = TypeVar("Record")


@dataclass(frozen=True, slots=True)
class TeamChange:
    """A team was added (``before`` is None), removed (``after`` is None) or changed."""

    name: TeamName
    before: Team | None
    after: Team | None


@dataclass(frozen=True, slots=True)
class ServiceChange:
    """A service was added or removed, or its floor has changed.

    The services of this record have no upstreams; each changed upstream has its own
    ``UpstreamChange``.
    """

    name: ServiceName
    before: Service | None
    after: Service | None


@dataclass(frozen=True, slots=True)
class UpstreamChange:
    """An upstream of a service was added, removed or changed."""

    service: ServiceName
    name: UpstreamName
    before: Upstream | None
    after: Upstream | None


@dataclass(frozen=True, slots=True)
class RouteChange:
    """A route was added, removed or changed."""

    name: str
    before: Route | None
    after: Route | None


@dataclass(frozen=True, slots=True)
class SaltChange:
    """The salt of all key digests was replaced."""

    before: bytes
    after: bytes


@dataclass(frozen=True, slots=True)
class WithdrawnChange:
    """The set of withdrawn keys has changed.

    :param added: sorted digests of the added keys.
    :param removed: sorted digests of the removed keys.
    """

    added: tuple[bytes, ...]
    removed: tuple[bytes, ...]


Change = (
    TeamChange
    | ServiceChange
    | UpstreamChange
    | RouteChange
    | SaltChange
    | WithdrawnChange
)


def list_changed_records(
    before: Mapping[str, Record], after: Mapping[str, Record]
) -> Iterator[tuple[str, Record | None, Record | None]]:
    """Return the name and both records of each difference, sorted by name."""
    for name in sorted({*before, *after}):
        old, new = before.get(name), after.get(name)
        if old != new:
            yield name, old, new


def compare_teams(
    before: Mapping[TeamName, Team], after: Mapping[TeamName, Team]
) -> Iterator[TeamChange]:
    """Return the changed teams; buckets that both mappings share are skipped."""
    if not (
        isinstance(before, teams.PackedTeams) and isinstance(after, teams.PackedTeams)
    ):
        yield from (TeamChange(*item) for item in list_changed_records(before, after))
        return
    changes: list[TeamChange] = []
    for old, new in zip(before.buckets, after.buckets, strict=True):
        if old is new or old == new:
            continue
        old_teams = {team.name: team for team in teams.unpack_teams(old)}
        new_teams = {team.name: team for team in teams.unpack_teams(new)}
        changes += (
            TeamChange(*item) for item in list_changed_records(old_teams, new_teams)
        )
    yield from sorted(changes, key=lambda change: change.name)


def compare_services(
    before: Mapping[ServiceName, Service], after: Mapping[ServiceName, Service]
) -> Iterator[ServiceChange | UpstreamChange]:
    for name, old, new in list_changed_records(before, after):
        old_settings = replace(old, upstreams=()) if old else None
        new_settings = replace(new, upstreams=()) if new else None
        if old_settings != new_settings:
            yield ServiceChange(name, old_settings, new_settings)
        old_upstreams = {item.name: item for item in old.upstreams} if old else {}
        new_upstreams = {item.name: item for item in new.upstreams} if new else {}
        yield from (
            UpstreamChange(name, *item)
            for item in list_changed_records(old_upstreams, new_upstreams)
        )


def compare(before: Bundle, after: Bundle) -> tuple[Change, ...]:
    """Return the changes that turn one bundle into another, in a fixed order."""
    changes: list[Change] = []
    if before.salt != after.salt:
        changes.append(SaltChange(before.salt, after.salt))
    changes += compare_services(before.services, after.services)
    old_routes = {route.name: route for route in before.routes}
    new_routes = {route.name: route for route in after.routes}
    changes += (
        RouteChange(*item) for item in list_changed_records(old_routes, new_routes)
    )
    changes += compare_teams(before.teams, after.teams)
    if before.withdrawn != after.withdrawn:
        added = tuple(sorted(after.withdrawn - before.withdrawn))
        removed = tuple(sorted(before.withdrawn - after.withdrawn))
        changes.append(WithdrawnChange(added, removed))
    return tuple(changes)


def set_or_remove(
    records_by_name: dict[str, Record], name: str, record: Record | None
) -> None:
    """Set the record of a name, or remove the name if the record is None."""
    if record is None:
        records_by_name.pop(name, None)
    else:
        records_by_name[name] = record


def apply_services(
    services: Mapping[ServiceName, Service], changes: Iterable[Change]
) -> Mapping[ServiceName, Service]:
    """Return the services with their changes and those of their upstreams applied."""
    result = dict(services)
    upstreams_by_service: dict[ServiceName, dict[UpstreamName, Upstream]] = {}
    for change in changes:
        if isinstance(change, ServiceChange):
            old = result.get(change.name)
            old_upstreams = old.upstreams if old else ()
            after = change.after
            set_or_remove(
                result,
                change.name,
                replace(after, upstreams=old_upstreams) if after else None,
            )
        elif isinstance(change, UpstreamChange) and change.service in result:
            old_upstreams = result[change.service].upstreams
            changed_upstreams = upstreams_by_service.setdefault(
                change.service, {item.name: item for item in old_upstreams}
            )
            set_or_remove(changed_upstreams, change.name, change.after)
    for name, changed_upstreams in upstreams_by_service.items():
        if name in result:
            result[name] = replace(
                result[name], upstreams=tuple(changed_upstreams.values())
            )
    return result


def apply_routes(
    routes: tuple[Route, ...], changed: Mapping[str, Route | None]
) -> tuple[Route, ...]:
    """Return the routes with their changes applied, in the order of a bundle."""
    if not changed:
        return routes
    updated = {route.name: route for route in routes} | changed
    return records.sort_routes(route for route in updated.values() if route)


def apply(bundle: Bundle, changes: Iterable[Change], version: int) -> Bundle:
    """Return the bundle with the changes applied and a new version."""
    changes = tuple(changes)
    salt, withdrawn = bundle.salt, bundle.withdrawn
    changed_routes: dict[str, Route | None] = {}
    changed_teams: dict[TeamName, Team | None] = {}
    for change in changes:
        match change:
            case TeamChange(name=name, after=after):
                changed_teams[name] = after
            case RouteChange(name=name, after=after):
                changed_routes[name] = after
            case SaltChange(after=after):
                salt = after
            case WithdrawnChange(added=added, removed=removed):
                withdrawn = (withdrawn | set(added)) - set(removed)
    packed_teams = bundle.teams
    if not isinstance(packed_teams, teams.PackedTeams):
        packed_teams = teams.build_teams(packed_teams.values())
    return Bundle(
        version=version,
        salt=salt,
        teams=teams.replace_teams(packed_teams, changed_teams),
        services=apply_services(bundle.services, changes),
        routes=apply_routes(bundle.routes, changed_routes),
        withdrawn=frozenset(withdrawn),
    )


def list_changed_services(changes: Iterable[Change]) -> set[ServiceName]:
    """Return the names of the services that are changed or have changed upstreams."""
    names = set()
    for change in changes:
        if isinstance(change, ServiceChange):
            names.add(change.name)
        elif isinstance(change, UpstreamChange):
            names.add(change.service)
    return names
