"""Task that keeps the bundle in force.

The version in force never goes down, and a bundle comes into force only when its
manifest is signed by a known person and its text has no error.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

from absl import logging
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey
from expression import Error, Ok, Result

from shallotspindle_bundles import manifests
from shallotspindle_bundles.manifests import Manifest
from shallotspindle_bundles.records import Bundle
from shallotspindle_core.failures import Failure
from shallotspindle_entry.tasks import Task
from shallotspindle_keys import directory
from shallotspindle_keys.directory import Directory
from shallotspindle_platform.interface import Store
from shallotspindle_routing import routes
from shallotspindle_routing.routes import Table
from shallotspindle_settings import bundle, manifest

POLL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """The bundle in force with the indexes that requests need."""

    bundle: Bundle
    keys: Directory
    routes: Table


@dataclass(frozen=True, slots=True)
class StoreChanged:
    """The manifest in the store may have changed."""


@dataclass(frozen=True, slots=True)
class BundleFailure(Failure):
    """The stored bundle cannot come into force."""


EMPTY = Configuration(Bundle(0, b""), Directory(b"", {}), Table({}))


def build_configuration(records: Bundle) -> Configuration:
    """Index a bundle."""
    digests = ((team.name, team.key_digests) for team in records.teams.values())
    keys = directory.build_directory(records.salt, digests, records.withdrawn)
    return Configuration(records, keys, routes.build_table(records.routes))


class ConfigurationTask(Task):
    """Loads the bundle from the store and holds the one in force.

    :param signers: public keys of the persons who may sign off, by name.
    """

    def __init__(
        self, store: Store, signers: dict[str, Ed25519PublicKey], **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self._store = store
        self._signers = signers
        self.current = EMPTY

    async def prepare(self) -> None:
        await self._load()
        self._poller = asyncio.create_task(self._poll())

    async def stop(self, exception: Exception | None = None) -> None:
        self._poller.cancel()
        await super().stop(exception)

    async def handle(self, message: StoreChanged) -> int:
        await self._load()
        return self.current.bundle.version

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(POLL_SECONDS)
            await self.ask(StoreChanged())

    async def _load(self) -> None:
        loaded = await self._fetch()
        match loaded:
            case Result(tag="ok", ok=None):
                return
            case Result(tag="ok", ok=records):
                self.current = build_configuration(records)
                logging.info("bundle %d is in force", records.version)
            case Result(tag="error", error=failures):
                for failure in failures:
                    logging.warning("the bundle was not loaded: %s", failure)

    async def _fetch(self) -> Result[Bundle | None, tuple[Failure, ...]]:
        entry = await self._store.get(manifest.MANIFEST_KEY)
        if entry.is_error():
            return Error((entry.error,))
        if entry.ok.revision == 0:
            return Ok(None)
        parsed = manifest.parse_manifest(entry.ok.data)
        if parsed.is_error():
            return Error(parsed.error)
        found = parsed.ok
        if found.version <= self.current.bundle.version:
            return Ok(None)
        failure = manifests.verify(found, self._signers)
        if failure is not None:
            return Error((failure,))
        return await self._fetch_bundle(found)

    async def _fetch_bundle(
        self, found: Manifest
    ) -> Result[Bundle, tuple[Failure, ...]]:
        chunks = []
        for digest in found.chunks:
            entry = await self._store.get(manifest.CHUNK_PREFIX + digest)
            if entry.is_error():
                return Error((entry.error,))
            if manifests.digest_chunk(entry.ok.data) != digest:
                source = f"bundle {found.version}"
                return Error((BundleFailure(source, "a chunk is damaged", digest),))
            chunks.append(entry.ok.data)
        text = b"".join(chunks).decode()
        return bundle.parse_bundle(f"bundle {found.version}", text)
