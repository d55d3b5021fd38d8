"""Decides which bad upstreams may be taken out of use.

Every instance computes the same function, so that instances with the same view eject
the same upstreams, and no view leaves less than the floor in use.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that somebody wants to eject.

    :param agreed: whether several instances in two failure domains agree.
    :param score: strength of the evidence.
    """

    name: str
    agreed: bool
    score: float


def order_candidates(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Order candidates: agreed ones first, then the worst first, ties by name.

    Agreed ones come first, so that one lying instance cannot use up the room above
    the floor.
    """
    return sorted(
        candidates, key=lambda item: (not item.agreed, -item.score, item.name)
    )


def select_ejections(
    candidates: Iterable[Candidate], present: Set[str], floor: int
) -> frozenset[str]:
    """Return the upstreams to eject, such that the others still meet the floor.

    :param candidates: at most one for each upstream.
    :param present: upstreams in use; draining, leaving and cold ones are absent.
    :param floor: smallest number of upstreams that stay in use.
    """
    ejected = set()
    remaining = len(present)
    for item in order_candidates(candidates):
        if item.name not in present:
            # An absent upstream does not count towards the floor.
            ejected.add(item.name)
        elif remaining > floor:
            ejected.add(item.name)
            remaining -= 1
    return frozenset(ejected)
