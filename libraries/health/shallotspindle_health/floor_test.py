from hypothesis import given, settings
from hypothesis import strategies as st

from shallotspindle_health.floor import Candidate, select_ejections

NAMES = [f"u{number}" for number in range(8)]
CANDIDATES = st.lists(
    st.builds(
        Candidate, st.sampled_from(NAMES), st.booleans(), st.integers(0, 3).map(float)
    ),
    unique_by=lambda item: item.name,
)


def select_naively(candidates, present, floor):
    """Try the candidates one by one, and search for the worst each time."""
    remaining, ejected = list(candidates), set()
    while remaining:
        worst = remaining[0]
        for item in remaining[1:]:
            key = (item.has_quorum, item.score)
            is_worse = key > (worst.has_quorum, worst.score)
            is_tied = key == (worst.has_quorum, worst.score) and item.name < worst.name
            worst = item if is_worse or is_tied else worst
        remaining.remove(worst)
        in_use = [name for name in present if name not in ejected | {worst.name}]
        if worst.name not in present or len(in_use) >= floor:
            ejected.add(worst.name)
    return ejected


class TestSelectEjections:
    @settings(derandomize=True, max_examples=500)
    @given(CANDIDATES, st.sets(st.sampled_from(NAMES)), st.integers(0, 8))
    def test_selection_equals_a_naive_version_and_keeps_the_floor(
        self, candidates, present, floor
    ):
        # Guards against ejections that leave less than the floor in use.
        selected = select_ejections(candidates, present, floor)
        assert selected == select_naively(candidates, present, floor)
        assert len(present - selected) >= min(floor, len(present))

    def test_candidates_with_a_quorum_come_before_those_of_one_instance(self):
        # Guards against one faulty instance that uses up the ejections above the floor.
        single = [Candidate(f"u{number}", False, 10.0) for number in range(4)]
        selected = select_ejections([*single, Candidate("u7", True, 1.0)], {*NAMES}, 7)
        assert selected == {"u7"}
