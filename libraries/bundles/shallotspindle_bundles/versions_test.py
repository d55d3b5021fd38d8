from shallotspindle_bundles import versions
from shallotspindle_bundles.manifests import Manifest

DOMAINS = frozenset({"a", "b", "c"})


class TestVersions:
    def test_version_never_goes_down(self):
        # Guards against an accepted bundle that is reverted.
        manifest = Manifest(4, 3, "astrid", "x", ())
        assert versions.check_version(manifest, 3) is None
        assert versions.check_version(manifest, 4) is not None
        assert versions.check_version(Manifest(4, 4, "astrid", "x", ()), 3) is not None

    def test_start_needs_a_majority_of_failure_domains(self):
        # Guards against an instance that starts with an old bundle in an outage.
        find = versions.find_required_version
        assert find({}, "a", DOMAINS) is None
        assert find({"a": 9}, "a", DOMAINS) is None
        assert find({"a": 3, "b": 5}, "a", DOMAINS) == 5
        assert find({"x": 7}, "a", DOMAINS) is None

    def test_polling_costs_the_same_at_any_fleet_size(self):
        assert versions.compute_poll_interval(770) == 15.4
        assert versions.compute_poll_interval(3) == 1.0

    def test_eight_instances_watch(self):
        names = [f"incarnation-{n}" for n in range(40)]
        assert sum(versions.is_watcher(name, names) for name in names) == 8
