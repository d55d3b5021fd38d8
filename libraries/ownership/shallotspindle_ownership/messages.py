"""Messages that instances exchange about the ownership of partitions."""

from dataclasses import dataclass
from typing import ClassVar

from shallotspindle_core.identifiers import Incarnation


@dataclass(frozen=True, slots=True)
class HandoverOffer:
    """A holder asks a successor whether it can take over partitions.

    :param partitions: pairs of partition and its epoch after the handover.
    """

    KIND: ClassVar[str] = "offer"

    partitions: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class OfferAccepted:
    """The successor expects the offered partitions.

    :param accepted_at: boot time of the successor in seconds. The handover returns
        it, so that the successor can bound how long the ownership that it receives
        lasts without comparing two clocks.
    """

    KIND: ClassVar[str] = "ready"

    accepted_at: float


@dataclass(frozen=True, slots=True)
class OfferDeclined:
    """The successor cannot take over the offered partitions."""

    KIND: ClassVar[str] = "declined"


@dataclass(frozen=True, slots=True)
class HandedOverPartition:
    """State of one partition that is handed over.

    :param states: pairs of task name and the encoded state of that task.
    """

    partition: int
    epoch: int
    states: tuple[tuple[str, bytes], ...]


@dataclass(frozen=True, slots=True)
class Handover:
    """Transfers partitions and their state to the successor.

    :param offer_accepted_at: ``accepted_at`` of the successor's ``OfferAccepted``.
    :param remaining_seconds: time until the ownership of the former holder expires.
    :param is_recorded: whether the table already names the successor.
    """

    offer_accepted_at: float
    remaining_seconds: float
    is_recorded: bool
    partitions: tuple[HandedOverPartition, ...]


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """The successor received the handover.

    :param partitions: the partitions that it now acts for.
    """

    KIND: ClassVar[str] = "accepted"

    partitions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class OwnershipChangeNotice:
    """Announces new holders, so that peers need not wait to read the table.

    :param entries: triples of partition, holder and epoch.
    """

    KIND: ClassVar[str] = "moved"

    entries: tuple[tuple[int, Incarnation, int], ...]


@dataclass(frozen=True, slots=True)
class TableRequest:
    """Asks a peer for its copy of the ownership table."""

    KIND: ClassVar[str] = "tableasked"


@dataclass(frozen=True, slots=True)
class TableResponse:
    """A peer's copy of the ownership table.

    It shows which instance to contact; it makes no instance a holder.

    :param data: encoded table; empty when the peer has none.
    """

    KIND: ClassVar[str] = "tabletold"

    revision: int
    data: bytes
