from dataclasses import replace

import pytest

from shallotspindle_bundles import checks
from shallotspindle_bundles.records import Draft, Route, Service, Team, Upstream

UPSTREAM = Upstream("stock-1", "10.0.0.1:80", "north")
SERVICE = Service("stock", (UPSTREAM,))
ROUTE = Route("stock", "/stock", "stock")
TEAM = Team("dealer", 5.0, 5.0, (b"d" * 32,))
DRAFT = Draft(1, b"s" * 16, (TEAM,), (SERVICE,), (ROUTE,))
OTHER_SERVICE = replace(SERVICE, name="other", upstreams=())


def build_upstream_change(**fields):
    return {"services": (replace(SERVICE, upstreams=(replace(UPSTREAM, **fields),)),)}


class TestChecks:
    def test_valid_bundle_has_no_failure(self):
        # Guards against checks that reject a valid bundle.
        assert checks.check_draft(DRAFT) == ()

    @pytest.mark.parametrize(
        ("changes", "path"),
        [
            ({"version": 0}, "version"),
            ({"salt": b"short"}, "salt"),
            ({"teams": (TEAM, replace(TEAM, key_digests=()))}, "teams.1.name"),
            ({"teams": (TEAM, replace(TEAM, name="b"))}, "teams.1.key_digests.0"),
            ({"teams": (replace(TEAM, name="a b"),)}, "teams.0.name"),
            ({"teams": (replace(TEAM, rate=float("nan")),)}, "teams.0.rate"),
            ({"teams": (replace(TEAM, burst=0.5),)}, "teams.0.burst"),
            ({"teams": (replace(TEAM, key_digests=(b"",)),)}, "teams.0.key_digests.0"),
            ({"withdrawn": (b"w" * 32,) * 2}, "withdrawn.1"),
            (
                {"services": (SERVICE, replace(OTHER_SERVICE, floor=1))},
                "services.1.floor",
            ),
            (
                {"services": (SERVICE, replace(SERVICE, upstreams=(), floor=0))},
                "services.1.name",
            ),
            (
                {"services": (replace(SERVICE, upstreams=(UPSTREAM, UPSTREAM)),)},
                "services.0.upstreams.1.address",
            ),
            (
                build_upstream_change(address="host:80"),
                "services.0.upstreams.0.address",
            ),
            (
                build_upstream_change(address="1.2.3.4:0"),
                "services.0.upstreams.0.address",
            ),
            (build_upstream_change(slots=0), "services.0.upstreams.0.slots"),
            (
                build_upstream_change(connections=0),
                "services.0.upstreams.0.connections",
            ),
            (build_upstream_change(domain=""), "services.0.upstreams.0.failure_domain"),
            ({"routes": (replace(ROUTE, service="none"),)}, "routes.0.service"),
            ({"routes": (replace(ROUTE, prefix="stock"),)}, "routes.0.prefix"),
            ({"routes": (replace(ROUTE, timeout=0.0),)}, "routes.0.timeout"),
            ({"routes": (replace(ROUTE, team="dealer"),)}, "routes.0.team"),
            ({"routes": (replace(ROUTE, open=True, team="x"),)}, "routes.0.team"),
            ({"routes": (replace(ROUTE, idempotency_key="no"),)}, "routes.0.idem"),
            ({"routes": (replace(ROUTE, methods=frozenset({"get"})),)}, "routes.0.me"),
            ({"routes": (ROUTE, replace(ROUTE, name="b"))}, "routes.1.prefix"),
        ],
    )
    def test_each_fault_is_reported_with_its_path(self, changes, path):
        # Guards against an invalid bundle that becomes active.
        sources = [
            failure.source for failure in checks.check_draft(replace(DRAFT, **changes))
        ]
        assert any(source.startswith(path) for source in sources), sources

    def test_all_failures_are_reported_at_once(self):
        # Guards against checks that stop at the first failure.
        invalid = replace(DRAFT, version=0, salt=b"", teams=(replace(TEAM, burst=0.0),))
        assert len(checks.check_draft(invalid)) == 3

    def test_failures_do_not_contain_key_digests(self):
        # Guards against key digests in logs.
        invalid = replace(DRAFT, teams=(TEAM, replace(TEAM, name="b")))
        assert not any(
            "dddd" in str(failure) for failure in checks.check_draft(invalid)
        )
