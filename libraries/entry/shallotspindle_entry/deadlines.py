"""Deadlines of requests, from the header ``Request-Timeout`` in seconds."""

import math

TIMEOUT_HEADER = "Request-Timeout"


def parse_timeout(value: str | None, max_seconds: float) -> float | None:
    """Return the time that a request may take.

    :param value: the header's value, or None when it is absent.
    :param longest: timeout of the route, in seconds.
    :returns: seconds, or None when the value is malformed.
    """
    if value is None:
        return max_seconds
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds <= 0:
        return None
    return min(seconds, max_seconds)


def format_timeout(seconds: float) -> str:
    """Return the header's value for the time that is left."""
    return f"{max(seconds, 0.001):.3f}"
