"""Messages between the lender of a failure domain's slots and its requesters."""

from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar

from shallotspindle_core.bounds import (
    Address,
    Fingerprint,
    Priority,
    Seconds,
    UnixMilliseconds,
)
from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName


class Outcome(StrEnum):
    """How an attempt ended at the upstream whose slot was granted.

    ``COMPLETE`` is a complete response without a server error. ``SHED`` is a request
    that the upstream rejected without running it, and ``MISDIRECTED`` one that it
    rejected with status 421. ``TRUNCATED`` is a response that broke off or was
    rejected, such as one to another request. ``OVERDUE`` means that another upstream
    responded first while this attempt took longer than usual; an attempt of usual
    length is ``CANCELLED`` then.
    """

    COMPLETE = "whole"
    ERROR = "error"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    TRUNCATED = "truncated"
    TIMED_OUT = "timed-out"
    OVERDUE = "overdue"
    RESET = "reset"
    NOT_CONNECTED = "not-connected"
    CANCELLED = "cancelled"


class RefusalReason(StrEnum):
    """Why no slot is granted.

    ``NO_BUDGET`` means that the retry budget is used up, ``QUARANTINED`` that the
    request has crashed upstreams, and ``NO_RESPONSE`` that no lender responded.
    ``PAUSED`` means that all upstreams want a pause, and ``EVACUATED`` that their
    failure domains are evacuated; no message contains either of them.
    """

    BUSY = "busy"
    NO_UPSTREAM = "no-upstream"
    NO_BUDGET = "no-budget"
    QUARANTINED = "held"
    NO_RESPONSE = "silent"
    PAUSED = "paused"
    EVACUATED = "evacuated"


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Asks a lender for a slot.

    :param number: unique for the requester; the response has the same number.
    :param requester: address of the instance that asks.
    :param domain: failure domain whose slots are requested.
    :param is_idempotent: whether the request may run twice.
    :param is_retry: whether the request was sent to an upstream before; a hedge is a
        retry too.
    :param priority: 0 is the highest.
    :param deadline_seconds: time left until the caller must have a response.
    :param objective_seconds: time left until a response misses the latency objective.
    :param max_wait_seconds: time for which the slot request may be queued.
    :param fingerprint: hash by which the same request is recognised later.
    :param excluded_upstreams: upstreams that the request was sent to before.
    """

    KIND: ClassVar[str] = "slotasked"

    number: int
    requester: Address
    service: ServiceName
    domain: FailureDomain
    is_idempotent: bool
    is_retry: bool
    priority: Priority
    deadline_seconds: Seconds
    objective_seconds: Seconds
    max_wait_seconds: Seconds
    fingerprint: Fingerprint
    excluded_upstreams: tuple[UpstreamName, ...] = ()
    route_hash: int = 0


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """Lets the requester send the request to an upstream.

    :param address: ``ip:port`` of the upstream.
    :param hedge_delay_seconds: age of the attempt from which it is overdue, so that a
        hedge is worth sending.
    """

    KIND: ClassVar[str] = "slotlent"

    number: int
    upstream: UpstreamName
    address: Address
    hedge_delay_seconds: Seconds


@dataclass(frozen=True, slots=True)
class SlotQueued:
    """Tells the requester that its slot request waits for a free slot."""

    number: int


@dataclass(frozen=True, slots=True)
class SlotRefusal:
    """Tells the requester that it gets no slot.

    :param retry_after: time after which a slot is likely to be free, in seconds.
    """

    KIND: ClassVar[str] = "slotrefused"

    number: int
    reason: RefusalReason
    retry_after: Seconds


@dataclass(frozen=True, slots=True)
class SlotReturned:
    """The attempt ended, or the requester no longer wants the slot.

    :param upstream: empty if the requester received no grant.
    :param duration_seconds: time from the start to the end of the attempt.
    """

    number: int
    requester: Address
    service: ServiceName
    domain: FailureDomain
    upstream: UpstreamName
    outcome: Outcome
    duration_seconds: Seconds


@dataclass(frozen=True, slots=True)
class UpstreamCrashed:
    """An upstream reset the connection while it ran a request.

    :param fingerprint: hash of the request.
    """

    KIND: ClassVar[str] = "crashseen"

    fingerprint: Fingerprint
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """An upstream completed a request that had crashed upstreams before.

    :param fingerprint: hash of the request.
    """

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """An upstream said in a response to the sender that it leaves.

    :param started_at_ms: Unix time at which its incarnation started, in milliseconds;
        0 if unknown.
    """

    upstream: UpstreamName
    started_at_ms: UnixMilliseconds


MESSAGE_TYPES = (
    SlotRequest,
    SlotGrant,
    SlotQueued,
    SlotRefusal,
    SlotReturned,
    UpstreamCrashed,
    RequestCompleted,
    UpstreamLeaving,
)
Decision = SlotGrant | SlotRefusal
