"""What the fleet needs from its platform: a key-value store and a list of instances.

Every call returns a result; an outage is a failure value, not an exception.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from expression import Result

from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import Instance

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class StoreFailure(Failure):
    """The store did not carry out a request; nothing was changed."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown(StoreFailure):
    """The response to a write was lost; the write may have taken effect."""


@dataclass(frozen=True, slots=True)
class StoreBusy(StoreFailure):
    """The store rejected a request because of its rate limit; nothing was changed."""


@dataclass(frozen=True, slots=True)
class Conflict(StoreFailure):
    """The value was changed by another writer."""


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A key with its value.

    :param revision: revision of the last change; 0 means that the key does not exist.
    """

    key: str
    data: bytes
    revision: int


class Store(Protocol):
    """Key-value store with compare-and-swap, leases and watches."""

    async def get(self, key: str) -> Result[StoredValue, StoreFailure]:
        """Return the value of a key; its revision is 0 if the key does not exist."""

    async def list(self, prefix: str) -> Result[tuple[StoredValue, ...], StoreFailure]:
        """Return the values of all keys with a prefix, ordered by key."""

    async def replace(
        self, key: str, data: bytes, revision: int, lease_id: int = 0
    ) -> Result[int, StoreFailure]:
        """Write a value if the revision of the key is still the given one.

        :param revision: the expected revision; 0 creates the key.
        :param lease_id: lease whose end removes the key; 0 for none.
        :returns: the new revision.
        """

    async def remove(self, key: str, revision: int) -> Result[None, StoreFailure]:
        """Remove a key if its revision is still the given one."""

    async def grant_lease(self, ttl_seconds: int) -> Result[int, StoreFailure]:
        """Create a lease and return its id."""

    async def renew_lease(self, lease_id: int) -> Result[int, StoreFailure]:
        """Renew a lease and return its time to live in seconds; 0 if it has expired."""

    def watch(self, key: str, revision: int) -> AsyncIterator[StoredValue]:
        """Yield the changes of a key from a revision on, until the request fails.

        Of several changes in quick succession, only the last may be yielded. A removed
        key is yielded without data.
        """


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance in the list of the platform.

    :param is_leaving: whether the platform is about to stop the instance.
    """

    instance: Instance
    is_leaving: bool


class InstanceList(Protocol):
    """List of running and leaving instances; it follows changes with a delay."""

    async def list(self) -> Result[tuple[ListedInstance, ...], StoreFailure]:
        """Return all instances that the platform lists."""
