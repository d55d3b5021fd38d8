"""Records and messages of the rate limits."""

from dataclasses import dataclass
from typing import ClassVar

from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import TeamName


@dataclass(frozen=True, slots=True)
class Limit:
    """Rate limit of a team over the whole fleet.

    :param rate: sustained requests per second.
    :param burst: requests that may be admitted at once.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Share:
    """Part of a team's limit that the holder of one partition enforces.

    :param rate: tokens per second.
    :param burst: upper bound of the tokens in the bucket and in outstanding grants of
        prefetched tokens together.
    :param max_prefetched: upper bound of the tokens in outstanding grants of
        prefetched tokens.
    """

    rate: float
    burst: float
    max_prefetched: float


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Asks the holder of a share for a token.

    :param index: index of the share among the shares of the team.
    :param demand: requests per second of the team at the requester.
    """

    KIND: ClassVar[str] = "acquire"

    team: TeamName
    index: int
    demand: float = 0.0


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Grants one token to the waiting request, and possibly prefetched tokens.

    All of them expire 1 s after the requester sent its request.

    :param prefetched: number of tokens for later requests at the requester.
    """

    KIND: ClassVar[str] = "granted"

    prefetched: int = 0


@dataclass(frozen=True, slots=True)
class TokenDenial:
    """The bucket of the share is empty.

    :param min_wait_seconds: lower bound of the time until the bucket has a token.
    :param retry_after: expected time until a token is free if all requests that were
        denied recently are retried, in seconds.
    """

    KIND: ClassVar[str] = "denied"

    min_wait_seconds: float
    retry_after: float


@dataclass(frozen=True, slots=True)
class NotHolder:
    """The receiver is not entitled to grant tokens of the share at present."""

    KIND: ClassVar[str] = "notacting"


@dataclass(frozen=True, slots=True)
class ShareState:
    """State of a share that is handed over to another holder.

    :param index: index of the share among the shares of the team.
    :param tokens: tokens in the bucket; below zero if it starts to fill later.
    :param rate: rate in force, in tokens per second.
    :param burst: burst in force, in tokens.
    :param outstanding: prefetched tokens that may still be used.
    """

    team: TeamName
    index: int
    tokens: float
    rate: float
    burst: float
    outstanding: int = 0


@dataclass(frozen=True, slots=True)
class PartitionState:
    """State of all shares of a partition that have a bucket."""

    shares: tuple[ShareState, ...] = ()


@dataclass(frozen=True, slots=True)
class InvalidState(Failure):
    """The state of the former holder cannot be decoded; all buckets start empty."""


MESSAGE_TYPES = (TokenRequest, TokenGrant, TokenDenial, NotHolder)
