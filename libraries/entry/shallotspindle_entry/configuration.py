"""Task that owns the active bundle.

The active version never decreases. A bundle becomes active only if its manifest has a
valid signature of a known signer and all checks of the bundle pass. Reading from the
store and from peers runs outside the inbox, so that a withdrawal never waits for a slow
store.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

from absl import logging
from expression import Result

from shallotspindle_bundles import deltas, withdrawals
from shallotspindle_bundles.withdrawals import Withdrawal, WithdrawalsByDigest
from shallotspindle_core.clock import Clock
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import FailureDomain, Incarnation, Instance
from shallotspindle_entry import bundle_loading
from shallotspindle_entry import bundle_messages as messages
from shallotspindle_entry.bundle_following import PeerFollower, StoreFollower
from shallotspindle_entry.bundle_loading import Configuration, LoadedBundle, Signers
from shallotspindle_entry.bundle_sources import BundleSource
from shallotspindle_entry.interfaces import PeerMessaging
from shallotspindle_entry.tasks import InboxTask
from shallotspindle_environment.clock import SystemClock
from shallotspindle_environment.interface import Store, StoreFailure
from shallotspindle_keys import directory
from shallotspindle_settings import chunks

# What is larger does not fit into a frame; its receiver reads the changed chunks.
MAX_DELTA_BYTES = 1_000_000
EMPTY_CONFIGURATION = bundle_loading.EMPTY_CONFIGURATION
ConfigurationListener = Callable[[Configuration, Configuration], None]


@dataclass(frozen=True, slots=True)
class StoreChanged:
    """The manifest in the store may have changed.

    The reply is the version of the loaded bundle.
    """


@dataclass(frozen=True, slots=True)
class BundleLoaded:
    """A bundle was read and is valid.

    :param from_store: whether it was read from the store, which holds the accepted one.
    """

    loaded: LoadedBundle
    from_store: bool


@dataclass(frozen=True, slots=True)
class BundleConfirmed:
    """The store or a majority of the failure domains has no newer bundle."""


class ConfigurationTask(InboxTask):
    """Loads bundles from the store or from peers and holds the active one.

    ``current`` is ``EMPTY_CONFIGURATION`` until this instance is ready to serve
    requests. An instance that starts while the store is unavailable is ready once it
    has the version that a majority of the failure domains reported.

    :param signers: public keys of the persons who may sign bundles, by name.
    :param peers: messaging with other instances; None for a single instance.
    :param clock: gives the time of the last contact with the store.
    :param own_instance: this instance, for the choice of the watchers.
    :param domains: all failure domains of the fleet.
    """

    def __init__(
        self,
        store: Store,
        signers: Signers,
        peers: PeerMessaging | None = None,
        clock: Clock | None = None,
        own_instance: Instance | None = None,
        domains: frozenset[FailureDomain] = frozenset(),
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.current: Configuration = EMPTY_CONFIGURATION
        self._listeners: list[ConfigurationListener] = []
        self.is_ready = False
        self._signers = signers
        self._peers = peers
        self._loaded_bundle = bundle_loading.NO_BUNDLE
        self._withdrawals: WithdrawalsByDigest = {}
        self._deltas_by_version: dict[int, bytes] = {}
        self._rejected_manifest = b""
        # Whether the accepted bundle is invalid here, so that an older one is active.
        self.is_bundle_rejected = False
        self._background_tasks: list[asyncio.Task] = []
        own_instance = own_instance or Instance(
            Incarnation("single"), "", FailureDomain("single")
        )
        self._store_follower = StoreFollower(
            store,
            self,
            clock or SystemClock(),
            own_instance.incarnation,
            self._list_peer_incarnations,
            self.errors,
        )
        self._peer_follower = (
            None
            if peers is None
            else PeerFollower(peers, self, own_instance, domains, self.errors)
        )

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Call a function with the old and the new configuration at each change."""
        self._listeners.append(listener)

    @property
    def version(self) -> int:
        """Version of the loaded bundle, also before this instance is ready."""
        return self._loaded_bundle.configuration.bundle.version

    @property
    def withdrawal_summary(self) -> bytes:
        """Digest of the withdrawals that the loaded bundle does not contain."""
        return withdrawals.summarize(self._withdrawals)

    def list_withdrawals(self) -> tuple[Withdrawal, ...]:
        """Return the withdrawals that the loaded bundle does not contain."""
        return tuple(self._withdrawals.values())

    @property
    def store_contacted_at(self) -> float:
        """Boot-time in seconds at which the last successful read of the store began.

        Minus infinity before the first one.
        """
        return self._store_follower.last_contact_at

    def _list_peer_incarnations(self) -> tuple[Incarnation, ...]:
        if self._peers is None:
            return ()
        return tuple(peer.incarnation for peer in self._peers.list_peers())

    async def prepare(self) -> None:
        self._register_handlers()
        self._start_background_task(self._store_follower.run())
        if self._peer_follower is not None:
            self._start_background_task(self._peer_follower.run())

    def _start_background_task(self, coroutine: Coroutine) -> None:
        self._background_tasks.append(asyncio.create_task(coroutine))

    async def stop(self, exception: Exception | None = None) -> None:
        for background_task in self._background_tasks:
            background_task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)
        await super().stop(exception)

    async def handle(self, message: Any) -> Any:
        match message:
            case BundleLoaded(loaded=loaded, from_store=from_store):
                self._install(loaded, is_confirmed=from_store)
                return self.version
            case BundleConfirmed():
                self._become_ready()
                return self.is_ready
            case messages.WithdrawalSubmitted(withdrawal=withdrawal):
                return self._add_withdrawals((withdrawal,))
            case messages.WithdrawalsNotice(withdrawals=received):
                return self._add_withdrawals(received)
            case messages.PeerStateSummary():
                if self._peer_follower is not None:
                    self._peer_follower.record_peer_state(message)
            case StoreChanged():
                self._store_follower.wake()
        return self.version

    async def load(
        self, source: BundleSource, data: bytes, pushed_delta: bytes = b""
    ) -> bool:
        """Load the bundle of a stored manifest and activate it.

        Loading runs outside the inbox; only the activation is an inbox message.

        :param data: stored manifest.
        :param pushed_delta: stored delta that came with the manifest.
        :returns: whether the loaded bundle is not older than the manifest.
        """
        if data and data == self._rejected_manifest:
            return False
        loaded = await bundle_loading.load(
            source, self._loaded_bundle, data, self._signers, pushed_delta
        )
        from_store = source is self._store_follower.source
        match loaded:
            case Result(tag="error", error=failures):
                self._record_failures(data, failures, from_store)
                return False
            case Result(tag="ok", ok=LoadedBundle() as loaded_bundle):
                self.is_bundle_rejected = False
                await self.ask(BundleLoaded(loaded_bundle, from_store))
        return True

    async def confirm(self) -> None:
        """Confirm that no bundle newer than the loaded one was accepted."""
        await self.ask(BundleConfirmed())

    def _record_failures(
        self, data: bytes, failures: tuple[Failure, ...], from_store: bool
    ) -> None:
        if from_store:
            # Of a bundle that could not be read nothing is known yet.
            self.is_bundle_rejected = not any(
                isinstance(f, StoreFailure) for f in failures
            )
        for failure in failures:
            logging.warning("loading the bundle failed: %s", failure)
        if any(isinstance(f, bundle_loading.BundleFailure) for f in failures):
            # The bundle of this manifest stays invalid, so it is not loaded again.
            self._rejected_manifest = data

    def _install(self, loaded: LoadedBundle, *, is_confirmed: bool) -> None:
        if loaded.configuration.bundle.version > self.version:
            contained_digests = loaded.configuration.bundle.withdrawn
            self._withdrawals = withdrawals.drop_bundled(
                self._withdrawals, contained_digests
            )
            is_first = self.version == 0
            self._keep_deltas(loaded)
            self._loaded_bundle = replace(loaded, deltas=())
            logging.info("loaded bundle version %d", self.version)
            if not is_first:
                # Peers already have the first bundle that a new instance loads.
                self._push_manifest()
        if is_confirmed:
            self._become_ready()
        self._activate_bundle()

    def _keep_deltas(self, loaded: LoadedBundle) -> None:
        self._deltas_by_version.update(loaded.deltas)
        oldest = loaded.configuration.bundle.version - deltas.MAX_STORED_DELTAS
        for version in [v for v in self._deltas_by_version if v <= oldest]:
            del self._deltas_by_version[version]

    def _become_ready(self) -> None:
        if self.version and not self.is_ready:
            self.is_ready = True
            self._activate_bundle()

    def _activate_bundle(self) -> None:
        """Make the loaded bundle with all known withdrawals the current one."""
        if not self.is_ready:
            return
        loaded = self._loaded_bundle.configuration
        withdrawn_digests = loaded.bundle.withdrawn | self._withdrawals.keys()
        previous = self.current
        self.current = replace(
            loaded, keys=directory.replace_withdrawn(loaded.keys, withdrawn_digests)
        )
        for listener in self._listeners:
            listener(previous, self.current)

    def _add_withdrawals(self, received: tuple[Withdrawal, ...]) -> Failure | None:
        """Add the valid withdrawals.

        :returns: failure of the last invalid one; None if all are valid.
        """
        valid, result = [], None
        for withdrawal in received:
            failure = withdrawals.verify(withdrawal, self._signers)
            if failure is None:
                valid.append(withdrawal)
            else:
                result = failure
                logging.warning("rejected an invalid withdrawal: %s", failure)
        contained_digests = self._loaded_bundle.configuration.bundle.withdrawn
        self._withdrawals, added = withdrawals.merge(
            self._withdrawals, valid, contained_digests
        )
        if added:
            self._activate_bundle()
            for withdrawal in added:
                logging.info(
                    "%s withdrew a key: %s", withdrawal.person, withdrawal.reason
                )
            if self._peers is not None:
                self._peers.gossip(messages.WithdrawalsNotice(added))
        return result

    def _push_manifest(self) -> None:
        if self._peers is not None:
            delta = self._deltas_by_version.get(self.version, b"")
            if len(delta) > MAX_DELTA_BYTES:
                delta = b""
            self._peers.gossip(
                messages.ManifestNotice(self._loaded_bundle.manifest, delta)
            )

    def _register_handlers(self) -> None:
        if self._peers is None:
            return
        for message_type, handler in (
            (messages.ManifestNotice, self._peer_follower.receive_manifest),
            (messages.WithdrawalsNotice, self._receive_withdrawals),
            (messages.ManifestRequest, self._handle_manifest_request),
            (messages.DeltasRequest, self._handle_deltas_request),
            (messages.ChunkRequest, self._handle_chunk_request),
            (messages.WithdrawalsRequest, self._handle_withdrawals_request),
        ):
            self._peers.register(message_type, handler)

    async def _receive_withdrawals(
        self, sender: Instance, message: messages.WithdrawalsNotice
    ) -> None:
        await self.ask(message)

    async def _handle_manifest_request(
        self, sender: Instance, message: messages.ManifestRequest
    ) -> messages.ManifestResponse:
        return messages.ManifestResponse(self._loaded_bundle.manifest)

    async def _handle_deltas_request(
        self, sender: Instance, message: messages.DeltasRequest
    ) -> messages.DeltasResponse:
        versions = sorted(v for v in self._deltas_by_version if v > message.version)
        found = tuple(self._deltas_by_version[v] for v in versions)
        if sum(map(len, found)) > MAX_DELTA_BYTES:
            found = ()
        return messages.DeltasResponse(found)

    async def _handle_chunk_request(
        self, sender: Instance, message: messages.ChunkRequest
    ) -> messages.ChunkResponse:
        chunk = chunks.find_chunk(
            self._loaded_bundle.configuration.bundle,
            self._loaded_bundle.index,
            message.digest,
        )
        return messages.ChunkResponse(chunk)

    async def _handle_withdrawals_request(
        self, sender: Instance, message: messages.WithdrawalsRequest
    ) -> messages.WithdrawalsNotice:
        return messages.WithdrawalsNotice(self.list_withdrawals())
