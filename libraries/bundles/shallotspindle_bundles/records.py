"""The records that a bundle consists of.

A bundle states teams, keys, rates, routes, services and capacity floors. It is
immutable: a change makes a new bundle with a higher version.
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

    :param rate: admitted requests a second over the whole fleet.
    :param burst: admitted requests at once over the whole fleet.
    :param key_digests: HMAC-SHA256 digests of the team's keys, 32 bytes each.
    :param priority: rank of its requests, 0 is the highest; None: that of the route.
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
    :param slots: requests that it runs at the same time.
    :param connections: connections that it accepts.
    :param draining: whether it may get no new work.
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

    :param floor: smallest number of upstreams that stay in use.
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
    """A service that gets a part of a route's requests.

    :param weight: part in proportion to the other weights of the route.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests to a service.

    :param prefix: path prefix, matched at segment boundaries.
    :param methods: HTTP methods; empty means all.
    :param open: whether requests run without a key.
    :param idempotent_methods: methods that may be sent twice without a second effect.
    :param timeout: longest time for a request, in seconds.
    :param idempotency_key: whether non-idempotent methods need a key.
    :param team: team that requests of an open route count against, if any.
    :param split: services that share the requests by weight; replaces ``service``.
    :param objective: time within which an answer is on time, in seconds; 0 if not set.
    :param priority: rank of the requests, 0 is the highest.
    :param attempts: largest number of upstreams that run one request.
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
    """Everything that operators sign off in one step.

    :param version: grows by one with each accepted bundle.
    :param salt: key of the digests of the teams' keys, 16 bytes or more.
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
    """Content of a bundle as it is listed, before names are known to be unique."""

    version: int
    salt: bytes
    teams: Sequence[Team] = ()
    services: Sequence[Service] = ()
    routes: Sequence[Route] = ()
    withdrawn: Sequence[bytes] = ()


def sort_routes(routes: Iterable[Route]) -> tuple[Route, ...]:
    """Order routes so that one with methods comes before one for all methods.

    The order depends on the routes only, not on the history of changes.
    """
    return tuple(sorted(routes, key=lambda route: (not route.methods, route.name)))
