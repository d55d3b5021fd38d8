"""Pauses between calls to a service that does not respond."""


class GrowingPause:
    """Doubles the pause after each failure, up to a maximum.

    :param initial_seconds: pause after the first failure.
    :param max_seconds: longest pause.
    """

    def __init__(self, initial_seconds: float, max_seconds: float) -> None:
        self._initial_seconds = initial_seconds
        self._max_seconds = max_seconds
        self._next_seconds = initial_seconds

    def record_failure(self) -> float:
        """Return the pause after a failure, in seconds."""
        pause_seconds = self._next_seconds
        self._next_seconds = min(2 * pause_seconds, self._max_seconds)
        return pause_seconds

    def record_success(self) -> None:
        """Begin with the initial pause again."""
        self._next_seconds = self._initial_seconds
