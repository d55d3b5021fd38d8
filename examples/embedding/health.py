"""Selects the upstreams to eject, so that the others still meet the capacity floor."""

from shallotspindle_health import floor
from shallotspindle_health.floor import Candidate

candidates = [
    Candidate("stock-1", has_quorum=False, score=9.0),
    Candidate("stock-2", has_quorum=True, score=2.0),
]
present = frozenset({"stock-1", "stock-2", "stock-3"})
print(sorted(floor.select_ejections(candidates, present, floor=2)))
