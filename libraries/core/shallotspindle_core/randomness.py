"""Source of random numbers as the decisions see it."""

from typing import Protocol


class RandomSource(Protocol):
    """Generator passed in by the caller; ``random.Random`` satisfies it."""

    def random(self) -> float:
        """Return a number from the half-open interval [0, 1)."""

    def randrange(self, stop: int) -> int:
        """Return an integer from 0 to ``stop - 1``."""
