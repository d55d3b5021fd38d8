"""Messages between gateways, beside those of the slots."""

from dataclasses import dataclass

from shallotspindle_core.identifiers import TeamName
from shallotspindle_lending import records as lending_records


@dataclass(frozen=True, slots=True)
class TokenAsked:
    """Asks the holder of a team's rate for one token.

    :param wait_seconds: how long the asker would wait for the token.
    """

    team: TeamName
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class TokenGiven:
    """One token, to be used after a wait."""

    after_seconds: float


@dataclass(frozen=True, slots=True)
class TokenDenied:
    """The team has used its rate.

    :param retry_after: time until a token is expected, in seconds.
    """

    retry_after: float


@dataclass(frozen=True, slots=True)
class NotHolder:
    """The instance does not hold the team's rate."""


@dataclass(frozen=True, slots=True)
class KnowledgeAsked:
    """Asks what the store said last."""

    version: int


@dataclass(frozen=True, slots=True)
class KnowledgeTold:
    """What the store said last.

    :param version: version of the configuration in force.
    :param age_seconds: time since the question to the store whose answer confirmed it.
    :param document: the configuration as stored, if the asker has an older one.
    """

    version: int
    age_seconds: float
    document: bytes = b""


MESSAGE_TYPES = (
    TokenAsked,
    TokenGiven,
    TokenDenied,
    NotHolder,
    KnowledgeAsked,
    KnowledgeTold,
    *lending_records.MESSAGE_TYPES,
)
