"""Places that a bundle can be read from: the store or a peer."""

from typing import Any, Protocol

from expression import Error, Ok, Result

from shallotspindle_bundles import deltas, manifests
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import Instance
from shallotspindle_entry import bundle_messages as messages
from shallotspindle_entry.interfaces import PeerMessaging, PeerUnreachable
from shallotspindle_environment.interface import Store, StoreFailure
from shallotspindle_settings import manifest
from shallotspindle_settings.deltas import DELTA_PREFIX

PULL_TIMEOUT_SECONDS = 2.0
# Further behind than this, reading the changed chunks takes fewer calls.
DELTA_READS_MAX = 16


class Source(Protocol):
    """Place that a bundle can be read from."""

    async def fetch_manifest(self) -> Result[bytes, Failure]:
        """Return the stored manifest; empty when there is none."""

    async def fetch_deltas(self, after: int, until: int) -> tuple[bytes, ...]:
        """Return the stored deltas of a range of versions, as far as there are any."""

    async def fetch_chunk(self, digest: str) -> Result[bytes, Failure]:
        """Return a chunk whose digest matches."""


def check_chunk(source: str, digest: str, data: bytes) -> Result[bytes, Failure]:
    """Return the chunk if it has the digest."""
    if manifests.digest_chunk(data) == digest:
        return Ok(data)
    return Error(Failure(source, "a chunk is missing or damaged", digest))


class StoreSource:
    """Reads a bundle from the store."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def fetch_manifest(self) -> Result[bytes, StoreFailure]:
        entry = await self._store.get(manifest.MANIFEST_KEY)
        return entry.map(lambda found: found.data)

    async def fetch_deltas(self, after: int, until: int) -> tuple[bytes, ...]:
        found = []
        if until - after > DELTA_READS_MAX:
            return ()
        for version in range(after + 1, until + 1):
            key = f"{DELTA_PREFIX}{deltas.find_slot(version)}"
            entry = await self._store.get(key)
            if entry.is_error() or not entry.ok.data:
                return ()
            found.append(entry.ok.data)
        return tuple(found)

    async def fetch_chunk(self, digest: str) -> Result[bytes, Failure]:
        entry = await self._store.get(manifest.CHUNK_PREFIX + digest)
        if entry.is_error():
            return Error(entry.error)
        return check_chunk("store", digest, entry.ok.data)


class PeerSource:
    """Reads a bundle from a peer."""

    def __init__(self, link: PeerMessaging, peer: Instance) -> None:
        self._link = link
        self._peer = peer

    async def _pull(self, message: Any, expected: type) -> Result[Any, Failure]:
        reply = await self._link.request(self._peer, message, PULL_TIMEOUT_SECONDS)
        if isinstance(reply, expected):
            return Ok(reply)
        if isinstance(reply, PeerUnreachable):
            return Error(reply)
        return Error(Failure(f"peer {self._peer.address}", "unexpected reply"))

    async def fetch_manifest(self) -> Result[bytes, Failure]:
        reply = await self._pull(messages.ManifestPulled(), messages.ManifestTold)
        return reply.map(lambda told: told.manifest)

    async def fetch_deltas(self, after: int, until: int) -> tuple[bytes, ...]:
        reply = await self._pull(messages.DeltasPulled(after), messages.DeltasTold)
        return reply.ok.deltas if reply.is_ok() else ()

    async def fetch_chunk(self, digest: str) -> Result[bytes, Failure]:
        reply = await self._pull(messages.ChunkPulled(digest), messages.ChunkTold)
        if reply.is_error():
            return Error(reply.error)
        return check_chunk(f"peer {self._peer.address}", digest, reply.ok.data)

    async def fetch_withdrawals(self) -> Result[messages.WithdrawalsPushed, Failure]:
        """Return the peer's statements that no bundle carries yet."""
        return await self._pull(
            messages.WithdrawalsPulled(), messages.WithdrawalsPushed
        )
