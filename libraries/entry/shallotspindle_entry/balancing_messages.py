"""Messages to the task that balances requests over upstreams."""

from collections.abc import Mapping
from dataclasses import dataclass

from shallotspindle_bundles.records import Service, Team
from shallotspindle_core.identifiers import ServiceName, TeamName, UpstreamName
from shallotspindle_health.detection import UpstreamDescription
from shallotspindle_health.monitor import HealthMessage


@dataclass(frozen=True, slots=True)
class ServicesChanged:
    """Services and teams of a bundle that became active."""

    services: Mapping[ServiceName, Service]
    teams: Mapping[TeamName, Team]


@dataclass(frozen=True, slots=True)
class LeavingUpstreamsChanged:
    """All upstreams that the platform's list marks as leaving."""

    upstreams: frozenset[UpstreamName]


@dataclass(frozen=True, slots=True)
class Tick:
    """Asks for the periodic work of the task."""


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Asks for the state of all services, for operators."""


@dataclass(frozen=True, slots=True)
class HealthMessageReceived:
    """A peer reported suspicions or a crash, or the store holds a crash."""

    message: HealthMessage


@dataclass(frozen=True, slots=True)
class UnstoredCrashesRequest:
    """Asks for the quarantined requests that this instance has to store."""


@dataclass(frozen=True, slots=True)
class CrashStored:
    """The store holds a quarantined request."""

    fingerprint: int


@dataclass(frozen=True, slots=True)
class ServiceSnapshot:
    """State of a service for operators.

    :param subset: upstreams that this instance sends requests to.
    :param queue_length: requests that wait for an upstream.
    :param concurrency_limit: requests that this instance may have in flight.
    """

    service: ServiceName
    upstreams: tuple[UpstreamDescription, ...]
    subset: tuple[UpstreamName, ...]
    queue_length: int
    concurrency_limit: float
