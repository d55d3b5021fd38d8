from shallotspindle_bundles import versions
from shallotspindle_bundles.manifests import Manifest

DOMAINS = frozenset({"a", "b", "c"})


class TestVersions:
    def test_version_never_decreases(self):
        # Guards against an older manifest that reverts an accepted bundle.
        manifest = Manifest(4, 3, "astrid", "x", ())
        assert versions.check_version(manifest, 3) is None
        assert versions.check_version(manifest, 4) is not None
        assert versions.check_version(Manifest(4, 4, "astrid", "x", ()), 3) is not None

    def test_start_without_the_store_needs_a_majority_of_failure_domains(self):
        # Guards against an instance that starts with an outdated bundle while the store
        # is unavailable.
        find_version = versions.find_required_version
        assert find_version({}, "a", DOMAINS) is None
        assert find_version({"a": 9}, "a", DOMAINS) is None
        assert find_version({"a": 3, "b": 5}, "a", DOMAINS) == 5
        assert find_version({"x": 7}, "a", DOMAINS) is None

    def test_poll_interval_grows_with_the_fleet(self):
        # Guards against a load on the store that grows with the fleet.
        assert versions.compute_poll_interval(770) == 15.4
        assert versions.compute_poll_interval(3) == 1.0

    def test_eight_instances_watch(self):
        # Guards against a watch of every instance on the same key of the store.
        incarnations = [f"incarnation-{n}" for n in range(40)]
        assert sum(versions.is_watcher(own, incarnations) for own in incarnations) == 8
