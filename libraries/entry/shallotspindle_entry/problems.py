"""Error responses as problem documents (RFC 9457).

Each problem states what is known about the outcome of the operation. ``not-run`` is
stated only if no upstream can have run it.
"""

import json
import math
from dataclasses import dataclass, replace
from enum import StrEnum

from aiohttp import web

from shallotspindle_entry import headers

TYPE_PREFIX = "urn:shallotspindle:problem:"


class OperationOutcome(StrEnum):
    """What is known about the operation that a request asks for."""

    NOT_RUN = "not-run"
    IN_PROGRESS = "in-progress"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem that is returned instead of an upstream's response.

    :param kind: last part of the type URN, which callers may rely on.
    :param is_forwarded: whether this request was sent to an upstream.
    :param retry_after: seconds after which a retry may succeed.
    """

    status: int
    kind: str
    title: str
    outcome: OperationOutcome
    is_forwarded: bool = False
    retry_after: float | None = None


MALFORMED = Problem(
    400, "malformed", "The request is malformed", OperationOutcome.NOT_RUN
)
INTERNAL = Problem(500, "internal", "The instance failed", OperationOutcome.UNKNOWN)
NOT_READY = Problem(
    503,
    "not-ready",
    "No bundle is in force yet",
    OperationOutcome.NOT_RUN,
    retry_after=1,
)
NO_ROUTE = Problem(404, "no-route", "No route matches", OperationOutcome.NOT_RUN)
UNKNOWN_KEY = Problem(
    401, "unknown-key", "The key is not accepted", OperationOutcome.NOT_RUN
)
KEYS_NOT_FRESH = Problem(
    503,
    "stale",
    "The instance cannot tell whether the key is still valid",
    OperationOutcome.NOT_RUN,
    retry_after=2,
)
BAD_TIMEOUT = Problem(
    400,
    "bad-timeout",
    "Request-Timeout is not a number of seconds",
    OperationOutcome.NOT_RUN,
)
IDEMPOTENCY_KEY_REQUIRED = Problem(
    428,
    "idempotency-key-required",
    "This route needs an Idempotency-Key",
    OperationOutcome.NOT_RUN,
)
BAD_IDEMPOTENCY_KEY = Problem(
    400,
    "bad-idempotency-key",
    "An Idempotency-Key has 1 to 255 characters and stands once",
    OperationOutcome.NOT_RUN,
)
BODY_TOO_LARGE = Problem(
    413,
    "body-too-large",
    "The body is too large for a request with an Idempotency-Key",
    OperationOutcome.NOT_RUN,
)
INCOMPLETE_BODY = Problem(
    400, "bad-body", "The body did not arrive whole", OperationOutcome.NOT_RUN
)
SLOW_CALLER = Problem(
    408, "slow-caller", "The body did not arrive in time", OperationOutcome.NOT_RUN
)
RATE_EXCEEDED = Problem(
    429, "rate-exceeded", "The team's rate is used up", OperationOutcome.NOT_RUN
)
LIMIT_UNAVAILABLE = Problem(
    503,
    "limit-unavailable",
    "No holder of the team's rate can be reached",
    OperationOutcome.NOT_RUN,
    retry_after=2,
)
NO_CAPACITY = Problem(
    503,
    "no-capacity",
    "No upstream is available",
    OperationOutcome.NOT_RUN,
    retry_after=1,
)
STOPPING = Problem(
    503, "stopping", "The instance stops", OperationOutcome.NOT_RUN, retry_after=1
)
STOPPED = Problem(
    504,
    "stopped",
    "The instance stopped before the upstream answered",
    OperationOutcome.UNKNOWN,
    True,
)
REQUEST_QUARANTINED = Problem(
    422,
    "request-held",
    "The request crashed upstreams before",
    OperationOutcome.UNKNOWN,
)
UPSTREAM_FAILED = Problem(
    502,
    "upstream-failed",
    "The upstream did not answer",
    OperationOutcome.UNKNOWN,
    True,
)
DEADLINE_EXCEEDED = Problem(
    504, "deadline", "The deadline passed", OperationOutcome.UNKNOWN, True
)
IN_PROGRESS = Problem(
    409,
    "in-progress",
    "The request is running",
    OperationOutcome.IN_PROGRESS,
    retry_after=1,
)
COMPLETED = Problem(
    409,
    "completed",
    "The request ran; its answer is no longer kept",
    OperationOutcome.COMPLETED,
)
UNKNOWN_OUTCOME = Problem(
    504,
    "unknown-outcome",
    "It is not known whether the request ran",
    OperationOutcome.UNKNOWN,
)
DIFFERENT_BODY = Problem(
    422,
    "different-body",
    "The Idempotency-Key was used for another request",
    OperationOutcome.NOT_RUN,
)
CLAIM_UNAVAILABLE = Problem(
    503,
    "claim-unavailable",
    "The holder of the Idempotency-Key cannot be reached",
    OperationOutcome.UNKNOWN,
    retry_after=2,
)


def weaken_outcome(problem: Problem, is_key_unchecked: bool) -> Problem:
    """Replace the outcome ``not-run`` by ``unknown`` before a key was looked up.

    An earlier request with the same idempotency key may have run, so ``not-run`` might
    be wrong for the operation.

    :param is_key_unchecked: whether the request has an idempotency key that was not
        looked up.
    """
    if is_key_unchecked and problem.outcome is OperationOutcome.NOT_RUN:
        return replace(problem, outcome=OperationOutcome.UNKNOWN)
    return problem


def build_response(problem: Problem, request_id: str) -> web.Response:
    """Return the response that carries a problem document."""
    document = {
        "type": TYPE_PREFIX + problem.kind,
        "title": problem.title,
        "status": problem.status,
        "outcome": problem.outcome.value,
        "attempt": "forwarded" if problem.is_forwarded else "not-forwarded",
        "request_id": request_id,
    }
    fields = {headers.REQUEST_ID: request_id}
    if problem.retry_after is not None:
        fields["Retry-After"] = str(max(1, math.ceil(problem.retry_after)))
    return web.Response(
        status=problem.status,
        body=json.dumps(document).encode(),
        content_type="application/problem+json",
        headers=fields,
    )
