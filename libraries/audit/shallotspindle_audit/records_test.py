from dataclasses import replace

from shallotspindle_audit import records
from shallotspindle_audit.records import Change


def build_trail(count=5):
    trail = []
    for n in range(count):
        change = Change(f"attempt-{n}", "2026-12-04", "astrid", "bundle", n, ("rate",))
        trail.append(records.chain(trail[-1] if trail else None, change))
    return trail


class TestTrail:
    def test_written_trail_is_valid(self):
        trail = build_trail()
        assert records.verify(trail) == ()
        assert records.verify(trail, records.digest(trail[3])) == ()

    def test_every_changed_field_is_found(self):
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
            assert records.verify(forged), field

    def test_removed_and_moved_records_are_found(self):
        trail = build_trail()
        assert records.verify(trail[:2] + trail[3:])
        assert records.verify(trail[1:])
        assert records.verify([trail[0], trail[2], trail[1], *trail[3:]])

    def test_noted_head_finds_a_cut_end(self):
        # Guards against a trail whose last records were removed.
        trail = build_trail()
        assert records.verify(trail[:4], records.digest(trail[4]))

    def test_border_between_fields_is_part_of_the_digest(self):
        # Guards against text that moves from one field to the next.
        first = Change("a", "t", "pe", "action", 1)
        second = Change("a", "t", "p", "eaction", 1)
        trails = [records.chain(None, item) for item in (first, second)]
        assert records.digest(trails[0]) != records.digest(trails[1])
