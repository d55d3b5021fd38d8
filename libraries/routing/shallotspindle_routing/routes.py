"""Finds the route of a request by its longest matching path prefix.

Routes are indexed by host and prefix, so the cost of a lookup grows with the depth
of the path and not with the number of routes.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from shallotspindle_bundles.records import Route
from shallotspindle_core.failures import Failure


@dataclass(frozen=True, slots=True)
class NoRoute(Failure):
    """No route matches the host, path and method."""


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Index of routes.

    :param routes: routes by (host, prefix) in the order of the bundle; the first one
        that allows the method wins.
    """

    routes: Mapping[tuple[str, str], tuple[Route, ...]]


def build_route_table(routes: Iterable[Route]) -> RouteTable:
    """Index routes by host and prefix."""
    index: dict[tuple[str, str], tuple[Route, ...]] = {}
    for route in routes:
        key = (route.host, route.prefix.rstrip("/"))
        index[key] = (*index.get(key, ()), route)
    return RouteTable(index)


def list_prefixes(path: str) -> list[str]:
    """Return the prefixes of a path at segment boundaries, longest first."""
    prefixes = []
    remainder = path.rstrip("/")
    while remainder:
        prefixes.append(remainder)
        remainder = remainder.rpartition("/")[0]
    return [*prefixes, ""]


def find_route(table: RouteTable, host: str, path: str, method: str) -> Route | NoRoute:
    """Return the route of a request.

    At each prefix, a route for the host goes before a route for all hosts.

    :param host: host of the request without port; a route without a host matches all.
    :param path: normalised path, starting with a slash.
    :param method: HTTP method in upper case.
    """
    for prefix in list_prefixes(path):
        for route_host in (host, ""):
            for route in table.routes.get((route_host, prefix), ()):
                if not route.methods or method in route.methods:
                    return route
    return NoRoute("request", "no route matches the request", f"{method} {path}")
