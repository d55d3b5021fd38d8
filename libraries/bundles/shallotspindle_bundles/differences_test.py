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


def unique(items):
    return tuple({item.name: item for item in items}.values())


SERVICES = st.builds(Service, NAMES, st.lists(UPSTREAMS).map(unique), st.just(0))
ROUTES = st.builds(Route, NAMES, st.just("/"), NAMES, open=st.booleans())
BUNDLES = st.builds(
    lambda salt, members, services, routes, withdrawn: Bundle(
        1,
        salt,
        teams.build_teams(members),
        {item.name: buckets.sort_upstreams(item) for item in services},
        records.sort_routes(unique(routes)),
        withdrawn,
    ),
    st.sampled_from([b"s" * 16, b"t" * 16]),
    st.lists(TEAMS),
    st.lists(SERVICES),
    st.lists(ROUTES),
    st.frozensets(st.sampled_from([b"w" * 32, b"x" * 32])),
)


def list_content(bundle):
    return [
        buckets.get_bucket_content(bundle, bucket_id)
        for bucket_id in buckets.BUCKET_IDS
    ]


class TestDifferences:
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(BUNDLES, BUNDLES)
    def test_changes_lead_from_one_bundle_to_the_other(self, before, after):
        # Guards against a change that compare does not see or apply does not make.
        changes = differences.compare(before, after)
        result = differences.apply(before, changes, 1)
        assert list_content(result) == list_content(after)
        assert differences.compare(result, after) == ()
        changed_buckets = buckets.list_changed_buckets(changes)
        for bucket_id in set(buckets.BUCKET_IDS) - changed_buckets:
            assert buckets.get_bucket_content(
                before, bucket_id
            ) == buckets.get_bucket_content(after, bucket_id)


class TestDeltas:
    def build(self):
        team = Team("dealer", 1.0, 1.0)
        change = differences.TeamChange("dealer", None, team)
        return Bundle(3, b"s" * 16), deltas.Delta(4, 3, (change,))

    def test_deltas_apply_in_order_and_stop_at_the_wanted_version(self):
        bundle, first = self.build()
        later = deltas.Delta(5, 4, (differences.SaltChange(b"", b"t" * 16),))
        reached, _ = deltas.apply_deltas(bundle, (later, first), 4)
        assert (reached.version, reached.salt) == (4, b"s" * 16)
        assert "dealer" in reached.teams

    def test_missing_delta_is_a_gap(self):
        # Guards against a bundle that lacks a change under the right version.
        bundle, first = self.build()
        later = deltas.Delta(6, 5, ())
        assert isinstance(
            deltas.apply_deltas(bundle, (first, later), 6), deltas.DeltaGap
        )
