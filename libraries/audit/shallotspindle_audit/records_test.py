from dataclasses import replace

from shallotspindle_audit import records
from shallotspindle_audit.records import Change


def build_trail(count=5):
    trail = []
    for n in range(count):
        change = Change(f"attempt-{n}", "2026-12-04", "astrid", "bundle", n, ("rate",))
        trail.append(records.build_next_record(trail[-1] if trail else None, change))
    return trail


class TestVerifyChain:
    def test_unchanged_trail_is_valid(self):
        # Guards against a false alarm about a trail that nobody changed.
        trail = build_trail()
        assert records.verify_chain(trail) == ()
        assert records.verify_chain(trail, records.compute_digest(trail[3])) == ()

    def test_change_of_any_field_is_detected(self):
        # Guards against a record that is changed after the fact.
        trail = build_trail()
        for field, value in (
            ("person", "eve"),
            ("time", "2025"),
            ("action", "key"),
            ("version", 99),
            ("details", ("rate", "burst")),
        ):
            changed = replace(trail[2].change, **{field: value})
            forged = [*trail[:2], replace(trail[2], change=changed), *trail[3:]]
            assert records.verify_chain(forged), field

    def test_removed_and_moved_records_are_detected(self):
        # Guards against changes that are hidden by removing or reordering records.
        trail = build_trail()
        assert records.verify_chain(trail[:2] + trail[3:])
        assert records.verify_chain(trail[1:])
        assert records.verify_chain([trail[0], trail[2], trail[1], *trail[3:]])

    def test_head_digest_detects_a_truncated_trail(self):
        # Guards against a trail whose last records were removed.
        trail = build_trail()
        assert records.verify_chain(trail[:4], records.compute_digest(trail[4]))

    def test_boundary_between_fields_changes_the_digest(self):
        # Guards against text that moves from one field to the next.
        first = Change("a", "t", "pe", "action", 1)
        second = Change("a", "t", "p", "eaction", 1)
        trails = [records.build_next_record(None, item) for item in (first, second)]
        assert records.compute_digest(trails[0]) != records.compute_digest(trails[1])
