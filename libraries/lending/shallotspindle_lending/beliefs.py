"""Probability that an upstream is gray, by a two-state hidden Markov model.

An upstream fails partially ("turns gray") and recovers at known rates; its state shows
only in the outcomes of attempts. A gray upstream still completes some attempts, so one
success lowers the probability without clearing the upstream. An attempt that is still
running raises it, the more the fewer attempts usually take that long.
"""

import math
from dataclasses import dataclass

# Transitions of one upstream per second.
GRAY_RATE_PER_SECOND = 0.12
RECOVERY_RATE_PER_SECOND = 0.25
STATIONARY_GRAY_PROBABILITY = GRAY_RATE_PER_SECOND / (
    GRAY_RATE_PER_SECOND + RECOVERY_RATE_PER_SECOND
)
# Fraction of the attempts that succeed at a gray upstream.
GRAY_SUCCESS_RATIO = 0.3
# Fractions of the attempts at a healthy upstream that end without a complete
# response, and with a server error.
HEALTHY_FAILURE_RATIO = 0.01
HEALTHY_ERROR_RATIO = 0.1
MAX_GRAY_PROBABILITY = 0.995


@dataclass(frozen=True, slots=True)
class Belief:
    """Probability that an upstream is gray, at one point in time.

    :param updated_at: time for which the probability holds, in seconds.
    """

    gray_probability: float = STATIONARY_GRAY_PROBABILITY
    updated_at: float = float("-inf")

    def predict(self, now: float) -> "Belief":
        """Return the belief at a later time, without new observations."""
        rate = GRAY_RATE_PER_SECOND + RECOVERY_RATE_PER_SECOND
        decay = math.exp(-rate * max(0.0, now - self.updated_at))
        return Belief(
            STATIONARY_GRAY_PROBABILITY
            + (self.gray_probability - STATIONARY_GRAY_PROBABILITY) * decay,
            now,
        )

    def observe_success(self, now: float) -> "Belief":
        """Return the belief after a complete response without a server error."""
        return self.predict(now)._apply_likelihood_ratio(GRAY_SUCCESS_RATIO)

    def observe_error(self, now: float) -> "Belief":
        """Return the belief after a server error."""
        return self.predict(now)._apply_likelihood_ratio(
            (1 - GRAY_SUCCESS_RATIO) / HEALTHY_ERROR_RATIO
        )

    def observe_failure(self, now: float) -> "Belief":
        """Return the belief after an attempt without a complete response."""
        return self.predict(now)._apply_likelihood_ratio(
            (1 - GRAY_SUCCESS_RATIO) / HEALTHY_FAILURE_RATIO
        )

    def observe_running(self, longer_fraction: float) -> "Belief":
        """Return the belief while an attempt is still running.

        :param longer_fraction: fraction of the attempts at healthy upstreams that take
            longer than this one has taken so far; above 0.
        """
        likelihood = 1 - GRAY_SUCCESS_RATIO + GRAY_SUCCESS_RATIO * longer_fraction
        return self._apply_likelihood_ratio(likelihood / longer_fraction)

    def _apply_likelihood_ratio(self, ratio: float) -> "Belief":
        """Return the posterior belief.

        :param ratio: likelihood of the observation at a gray upstream, divided by its
            likelihood at a healthy one.
        """
        weight = self.gray_probability * ratio
        return Belief(
            min(MAX_GRAY_PROBABILITY, weight / (weight + 1 - self.gray_probability)),
            self.updated_at,
        )


PRIOR_BELIEF = Belief()
