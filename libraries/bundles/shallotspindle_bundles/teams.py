"""Compact mapping of teams, split into buckets by the hash of the name.

37,000 teams as separate objects take more memory than the whole control plane may use.
A bucket stores their fields in arrays instead, and a change copies only one bucket.
"""

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import cached_property

from shallotspindle_bundles.records import Team
from shallotspindle_core import hashing
from shallotspindle_core.identifiers import KEY_DIGEST_BYTES, TeamName

# With 37,000 teams of two keys each, an encoded bucket has about 120 KB, well below the
# limit of 1 MB for a value in the store, and a new instance reads 64 chunks of teams.
TEAM_BUCKET_COUNT = 64


@dataclass(frozen=True, slots=True)
class TeamBucket:
    """Teams sorted by name, with one array for each field.

    :param digest_ends: for each team, the number of key digests of all teams up to and
        including it.
    :param digests: concatenated key digests of all teams, 32 bytes each.
    """

    names: tuple[TeamName, ...]
    rates: array
    bursts: array
    digest_ends: array
    digests: bytes


def build_bucket(teams: Iterable[Team]) -> TeamBucket:
    """Pack teams into a bucket; the last one of several with the same name is kept."""
    ordered = sorted({team.name: team for team in teams}.values(), key=_get_name)
    digest_ends, total = array("L"), 0
    for team in ordered:
        total += len(team.key_digests)
        digest_ends.append(total)
    return TeamBucket(
        tuple(team.name for team in ordered),
        array("d", [team.rate for team in ordered]),
        array("d", [team.burst for team in ordered]),
        digest_ends,
        b"".join(digest for team in ordered for digest in team.key_digests),
    )


def _get_name(team: Team) -> TeamName:
    return team.name


EMPTY_BUCKET = build_bucket(())


def compute_bucket_number(name: str, count: int = TEAM_BUCKET_COUNT) -> int:
    """Return the number of the bucket for a name, the same on all instances."""
    return hashing.hash_text("bucket", name) % count


def unpack_team(bucket: TeamBucket, index: int) -> Team:
    """Build the record of one team from the arrays of its bucket."""
    start = bucket.digest_ends[index - 1] if index else 0
    digests = (
        bucket.digests[n * KEY_DIGEST_BYTES : (n + 1) * KEY_DIGEST_BYTES]
        for n in range(start, bucket.digest_ends[index])
    )
    rate, burst = bucket.rates[index], bucket.bursts[index]
    return Team(bucket.names[index], rate, burst, tuple(digests))


def unpack_teams(bucket: TeamBucket) -> Iterator[Team]:
    """Return the teams of a bucket, sorted by name."""
    return (unpack_team(bucket, index) for index in range(len(bucket.names)))


class PackedTeams(Mapping[TeamName, Team]):
    """Immutable mapping of teams by name.

    :param buckets: ``TEAM_BUCKET_COUNT`` buckets, indexed by bucket number.
    """

    def __init__(self, buckets: tuple[TeamBucket, ...]) -> None:
        self.buckets = buckets

    @cached_property
    def _length(self) -> int:
        return sum(len(bucket.names) for bucket in self.buckets)

    def __getitem__(self, name: TeamName) -> Team:
        bucket = self.buckets[compute_bucket_number(name)]
        index = bisect_left(bucket.names, name)
        if index == len(bucket.names) or bucket.names[index] != name:
            raise KeyError(name)
        return unpack_team(bucket, index)

    def __iter__(self) -> Iterator[TeamName]:
        return (name for bucket in self.buckets for name in bucket.names)

    def __len__(self) -> int:
        return self._length


NO_TEAMS = PackedTeams((EMPTY_BUCKET,) * TEAM_BUCKET_COUNT)


def build_teams(items: Iterable[Team]) -> PackedTeams:
    """Pack teams into buckets; the last one of several with the same name is kept."""
    groups: list[list[Team]] = [[] for _ in range(TEAM_BUCKET_COUNT)]
    for team in items:
        groups[compute_bucket_number(team.name)].append(team)
    return PackedTeams(tuple(map(build_bucket, groups)))


def replace_teams(
    teams: PackedTeams, changes: Mapping[TeamName, Team | None]
) -> PackedTeams:
    """Return the mapping with changed teams; unchanged buckets are shared.

    :param changes: new teams by name; None removes a team.
    """
    groups: dict[int, dict[TeamName, Team | None]] = {}
    for name, team in changes.items():
        groups.setdefault(compute_bucket_number(name), {})[name] = team
    buckets = list(teams.buckets)
    for number, group in groups.items():
        updated = {team.name: team for team in unpack_teams(buckets[number])} | group
        buckets[number] = build_bucket(team for team in updated.values() if team)
    return PackedTeams(tuple(buckets))
