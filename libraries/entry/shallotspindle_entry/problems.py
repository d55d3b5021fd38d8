"""Refusals as problem documents of RFC 9457.

Each refusal states what is known of the operation. ``not-run`` is said only where
no upstream can have run it.
"""

import json
from dataclasses import dataclass
from enum import StrEnum

from aiohttp import web

TYPE_PREFIX = "urn:shallotspindle:problem:"


class Outcome(StrEnum):
    """What is known of the operation that a request asks for."""

    NOT_RUN = "not-run"
    IN_PROGRESS = "in-progress"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Problem:
    """A refusal.

    :param kind: last part of the stable type.
    :param forwarded: whether this request was sent to an upstream.
    :param retry_after: time after which a repeat makes sense, in seconds.
    """

    status: int
    kind: str
    title: str
    outcome: Outcome
    forwarded: bool = False
    retry_after: float | None = None


def build_response(problem: Problem, request_id: str) -> web.Response:
    """Return the response that states a problem."""
    document = {
        "type": TYPE_PREFIX + problem.kind,
        "title": problem.title,
        "status": problem.status,
        "outcome": problem.outcome.value,
        "attempt": "forwarded" if problem.forwarded else "not-forwarded",
        "request_id": request_id,
    }
    headers = {"X-Request-Id": request_id}
    if problem.retry_after is not None:
        headers["Retry-After"] = str(max(1, round(problem.retry_after)))
    return web.Response(
        status=problem.status,
        body=json.dumps(document).encode(),
        content_type="application/problem+json",
        headers=headers,
    )
