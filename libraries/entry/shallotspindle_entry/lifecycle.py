"""The stages of an instance from its start to its planned stop."""

import asyncio
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
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def running(self) -> int:
        """Number of requests in work."""
        return self._running

    def enter(self) -> None:
        """Count a request in."""
        self._running += 1
        self._idle.clear()

    def leave(self) -> None:
        """Count a request out."""
        self._running -= 1
        if not self._running:
            self._idle.set()

    async def wait_idle(self, limit: float) -> bool:
        """Wait until no request is in work.

        :param limit: longest time to wait, in seconds.
        :returns: whether all requests ended in time.
        """
        try:
            async with asyncio.timeout(limit):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
