"""Store in the memory of one process, for tests and experiments.

It shows the faults of the real one on request: outage and lost answers.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

from expression import Error, Ok, Result

from shallotspindle_environment.interface import (
    Conflict,
    Entry,
    OutcomeUnknown,
    StoreFailure,
)


class MemoryStore:
    """Store without sockets. Leases are granted but never lapse.

    :param down: whether each call fails without effect.
    :param lose_answers: writes that take effect without an answer, counted down.
    :param before_write: called once with the key before the next write.
    """

    def __init__(self) -> None:
        self.down = False
        self.lose_answers = 0
        self.before_write: Callable[[str], None] | None = None
        self.reads = 0
        self._entries: dict[str, Entry] = {}
        self._revision = 0
        self._changed = asyncio.Event()

    def put(self, key: str, data: bytes) -> int:
        """Write a value without conditions and return its revision."""
        self._revision += 1
        self._entries[key] = Entry(key, data, self._revision)
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision

    async def get(self, key: str) -> Result[Entry, StoreFailure]:
        self.reads += 1
        if self.down:
            return Error(StoreFailure("store", "no connection"))
        return Ok(self._entries.get(key, Entry(key, b"", 0)))

    async def list(self, prefix: str) -> Result[tuple[Entry, ...], StoreFailure]:
        self.reads += 1
        if self.down:
            return Error(StoreFailure("store", "no connection"))
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return Ok(tuple(self._entries[key] for key in keys))

    async def replace(
        self, key: str, data: bytes, revision: int, lease: int = 0
    ) -> Result[int, StoreFailure]:
        if self.before_write is not None:
            hook, self.before_write = self.before_write, None
            hook(key)
        if self.down:
            return Error(StoreFailure("store", "no connection"))
        current = self._entries.get(key)
        if (current.revision if current else 0) != revision:
            return Error(Conflict(f"store {key}", "the value was changed"))
        written = self.put(key, data)
        if self.lose_answers:
            self.lose_answers -= 1
            return Error(OutcomeUnknown("store", "the answer was lost"))
        return Ok(written)

    async def remove(self, key: str, revision: int) -> Result[None, StoreFailure]:
        if self.down:
            return Error(StoreFailure("store", "no connection"))
        current = self._entries.get(key)
        if current is None or current.revision != revision:
            return Error(Conflict(f"store {key}", "the value was changed"))
        del self._entries[key]
        return Ok(None)

    async def grant_lease(self, seconds: int) -> Result[int, StoreFailure]:
        self._revision += 1
        return Ok(self._revision)

    async def renew_lease(self, lease: int) -> Result[int, StoreFailure]:
        return Ok(1)

    async def watch(self, key: str, revision: int) -> AsyncIterator[Entry]:
        seen = revision - 1
        while not self.down:
            changed = self._changed
            entry = self._entries.get(key)
            if entry is not None and entry.revision > seen:
                seen = entry.revision
                yield entry
            else:
                await changed.wait()
