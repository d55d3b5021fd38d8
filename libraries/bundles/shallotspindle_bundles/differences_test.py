from hypothesis import given, settings
from hypothesis import strategies as st

from shallotspindle_bundles import buckets, deltas, differences, records, teams
from shallotspindle_bundles.records import Bundle, Route, Service, Team, Upstream

NAMES = st.sampled_from([f"name-{n}" for n in range(6)])
TEAMS = st.builds(
    Team,
    NAMES,
    st.sampled_from([1.0, 2.0]),
    st.just(4.0),
    st.sampled_from([(), (b"a" * 32,), (b"b" * 32, b"c" * 32)]),
)
UPSTREAMS = st.builds(Upstream, NAMES, st.sampled_from(["1.1.1.1:1"]), st.just("a"))


def drop_duplicates(items):
    return tuple({item.name: item for item in items}.values())


SERVICES = st.builds(
    Service, NAMES, st.lists(UPSTREAMS).map(drop_duplicates), st.just(0)
)
ROUTES = st.builds(Route, NAMES, st.just("/"), NAMES, open=st.booleans())
BUNDLES = st.builds(
    lambda salt, members, services, routes, withdrawn: Bundle(
        1,
        salt,
        teams.build_teams(members),
        {item.name: buckets.sort_upstreams(item) for item in services},
        records.sort_routes(drop_duplicates(routes)),
        withdrawn,
    ),
    st.sampled_from([b"s" * 16, b"t" * 16]),
    st.lists(TEAMS),
    st.lists(SERVICES),
    st.lists(ROUTES),
    st.frozensets(st.sampled_from([b"w" * 32, b"x" * 32])),
)


def list_bucket_contents(bundle):
    return [
        buckets.get_bucket_content(bundle, bucket_id)
        for bucket_id in buckets.BUCKET_IDS
    ]


class TestDifferences:
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(BUNDLES, BUNDLES)
    def test_applied_changes_yield_the_other_bundle(self, before, after):
        # Guards against a change that compare misses or that apply does not make.
        changes = differences.compare(before, after)
        result = differences.apply(before, changes, 1)
        assert list_bucket_contents(result) == list_bucket_contents(after)
        assert differences.compare(result, after) == ()
        changed_buckets = buckets.list_changed_buckets(changes)
        for bucket_id in set(buckets.BUCKET_IDS) - changed_buckets:
            assert buckets.get_bucket_content(
                before, bucket_id
            ) == buckets.get_bucket_content(after, bucket_id)


class TestDeltas:
    def build_bundle_and_delta(self):
        team = Team("dealer", 1.0, 1.0)
        change = differences.TeamChange("dealer", None, team)
        return Bundle(3, b"s" * 16), deltas.Delta(4, 3, (change,))

    def test_deltas_apply_in_order_up_to_the_requested_version(self):
        # Guards against deltas that are applied out of order or beyond the manifest.
        bundle, first = self.build_bundle_and_delta()
        later = deltas.Delta(5, 4, (differences.SaltChange(b"", b"t" * 16),))
        updated, _ = deltas.apply_deltas(bundle, (later, first), 4)
        assert (updated.version, updated.salt) == (4, b"s" * 16)
        assert "dealer" in updated.teams

    def test_missing_delta_is_a_failure(self):
        # Guards against a bundle that has the right version but lacks a change.
        bundle, first = self.build_bundle_and_delta()
        later = deltas.Delta(6, 5, ())
        assert isinstance(
            deltas.apply_deltas(bundle, (first, later), 6), deltas.DeltaGap
        )
