"""Messages by which instances tell each other of bundles and withdrawals.

Bundles travel in their stored form, so that a receiver can check digests and
signatures before it trusts them.
"""

from dataclasses import dataclass

from shallotspindle_bundles.withdrawals import Withdrawal
from shallotspindle_core.identifiers import Instance


@dataclass(frozen=True, slots=True)
class ManifestPushed:
    """A manifest that came into force.

    :param delta: stored delta from the parent version; empty when unknown.
    """

    manifest: bytes
    delta: bytes = b""


@dataclass(frozen=True, slots=True)
class WithdrawalsPushed:
    """Statements that the sender learnt."""

    withdrawals: tuple[Withdrawal, ...]


@dataclass(frozen=True, slots=True)
class ManifestPulled:
    """Asks for the manifest in force."""


@dataclass(frozen=True, slots=True)
class ManifestTold:
    """The stored manifest; empty while the peer has none."""

    manifest: bytes


@dataclass(frozen=True, slots=True)
class DeltasPulled:
    """Asks for the deltas after a version."""

    version: int


@dataclass(frozen=True, slots=True)
class DeltasTold:
    """Stored deltas in the order of their versions."""

    deltas: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ChunkPulled:
    """Asks for a chunk by its digest."""

    digest: str


@dataclass(frozen=True, slots=True)
class ChunkTold:
    """The chunk; empty when the peer's bundle has no such chunk."""

    data: bytes


@dataclass(frozen=True, slots=True)
class WithdrawalsPulled:
    """Asks for all statements that no bundle carries yet."""


# Every type that the peers' link has to encode; ``Withdrawal`` is nested.
MESSAGE_TYPES = (
    ManifestPushed,
    WithdrawalsPushed,
    ManifestPulled,
    ManifestTold,
    DeltasPulled,
    DeltasTold,
    ChunkPulled,
    ChunkTold,
    WithdrawalsPulled,
    Withdrawal,
)


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """What a heartbeat told of a peer; sent by the task of the peers.

    :param version: version of the peer's bundle.
    :param withdrawals: summary of the peer's withdrawals.
    """

    peer: Instance
    version: int
    withdrawals: bytes


@dataclass(frozen=True, slots=True)
class WithdrawalGiven:
    """A statement handed in by an operator; the reply is a failure or None."""

    withdrawal: Withdrawal
