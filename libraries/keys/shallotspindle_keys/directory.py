"""Finds the team of a key.

A request runs only for the team whose key came with it; a withdrawn key finds none.
"""

import hmac
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import TeamName
from shallotspindle_keys import digests


@dataclass(frozen=True, slots=True)
class UnknownKey(Failure):
    """No team has the key, or it was withdrawn."""


@dataclass(frozen=True, slots=True)
class Directory:
    """Teams by the digests of their keys.

    :param salt: salt of the digests.
    :param teams: the team and the full digest, by the digest's first 8 bytes.
    :param withdrawn: digests that are refused.
    """

    salt: bytes
    teams: Mapping[bytes, tuple[TeamName, bytes]]
    withdrawn: frozenset[bytes] = frozenset()


PREFIX_BYTES = 8


def build_directory(
    salt: bytes,
    digests_by_team: Iterable[tuple[TeamName, Iterable[bytes]]],
    withdrawn: frozenset[bytes] = frozenset(),
) -> Directory:
    """Index the digests of all teams."""
    teams = {
        digest[:PREFIX_BYTES]: (team, digest)
        for team, team_digests in digests_by_team
        for digest in team_digests
    }
    return Directory(salt, teams, withdrawn)


def find_team(directory: Directory, key: str) -> TeamName | UnknownKey:
    """Return the team of a key.

    The comparison of the full digest takes the same time for every wrong key.
    """
    digest = digests.digest_key(directory.salt, key)
    entry = directory.teams.get(digest[:PREFIX_BYTES])
    if entry is None or digest in directory.withdrawn:
        return UnknownKey("key", "the key is not known or was withdrawn")
    team, expected = entry
    if not hmac.compare_digest(expected, digest):
        return UnknownKey("key", "the key is not known or was withdrawn")
    return team
