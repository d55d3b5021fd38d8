"""Which requests may be sent a second time.

A request is sent again only if that has no second effect, or if it certainly did not
run.
"""

from collections.abc import Mapping
from dataclasses import dataclass

OUTCOME_HEADER = "request-outcome"
NOT_RUN = "not-run"
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Attempt:
    """How an attempt to send a request ended.

    :param connected: whether a connection existed on which a byte may have gone out.
    :param status: status of the answer, or None without an answer.
    :param headers: headers of the answer with names in lower case.
    :param answered: whether a byte of the answer was given to the caller.
    :param resendable: whether the whole body can be sent again.
    """

    connected: bool
    status: int | None = None
    headers: Mapping[str, str] | None = None
    answered: bool = False
    resendable: bool = True


def is_certainly_not_run(attempt: Attempt) -> bool:
    """Return whether no upstream ran the request."""
    if not attempt.connected:
        return True
    stated = (attempt.headers or {}).get(OUTCOME_HEADER, "")
    return attempt.status == UNAVAILABLE and stated.strip().lower() == NOT_RUN


def has_failed(attempt: Attempt) -> bool:
    """Return whether another upstream could do better."""
    return attempt.status is None or attempt.status in {502, UNAVAILABLE, 504}


def may_retry(attempt: Attempt, idempotent: bool) -> bool:
    """Return whether the request may be sent again.

    :param idempotent: whether the route says so for the method.
    """
    if attempt.answered or not has_failed(attempt) or not attempt.resendable:
        return False
    return idempotent or is_certainly_not_run(attempt)
