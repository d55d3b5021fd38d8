"""Error responses of the gateway itself, as problem documents of RFC 9457.

Status 429 or 503 states that the request did not run and never will. 502 and 504 leave
open whether it ran.
"""

import json
from dataclasses import dataclass

from aiohttp import web

TYPE_PREFIX = "urn:shallotspindle:problem:"


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error response of the gateway itself.

    :param kind: last part of the problem type, which callers may match.
    :param retry_after: time after which the caller may retry, in seconds.
    """

    status: int
    kind: str
    title: str
    retry_after: float | None = None


MALFORMED = Refusal(400, "malformed", "The request is malformed")
UNKNOWN_KEY = Refusal(401, "unknown-key", "The key is not accepted")
NO_ROUTE = Refusal(404, "no-route", "No route matches")
BODY_TOO_LARGE = Refusal(413, "body-too-large", "The body is too large")
HEADERS_TOO_LARGE = Refusal(431, "headers-too-large", "The headers are too large")
SLOW_CALLER = Refusal(408, "slow-caller", "The body did not arrive in time")
RATE_EXCEEDED = Refusal(429, "rate-exceeded", "The team's rate is used up")
NOT_READY = Refusal(503, "not-ready", "No configuration is in force yet", 0.5)
KEYS_NOT_FRESH = Refusal(503, "stale", "The key may have been withdrawn meanwhile", 0.5)
RATE_UNKNOWN = Refusal(503, "rate-unknown", "The rate's holder is silent", 0.3)
NO_SLOT = Refusal(503, "no-slot", "No upstream has room", 0.3)
STOPPING = Refusal(503, "stopping", "The instance stops", 0.05)
REQUEST_QUARANTINED = Refusal(503, "held", "The request crashed upstreams before", 5.0)
INTERNAL = Refusal(500, "internal", "The instance failed")
UPSTREAM_FAILED = Refusal(502, "upstream-failed", "The upstream did not answer")
UPSTREAM_TIMEOUT = Refusal(504, "deadline", "The deadline passed")


def build_response(refusal: Refusal, extra_headers: dict[str, str]) -> web.Response:
    """Return the HTTP response for a refusal."""
    document = {
        "type": TYPE_PREFIX + refusal.kind,
        "title": refusal.title,
        "status": refusal.status,
    }
    response_headers = dict(extra_headers)
    if refusal.retry_after is not None:
        response_headers["Retry-After"] = f"{refusal.retry_after:.2f}"
    return web.Response(
        status=refusal.status,
        body=json.dumps(document).encode(),
        content_type="application/problem+json",
        headers=response_headers,
    )
