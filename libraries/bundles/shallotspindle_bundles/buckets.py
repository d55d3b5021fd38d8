"""Division of a bundle into chunks that a change touches few of.

A bundle has one index that names the chunk of each bucket by digest; the manifest
names the index. A change of one team therefore rewrites one chunk and the index, and
the manifest stays so small that polling it costs little.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from shallotspindle_bundles import differences, teams
from shallotspindle_bundles.differences import Change
from shallotspindle_bundles.records import Bundle, Route, Service, Team

# 150 services with 6,300 upstreams and 4,100 routes: below 150 KB a chunk.
SERVICE_BUCKET_COUNT = 16
ROUTE_BUCKET_COUNT = 16


class Section(StrEnum):
    """Kind of record in a bucket."""

    HEADER = "header"
    TEAMS = "teams"
    SERVICES = "services"
    ROUTES = "routes"


BUCKET_COUNTS = {
    Section.HEADER: 1,
    Section.TEAMS: teams.TEAM_BUCKET_COUNT,
    Section.SERVICES: SERVICE_BUCKET_COUNT,
    Section.ROUTES: ROUTE_BUCKET_COUNT,
}


@dataclass(frozen=True, slots=True)
class BucketId:
    """Number of a bucket within its section."""

    section: Section
    number: int


BUCKET_IDS = tuple(
    BucketId(section, number)
    for section, count in BUCKET_COUNTS.items()
    for number in range(count)
)
HEADER = BucketId(Section.HEADER, 0)


@dataclass(frozen=True, slots=True)
class BundleHeader:
    """What a bundle has once: the salt and the withdrawn digests, in order."""

    salt: bytes
    withdrawn: tuple[bytes, ...] = ()


BucketContent = (
    BundleHeader | tuple[Team, ...] | tuple[Service, ...] | tuple[Route, ...]
)


def get_bucket_content(bundle: Bundle, bucket_id: BucketId) -> BucketContent:
    """Return the records of a bucket, ordered by name."""
    number = bucket_id.number
    match bucket_id.section:
        case Section.HEADER:
            return BundleHeader(bundle.salt, tuple(sorted(bundle.withdrawn)))
        case Section.TEAMS:
            return list_bucket_teams(bundle, number)
        case Section.SERVICES:
            found = (
                sort_upstreams(item)
                for name, item in bundle.services.items()
                if teams.compute_bucket_number(name, SERVICE_BUCKET_COUNT) == number
            )
        case Section.ROUTES:
            found = (
                item
                for item in bundle.routes
                if teams.compute_bucket_number(item.name, ROUTE_BUCKET_COUNT) == number
            )
    return tuple(sorted(found, key=lambda item: item.name))


def list_bucket_teams(bundle: Bundle, number: int) -> tuple[Team, ...]:
    """Return the teams of a bucket, ordered by name."""
    if isinstance(bundle.teams, teams.PackedTeams):
        return tuple(teams.unpack_teams(bundle.teams.buckets[number]))
    packed = teams.build_teams(bundle.teams.values())
    return tuple(teams.unpack_teams(packed.buckets[number]))


def sort_upstreams(service: Service) -> Service:
    """Return the service with its upstreams ordered by name.

    Equal bundles need equal chunks, whatever the order of their changes was.
    """
    ordered = tuple(sorted(service.upstreams, key=lambda item: item.name))
    return Service(service.name, ordered, service.floor)


def list_changed_buckets(changes: Iterable[Change]) -> frozenset[BucketId]:
    """Return the buckets whose chunks the changes replace."""
    changes = tuple(changes)
    names = differences.list_changed_services(changes)
    found = {
        BucketId(
            Section.SERVICES, teams.compute_bucket_number(name, SERVICE_BUCKET_COUNT)
        )
        for name in names
    }
    for change in changes:
        match change:
            case differences.TeamChange(name=name):
                found.add(BucketId(Section.TEAMS, teams.compute_bucket_number(name)))
            case differences.RouteChange(name=name):
                number = teams.compute_bucket_number(name, ROUTE_BUCKET_COUNT)
                found.add(BucketId(Section.ROUTES, number))
            case differences.SaltChange() | differences.WithdrawnChange():
                found.add(HEADER)
    return frozenset(found)
