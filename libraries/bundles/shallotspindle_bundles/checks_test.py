from dataclasses import replace

import pytest

from shallotspindle_bundles import checks
from shallotspindle_bundles.records import Draft, Route, Service, Team, Upstream

UPSTREAM = Upstream("stock-1", "10.0.0.1:80", "north")
SERVICE = Service("stock", (UPSTREAM,))
ROUTE = Route("stock", "/stock", "stock")
TEAM = Team("dealer", 5.0, 5.0, (b"d" * 32,))
DRAFT = Draft(1, b"s" * 16, (TEAM,), (SERVICE,), (ROUTE,))
OTHER = replace(SERVICE, name="other", upstreams=())


def change_upstream(**fields):
    return {"services": (replace(SERVICE, upstreams=(replace(UPSTREAM, **fields),)),)}


class TestChecks:
    def test_valid_bundle_has_no_failure(self):
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
            ({"services": (SERVICE, replace(OTHER, floor=1))}, "services.1.floor"),
            (
                {"services": (SERVICE, replace(SERVICE, upstreams=(), floor=0))},
                "services.1.name",
            ),
            (
                {"services": (replace(SERVICE, upstreams=(UPSTREAM, UPSTREAM)),)},
                "services.0.upstreams.1.address",
            ),
            (change_upstream(address="host:80"), "services.0.upstreams.0.address"),
            (change_upstream(address="1.2.3.4:0"), "services.0.upstreams.0.address"),
            (change_upstream(slots=0), "services.0.upstreams.0.slots"),
            (change_upstream(connections=0), "services.0.upstreams.0.connections"),
            (change_upstream(domain=""), "services.0.upstreams.0.failure_domain"),
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
    def test_each_fault_is_found_at_its_place(self, changes, path):
        # Guards against a faulty bundle that comes into force.
        found = [
            failure.source for failure in checks.check_draft(replace(DRAFT, **changes))
        ]
        assert any(source.startswith(path) for source in found), found

    def test_all_failures_are_reported_at_once(self):
        # Guards against checks that stop at the first failure.
        bad = replace(DRAFT, version=0, salt=b"", teams=(replace(TEAM, burst=0.0),))
        assert len(checks.check_draft(bad)) == 3

    def test_key_digests_are_not_printed(self):
        # Guards against digests in logs.
        bad = replace(DRAFT, teams=(TEAM, replace(TEAM, name="b")))
        assert not any("dddd" in str(failure) for failure in checks.check_draft(bad))


class TestAddress:
    @pytest.mark.parametrize(
        ("text", "valid"),
        [
            ("10.0.0.255:1", True),
            ("[::1]:80", True),
            ("0.0.0.0:65535", True),
            ("10.0.0.256:1", False),
            ("10.0.0.01:1", False),
            ("10.0.0:1", False),
            ("10.0.0.1.:1", False),
            ("10.0.0.1:65536", False),
            ("10.0.0.1:-1", False),
            ("10.0.0.1:\u0661", False),
            ("10.0.0.1", False),
            ("[10.0.0.1]:1", False),
            ("", False),
        ],
    )
    def test_address_is_an_ip_address_and_a_port(self, text, valid):
        # Guards against an upstream that no instance can connect to.
        assert checks.is_valid_address(text) == valid
