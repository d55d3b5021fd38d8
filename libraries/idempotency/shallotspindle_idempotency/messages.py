"""Messages about idempotency keys between instances.

Keys travel as digests, so that a message never carries what a caller sent.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Claim:
    """Asks the holder for the right to run a request.

    :param key: digest of team and idempotency key, 16 bytes.
    :param body: digest of method, path and body.
    :param attempt: number that the asker uses once; names the grant afterwards.
    """

    partition: int
    key: bytes
    body: bytes
    attempt: int


@dataclass(frozen=True, slots=True)
class Claimed:
    """The asker alone may run the request."""


@dataclass(frozen=True, slots=True)
class Present:
    """The key was granted before.

    :param incarnation: the instance that got the grant.
    :param address: its peer address.
    :param domain: its failure domain.
    :param attempt: the number of its grant.
    :param completed: whether it reported a whole answer.
    """

    incarnation: str
    address: str
    domain: str
    attempt: int
    completed: bool


@dataclass(frozen=True, slots=True)
class DifferentBody:
    """The key was granted for another body."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The key may have been granted by a former holder whose state is lost."""


@dataclass(frozen=True, slots=True)
class NotEntitled:
    """The asked instance does not act for the partition, or its memory is full."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """The runner reports that a granted request ended.

    :param completed: whether the whole answer is known.
    """

    partition: int
    key: bytes
    attempt: int
    completed: bool


@dataclass(frozen=True, slots=True)
class Abandon:
    """The runner certainly did not send the request and never will."""

    partition: int
    key: bytes
    attempt: int


@dataclass(frozen=True, slots=True)
class Replay:
    """Asks the runner for the first answer."""

    key: bytes
    attempt: int


@dataclass(frozen=True, slots=True)
class Answer:
    """The first answer to a key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Running:
    """The request runs."""


@dataclass(frozen=True, slots=True)
class Dropped:
    """The request was answered as a whole; the answer is no longer kept."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The runner does not know how the request ended."""


@dataclass(frozen=True, slots=True)
class ClaimState:
    """One claim in a hand-over.

    :param remaining: seconds until the retention ends.
    """

    key: bytes
    body: bytes
    incarnation: str
    address: str
    domain: str
    attempt: int
    completed: bool
    remaining: float


@dataclass(frozen=True, slots=True)
class LedgerState:
    """All claims of a partition in a hand-over.

    :param quarantine: seconds for which unknown keys are not granted.
    """

    quarantine: float
    claims: tuple[ClaimState, ...]


ClaimReply = Claimed | Present | DifferentBody | Quarantined | NotEntitled
ReplayReply = Answer | Running | Dropped | Unknown
