"""Finds the team that an API key belongs to.

A request runs only for the team whose key it carries; a withdrawn key belongs to no
team. A team may have several keys, so that a new key works before the old one is
withdrawn.
"""

import hmac
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import islice

from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import KEY_DIGEST_BYTES, TeamName
from shallotspindle_keys import digests

# One bucket for each value of a digest's first byte.
BUCKET_COUNT = 256
# Keys that are indexed at a time. Bounds the memory of digests that are held as
# separate objects while a directory is built.
BATCH_KEYS = 8_192


@dataclass(frozen=True, slots=True)
class UnknownKey(Failure):
    """No team has the key, or it was withdrawn."""


@dataclass(frozen=True, slots=True)
class KeyConflict(Failure):
    """Two teams have the same key."""


@dataclass(frozen=True, slots=True)
class DigestBucket:
    """Digests with the same first byte and the teams that they belong to.

    :param digests: digests in ascending order, 32 bytes each.
    :param teams: team of each digest, in the same order.
    """

    digests: bytes = b""
    teams: tuple[TeamName, ...] = ()


@dataclass(frozen=True, slots=True)
class KeyDirectory:
    """Teams by the digests of their keys.

    The digests of a bucket are concatenated in one value: 74,000 keys as entries of
    a dict take more memory than all other parts of a bundle together.

    :param salt: salt of the digests.
    :param buckets: ``BUCKET_COUNT`` buckets, indexed by the digest's first byte.
    :param withdrawn: digests of withdrawn keys, which belong to no team even if a
        bucket has them.
    """

    salt: bytes
    buckets: tuple[DigestBucket, ...] = (DigestBucket(),) * BUCKET_COUNT
    withdrawn: frozenset[bytes] = frozenset()


def get_digest(bucket: DigestBucket, index: int) -> bytes:
    return bucket.digests[index * KEY_DIGEST_BYTES : (index + 1) * KEY_DIGEST_BYTES]


def find_index(bucket: DigestBucket, digest: bytes) -> int:
    """Return the index of the first digest that is not below the given one.

    :returns: the number of digests if all are below it.
    """
    low, high = 0, len(bucket.teams)
    while low < high:
        middle = (low + high) // 2
        if get_digest(bucket, middle) < digest:
            low = middle + 1
        else:
            high = middle
    return low


def build_bucket(teams_by_digest: Mapping[bytes, TeamName]) -> DigestBucket:
    ordered = sorted(teams_by_digest.items())
    return DigestBucket(
        b"".join(digest for digest, _ in ordered), tuple(team for _, team in ordered)
    )


def unpack_bucket(bucket: DigestBucket) -> dict[bytes, TeamName]:
    """Return the teams of a bucket by digest."""
    return {get_digest(bucket, n): team for n, team in enumerate(bucket.teams)}


def build_directory(
    salt: bytes,
    digests_by_team: Iterable[tuple[TeamName, Iterable[bytes]]],
    withdrawn: frozenset[bytes] = frozenset(),
) -> KeyDirectory | KeyConflict:
    """Index the key digests of all teams.

    :param digests_by_team: pairs of a team and the digests of its keys.
    :returns: the directory, or a failure if two teams have the same key.
    """
    pairs = ((team, digest) for team, items in digests_by_team for digest in items)
    directory = KeyDirectory(salt, withdrawn=withdrawn)
    while batch := tuple(islice(pairs, BATCH_KEYS)):
        updated = update_directory(directory, (), batch)
        if isinstance(updated, KeyConflict):
            return updated
        directory = updated
    return directory


def update_directory(
    directory: KeyDirectory,
    removed: Iterable[tuple[TeamName, bytes]],
    added: Iterable[tuple[TeamName, bytes]],
) -> KeyDirectory | KeyConflict:
    """Return a directory with some keys removed and added.

    Only the buckets of these keys are copied; the others are shared with the given
    directory.

    :param removed: pairs of a team and the digest of a key that it no longer has.
    :param added: pairs of a team and the digest of a new key.
    :returns: the directory, or a failure if an added key belongs to another team.
    """
    changes: dict[int, list[tuple[TeamName | None, bytes]]] = {}
    for _, digest in removed:
        changes.setdefault(digest[0], []).append((None, digest))
    for team, digest in added:
        changes.setdefault(digest[0], []).append((team, digest))
    buckets = list(directory.buckets)
    # Unpacks one bucket at a time, which bounds the memory of unpacked digests.
    for index, bucket_changes in changes.items():
        bucket = update_bucket(buckets[index], bucket_changes)
        if isinstance(bucket, KeyConflict):
            return bucket
        buckets[index] = bucket
    return replace(directory, buckets=tuple(buckets))


def update_bucket(
    bucket: DigestBucket, changes: Iterable[tuple[TeamName | None, bytes]]
) -> DigestBucket | KeyConflict:
    """Return a bucket with some keys removed and added.

    :param changes: pairs of a team and a digest, in the order in which they apply;
        None as the team removes the digest.
    """
    teams_by_digest = unpack_bucket(bucket)
    for team, digest in changes:
        if team is None:
            teams_by_digest.pop(digest, None)
            continue
        owner = teams_by_digest.setdefault(digest, team)
        if owner != team:
            return KeyConflict(
                "keys", "two teams have the same key", f"{owner}, {team}"
            )
    return build_bucket(teams_by_digest)


def replace_withdrawn(
    directory: KeyDirectory, withdrawn: frozenset[bytes]
) -> KeyDirectory:
    """Return a directory with another set of withdrawn digests."""
    return replace(directory, withdrawn=withdrawn)


def find_team(directory: KeyDirectory, key: str) -> TeamName | UnknownKey:
    """Return the team that a key belongs to.

    The last comparison takes the same time for every wrong key, so its duration does
    not reveal how much of a digest matches.
    """
    digest = digests.digest_key(directory.salt, key)
    bucket = directory.buckets[digest[0]]
    index = find_index(bucket, digest)
    unknown = UnknownKey("key", "the key is not known or was withdrawn")
    if index == len(bucket.teams) or digest in directory.withdrawn:
        return unknown
    if not hmac.compare_digest(get_digest(bucket, index), digest):
        return unknown
    return bucket.teams[index]
