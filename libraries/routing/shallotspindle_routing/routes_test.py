from shallotspindle_bundles.records import Route
from shallotspindle_routing import routes

TABLE = routes.build_table(
    [
        Route("all", "/", "site"),
        Route("records", "/records", "catalogue"),
        Route(
            "deposits", "/records/deposits", "catalogue", methods=frozenset({"POST"})
        ),
        Route("intake", "/photos", "intake", host="intake.test"),
    ]
)


class TestMatch:
    def test_longest_prefix_wins(self):
        found = routes.match(TABLE, "any.test", "/records/deposits/7", "POST")
        assert found.name == "deposits"

    def test_method_falls_through_to_a_shorter_prefix(self):
        found = routes.match(TABLE, "any.test", "/records/deposits/7", "GET")
        assert found.name == "records"

    def test_prefix_ends_at_a_segment(self):
        # Guards against /recordsecret being served by the route of /records.
        assert routes.match(TABLE, "any.test", "/recordsecret", "GET").name == "all"

    def test_host_restricts_a_route(self):
        assert routes.match(TABLE, "any.test", "/photos/1", "PUT").name == "all"
        assert routes.match(TABLE, "intake.test", "/photos/1", "PUT").name == "intake"

    def test_no_route_is_a_typed_failure(self):
        table = routes.build_table([Route("records", "/records", "catalogue")])
        found = routes.match(table, "any.test", "/other", "GET")
        assert isinstance(found, routes.NoRoute)
