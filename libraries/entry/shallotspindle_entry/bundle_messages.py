"""Messages between instances about bundles and key withdrawals.

Bundles are sent in their stored form, so that a receiver can verify digests and
signatures before it uses them.
"""

from dataclasses import dataclass
from typing import ClassVar

from shallotspindle_bundles.withdrawals import Withdrawal
from shallotspindle_core.identifiers import Instance


@dataclass(frozen=True, slots=True)
class ManifestNotice:
    """A manifest whose bundle became active at the sender.

    :param manifest: stored manifest.
    :param delta: stored delta from the parent version; empty if it is unknown.
    """

    KIND: ClassVar[str] = "manifestpushed"

    manifest: bytes
    delta: bytes = b""


@dataclass(frozen=True, slots=True)
class WithdrawalsNotice:
    """Withdrawals that the sender received; also the response to a request for them."""

    KIND: ClassVar[str] = "withdrawalspushed"

    withdrawals: tuple[Withdrawal, ...]


@dataclass(frozen=True, slots=True)
class ManifestRequest:
    """Asks for the manifest of the loaded bundle."""

    KIND: ClassVar[str] = "manifestpulled"


@dataclass(frozen=True, slots=True)
class ManifestResponse:
    """The stored manifest; empty while the peer has none."""

    KIND: ClassVar[str] = "manifesttold"

    manifest: bytes


@dataclass(frozen=True, slots=True)
class DeltasRequest:
    """Asks for the deltas after a version."""

    KIND: ClassVar[str] = "deltaspulled"

    version: int


@dataclass(frozen=True, slots=True)
class DeltasResponse:
    """Stored deltas in the order of their versions."""

    KIND: ClassVar[str] = "deltastold"

    deltas: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Asks for a chunk by its digest."""

    KIND: ClassVar[str] = "chunkpulled"

    digest: str


@dataclass(frozen=True, slots=True)
class ChunkResponse:
    """The chunk; empty if the peer's bundle has no such chunk."""

    KIND: ClassVar[str] = "chunktold"

    data: bytes


@dataclass(frozen=True, slots=True)
class WithdrawalsRequest:
    """Asks for all withdrawals that the peer's bundle does not contain."""

    KIND: ClassVar[str] = "withdrawalspulled"


# All types that are encoded for peers; ``Withdrawal`` is nested in a message.
MESSAGE_TYPES = (
    ManifestNotice,
    WithdrawalsNotice,
    ManifestRequest,
    ManifestResponse,
    DeltasRequest,
    DeltasResponse,
    ChunkRequest,
    ChunkResponse,
    WithdrawalsRequest,
    Withdrawal,
)


@dataclass(frozen=True, slots=True)
class PeerStateSummary:
    """State of a peer according to its heartbeat.

    This inbox message comes from the task that exchanges heartbeats.

    :param version: version of the peer's bundle.
    :param withdrawal_summary: digest of the withdrawals that its bundle lacks.
    """

    peer: Instance
    version: int
    withdrawal_summary: bytes


@dataclass(frozen=True, slots=True)
class WithdrawalSubmitted:
    """An operator submitted a withdrawal; the reply is a failure or None."""

    withdrawal: Withdrawal
