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
class SessionRenewed:
    """A renewal of the session took effect.

    :param sent_at: when its counter was first sent, as boot-time in seconds.
    """

    counter: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class TableUpdated:
    """A table was read or written."""

    table: OwnershipTable


@dataclass(frozen=True, slots=True)
class WriteStarting:
    """Entries are about to be written to the table."""

    changes: Mapping[int, OwnershipEntry]


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Stop acting for partitions; the reply is ``ReleasedPartitions`` or None.

    :param without_store: whether the partitions are handed over without the store.
    """

    partitions: tuple[int, ...]
    without_store: bool


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another instance."""

    sender: Instance
    message: HandoverOffer | Handover | OwnershipChangeNotice | TableResponse
