"""Decides which requests may be sent a second time.

A request is sent again only if running it twice has no second effect, or if it
certainly did not run.
"""

from collections.abc import Mapping
from dataclasses import dataclass

OUTCOME_HEADER = "request-outcome"
NOT_RUN = "not-run"
SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Attempt:
    """How an attempt to send a request ended.

    :param is_connected: whether a connection existed on which a byte of the request may
        have been sent.
    :param status: status of the response, or None without a response.
    :param headers: headers of the response, with names in lower case.
    :param has_started_response: whether a byte of the response was sent to the caller.
    :param is_body_replayable: whether the whole request body can be sent again.
    """

    is_connected: bool
    status: int | None = None
    headers: Mapping[str, str] | None = None
    has_started_response: bool = False
    is_body_replayable: bool = True


def is_certainly_not_run(attempt: Attempt) -> bool:
    """Return whether it is certain that no upstream ran the request."""
    if not attempt.is_connected:
        return True
    outcome = (attempt.headers or {}).get(OUTCOME_HEADER, "")
    return attempt.status == SERVICE_UNAVAILABLE and outcome.strip().lower() == NOT_RUN


def may_succeed_elsewhere(attempt: Attempt) -> bool:
    """Return whether the attempt failed in a way that another upstream may not."""
    return attempt.status is None or attempt.status in {502, SERVICE_UNAVAILABLE, 504}


def may_retry(attempt: Attempt, is_idempotent: bool) -> bool:
    """Return whether the request may be sent again.

    :param is_idempotent: whether the route declares the method idempotent.
    """
    if (
        attempt.has_started_response
        or not may_succeed_elsewhere(attempt)
        or not attempt.is_body_replayable
    ):
        return False
    return is_idempotent or is_certainly_not_run(attempt)
