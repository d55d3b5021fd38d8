"""Messages between the askers of slots and the lender of a failure domain."""

from dataclasses import dataclass
from enum import StrEnum

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName


class Outcome(StrEnum):
    """How a request ended at the upstream whose slot was lent.

    ``WHOLE`` is a complete answer that is no server error. ``OVERDUE`` means that the
    asker stopped waiting after another upstream had answered.
    """

    WHOLE = "whole"
    ERROR = "error"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    TRUNCATED = "truncated"
    TIMED_OUT = "timed-out"
    OVERDUE = "overdue"
    RESET = "reset"
    NOT_CONNECTED = "not-connected"
    CANCELLED = "cancelled"


class Reason(StrEnum):
    """Why no slot is lent."""

    BUSY = "busy"
    NO_UPSTREAM = "no-upstream"
    NO_BUDGET = "no-budget"
    HELD = "held"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class SlotAsked:
    """A request needs a slot.

    :param number: number of the question, unique for its asker.
    :param domain: failure domain whose slots are asked for.
    :param repeatable: whether the request may run twice.
    :param repeat: whether the request was sent to an upstream before.
    :param priority: rank of the request; 0 is the highest.
    :param seconds: time until the request must be answered.
    :param objective_seconds: time until its answer is late.
    :param wait_seconds: time for which the question may be queued.
    :param fingerprint: hash by which the same request is recognised later.
    :param avoid: upstreams that the request was sent to before.
    :param route: hash of the request's route.
    """

    number: int
    asker: str
    service: ServiceName
    domain: FailureDomain
    repeatable: bool
    repeat: bool
    priority: int
    seconds: float
    objective_seconds: float
    wait_seconds: float
    fingerprint: int
    avoid: tuple[UpstreamName, ...] = ()
    route: int = 0


@dataclass(frozen=True, slots=True)
class SlotLent:
    """The request may be sent to an upstream now."""

    number: int
    upstream: UpstreamName
    address: str
    hedge_seconds: float


@dataclass(frozen=True, slots=True)
class SlotQueued:
    """The question waits for a slot."""

    number: int


@dataclass(frozen=True, slots=True)
class SlotRefused:
    """No slot is lent.

    :param retry_after: time after which a slot is likely to be free, in seconds.
    """

    number: int
    reason: Reason
    retry_after: float


@dataclass(frozen=True, slots=True)
class SlotReturned:
    """The request ended, or its asker no longer wants the slot.

    :param seconds: time from the send to the end.
    """

    number: int
    asker: str
    service: ServiceName
    domain: FailureDomain
    upstream: UpstreamName
    outcome: Outcome
    seconds: float


@dataclass(frozen=True, slots=True)
class CrashSeen:
    """An upstream ended the connection while it ran a request.

    :param fingerprint: hash of the request.
    """

    fingerprint: int
    upstream: UpstreamName


MESSAGE_TYPES = (
    SlotAsked,
    SlotLent,
    SlotQueued,
    SlotRefused,
    SlotReturned,
    CrashSeen,
)
Decision = SlotLent | SlotRefused
