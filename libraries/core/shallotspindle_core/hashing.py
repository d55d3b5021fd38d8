"""Hash functions whose results are equal on all instances."""

from collections.abc import Iterable

import xxhash

PARTITION_COUNT = 1024


def hash_text(*parts: str) -> int:
    """Return a 64-bit hash of the parts, independent of process and platform.

    :param parts: texts to hash, joined by zero bytes so that ("ab", "c") and
        ("a", "bc") differ.
    """
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


def find_partition(*parts: str) -> int:
    """Return the partition of a key, from 0 to ``PARTITION_COUNT - 1``.

    :param parts: texts that make up the key.
    """
    return hash_text(*parts) % PARTITION_COUNT


def rank_rendezvous(key: str, candidates: Iterable[str]) -> list[str]:
    """Order candidates by rendezvous hash for a key, highest first.

    An added or removed candidate does not change the order of the others, so that few
    keys move when the set changes.

    :param key: name of the thing to assign to a candidate.
    :param candidates: names of the candidates.
    """
    return sorted(candidates, key=lambda name: (-hash_text(key, name), name))
