"""Records of a configuration bundle.

A bundle defines teams, keys, rate limits, routes, services and the minimum number of
upstreams of each service. It is immutable: a change creates a bundle with a higher
version.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from shallotspindle_core.identifiers import (
    FailureDomain,
    ServiceName,
    TeamName,
    UpstreamName,
)


@dataclass(frozen=True, slots=True)
class Team:
    """A customer of the organisation.

    :param rate: sustained limit of the whole fleet, in requests per second.
    :param burst: requests that the whole fleet may admit at once.
    :param key_digests: HMAC-SHA256 digests of the team's keys, 32 bytes each.
    :param priority: priority of the team's requests, 0 is the highest; None for that
        of the route.
    """

    name: TeamName
    rate: float
    burst: float
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Upstream:
    """One back end of a service.

    :param address: ``ip:port`` of its HTTP socket.
    :param slots: maximum number of requests that it runs at the same time.
    :param connections: maximum number of connections that it accepts.
    :param draining: whether it must not get new requests.
    """

    name: UpstreamName
    address: str
    domain: FailureDomain
    slots: int = 2
    connections: int = 300
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """Interchangeable upstreams and the capacity that ejections must leave.

    :param floor: minimum number of upstreams that stay in use, whatever their health.
    """

    name: ServiceName
    upstreams: tuple[Upstream, ...]
    floor: int = 1


class KeyRule(StrEnum):
    """Whether non-idempotent requests need an ``Idempotency-Key``."""

    OPTIONAL = "optional"
    REQUIRED = "required"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a fraction of a route's requests.

    :param weight: fraction relative to the other weights of the route.
    """

    service: ServiceName
    weight: float

    def __repr__(self) -> str:
        # ``bundle diff`` and the audit trail print this text, so it keeps the name
        # that scripts may match.
        return f"Part(service={self.service!r}, weight={self.weight!r})"


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests to a service.

    :param prefix: path prefix, matched at segment boundaries.
    :param host: host name to match; empty matches all.
    :param methods: HTTP methods to match; empty matches all.
    :param open: whether requests need no API key.
    :param idempotent_methods: methods of requests that may run twice.
    :param timeout: maximum duration of a request, in seconds.
    :param idempotency_key: whether requests with other methods must have an
        ``Idempotency-Key``.
    :param team: team whose rate limit applies to the requests of an open route, if any.
    :param split: services that share the requests by weight; replaces ``service``.
    :param objective: target latency in seconds; 0 for none.
    :param priority: priority of the requests, 0 is the highest.
    :param attempts: maximum number of upstreams to which one request is sent.
    """

    name: str
    prefix: str
    service: ServiceName
    host: str = ""
    methods: frozenset[str] = frozenset()
    open: bool = False
    idempotent_methods: frozenset[str] = frozenset(
        {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}
    )
    timeout: float = 30.0
    idempotency_key: KeyRule = KeyRule.OPTIONAL
    team: TeamName | None = None
    split: tuple[WeightedService, ...] = ()
    objective: float = 0.0
    priority: int = 0
    attempts: int = 3


@dataclass(frozen=True, slots=True)
class Bundle:
    """The configuration that operators approve as a whole.

    :param version: increases by one with each accepted bundle.
    :param salt: HMAC key of the digests of the teams' keys, 16 bytes or more.
    :param withdrawn: digests of keys that must not be accepted.
    """

    version: int
    salt: bytes
    teams: Mapping[TeamName, Team] = field(default_factory=dict)
    services: Mapping[ServiceName, Service] = field(default_factory=dict)
    routes: tuple[Route, ...] = ()
    withdrawn: frozenset[bytes] = frozenset()


@dataclass(frozen=True, slots=True)
class Draft:
    """Unchecked records of a bundle, as lists that may have duplicate names."""

    version: int
    salt: bytes
    teams: Sequence[Team] = ()
    services: Sequence[Service] = ()
    routes: Sequence[Route] = ()
    withdrawn: Sequence[bytes] = ()


def sort_routes(routes: Iterable[Route]) -> tuple[Route, ...]:
    """Sort routes so that those with methods precede those for all methods.

    The order depends only on the routes, not on the history of changes, so that equal
    bundles have equal route tuples.
    """
    return tuple(sorted(routes, key=lambda route: (not route.methods, route.name)))
