"""Messages in the inbox of the ownership task."""

from collections.abc import Mapping
from dataclasses import dataclass

from shallotspindle_core.identifiers import Instance
from shallotspindle_ownership.messages import (
    Handover,
    HandoverOffer,
    OwnershipChangeNotice,
    TableResponse,
)
from shallotspindle_ownership.table import OwnershipEntry, OwnershipTable


@dataclass(frozen=True, slots=True)
class Renewed:
    """A renewal took effect."""

    counter: int
    sent: float


@dataclass(frozen=True, slots=True)
class TableSeen:
    """The table was read or written."""

    table: OwnershipTable


@dataclass(frozen=True, slots=True)
class Writing:
    """Entries are about to be written."""

    changes: Mapping[int, OwnershipEntry]


@dataclass(frozen=True, slots=True)
class Release:
    """Stop acting for partitions; the reply is ``Released``.

    :param alone: whether they are handed over without the store.
    """

    partitions: tuple[int, ...]
    alone: bool


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another instance."""

    sender: Instance
    message: HandoverOffer | Handover | OwnershipChangeNotice | TableResponse
