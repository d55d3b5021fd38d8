"""Records and messages of the rate limits."""

from dataclasses import dataclass
from typing import ClassVar

from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import TeamName


@dataclass(frozen=True, slots=True)
class Limit:
    """What a team may use over the whole fleet.

    :param rate: requests a second.
    :param burst: requests at once.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Share:
    """Part of a limit that one partition stands for.

    :param rate: tokens a second.
    :param burst: tokens in the bucket and in outstanding prepaid grants.
    :param prepaid: most tokens in outstanding prepaid grants.
    """

    rate: float
    burst: float
    max_prefetched: float


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Asks the holder of a share for a token.

    :param index: number of the share.
    :param demand: requests a second of the team at the asker.
    """

    KIND: ClassVar[str] = "acquire"

    team: TeamName
    index: int
    demand: float = 0.0


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """One token for the waiting request and some prepaid ones.

    All of them expire 1 s after the asker sent its request.

    :param prepaid: further tokens.
    """

    KIND: ClassVar[str] = "granted"

    prefetched: int = 0


@dataclass(frozen=True, slots=True)
class TokenDenial:
    """The share has no token left.

    :param min_wait_seconds: no token can be there earlier, in seconds.
    :param retry_after: when a token is expected in view of waiting demand, in seconds.
    """

    KIND: ClassVar[str] = "denied"

    min_wait_seconds: float
    retry_after: float


@dataclass(frozen=True, slots=True)
class NotHolder:
    """The asked instance may not act for the share now."""

    KIND: ClassVar[str] = "notacting"


@dataclass(frozen=True, slots=True)
class ShareState:
    """State of a share that moves to another holder.

    :param rate: rate in force, in tokens a second.
    :param burst: burst in force.
    :param outstanding: tokens in prepaid grants that may not have expired.
    """

    team: TeamName
    index: int
    tokens: float
    rate: float
    burst: float
    outstanding: int = 0


@dataclass(frozen=True, slots=True)
class PartitionState:
    """All shares with state in a partition."""

    shares: tuple[ShareState, ...] = ()


@dataclass(frozen=True, slots=True)
class InvalidState(Failure):
    """The state of a former holder cannot be used; its buckets start empty."""


MESSAGE_TYPES = (TokenRequest, TokenGrant, TokenDenial, NotHolder)
