"""Finds the route of a request by the longest path prefix that matches."""

from shallotspindle_bundles.records import Route
from shallotspindle_routing import routes

table = routes.build_route_table(
    [Route("site", "/", "site"), Route("records", "/records", "catalogue")]
)
print(routes.find_route(table, "shop.test", "/records/7", "GET").name)
print(routes.find_route(table, "shop.test", "/recordsecret", "GET").name)
