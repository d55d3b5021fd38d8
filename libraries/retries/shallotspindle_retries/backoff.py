"""How long to wait before a retry: exponential backoff with full jitter."""

from shallotspindle_core.randomness import RandomSource

BASE_SECONDS = 0.02
LIMIT_SECONDS = 1.0
# All of a service may fail; a request then ends after this many attempts.
MAX_ATTEMPTS = 3


def find_delay(
    attempts: int, now: float, deadline: float, random: RandomSource
) -> float | None:
    """Return the wait before the next attempt, or None if there is none.

    :param attempts: attempts so far, at least 1.
    :param deadline: time in seconds after which an answer has no use.
    """
    if attempts >= MAX_ATTEMPTS:
        return None
    ceiling = min(LIMIT_SECONDS, BASE_SECONDS * 2 ** (attempts - 1))
    delay = ceiling * random.random()
    return delay if now + delay < deadline else None
