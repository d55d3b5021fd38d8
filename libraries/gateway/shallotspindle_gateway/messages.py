"""Messages between gateways, beside those of the slots."""

from dataclasses import dataclass
from typing import ClassVar

from shallotspindle_core.identifiers import TeamName
from shallotspindle_lending import records as lending_records


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Asks the holder of a team's rate for one token.

    :param wait_seconds: how long the asker would wait for the token.
    :param fresh_wait_seconds: how long if the holder has just taken the right.
    """

    KIND: ClassVar[str] = "tokenasked"

    team: TeamName
    wait_seconds: float
    new_holder_wait_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """One token, to be used after a wait."""

    KIND: ClassVar[str] = "tokengiven"

    wait_seconds: float


@dataclass(frozen=True, slots=True)
class TokenDenial:
    """The team has used its rate.

    :param retry_after: time until a token is expected, in seconds.
    """

    KIND: ClassVar[str] = "tokendenied"

    retry_after: float


@dataclass(frozen=True, slots=True)
class NotHolder:
    """The instance does not hold the team's rate."""


@dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Asks what changed in the store.

    :param revision: revision up to which the asker knows the changes.
    """

    KIND: ClassVar[str] = "changesasked"

    revision: int


@dataclass(frozen=True, slots=True)
class ChangesResponse:
    """What changed in the store, as far as the teller knows.

    :param revision: revision up to which the changes are told.
    :param age_seconds: time since the question to the store whose answer confirmed it.
    :param events: key, value, revision and whether the key was removed.
    :param silence_seconds: time since an answer of the store, at which it had no other
        changes.
    :param grace_seconds: for how long entries of upstreams that vanish are kept.
    :param is_lost: whether the teller does not know all changes since the asker's.
    :param is_whole: whether the teller told all that it knows.
    """

    KIND: ClassVar[str] = "changestold"

    revision: int
    age_seconds: float
    store_silence_seconds: float
    grace_seconds: float = 0.0
    events: tuple[tuple[str, bytes, int, bool], ...] = ()
    is_history_missing: bool = False
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class RenewalRequest:
    """Asks a neighbour to renew the lease of an instance that the store refuses."""

    KIND: ClassVar[str] = "renewalasked"

    lease: int


@dataclass(frozen=True, slots=True)
class RenewalResponse:
    """The store's answer to the renewal of a neighbour's lease.

    :param is_ended: whether the lease has ended.
    """

    KIND: ClassVar[str] = "renewaltold"

    lease: int
    has_ended: bool


MESSAGE_TYPES = (
    RenewalRequest,
    RenewalResponse,
    TokenRequest,
    TokenGrant,
    TokenDenial,
    NotHolder,
    ChangesRequest,
    ChangesResponse,
    *lending_records.MESSAGE_TYPES,
)
