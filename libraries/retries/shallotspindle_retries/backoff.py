"""Delay before a retry: exponential backoff with full jitter."""

from shallotspindle_core.randomness import RandomSource

BASE_DELAY_SECONDS = 0.02
MAX_DELAY_SECONDS = 1.0
# Bounds the attempts of a request while all upstreams of its service fail.
MAX_ATTEMPTS = 3


def compute_delay(
    attempts: int, now: float, deadline: float, random: RandomSource
) -> float | None:
    """Return the delay before the next attempt, or None if there must be none.

    :param attempts: number of attempts so far, at least 1.
    :param deadline: time after which a response has no use, in seconds.
    :returns: delay in seconds, which ends before the deadline.
    """
    if attempts >= MAX_ATTEMPTS:
        return None
    ceiling = min(MAX_DELAY_SECONDS, BASE_DELAY_SECONDS * 2 ** (attempts - 1))
    delay = ceiling * random.random()
    return delay if now + delay < deadline else None
