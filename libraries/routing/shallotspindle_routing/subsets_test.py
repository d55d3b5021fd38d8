from collections import Counter

from shallotspindle_bundles.records import Upstream
from shallotspindle_routing import subsets


def build_upstreams(count, domains, connections=300):
    return [
        Upstream(f"u{n}", f"10.0.0.{n}:80", f"d{n % domains}", 2, connections)
        for n in range(count)
    ]


def choose_all_subsets(upstreams, instances, domains):
    """Return the number of instances by upstream, and the sizes of all subsets."""
    counts = {f"d{n}": len(range(n, instances, domains)) for n in range(domains)}
    fan_in, sizes = Counter(), []
    for number in range(instances):
        subset = subsets.choose_subset(
            f"i{number}", f"d{number % domains}", upstreams, counts
        )
        fan_in.update(subset)
        sizes.append(len(subset))
    return fan_in, sizes


class TestChooseSubset:
    def test_connections_stay_below_the_limit_with_770_instances(self):
        # Guards against 770 instances that all connect to each upstream.
        upstreams = build_upstreams(42, 8)
        fan_in, sizes = choose_all_subsets(upstreams, 770, 8)
        connections = subsets.CONNECTIONS_PER_UPSTREAM
        assert max(fan_in.values()) * connections <= 300
        # 260 requests a second over 150 services need less than one slot of each.
        assert min(sizes) >= 3
        assert len(fan_in) == 42

    def test_small_fleet_uses_all_upstreams(self):
        # Guards against subsets where 44 instances may use each of 20 upstreams.
        fan_in, _ = choose_all_subsets(build_upstreams(20, 3), 44, 3)
        assert set(fan_in.values()) == {44}

    def test_removed_upstream_changes_at_most_one_other(self):
        # Guards against many new connections after each change of the upstreams.
        upstreams, counts = build_upstreams(42, 8), {f"d{n}": 96 for n in range(8)}
        before = subsets.choose_subset("i1", "d1", upstreams, counts)
        after = subsets.choose_subset("i1", "d1", upstreams[1:], counts)
        assert len(before - after) <= 1

    def test_usable_upstreams_are_added_when_the_subset_has_none(self):
        # Guards against an instance that refuses requests while others could serve.
        upstreams = build_upstreams(6, 3)
        usable = {"u3", "u4", "u5"}
        found = subsets.extend_subset("i1", frozenset({"u0"}), upstreams, usable, 2)
        assert len(found & usable) == 2
