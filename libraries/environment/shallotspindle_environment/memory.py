"""Store in memory, for tests and experiments.

It simulates outages and lost responses on request.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

from expression import Error, Ok, Result

from shallotspindle_environment.interface import (
    Conflict,
    OutcomeUnknown,
    StoredValue,
    StoreFailure,
)


class MemoryStore:
    """Implements ``Store`` in memory; leases never expire.

    :ivar is_unavailable: whether every call fails without effect.
    :ivar lost_response_count: number of further writes that take effect although they
        return ``OutcomeUnknown``.
    :ivar before_next_write: called once, with the key, before the next write.
    :ivar read_count: number of calls of ``get`` and ``list``.
    """

    def __init__(self) -> None:
        self.is_unavailable = False
        self.lost_response_count = 0
        self.before_next_write: Callable[[str], None] | None = None
        self.read_count = 0
        self._values: dict[str, StoredValue] = {}
        self._revision = 0
        self._changed = asyncio.Event()

    def put(self, key: str, data: bytes) -> int:
        """Write a value whatever its revision is, and return the new revision."""
        self._revision += 1
        self._values[key] = StoredValue(key, data, self._revision)
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision

    async def get(self, key: str) -> Result[StoredValue, StoreFailure]:
        self.read_count += 1
        if self.is_unavailable:
            return Error(StoreFailure("store", "no connection"))
        return Ok(self._values.get(key, StoredValue(key, b"", 0)))

    async def list(self, prefix: str) -> Result[tuple[StoredValue, ...], StoreFailure]:
        self.read_count += 1
        if self.is_unavailable:
            return Error(StoreFailure("store", "no connection"))
        keys = sorted(key for key in self._values if key.startswith(prefix))
        return Ok(tuple(self._values[key] for key in keys))

    async def replace(
        self, key: str, data: bytes, revision: int, lease_id: int = 0
    ) -> Result[int, StoreFailure]:
        if self.before_next_write is not None:
            hook, self.before_next_write = self.before_next_write, None
            hook(key)
        if self.is_unavailable:
            return Error(StoreFailure("store", "no connection"))
        current = self._values.get(key)
        if (current.revision if current else 0) != revision:
            return Error(Conflict(f"store {key}", "the value was changed"))
        new_revision = self.put(key, data)
        if self.lost_response_count:
            self.lost_response_count -= 1
            return Error(OutcomeUnknown("store", "the response was lost"))
        return Ok(new_revision)

    async def remove(self, key: str, revision: int) -> Result[None, StoreFailure]:
        if self.is_unavailable:
            return Error(StoreFailure("store", "no connection"))
        current = self._values.get(key)
        if current is None or current.revision != revision:
            return Error(Conflict(f"store {key}", "the value was changed"))
        del self._values[key]
        return Ok(None)

    async def grant_lease(self, ttl_seconds: int) -> Result[int, StoreFailure]:
        self._revision += 1
        return Ok(self._revision)

    async def renew_lease(self, lease_id: int) -> Result[int, StoreFailure]:
        return Ok(1)

    async def watch(self, key: str, revision: int) -> AsyncIterator[StoredValue]:
        last_revision = revision - 1
        while not self.is_unavailable:
            changed = self._changed
            value = self._values.get(key)
            if value is not None and value.revision > last_revision:
                last_revision = value.revision
                yield value
            else:
                await changed.wait()
