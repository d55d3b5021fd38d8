"""Time limits of requests: the ``Request-Timeout`` header, in seconds."""

import math

TIMEOUT_HEADER = "Request-Timeout"


def parse_timeout(value: str | None, max_seconds: float) -> float | None:
    """Return the time that a request may take.

    :param value: value of the header, or None if it is absent.
    :param max_seconds: timeout of the route.
    :returns: seconds, or None if the value is malformed.
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
    """Return the header value for the remaining time, which is at least 1 ms."""
    return f"{max(seconds, 0.001):.3f}"
