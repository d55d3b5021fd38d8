"""The stages of an instance from its start to the end of its graceful shutdown."""

from enum import StrEnum


class Stage(StrEnum):
    """``STOPPING`` still accepts connections until the load balancer stops sending."""

    RUNNING = "running"
    STOPPING = "stopping"
    CLOSED = "closed"


class Lifecycle:
    """Holds the stage and counts the requests in progress."""

    def __init__(self) -> None:
        self.stage = Stage.RUNNING
        self._running_requests = 0

    @property
    def running_requests(self) -> int:
        """Number of requests in progress."""
        return self._running_requests

    def begin_request(self) -> None:
        """Count a request that starts."""
        self._running_requests += 1

    def end_request(self) -> None:
        """Stop counting a request that ended."""
        self._running_requests -= 1
