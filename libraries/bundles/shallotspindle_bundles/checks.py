"""Checks of a bundle: pure functions of one signature that return all failures.

A bundle with any failure is rejected as a whole.
"""

import math
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass

from shallotspindle_bundles.records import Draft, KeyRule, Route, Upstream
from shallotspindle_core import addresses
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import KEY_DIGEST_BYTES

MIN_SALT_BYTES = 16
KEY_RULES = frozenset(KeyRule)
HTTP_METHODS = frozenset(
    {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE", "POST", "PATCH"}
)

FieldPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class BundleFailure(Failure):
    """A record of a bundle is invalid.

    :param path: names and indexes that lead to the invalid field in the bundle.
    """

    path: FieldPath = ()


FailureIterator = Iterator[BundleFailure]
Check = Callable[[Draft], FailureIterator]


def build_failure(path: FieldPath, message: str, item: str = "") -> BundleFailure:
    return BundleFailure(".".join(map(str, path)), message, item, path)


def find_duplicates(
    located_values: Iterable[tuple[FieldPath, Hashable]],
    message: str,
    *,
    is_secret: bool = False,
) -> FailureIterator:
    """Return a failure for each value that occurs earlier.

    :param located_values: values with the paths of their fields.
    :param is_secret: whether the value is left out of the failure.
    """
    seen = set()
    for path, value in located_values:
        if value in seen:
            yield build_failure(path, message, "" if is_secret else str(value))
        seen.add(value)


def list_upstreams(draft: Draft) -> Iterator[tuple[FieldPath, Upstream]]:
    """Return all upstreams with their paths in the bundle."""
    for n, service in enumerate(draft.services):
        for m, upstream in enumerate(service.upstreams):
            yield ("services", n, "upstreams", m), upstream


def is_valid_name(text: str) -> bool:
    """Return whether a text is a valid name: printable and without spaces."""
    # The space is the only whitespace character that ``isprintable`` accepts.
    return bool(text) and text.isprintable() and " " not in text


def check_header(draft: Draft) -> FailureIterator:
    if draft.version < 1:
        yield build_failure(("version",), "the version is below 1", str(draft.version))
    if len(draft.salt) < MIN_SALT_BYTES:
        yield build_failure(
            ("salt",), f"the salt is shorter than {MIN_SALT_BYTES} bytes"
        )


def check_names(draft: Draft) -> FailureIterator:
    names = [
        *((("teams", n, "name"), item.name) for n, item in enumerate(draft.teams)),
        *((("services", n, "name"), s.name) for n, s in enumerate(draft.services)),
        *((("routes", n, "name"), item.name) for n, item in enumerate(draft.routes)),
        *(((*path, "name"), item.name) for path, item in list_upstreams(draft)),
    ]
    for path, name in names:
        if not is_valid_name(name):
            message = "the name is empty or contains spaces or control characters"
            yield build_failure(path, message, repr(name))


def check_duplicate_names(draft: Draft) -> FailureIterator:
    teams = ((("teams", n, "name"), item.name) for n, item in enumerate(draft.teams))
    yield from find_duplicates(teams, "the team is listed twice")
    services = ((("services", n, "name"), s.name) for n, s in enumerate(draft.services))
    yield from find_duplicates(services, "the service is listed twice")
    routes = ((("routes", n, "name"), item.name) for n, item in enumerate(draft.routes))
    yield from find_duplicates(routes, "the route is listed twice")
    upstreams = (((*path, "name"), item.name) for path, item in list_upstreams(draft))
    yield from find_duplicates(upstreams, "the upstream is listed twice")


def check_rates(draft: Draft) -> FailureIterator:
    for n, team in enumerate(draft.teams):
        if not (math.isfinite(team.rate) and team.rate > 0):
            path = ("teams", n, "rate")
            yield build_failure(path, "the rate is not greater than 0", str(team.rate))
        if not (math.isfinite(team.burst) and team.burst >= 1):
            path = ("teams", n, "burst")
            yield build_failure(path, "the burst is below 1", str(team.burst))


def check_key_digests(draft: Draft) -> FailureIterator:
    key_digests = [
        (("teams", n, "key_digests", m), digest)
        for n, team in enumerate(draft.teams)
        for m, digest in enumerate(team.key_digests)
    ]
    withdrawn = [(("withdrawn", n), item) for n, item in enumerate(draft.withdrawn)]
    for path, digest in (*key_digests, *withdrawn):
        if len(digest) != KEY_DIGEST_BYTES:
            message = f"the key digest is not {KEY_DIGEST_BYTES} bytes long"
            yield build_failure(path, message)
    yield from find_duplicates(
        key_digests, "the key digest is listed twice", is_secret=True
    )
    yield from find_duplicates(
        withdrawn, "the withdrawal is listed twice", is_secret=True
    )


def check_upstreams(draft: Draft) -> FailureIterator:
    upstreams = list(list_upstreams(draft))
    for path, item in upstreams:
        if not addresses.is_address(item.address):
            message = "the address is not an IP address and a port"
            yield build_failure((*path, "address"), message, item.address)
        if not item.domain:
            yield build_failure(
                (*path, "failure_domain"), "the failure domain is empty"
            )
        if item.slots < 1:
            message = "the number of slots is below 1"
            yield build_failure((*path, "slots"), message, str(item.slots))
        if item.connections < 1:
            message = "the number of connections is below 1"
            yield build_failure((*path, "connections"), message, str(item.connections))
    located = (((*path, "address"), item.address) for path, item in upstreams)
    yield from find_duplicates(located, "the address is listed twice")


def check_floors(draft: Draft) -> FailureIterator:
    for n, service in enumerate(draft.services):
        count = len(service.upstreams)
        if not 0 <= service.floor <= count:
            message = f"the floor is not between 0 and the {count} upstreams"
            yield build_failure(("services", n, "floor"), message, str(service.floor))


def check_routes(draft: Draft) -> FailureIterator:
    services = {service.name for service in draft.services}
    for n, route in enumerate(draft.routes):
        route_path = ("routes", n)
        if route.service not in services:
            message = "the route names an unknown service"
            yield build_failure((*route_path, "service"), message, route.service)
        if not route.prefix.startswith("/") or "//" in route.prefix:
            message = "the prefix does not start with a slash or has an empty segment"
            yield build_failure((*route_path, "prefix"), message, route.prefix)
        if not (math.isfinite(route.timeout) and route.timeout > 0):
            message = "the timeout is not greater than 0"
            yield build_failure((*route_path, "timeout"), message, str(route.timeout))
        for name in ("methods", "idempotent_methods"):
            unknown = ", ".join(sorted(getattr(route, name) - HTTP_METHODS))
            if unknown:
                yield build_failure((*route_path, name), "unknown HTTP method", unknown)


def check_route_teams(draft: Draft) -> FailureIterator:
    teams = {team.name for team in draft.teams}
    for n, route in enumerate(draft.routes):
        path = ("routes", n, "team")
        if route.team and not route.open:
            yield build_failure(path, "only an open route may name a team", route.team)
        elif route.team and route.team not in teams:
            yield build_failure(path, "the route names an unknown team", route.team)
        if route.idempotency_key not in KEY_RULES:
            message = "the rule is neither required nor optional"
            path = ("routes", n, "idempotency_key")
            yield build_failure(path, message, str(route.idempotency_key))


def list_matches(route: Route) -> Iterator[tuple[str, str, str]]:
    """Return the host, prefix and method of each match; ``*`` for all methods."""
    for method in sorted(route.methods) or ["*"]:
        yield route.host, route.prefix.rstrip("/"), method


def check_duplicate_routes(draft: Draft) -> FailureIterator:
    matches = (
        (("routes", n, "prefix"), match)
        for n, route in enumerate(draft.routes)
        for match in list_matches(route)
    )
    yield from find_duplicates(matches, "two routes match the same requests")


CHECKS: tuple[Check, ...] = (
    check_header,
    check_names,
    check_duplicate_names,
    check_rates,
    check_key_digests,
    check_upstreams,
    check_floors,
    check_routes,
    check_route_teams,
    check_duplicate_routes,
)


def check_draft(draft: Draft) -> tuple[BundleFailure, ...]:
    """Return the failures of all checks."""
    return tuple(failure for check in CHECKS for failure in check(draft))
