"""Error responses of the gateway itself, as problem documents of RFC 9457.

Status 429 or 503 states that the request did not run and never will. 502 and 504 leave
open whether it ran.
"""

import json
from dataclasses import dataclass

from aiohttp import web

TYPE_PREFIX = "urn:shallotspindle:problem:"


@dataclass(frozen=True, slots=True)
class Problem:
    """An error response of the gateway itself; the logs call it a refusal.

    :param kind: last part of the problem type, which callers may match.
    :param retry_after: time after which the caller may retry, in seconds.
    """

    status: int
    kind: str
    title: str
    retry_after: float | None = None


MALFORMED = Problem(400, "malformed", "The request is malformed")
UNKNOWN_KEY = Problem(401, "unknown-key", "The key is not accepted")
NO_ROUTE = Problem(404, "no-route", "No route matches")
BODY_TOO_LARGE = Problem(413, "body-too-large", "The body is too large")
HEADERS_TOO_LARGE = Problem(431, "headers-too-large", "The headers are too large")
SLOW_CALLER = Problem(408, "slow-caller", "The body did not arrive in time")
RATE_EXCEEDED = Problem(429, "rate-exceeded", "The team's rate is used up")
NOT_READY = Problem(503, "not-ready", "No configuration is in force yet", 0.5)
KEYS_NOT_FRESH = Problem(503, "stale", "The key may have been withdrawn meanwhile", 0.5)
RATE_UNKNOWN = Problem(503, "rate-unknown", "The rate's holder is silent", 0.3)
NO_SLOT = Problem(503, "no-slot", "No upstream has room", 0.3)
NO_MEMORY = Problem(503, "no-memory", "The instance holds too many requests", 1.0)
STOPPING = Problem(503, "stopping", "The instance stops", 0.05)
REQUEST_QUARANTINED = Problem(503, "held", "The request crashed upstreams before", 5.0)
INTERNAL = Problem(500, "internal", "The instance failed")
UPSTREAM_FAILED = Problem(502, "upstream-failed", "The upstream did not answer")
DEADLINE_EXCEEDED = Problem(504, "deadline", "The deadline passed")


def build_response(problem: Problem, extra_headers: dict[str, str]) -> web.Response:
    """Return the HTTP response that carries a problem document."""
    document = {
        "type": TYPE_PREFIX + problem.kind,
        "title": problem.title,
        "status": problem.status,
    }
    response_headers = dict(extra_headers)
    if problem.retry_after is not None:
        response_headers["Retry-After"] = f"{problem.retry_after:.2f}"
    return web.Response(
        status=problem.status,
        body=json.dumps(document).encode(),
        content_type="application/problem+json",
        headers=response_headers,
    )
