"""Interfaces between the tasks of the daemon.

The front end depends on these interfaces only, so that tests can replace the tasks by
fakes and another front end can use the same tasks.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from shallotspindle_bundles.records import Upstream
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import (
    Instance,
    ServiceName,
    TeamName,
    UpstreamName,
)
from shallotspindle_health.scoring import Outcome
from shallotspindle_notices.notices import Notice


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request was admitted and one token of its team was consumed."""


@dataclass(frozen=True, slots=True)
class LimitExceeded(Failure):
    """The team has no token left.

    :param retry_after: seconds until a token is expected.
    """

    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class LimitUnavailable(Failure):
    """No holder of the team's shares is reachable and allowed to grant tokens."""


class Admission(Protocol):
    """Rate limits of teams, enforced over the whole fleet."""

    async def acquire(
        self, team: TeamName, deadline: float
    ) -> Admitted | LimitExceeded | LimitUnavailable:
        """Consume one token of a team.

        :param deadline: boot-time in seconds after which the result is no longer used.
        """


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """The response to the first request with an idempotency key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ClaimState(StrEnum):
    """State of an idempotency key.

    ``GRANTED`` is returned once: only that requester may run the request.
    ``UNAVAILABLE`` means that the holder of the key's partition is unreachable or does
    not own the partition.
    """

    GRANTED = "granted"
    REPLAY = "replay"
    IN_PROGRESS = "in-progress"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
    DIFFERENT_BODY = "different-body"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Result of a claim; ``response`` is set for ``REPLAY`` only."""

    state: ClaimState
    response: StoredResponse | None = None


class Claims(Protocol):
    """At-most-once execution of requests with an idempotency key."""

    async def claim(
        self,
        team: TeamName,
        idempotency_key: str,
        request_digest: bytes,
        deadline: float,
    ) -> ClaimResult:
        """Claim an idempotency key before its request runs.

        :param request_digest: digest of method, path and body.
        :param deadline: boot-time in seconds.
        """

    async def finish(
        self, team: TeamName, idempotency_key: str, response: StoredResponse | None
    ) -> None:
        """Report that a granted request ended.

        :param response: the complete response; None if it is unknown or too large.
        """

    async def abandon(self, team: TeamName, idempotency_key: str) -> None:
        """Report that a granted request was certainly not sent; releases the key."""


@dataclass(frozen=True, slots=True)
class Assignment:
    """An upstream chosen for a request.

    :param number: identifies the request in the balancer.
    """

    upstream: Upstream
    number: int


@dataclass(frozen=True, slots=True)
class NoCapacity(Failure):
    """No upstream became available before the deadline of the request.

    :param retry_after: seconds until one is expected, or None if that is unknown.
    """

    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class RequestHeld(Failure):
    """The request crashed upstreams before and is quarantined."""


@dataclass(frozen=True, slots=True)
class AttemptSample:
    """Measurements of one attempt at an upstream.

    :param duration_seconds: time to the end of the response.
    :param load: load that the upstream reported in its response, or None.
    """

    outcome: Outcome
    duration_seconds: float
    load: float | None = None


class Balancer(Protocol):
    """Choice of upstreams, fair queueing between teams, and outlier ejection."""

    async def assign(
        self,
        service: ServiceName,
        team: TeamName,
        fingerprint: int,
        tried_upstreams: frozenset[UpstreamName],
        deadline: float,
    ) -> Assignment | NoCapacity | RequestHeld:
        """Wait until an upstream is available for a request.

        :param fingerprint: hash of team, method, path, query and body digest.
        :param tried_upstreams: upstreams that earlier attempts were sent to.
        :param deadline: boot-time in seconds.
        """

    def record_notice(self, upstream: Upstream, notice: Notice) -> None:
        """Record what a response said of its upstream, before its body is complete."""

    def finish(self, assignment: Assignment, sample: AttemptSample) -> None:
        """Release the upstream's slot and record the sample."""

    def may_retry(self, service: ServiceName) -> bool:
        """Consume one retry from the budget of a service; False if none is left."""


class Freshness(Protocol):
    """Whether this instance is up to date with key withdrawals."""

    def is_fresh(self, now: float) -> bool:
        """Return whether the store or enough peers responded recently.

        :param now: boot-time in seconds.
        """


@dataclass(frozen=True, slots=True)
class PeerUnreachable(Failure):
    """A peer did not respond in time; it may have received the message."""


MessageHandler = Callable[[Instance, Any], Any]


class PeerMessaging(Protocol):
    """Messaging between instances. Messages are frozen data classes."""

    async def request(
        self, peer: Instance, message: Any, timeout: float
    ) -> Any | PeerUnreachable:
        """Send a message and await its response.

        :param timeout: seconds.
        """

    def send(self, peer: Instance, message: Any) -> None:
        """Send a message without a response; it may be lost."""

    def gossip(self, message: Any) -> None:
        """Send a message to a few peers, which forward it to others."""

    def list_peers(self) -> tuple[Instance, ...]:
        """Return the peers that currently respond."""

    def register(self, message_type: type, handler: MessageHandler) -> None:
        """Set the coroutine function that handles a type of message.

        It is called with the sender and the message; its result, if any, is the
        response.
        """


@dataclass(frozen=True, slots=True)
class PartitionGained:
    """This instance now owns a partition.

    :param is_takeover: whether the state of the former holder is lost.
    :param states: state of the former holder by task name, if it was handed over.
    """

    partition: int
    epoch: int
    is_takeover: bool
    states: tuple[tuple[str, bytes], ...] = ()


@dataclass(frozen=True, slots=True)
class PartitionLost:
    """This instance no longer owns a partition; the reply is the partition's state."""

    partition: int


class PartitionOwnership(Protocol):
    """Which instance owns a partition."""

    def may_act(self, partition: int, now: float) -> bool:
        """Return whether this instance owns a partition at this moment.

        The caller must act on the result without an await in between, since ownership
        can end while it waits.
        """

    def find_holder(self, partition: int) -> Instance | None:
        """Return the instance that owns a partition; None if it is unknown."""
