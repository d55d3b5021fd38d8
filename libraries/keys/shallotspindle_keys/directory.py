"""Finds the team of a key.

A request runs only for the team whose key came with it; a withdrawn key finds none.
A team may have several keys, so that a new key works before the old one is
withdrawn.
"""

import hmac
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import islice

from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import TeamName
from shallotspindle_keys import digests

DIGEST_BYTES = 32
BUCKET_COUNT = 256
# Keys that are indexed at a time; it bounds the memory of the loose digests.
BATCH_KEYS = 8_192


@dataclass(frozen=True, slots=True)
class UnknownKey(Failure):
    """No team has the key, or it was withdrawn."""


@dataclass(frozen=True, slots=True)
class KeyConflict(Failure):
    """Two teams have the same key."""


@dataclass(frozen=True, slots=True)
class Bucket:
    """Digests with the same first byte, in order, each 32 bytes; their teams."""

    digests: bytes = b""
    teams: tuple[TeamName, ...] = ()


@dataclass(frozen=True, slots=True)
class Directory:
    """Teams by the digests of their keys.

    Digests lie side by side in one value for each bucket: 74,000 keys as entries of
    a dict take more memory than all other parts of a bundle together.

    :param salt: salt of the digests.
    :param buckets: ``BUCKET_COUNT`` buckets by the digest's first byte.
    :param withdrawn: digests that are refused.
    """

    salt: bytes
    buckets: tuple[Bucket, ...] = (Bucket(),) * BUCKET_COUNT
    withdrawn: frozenset[bytes] = frozenset()


def get_digest(bucket: Bucket, index: int) -> bytes:
    return bucket.digests[index * DIGEST_BYTES : (index + 1) * DIGEST_BYTES]


def find_index(bucket: Bucket, digest: bytes) -> int:
    """Return the place of the first digest that is not below the given one."""
    low, high = 0, len(bucket.teams)
    while low < high:
        middle = (low + high) // 2
        if get_digest(bucket, middle) < digest:
            low = middle + 1
        else:
            high = middle
    return low


def build_bucket(entries: Mapping[bytes, TeamName]) -> Bucket:
    ordered = sorted(entries.items())
    return Bucket(
        b"".join(digest for digest, _ in ordered), tuple(team for _, team in ordered)
    )


def list_entries(bucket: Bucket) -> dict[bytes, TeamName]:
    return {get_digest(bucket, n): team for n, team in enumerate(bucket.teams)}


def build_directory(
    salt: bytes,
    digests_by_team: Iterable[tuple[TeamName, Iterable[bytes]]],
    withdrawn: frozenset[bytes] = frozenset(),
) -> Directory | KeyConflict:
    """Index the digests of all teams.

    :returns: the directory, or a failure when two teams have the same key.
    """
    pairs = ((team, digest) for team, items in digests_by_team for digest in items)
    directory = Directory(salt, withdrawn=withdrawn)
    while batch := tuple(islice(pairs, BATCH_KEYS)):
        updated = update_directory(directory, (), batch)
        if isinstance(updated, KeyConflict):
            return updated
        directory = updated
    return directory


def update_directory(
    directory: Directory,
    removed: Iterable[tuple[TeamName, bytes]],
    added: Iterable[tuple[TeamName, bytes]],
) -> Directory | KeyConflict:
    """Return the directory after some teams' keys changed.

    Only the buckets of these keys are copied.

    :returns: the directory, or a failure when an added key has another team.
    """
    changes: dict[int, list[tuple[TeamName | None, bytes]]] = {}
    for _, digest in removed:
        changes.setdefault(digest[0], []).append((None, digest))
    for team, digest in added:
        changes.setdefault(digest[0], []).append((team, digest))
    buckets = list(directory.buckets)
    # One bucket is unpacked at a time, which bounds the memory of loose digests.
    for number, group in changes.items():
        bucket = change_bucket(buckets[number], group)
        if isinstance(bucket, KeyConflict):
            return bucket
        buckets[number] = bucket
    return replace(directory, buckets=tuple(buckets))


def change_bucket(
    bucket: Bucket, changes: Iterable[tuple[TeamName | None, bytes]]
) -> Bucket | KeyConflict:
    """Return a bucket with keys removed (no team) and added."""
    entries = list_entries(bucket)
    for team, digest in changes:
        if team is None:
            entries.pop(digest, None)
            continue
        owner = entries.setdefault(digest, team)
        if owner != team:
            return KeyConflict(
                "keys", "two teams have the same key", f"{owner}, {team}"
            )
    return build_bucket(entries)


def withdraw(directory: Directory, withdrawn: frozenset[bytes]) -> Directory:
    """Return the directory with another set of refused digests."""
    return replace(directory, withdrawn=withdrawn)


def find_team(directory: Directory, key: str) -> TeamName | UnknownKey:
    """Return the team of a key.

    The comparison of the full digest takes the same time for every wrong key.
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
