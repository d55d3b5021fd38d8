"""Messages between instances about idempotency keys.

Keys travel as digests, so that no message contains a key that a caller sent.
A message with a ``KIND`` keeps the kind that running instances know it by.
"""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks the partition's holder for the exclusive right to run a request.

    :param key_digest: digest of team and idempotency key, 16 bytes.
    :param request_digest: digest of method, path and body.
    :param attempt_id: number that the requester uses once; identifies the grant.
    """

    KIND: ClassVar[str] = "claim"

    partition: int
    key_digest: bytes
    request_digest: bytes
    attempt_id: int


@dataclass(frozen=True, slots=True)
class ClaimGrant:
    """The requester, and no other instance, may run the request."""

    KIND: ClassVar[str] = "claimed"


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The key was granted before.

    :param incarnation: incarnation of the runner, the instance that got the grant.
    :param address: peer address of the runner.
    :param domain: failure domain of the runner.
    :param attempt_id: identifies the grant.
    :param is_completed: whether the runner reported a complete response.
    """

    KIND: ClassVar[str] = "present"

    incarnation: str
    address: str
    domain: str
    attempt_id: int
    is_completed: bool


@dataclass(frozen=True, slots=True)
class DifferentBody:
    """The key was granted for a request with another method, path or body."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The key may have been granted by a former holder whose state is lost."""


@dataclass(frozen=True, slots=True)
class HolderUnavailable:
    """The instance does not act for the partition, or has no memory for the claim."""

    KIND: ClassVar[str] = "notentitled"


@dataclass(frozen=True, slots=True)
class OutcomeReport:
    """Reports to the holder that a granted request ended.

    :param is_completed: whether the runner has a complete response.
    """

    KIND: ClassVar[str] = "outcome"

    partition: int
    key_digest: bytes
    attempt_id: int
    is_completed: bool


@dataclass(frozen=True, slots=True)
class AbandonReport:
    """Reports to the holder that the request was not sent and never will be."""

    KIND: ClassVar[str] = "abandon"

    partition: int
    key_digest: bytes
    attempt_id: int


@dataclass(frozen=True, slots=True)
class ReplayRequest:
    """Asks the runner for the response to the first request with a key."""

    KIND: ClassVar[str] = "replay"

    key_digest: bytes
    attempt_id: int


@dataclass(frozen=True, slots=True)
class RecordedResponse:
    """The response to the first request with a key."""

    KIND: ClassVar[str] = "answer"

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestInProgress:
    """The request is still running."""

    KIND: ClassVar[str] = "running"


@dataclass(frozen=True, slots=True)
class ResponseDiscarded:
    """The request has a complete response, which is not in the cache.

    It was too large or was evicted.
    """

    KIND: ClassVar[str] = "dropped"


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """The runner does not know how the request ended."""

    KIND: ClassVar[str] = "unknown"


@dataclass(frozen=True, slots=True)
class ClaimSnapshot:
    """One claim in the state of a handover.

    :param remaining_seconds: time until the claim expires.
    """

    key_digest: bytes
    request_digest: bytes
    incarnation: str
    address: str
    domain: str
    attempt_id: int
    is_completed: bool
    remaining_seconds: float


@dataclass(frozen=True, slots=True)
class LedgerSnapshot:
    """All claims of a partition in the state of a handover.

    :param quarantine_seconds: time for which keys without a claim are not granted.
    """

    quarantine_seconds: float
    claims: tuple[ClaimSnapshot, ...]


ClaimResponse = (
    ClaimGrant | AlreadyClaimed | DifferentBody | Quarantined | HolderUnavailable
)
ReplayResponse = (
    RecordedResponse | RequestInProgress | ResponseDiscarded | UnknownOutcome
)
