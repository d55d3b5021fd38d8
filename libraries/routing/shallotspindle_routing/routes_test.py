from shallotspindle_bundles.records import Route
from shallotspindle_routing import routes

TABLE = routes.build_route_table(
    [
        Route("all", "/", "site"),
        Route("records", "/records", "catalogue"),
        Route(
            "deposits", "/records/deposits", "catalogue", methods=frozenset({"POST"})
        ),
        Route("intake", "/photos", "intake", host="intake.test"),
    ]
)


class TestFindRoute:
    def test_longest_prefix_wins(self):
        # Guards against a general route that takes the requests of a specific one.
        found = routes.find_route(TABLE, "any.test", "/records/deposits/7", "POST")
        assert found.name == "deposits"

    def test_other_method_falls_back_to_a_shorter_prefix(self):
        # Guards against refusing a method that a more general route allows.
        found = routes.find_route(TABLE, "any.test", "/records/deposits/7", "GET")
        assert found.name == "records"

    def test_prefix_matches_whole_segments_only(self):
        # Guards against /recordsecret being served by the route of /records.
        assert (
            routes.find_route(TABLE, "any.test", "/recordsecret", "GET").name == "all"
        )

    def test_route_with_a_host_matches_only_that_host(self):
        # Guards against a route that serves requests for other hosts.
        assert routes.find_route(TABLE, "any.test", "/photos/1", "PUT").name == "all"
        assert (
            routes.find_route(TABLE, "intake.test", "/photos/1", "PUT").name == "intake"
        )

    def test_request_without_a_route_gets_a_typed_failure(self):
        # Guards against an exception or a default route for an unknown path.
        table = routes.build_route_table([Route("records", "/records", "catalogue")])
        found = routes.find_route(table, "any.test", "/other", "GET")
        assert isinstance(found, routes.NoRoute)
