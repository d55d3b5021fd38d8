"""Sources that a bundle can be read from: the store or a peer."""

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
# If more versions are missing, reading the changed chunks takes fewer calls.
MAX_DELTA_READS = 16


class BundleSource(Protocol):
    """Source that a bundle can be read from."""

    async def fetch_manifest(self) -> Result[bytes, Failure]:
        """Return the stored manifest; empty if there is none."""

    async def fetch_deltas(
        self, known_version: int, last_version: int
    ) -> tuple[bytes, ...]:
        """Return stored deltas after a version, in the order of their versions.

        The result may be incomplete, or empty if the source lacks one of them.
        """

    async def fetch_chunk(self, digest: str) -> Result[bytes, Failure]:
        """Return the chunk with a digest, verified."""


def verify_chunk(source: str, digest: str, data: bytes) -> Result[bytes, Failure]:
    """Return a chunk if its digest matches, else a failure.

    :param source: name of the source for the failure.
    """
    if manifests.compute_chunk_digest(data) == digest:
        return Ok(data)
    return Error(
        Failure(source, "the chunk is missing or does not match its digest", digest)
    )


class StoreSource:
    """Reads a bundle from the store."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def fetch_manifest(self) -> Result[bytes, StoreFailure]:
        entry = await self._store.get(manifest.MANIFEST_KEY)
        return entry.map(lambda stored: stored.data)

    async def fetch_deltas(
        self, known_version: int, last_version: int
    ) -> tuple[bytes, ...]:
        stored_deltas = []
        if last_version - known_version > MAX_DELTA_READS:
            return ()
        for version in range(known_version + 1, last_version + 1):
            key = f"{DELTA_PREFIX}{deltas.find_storage_slot(version)}"
            entry = await self._store.get(key)
            if entry.is_error() or not entry.ok.data:
                return ()
            stored_deltas.append(entry.ok.data)
        return tuple(stored_deltas)

    async def fetch_chunk(self, digest: str) -> Result[bytes, Failure]:
        entry = await self._store.get(manifest.CHUNK_PREFIX + digest)
        if entry.is_error():
            return Error(entry.error)
        return verify_chunk("store", digest, entry.ok.data)


class PeerSource:
    """Reads a bundle from a peer."""

    def __init__(self, peers: PeerMessaging, peer: Instance) -> None:
        self._peers = peers
        self._peer = peer

    async def _request(self, request: Any, response_type: type) -> Result[Any, Failure]:
        response = await self._peers.request(self._peer, request, PULL_TIMEOUT_SECONDS)
        if isinstance(response, response_type):
            return Ok(response)
        if isinstance(response, PeerUnreachable):
            return Error(response)
        return Error(
            Failure(f"peer {self._peer.address}", "the response has an unexpected type")
        )

    async def fetch_manifest(self) -> Result[bytes, Failure]:
        response = await self._request(
            messages.ManifestRequest(), messages.ManifestResponse
        )
        return response.map(lambda received: received.manifest)

    async def fetch_deltas(
        self, known_version: int, last_version: int
    ) -> tuple[bytes, ...]:
        response = await self._request(
            messages.DeltasRequest(known_version), messages.DeltasResponse
        )
        return response.ok.deltas if response.is_ok() else ()

    async def fetch_chunk(self, digest: str) -> Result[bytes, Failure]:
        response = await self._request(
            messages.ChunkRequest(digest), messages.ChunkResponse
        )
        if response.is_error():
            return Error(response.error)
        return verify_chunk(f"peer {self._peer.address}", digest, response.ok.data)

    async def fetch_withdrawals(self) -> Result[messages.WithdrawalsNotice, Failure]:
        """Return the withdrawals that the peer's bundle does not contain."""
        return await self._request(
            messages.WithdrawalsRequest(), messages.WithdrawalsNotice
        )
