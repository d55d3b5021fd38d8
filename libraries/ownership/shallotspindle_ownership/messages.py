"""Messages about partitions between instances."""

from dataclasses import dataclass

from shallotspindle_core.identifiers import Incarnation


@dataclass(frozen=True, slots=True)
class Offer:
    """A holder asks a successor whether it can take partitions.

    :param partitions: pairs of partition and the epoch after the hand-over.
    """

    partitions: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class Ready:
    """The successor expects the offered partitions.

    :param at: boot-time of the successor; the hand-over returns it, so that the
        successor can bound the inherited right without comparing two clocks.
    """

    at: float


@dataclass(frozen=True, slots=True)
class Declined:
    """The successor cannot take partitions."""


@dataclass(frozen=True, slots=True)
class Part:
    """State of one partition.

    :param states: state by task name.
    """

    partition: int
    epoch: int
    states: tuple[tuple[str, bytes], ...]


@dataclass(frozen=True, slots=True)
class HandOver:
    """Transfers partitions and their state.

    :param at: the successor's time in ``Ready``.
    :param remaining: seconds until the right of the former holder lapses.
    :param recorded: whether the table already names the successor.
    """

    at: float
    remaining: float
    recorded: bool
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The successor got the hand-over."""

    partitions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Moved:
    """The table names new holders; spread so that peers find them at once.

    :param entries: triples of partition, holder and epoch.
    """

    entries: tuple[tuple[int, Incarnation, int], ...]


@dataclass(frozen=True, slots=True)
class TableAsked:
    """Asks a peer for the ownership table as it knows it."""


@dataclass(frozen=True, slots=True)
class TableTold:
    """The table as a peer knows it.

    It shows whom to ask; it gives nobody a right.

    :param data: encoded table; empty when the peer has none.
    """

    revision: int
    data: bytes
