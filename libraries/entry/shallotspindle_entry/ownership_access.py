"""Interface of the ownership task for its parts.

Reconciliation, handovers and table sharing depend on this interface and not on the
task, so that each can be read and tested without the others.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry.interfaces import PeerMessaging
from shallotspindle_environment.interface import Store
from shallotspindle_ownership.holdings import OwnershipState
from shallotspindle_ownership.messages import HandedOverPartition, TableResponse
from shallotspindle_ownership.sessions import Phase
from shallotspindle_ownership.table import OwnershipEntry, OwnershipTable, WriteResult


@dataclass(frozen=True, slots=True)
class ReleasedPartitions:
    """Partitions that this instance released, with their state.

    :param remaining_seconds: time until the session that held them expires.
    """

    remaining_seconds: float
    partitions: tuple[HandedOverPartition, ...]


class OwnershipAccess(Protocol):
    """The readable state of the ownership task and its operations on the table.

    :ivar sleep: waits for a number of seconds.
    :ivar is_stopping: whether a graceful shutdown has begun.
    """

    own_instance: Instance
    store: Store
    peers: PeerMessaging
    clock: Clock
    random: RandomSource
    sleep: Callable[[float], Awaitable[None]]
    state: OwnershipState
    table: OwnershipTable
    is_stopping: bool

    @property
    def seen_revision(self) -> int:
        """Highest table revision seen in the store or from a peer."""

    def find_phase(self) -> Phase:
        """Return the phase of the session of this instance."""

    def find_instance(self, incarnation: Incarnation) -> Instance | None:
        """Return an instance by its incarnation; None if its address is unknown."""

    def add_instances(self, instances: Iterable[Instance]) -> None:
        """Store the addresses of instances."""

    async def read_table(self) -> OwnershipTable | None:
        """Read the table; None if the store does not respond or it is damaged."""

    async def write_table(
        self, base: OwnershipTable, changes: Mapping[int, OwnershipEntry]
    ) -> WriteResult:
        """Write entries by compare-and-swap; reads back after a lost response."""

    async def release(
        self, partitions: tuple[int, ...], without_store: bool
    ) -> ReleasedPartitions | None:
        """Stop acting for partitions and collect their state.

        :returns: None if they cannot be handed over without the store.
        """

    async def record_peer_table(self, peer: Instance, response: TableResponse) -> None:
        """Record the holders in a table that a peer sent."""
