"""What the tasks of the daemon offer each other.

The front end knows these interfaces only; the tasks behind them may be replaced by
fakes in tests and by other front ends.
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


@dataclass(frozen=True, slots=True)
class Admitted:
    """A token of the team was taken for the request."""


@dataclass(frozen=True, slots=True)
class LimitExceeded(Failure):
    """The team has no token left.

    :param retry_after: time until a token is expected, in seconds.
    """

    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class LimitUnavailable(Failure):
    """No holder of the team's shares can be reached or may act."""


class Admission(Protocol):
    """Rates and bursts of teams over the whole fleet."""

    async def acquire(
        self, team: TeamName, deadline: float
    ) -> Admitted | LimitExceeded | LimitUnavailable:
        """Take one token of a team.

        :param deadline: boot-time in seconds after which the answer has no use.
        """


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """The first answer to an idempotency key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ClaimState(StrEnum):
    """What is known of an idempotency key.

    ``GRANTED`` is answered once: the asker alone may run the request.
    ``UNAVAILABLE`` means that the holder cannot be reached or may not act.
    """

    GRANTED = "granted"
    REPLAY = "replay"
    IN_PROGRESS = "in-progress"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
    DIFFERENT_BODY = "different-body"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answer to a claim; ``response`` is set for ``REPLAY`` only."""

    state: ClaimState
    response: StoredResponse | None = None


class Claims(Protocol):
    """At-most-once execution of requests with an idempotency key."""

    async def claim(
        self, team: TeamName, key: str, digest: bytes, deadline: float
    ) -> ClaimAnswer:
        """Ask for the right to run a request.

        :param digest: digest of method, path and body.
        :param deadline: boot-time in seconds.
        """

    async def finish(
        self, team: TeamName, key: str, response: StoredResponse | None
    ) -> None:
        """Report that a granted request ended.

        :param response: the whole answer; None when it is not known or too large.
        """

    async def abandon(self, team: TeamName, key: str) -> None:
        """Report that a granted request was certainly not sent; frees the key."""


@dataclass(frozen=True, slots=True)
class Assignment:
    """An upstream that a request may be sent to, with a place in its queue."""

    upstream: Upstream
    number: int


@dataclass(frozen=True, slots=True)
class NoCapacity(Failure):
    """No upstream may get the request before its deadline."""


@dataclass(frozen=True, slots=True)
class RequestHeld(Failure):
    """The request crashed upstreams before and is not sent again."""


@dataclass(frozen=True, slots=True)
class Sample:
    """What an exchange with an upstream showed.

    :param seconds: time to the end of the answer.
    :param load: load that the upstream reported in its answer, or None.
    :param draining: whether the upstream said that it leaves.
    """

    result: Outcome
    seconds: float
    load: float | None = None
    draining: bool = False


class Balancer(Protocol):
    """Choice of upstreams, fair queueing between teams, and ejections."""

    async def assign(
        self,
        service: ServiceName,
        team: TeamName,
        fingerprint: int,
        tried: frozenset[UpstreamName],
        deadline: float,
    ) -> Assignment | NoCapacity | RequestHeld:
        """Wait for an upstream.

        :param fingerprint: hash of team, method, path, query and body digest.
        :param tried: upstreams that this request was sent to before.
        :param deadline: boot-time in seconds.
        """

    def finish(self, assignment: Assignment, sample: Sample) -> None:
        """Give the place back and count the sample."""

    def may_retry(self, service: ServiceName) -> bool:
        """Take one retry from the budget of a service, if there is one."""


class Freshness(Protocol):
    """Whether this instance would know of a withdrawn key."""

    def is_fresh(self, now: float) -> bool:
        """Return whether the store or enough peers were heard recently.

        :param now: boot-time in seconds.
        """


@dataclass(frozen=True, slots=True)
class PeerUnreachable(Failure):
    """A peer did not answer in time; the message may have been received."""


Handler = Callable[[Instance, Any], Any]


class PeerLink(Protocol):
    """Messages to other instances. Messages are frozen data classes."""

    async def request(
        self, peer: Instance, message: Any, timeout: float
    ) -> Any | PeerUnreachable:
        """Send a message and await its reply.

        :param timeout: in seconds.
        """

    def send(self, peer: Instance, message: Any) -> None:
        """Send a message without a reply; it may be lost."""

    def spread(self, message: Any) -> None:
        """Send a message to a few peers."""

    def list_peers(self) -> tuple[Instance, ...]:
        """Return the peers that are usable now."""

    def register(self, message_type: type, handler: Handler) -> None:
        """Set the coroutine function that handles a type of message.

        It gets the sender and the message; its result, if any, is the reply.
        """


@dataclass(frozen=True, slots=True)
class PartitionGained:
    """This instance now acts for a partition.

    :param taken_over: whether the former state is lost.
    :param states: state of the former holder by task name, if it was handed over.
    """

    partition: int
    epoch: int
    taken_over: bool
    states: tuple[tuple[str, bytes], ...] = ()


@dataclass(frozen=True, slots=True)
class PartitionLost:
    """This instance no longer acts for a partition; the reply is its state."""

    partition: int


class Rights(Protocol):
    """Who acts for a partition."""

    def may_act(self, partition: int, now: float) -> bool:
        """Return whether this instance acts for a partition at this moment.

        Checked in the same step as the act, without an await in between.
        """

    def find_holder(self, partition: int) -> Instance | None:
        """Return the instance that acts for a partition, as far as known."""
