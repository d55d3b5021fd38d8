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
    rest, out = list(candidates), set()
    while rest:
        worst = rest[0]
        for item in rest[1:]:
            key = (item.agreed, item.score)
            worse = key > (worst.agreed, worst.score)
            tie = key == (worst.agreed, worst.score) and item.name < worst.name
            worst = item if worse or tie else worst
        rest.remove(worst)
        after = [name for name in present if name not in out | {worst.name}]
        if worst.name not in present or len(after) >= floor:
            out.add(worst.name)
    return out


class TestSelectEjections:
    @settings(derandomize=True, max_examples=500)
    @given(CANDIDATES, st.sets(st.sampled_from(NAMES)), st.integers(0, 8))
    def test_agrees_with_a_naive_version_and_keeps_the_floor(
        self, candidates, present, floor
    ):
        # Guards against ejections that leave less than the floor in use.
        found = select_ejections(candidates, present, floor)
        assert found == select_naively(candidates, present, floor)
        assert len(present - found) >= min(floor, len(present))

    def test_lone_claims_leave_room_for_agreed_ones(self):
        # Guards against one lying instance that uses up the room above the floor.
        lies = [Candidate(f"u{number}", False, 10.0) for number in range(4)]
        found = select_ejections([*lies, Candidate("u7", True, 1.0)], {*NAMES}, 7)
        assert found == {"u7"}
