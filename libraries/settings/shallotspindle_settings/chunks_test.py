import pytest

from shallotspindle_bundles import buckets, differences, records, teams
from shallotspindle_bundles.buckets import BucketId, Section
from shallotspindle_bundles.deltas import Delta
from shallotspindle_bundles.records import (
    Bundle,
    KeyRule,
    Route,
    Service,
    Team,
    Upstream,
)
from shallotspindle_settings import bundle, chunks, deltas

UPSTREAM = Upstream("stock-1", "10.0.0.1:80", "a", draining=True)
ROUTE = Route(
    "stock",
    "/stock",
    "stock",
    host="example.org",
    methods=frozenset({"GET"}),
    idempotent_methods=frozenset(),
    idempotency_key=KeyRule.REQUIRED,
)
BUNDLE = Bundle(
    3,
    b"s" * 16,
    teams.build_teams(
        Team(f"team-{n}", 1.5, 2.0, (bytes([n]) * 32,)) for n in range(99)
    ),
    {"stock": Service("stock", (UPSTREAM,), 1)},
    records.sort_routes([ROUTE, Route("all", "/", "stock", open=True, team="team-1")]),
    frozenset({b"w" * 32}),
)


def assemble(index, encoded, version=3):
    assembler = chunks.BundleAssembler(version)
    for bucket_id, digest in index.items():
        assert assembler.add(bucket_id, encoded.get(digest, b"")) is None
    return assembler


class TestChunks:
    def test_bundle_is_unchanged_after_encoding_and_decoding(self):
        # Guards against a record that is lost or changed in the store.
        index, encoded = chunks.build_index(BUNDLE)
        assembler = assemble(index, encoded)
        assert assembler.check() == ()
        assert assembler.build() == BUNDLE
        data = chunks.encode_index(index)
        assert chunks.decode_index(data).ok == index
        for digest, chunk in encoded.items():
            assert chunks.find_chunk(BUNDLE, index, digest) == chunk

    def test_bundle_is_unchanged_after_formatting_and_parsing(self):
        # Guards against a bundle file that differs from the accepted bundle.
        text = bundle.format_bundle(bundle.describe_bundle(BUNDLE))
        assert bundle.parse_bundle("file", text).ok == BUNDLE

    @pytest.mark.parametrize("data", [b"[", b"{}", b'[{"name":"x"}]', b"\xff"])
    def test_malformed_chunk_is_a_failure(self, data):
        # Guards against an exception that stops the load of a bundle.
        assembler = chunks.BundleAssembler(3)
        assert assembler.add(BucketId(Section.TEAMS, 0), data) is not None

    def test_misplaced_or_repeated_team_is_a_failure(self):
        # Guards against a team in the wrong bucket, which a lookup by hash never finds.
        index, encoded = chunks.build_index(BUNDLE)
        bucket_id = next(
            item for item in index if item.section == Section.TEAMS and index[item]
        )
        wrong_bucket = BucketId(
            Section.TEAMS, (bucket_id.number + 1) % teams.TEAM_BUCKET_COUNT
        )
        chunk = encoded[index[bucket_id]]
        assembler = assemble(index, encoded)
        assert assembler.add(wrong_bucket, chunk) is not None
        assert assembler.add(bucket_id, b"[" + b",".join([chunk[1:-1]] * 2) + b"]")


class TestDeltas:
    def test_changes_are_unchanged_after_encoding_and_decoding(self):
        # Guards against a change that the stored delta lacks.
        before = Bundle(2, b"t" * 16, teams.NO_TEAMS, {"old": Service("old", (), 0)})
        delta = Delta(3, 2, differences.compare(before, BUNDLE))
        stored = deltas.decode_delta(deltas.encode_delta(delta)).ok
        after = differences.apply(before, stored.changes, 3)
        assert after == BUNDLE
        reverse_delta = Delta(4, 3, differences.compare(BUNDLE, before))
        stored = deltas.decode_delta(deltas.encode_delta(reverse_delta)).ok
        assert differences.apply(BUNDLE, stored.changes, 2) == before
        assert buckets.list_changed_buckets(
            stored.changes
        ) == buckets.list_changed_buckets(reverse_delta.changes)

    def test_malformed_delta_is_a_failure(self):
        # Guards against an exception that stops the load of a bundle.
        for data in (b"", b"{}", b'{"version":1,"parent":0,"salt":"xyz"}'):
            assert deltas.decode_delta(data).is_error()
