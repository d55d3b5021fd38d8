"""Finds the route of a request: the longest matching prefix wins.

Routes are indexed by host and prefix, so that the cost of a match grows with the
depth of the path and not with the number of routes.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from shallotspindle_bundles.records import Route
from shallotspindle_core.failures import Failure


@dataclass(frozen=True, slots=True)
class NoRoute(Failure):
    """No route matches the host, path and method."""


@dataclass(frozen=True, slots=True)
class Table:
    """Routes by host and prefix, in the order of the bundle.

    :param routes: the candidates by (host, prefix).
    """

    routes: Mapping[tuple[str, str], tuple[Route, ...]]


def build_table(routes: Iterable[Route]) -> Table:
    """Index routes by host and prefix."""
    index: dict[tuple[str, str], tuple[Route, ...]] = {}
    for route in routes:
        place = (route.host, route.prefix.rstrip("/"))
        index[place] = (*index.get(place, ()), route)
    return Table(index)


def list_prefixes(path: str) -> list[str]:
    """Return the prefixes of a path at segment boundaries, longest first."""
    prefixes = []
    rest = path.rstrip("/")
    while rest:
        prefixes.append(rest)
        rest = rest.rpartition("/")[0]
    return [*prefixes, ""]


def match(table: Table, host: str, path: str, method: str) -> Route | NoRoute:
    """Return the route of a request.

    :param host: host of the request without port; routes without a host match all.
    :param path: normalised path, starting with a slash.
    :param method: HTTP method in upper case.
    """
    for prefix in list_prefixes(path):
        for name in (host, ""):
            for route in table.routes.get((name, prefix), ()):
                if not route.methods or method in route.methods:
                    return route
    return NoRoute("request", "no route matches the request", f"{method} {path}")
