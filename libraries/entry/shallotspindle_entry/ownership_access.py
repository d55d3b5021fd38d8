"""What the parts of the ownership task may use of it.

The review, the hand-over and the sharing of the table know this interface and not the
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
class Released:
    """Partitions that this instance gave up, with their state.

    :param remaining: seconds that the right still lasts.
    """

    remaining: float
    parts: tuple[HandedOverPartition, ...]


class OwnershipAccess(Protocol):
    """The state of the ownership task, to read, and its acts on the table.

    :ivar sleep: waits for a number of seconds.
    :ivar stopping: whether a planned stop has begun.
    """

    me: Instance
    store: Store
    link: PeerMessaging
    clock: Clock
    source: RandomSource
    sleep: Callable[[float], Awaitable[None]]
    rights: OwnershipState
    table: OwnershipTable
    stopping: bool

    @property
    def seen_revision(self) -> int:
        """Highest revision of the table that the store or a peer showed."""

    def find_phase(self) -> Phase:
        """Return the phase of the session of this instance."""

    def find_instance(self, incarnation: Incarnation) -> Instance | None:
        """Return an instance whose address is known."""

    def learn(self, instances: Iterable[Instance]) -> None:
        """Remember the addresses of instances."""

    async def read_table(self) -> OwnershipTable | None:
        """Read the table; None if the store does not answer."""

    async def write_table(
        self, base: OwnershipTable, changes: Mapping[int, OwnershipEntry]
    ) -> WriteResult:
        """Write entries by compare-and-swap and settle a lost answer."""

    async def release(
        self, partitions: tuple[int, ...], alone: bool
    ) -> Released | None:
        """Stop acting for partitions and collect their state."""

    async def take_told(self, peer: Instance, told: TableResponse) -> None:
        """Note the holders that a peer told."""
