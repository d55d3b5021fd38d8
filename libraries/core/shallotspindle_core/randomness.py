"""Random number protocol of the decision libraries."""

from typing import Protocol


class RandomSource(Protocol):
    """Random number generator passed in by the caller, such as ``random.Random``."""

    def random(self) -> float:
        """Return a number from the half-open interval [0, 1)."""

    def randrange(self, stop: int) -> int:
        """Return an integer from 0 to ``stop - 1``."""
