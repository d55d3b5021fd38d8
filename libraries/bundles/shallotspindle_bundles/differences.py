"""Typed differences between two bundles, and their application.

``apply(old, compare(old, new))`` equals ``new`` but for the version.
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
    """A team was added (no ``before``), removed (no ``after``) or changed."""

    name: TeamName
    before: Team | None
    after: Team | None


@dataclass(frozen=True, slots=True)
class ServiceChange:
    """A service was added, removed, or has another floor.

    The records name no upstreams; these have changes of their own.
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
    """The digests of all keys have another salt."""

    before: bytes
    after: bytes


@dataclass(frozen=True, slots=True)
class WithdrawnChange:
    """The bundle carries other withdrawals.

    :param added: digests that were added, in order.
    :param removed: digests that were removed, in order.
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
    """Return the names whose records differ with both records, ordered by name."""
    for name in sorted({*before, *after}):
        old, new = before.get(name), after.get(name)
        if old != new:
            yield name, old, new


def compare_teams(
    before: Mapping[TeamName, Team], after: Mapping[TeamName, Team]
) -> Iterator[TeamChange]:
    """Compare teams; buckets that both mappings share cost nothing."""
    if not (
        isinstance(before, teams.PackedTeams) and isinstance(after, teams.PackedTeams)
    ):
        yield from (TeamChange(*found) for found in list_changed_records(before, after))
        return
    changes: list[TeamChange] = []
    for old, new in zip(before.buckets, after.buckets, strict=True):
        if old is new or old == new:
            continue
        left = {team.name: team for team in teams.unpack_teams(old)}
        right = {team.name: team for team in teams.unpack_teams(new)}
        changes += (TeamChange(*found) for found in list_changed_records(left, right))
    yield from sorted(changes, key=lambda change: change.name)


def compare_services(
    before: Mapping[ServiceName, Service], after: Mapping[ServiceName, Service]
) -> Iterator[ServiceChange | UpstreamChange]:
    for name, old, new in list_changed_records(before, after):
        old_settings = replace(old, upstreams=()) if old else None
        new_settings = replace(new, upstreams=()) if new else None
        if old_settings != new_settings:
            yield ServiceChange(name, old_settings, new_settings)
        left = {item.name: item for item in old.upstreams} if old else {}
        right = {item.name: item for item in new.upstreams} if new else {}
        yield from (
            UpstreamChange(name, *found) for found in list_changed_records(left, right)
        )


def compare(before: Bundle, after: Bundle) -> tuple[Change, ...]:
    """Return the changes that lead from one bundle to another, in a fixed order."""
    changes: list[Change] = []
    if before.salt != after.salt:
        changes.append(SaltChange(before.salt, after.salt))
    changes += compare_services(before.services, after.services)
    left = {route.name: route for route in before.routes}
    right = {route.name: route for route in after.routes}
    changes += (RouteChange(*found) for found in list_changed_records(left, right))
    changes += compare_teams(before.teams, after.teams)
    if before.withdrawn != after.withdrawn:
        added = tuple(sorted(after.withdrawn - before.withdrawn))
        removed = tuple(sorted(before.withdrawn - after.withdrawn))
        changes.append(WithdrawnChange(added, removed))
    return tuple(changes)


def set_or_remove(table: dict[str, Record], name: str, record: Record | None) -> None:
    """Set a record, or remove the name when there is none."""
    if record is None:
        table.pop(name, None)
    else:
        table[name] = record


def apply_services(
    services: Mapping[ServiceName, Service], changes: Iterable[Change]
) -> Mapping[ServiceName, Service]:
    """Return the services after their changes and those of their upstreams."""
    result = dict(services)
    upstreams: dict[ServiceName, dict[UpstreamName, Upstream]] = {}
    for change in changes:
        if isinstance(change, ServiceChange):
            old = result.get(change.name)
            kept = old.upstreams if old else ()
            after = change.after
            set_or_remove(
                result, change.name, replace(after, upstreams=kept) if after else None
            )
        elif isinstance(change, UpstreamChange) and change.service in result:
            kept = result[change.service].upstreams
            changed_upstreams = upstreams.setdefault(
                change.service, {item.name: item for item in kept}
            )
            set_or_remove(changed_upstreams, change.name, change.after)
    for name, changed_upstreams in upstreams.items():
        if name in result:
            result[name] = replace(
                result[name], upstreams=tuple(changed_upstreams.values())
            )
    return result


def apply_routes(
    routes: tuple[Route, ...], changed: Mapping[str, Route | None]
) -> tuple[Route, ...]:
    """Return the routes after their changes, in the order of a bundle."""
    if not changed:
        return routes
    kept = {route.name: route for route in routes} | changed
    return records.sort_routes(route for route in kept.values() if route)


def apply(bundle: Bundle, changes: Iterable[Change], version: int) -> Bundle:
    """Return the bundle after the changes, under a new version."""
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
    packed = bundle.teams
    if not isinstance(packed, teams.PackedTeams):
        packed = teams.build_teams(packed.values())
    return Bundle(
        version=version,
        salt=salt,
        teams=teams.replace_teams(packed, changed_teams),
        services=apply_services(bundle.services, changes),
        routes=apply_routes(bundle.routes, changed_routes),
        withdrawn=frozenset(withdrawn),
    )


def list_changed_services(changes: Iterable[Change]) -> set[ServiceName]:
    """Return the names of the services that the changes touch."""
    names = set()
    for change in changes:
        if isinstance(change, ServiceChange):
            names.add(change.name)
        elif isinstance(change, UpstreamChange):
            names.add(change.service)
    return names
