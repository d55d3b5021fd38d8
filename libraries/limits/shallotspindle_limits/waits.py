"""Decides how long a request may wait for a token of its team.

The load that this answers: a team sends less than its limit over a window, but in
bursts. A request whose token is due soon waits for it, without holding a slot of an
upstream. One that would miss its latency objective by waiting is refused at once with
the time of its token, so that its caller can do something else meanwhile.
"""

# The rest of the time is left for the slot and for the run at the upstream.
MAX_OBJECTIVE_FRACTION = 0.5
# Beyond this a caller is better told when to come back, however patient it is.
MAX_WAIT_SECONDS = 1.0
# A request without much time left must not spend it on waiting.
MAX_REMAINING_FRACTION = 0.5


def compute_max_wait(objective_seconds: float, remaining_seconds: float) -> float:
    """Return the longest wait for a token, in seconds.

    :param objective_seconds: time left until the latency objective is missed.
    :param remaining_seconds: time left until the response must be complete.
    """
    return max(
        0.0,
        min(
            MAX_WAIT_SECONDS,
            MAX_OBJECTIVE_FRACTION * objective_seconds,
            MAX_REMAINING_FRACTION * remaining_seconds,
        ),
    )
