"""Division of a bundle into buckets, each of which is stored as one chunk.

The index of a bundle lists the digest of each bucket's chunk, and the manifest has the
digest of the index. A change of one team therefore rewrites only one chunk and the
index, and the manifest stays small, so that polling it is cheap.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from shallotspindle_bundles import differences, teams
from shallotspindle_bundles.differences import Change
from shallotspindle_bundles.records import Bundle, Route, Service, Team

# With 150 services, 6,300 upstreams and 4,100 routes, each chunk is below 150 KB.
SERVICE_BUCKET_COUNT = 16
ROUTE_BUCKET_COUNT = 16


class Section(StrEnum):
    """Kind of the records in a bucket."""

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
    """Section of a bucket and its number within the section."""

    section: Section
    number: int


BUCKET_IDS = tuple(
    BucketId(section, number)
    for section, count in BUCKET_COUNTS.items()
    for number in range(count)
)
HEADER_BUCKET = BucketId(Section.HEADER, 0)


@dataclass(frozen=True, slots=True)
class BundleHeader:
    """Fields of a bundle outside its records: the salt and the withdrawn digests.

    :param withdrawn: sorted digests of the withdrawn keys.
    """

    salt: bytes
    withdrawn: tuple[bytes, ...] = ()


BucketContent = (
    BundleHeader | tuple[Team, ...] | tuple[Service, ...] | tuple[Route, ...]
)


def get_bucket_content(bundle: Bundle, bucket_id: BucketId) -> BucketContent:
    """Return the records of a bucket, sorted by name."""
    number = bucket_id.number
    match bucket_id.section:
        case Section.HEADER:
            return BundleHeader(bundle.salt, tuple(sorted(bundle.withdrawn)))
        case Section.TEAMS:
            return list_bucket_teams(bundle, number)
        case Section.SERVICES:
            selected = (
                sort_upstreams(item)
                for name, item in bundle.services.items()
                if teams.compute_bucket_number(name, SERVICE_BUCKET_COUNT) == number
            )
        case Section.ROUTES:
            selected = (
                item
                for item in bundle.routes
                if teams.compute_bucket_number(item.name, ROUTE_BUCKET_COUNT) == number
            )
    return tuple(sorted(selected, key=lambda item: item.name))


def list_bucket_teams(bundle: Bundle, number: int) -> tuple[Team, ...]:
    """Return the teams of a bucket, sorted by name."""
    if isinstance(bundle.teams, teams.PackedTeams):
        return tuple(teams.unpack_teams(bundle.teams.buckets[number]))
    packed = teams.build_teams(bundle.teams.values())
    return tuple(teams.unpack_teams(packed.buckets[number]))


def sort_upstreams(service: Service) -> Service:
    """Return the service with its upstreams sorted by name.

    Equal bundles must have equal chunks, whatever the order of their changes was.
    """
    sorted_upstreams = tuple(sorted(service.upstreams, key=lambda item: item.name))
    return Service(service.name, sorted_upstreams, service.floor)


def list_changed_buckets(changes: Iterable[Change]) -> frozenset[BucketId]:
    """Return the buckets whose chunks the changes replace."""
    changes = tuple(changes)
    changed_services = differences.list_changed_services(changes)
    changed_buckets = {
        BucketId(
            Section.SERVICES, teams.compute_bucket_number(name, SERVICE_BUCKET_COUNT)
        )
        for name in changed_services
    }
    for change in changes:
        match change:
            case differences.TeamChange(name=name):
                changed_buckets.add(
                    BucketId(Section.TEAMS, teams.compute_bucket_number(name))
                )
            case differences.RouteChange(name=name):
                number = teams.compute_bucket_number(name, ROUTE_BUCKET_COUNT)
                changed_buckets.add(BucketId(Section.ROUTES, number))
            case differences.SaltChange() | differences.WithdrawnChange():
                changed_buckets.add(HEADER_BUCKET)
    return frozenset(changed_buckets)
