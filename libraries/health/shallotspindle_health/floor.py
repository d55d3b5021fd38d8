"""Selects the upstreams to eject, subject to the capacity floor of the service.

The selection is a deterministic function of its inputs: instances with the same view
eject the same upstreams, and no view leaves fewer upstreams in use than the floor.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that at least one instance wants to eject.

    :param has_quorum: whether enough instances of two failure domains suspect it.
    :param score: strength of the evidence.
    """

    name: str
    has_quorum: bool
    score: float


def order_candidates(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Order candidates: those with a quorum first, then by falling score, then by name.

    Candidates with a quorum come first, so that a single faulty instance cannot use up
    the ejections that the floor allows.
    """
    return sorted(
        candidates, key=lambda item: (not item.has_quorum, -item.score, item.name)
    )


def select_ejections(
    candidates: Iterable[Candidate], present: Set[str], floor: int
) -> frozenset[str]:
    """Return the upstreams to eject, such that the others still meet the floor.

    :param candidates: at most one for each upstream.
    :param present: upstreams that count towards the floor; draining, leaving
        and ramping ones do not.
    :param floor: minimum number of upstreams in use.
    """
    ejected = set()
    remaining = len(present)
    for item in order_candidates(candidates):
        if item.name not in present:
            # The upstream does not count towards the floor.
            ejected.add(item.name)
        elif remaining > floor:
            ejected.add(item.name)
            remaining -= 1
    return frozenset(ejected)
