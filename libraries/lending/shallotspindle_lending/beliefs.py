"""How likely an upstream is gray, as a two-state hidden Markov model.

An upstream turns gray and recovers at known rates, and nothing but its runs shows it.
A gray upstream still ends a part of its runs well, so that one whole run lowers the
belief and does not end it; a run that has not ended raises it by how few runs take as
long.
"""

import math
from dataclasses import dataclass

# How often an upstream turns gray and recovers, in times a second.
TURNING_RATE = 0.12
RECOVERY_RATE = 0.25
STATIONARY = TURNING_RATE / (TURNING_RATE + RECOVERY_RATE)
# Part of the runs that end well at a gray upstream.
GRAY_WHOLE_PART = 0.3
# Parts of the runs of a sound upstream that fail without an answer, and with one.
SOUND_FAILURE_PART = 0.01
SOUND_ERROR_PART = 0.1
LARGEST = 0.995


@dataclass(frozen=True, slots=True)
class Belief:
    """Probability that an upstream is gray.

    :param at: when it held, in seconds.
    """

    gray: float = STATIONARY
    at: float = float("-inf")

    def predict(self, now: float) -> "Belief":
        """Return the belief at a later time without news."""
        rate = TURNING_RATE + RECOVERY_RATE
        rest = math.exp(-rate * max(0.0, now - self.at))
        return Belief(STATIONARY + (self.gray - STATIONARY) * rest, now)

    def note_whole(self, now: float) -> "Belief":
        """Return the belief after a run that ended well."""
        return self.predict(now)._weigh(GRAY_WHOLE_PART)

    def note_error(self, now: float) -> "Belief":
        """Return the belief after a server error."""
        return self.predict(now)._weigh((1 - GRAY_WHOLE_PART) / SOUND_ERROR_PART)

    def note_failure(self, now: float) -> "Belief":
        """Return the belief after a run without a whole answer."""
        return self.predict(now)._weigh((1 - GRAY_WHOLE_PART) / SOUND_FAILURE_PART)

    def note_running(self, longer_part: float) -> "Belief":
        """Return the belief while a run has not ended.

        :param longer_part: part of the runs of sound upstreams that take longer.
        """
        gray = 1 - GRAY_WHOLE_PART + GRAY_WHOLE_PART * longer_part
        return self._weigh(gray / longer_part)

    def _weigh(self, ratio: float) -> "Belief":
        """Apply the ratio of the likelihoods of what was seen, gray to sound."""
        gray = self.gray * ratio
        return Belief(min(LARGEST, gray / (gray + 1 - self.gray)), self.at)


UNKNOWN = Belief()
