from collections import Counter

from shallotspindle_bundles.records import Upstream
from shallotspindle_routing import subsets


def build(count, domains, connections=300):
    return [
        Upstream(f"u{n}", f"10.0.0.{n}:80", f"d{n % domains}", 2, connections)
        for n in range(count)
    ]


def count_users(upstreams, instances, domains):
    counts = {f"d{n}": len(range(n, instances, domains)) for n in range(domains)}
    users, sizes = Counter(), []
    for number in range(instances):
        found = subsets.choose_subset(
            f"i{number}", f"d{number % domains}", upstreams, counts
        )
        users.update(found)
        sizes.append(len(found))
    return users, sizes


class TestChooseSubset:
    def test_connections_stay_under_the_limit_at_770_instances(self):
        # Guards against 770 instances that all connect to each upstream.
        upstreams = build(42, 8)
        users, sizes = count_users(upstreams, 770, 8)
        each = subsets.CONNECTIONS_PER_UPSTREAM
        assert max(users.values()) * each <= 300
        # 260 requests a second over 150 services need less than one slot of each.
        assert min(sizes) >= 3
        assert len(users) == 42

    def test_all_upstreams_are_used_at_todays_size(self):
        users, _ = count_users(build(20, 3), 44, 3)
        assert set(users.values()) == {44}

    def test_leaving_upstream_changes_little(self):
        # Guards against a restart of many connections after each small change.
        upstreams, counts = build(42, 8), {f"d{n}": 96 for n in range(8)}
        before = subsets.choose_subset("i1", "d1", upstreams, counts)
        after = subsets.choose_subset("i1", "d1", upstreams[1:], counts)
        assert len(before - after) <= 1

    def test_subset_is_extended_when_its_upstreams_are_out(self):
        upstreams = build(6, 3)
        usable = {"u3", "u4", "u5"}
        found = subsets.extend_subset("i1", frozenset({"u0"}), upstreams, usable, 2)
        assert len(found & usable) == 2
