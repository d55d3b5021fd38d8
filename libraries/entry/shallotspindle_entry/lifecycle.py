"""The stages of an instance from its start to its planned stop."""

from enum import StrEnum


class Stage(StrEnum):
    """``STOPPING`` still accepts requests, while the balancer learns of the stop."""

    RUNNING = "running"
    STOPPING = "stopping"
    CLOSED = "closed"


class Lifecycle:
    """Holds the stage and counts the requests in work."""

    def __init__(self) -> None:
        self.stage = Stage.RUNNING
        self._running_requests = 0

    @property
    def running_requests(self) -> int:
        """Number of requests in work."""
        return self._running_requests

    def begin_request(self) -> None:
        """Count a request in."""
        self._running_requests += 1

    def end_request(self) -> None:
        """Count a request out."""
        self._running_requests -= 1
