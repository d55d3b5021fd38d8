"""Hashes that every instance computes alike."""

from collections.abc import Iterable

import xxhash

PARTITION_COUNT = 1024


def hash_text(*parts: str) -> int:
    """Return a 64-bit hash of the parts, independent of process and platform.

    :param parts: the texts to hash, kept apart by a zero byte.
    """
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


def find_partition(*parts: str) -> int:
    """Return the partition number that the parts hash to.

    :returns: an integer from 0 to ``PARTITION_COUNT - 1``.
    """
    return hash_text(*parts) % PARTITION_COUNT


def rank_rendezvous(key: str, candidates: Iterable[str]) -> list[str]:
    """Order candidates by rendezvous hash for a key, best first.

    A candidate that comes or goes changes the order of no other two, so that few
    keys move when the set changes.

    :param key: what is to be placed.
    :param candidates: names of the possible places.
    """
    return sorted(candidates, key=lambda name: (-hash_text(key, name), name))
