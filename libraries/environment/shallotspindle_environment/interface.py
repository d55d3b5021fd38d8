"""What the fleet needs of the platform: a small store and a list of instances.

Every call returns a result; an outage is an ordinary failure value.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from expression import Result

from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import Instance

VALUE_LIMIT_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class StoreFailure(Failure):
    """The store did not carry out a call; nothing was changed."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown(StoreFailure):
    """The answer to a write was lost; it may have taken effect."""


@dataclass(frozen=True, slots=True)
class StoreBusy(StoreFailure):
    """The store refused a call because it is over its rate; nothing was changed."""


@dataclass(frozen=True, slots=True)
class Conflict(StoreFailure):
    """The value was changed by somebody else."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A value of the store.

    :param revision: revision of its last change; 0 means that it does not exist.
    """

    key: str
    data: bytes
    revision: int


class Store(Protocol):
    """Key-value store with compare-and-swap, leases and watches."""

    async def get(self, key: str) -> Result[Entry, StoreFailure]:
        """Return the value of a key; revision 0 when there is none."""

    async def list(self, prefix: str) -> Result[tuple[Entry, ...], StoreFailure]:
        """Return the values of all keys with a prefix, ordered by key."""

    async def replace(
        self, key: str, data: bytes, revision: int, lease: int = 0
    ) -> Result[int, StoreFailure]:
        """Write a value if its revision is still the given one.

        :param revision: the expected revision; 0 creates the key.
        :returns: the new revision.
        """

    async def remove(self, key: str, revision: int) -> Result[None, StoreFailure]:
        """Remove a value if its revision is still the given one."""

    async def grant_lease(self, seconds: int) -> Result[int, StoreFailure]:
        """Create a lease and return its number."""

    async def renew_lease(self, lease: int) -> Result[int, StoreFailure]:
        """Renew a lease and return its time in seconds; 0 when it has lapsed."""

    def watch(self, key: str, revision: int) -> AsyncIterator[Entry]:
        """Yield the changes of a key from a revision on, until the call fails.

        Changes that come close together may be yielded as one. A removed value is
        yielded without data.
        """


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance as the platform lists it.

    :param leaving: whether the platform is about to stop it.
    """

    instance: Instance
    leaving: bool


class InstanceList(Protocol):
    """The platform's list of live and leaving instances; it lags."""

    async def list(self) -> Result[tuple[ListedInstance, ...], StoreFailure]:
        """Return the instances that the platform knows of."""
