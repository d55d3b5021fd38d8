"""Task that keeps the bundle in force.

The version in force never goes down, and a bundle comes into force only when its
manifest is signed by a known person and the whole bundle has no failure. Reading
from the store and from peers runs outside the inbox, so that a withdrawal never
waits for a slow store.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

from absl import logging
from expression import Result

from shallotspindle_bundles import deltas, withdrawals
from shallotspindle_bundles.withdrawals import Known, Withdrawal
from shallotspindle_core.clock import Clock
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import FailureDomain, Incarnation, Instance
from shallotspindle_entry import bundle_loading
from shallotspindle_entry import bundle_messages as messages
from shallotspindle_entry.bundle_following import PeerFollower, StoreFollower
from shallotspindle_entry.bundle_loading import Configuration, Loaded, Signers
from shallotspindle_entry.bundle_sources import Source
from shallotspindle_entry.interfaces import PeerMessaging
from shallotspindle_entry.tasks import InboxTask
from shallotspindle_environment.clock import SystemClock
from shallotspindle_environment.interface import Store
from shallotspindle_keys import directory
from shallotspindle_settings import chunks

EMPTY = bundle_loading.EMPTY
Listener = Callable[[Configuration, Configuration], None]


@dataclass(frozen=True, slots=True)
class StoreChanged:
    """The manifest in the store may have changed; the reply is the version."""


@dataclass(frozen=True, slots=True)
class BundleLoaded:
    """A bundle was read and is valid.

    :param from_store: whether the store said that it is the accepted one.
    """

    loaded: Loaded
    from_store: bool


@dataclass(frozen=True, slots=True)
class SourceConfirmed:
    """The store or a majority of the failure domains has nothing newer."""


class ConfigurationTask(InboxTask):
    """Loads the bundle from the store or from peers and holds the one in force.

    ``current`` is ``EMPTY`` until this instance may answer: an instance that starts
    while the store is away first needs the version that a majority of the failure
    domains told.

    :param signers: public keys of the persons who may sign off, by name.
    :param peers: messages to other instances; None for a single instance.
    :param clock: source of the time at which the store was heard.
    :param own: this instance, for the choice of who watches.
    :param domains: all failure domains of the fleet.
    """

    def __init__(
        self,
        store: Store,
        signers: Signers,
        peers: PeerMessaging | None = None,
        clock: Clock | None = None,
        own: Instance | None = None,
        domains: frozenset[FailureDomain] = frozenset(),
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.current: Configuration = EMPTY
        self._listeners: list[Listener] = []
        self.ready = False
        self._signers = signers
        self._peers = peers
        self._loaded = bundle_loading.NOTHING
        self._withdrawals: Known = {}
        self._deltas: dict[int, bytes] = {}
        self._refused = b""
        self._helpers: list[asyncio.Task] = []
        own = own or Instance(Incarnation("single"), "", FailureDomain("single"))
        self._store_follower = StoreFollower(
            store, self, clock or SystemClock(), own.incarnation, self._list_members
        )
        self._peer_follower = (
            None if peers is None else PeerFollower(peers, self, own, domains)
        )

    def subscribe(self, listener: Listener) -> None:
        """Call a function with the old and the new configuration at each change."""
        self._listeners.append(listener)

    @property
    def version(self) -> int:
        """Version of the bundle at hand, also before this instance is ready."""
        return self._loaded.configuration.bundle.version

    @property
    def withdrawal_summary(self) -> bytes:
        """Digest of the withdrawals that no bundle carries yet, for heartbeats."""
        return withdrawals.summarize(self._withdrawals)

    def list_withdrawals(self) -> tuple[Withdrawal, ...]:
        """Return the withdrawals that no bundle carries yet."""
        return tuple(self._withdrawals.values())

    @property
    def store_heard(self) -> float:
        """Boot-time in seconds at which the last answered read of the store began.

        Minus infinity before the first answer.
        """
        return self._store_follower.heard

    def _list_members(self) -> tuple[Incarnation, ...]:
        if self._peers is None:
            return ()
        return tuple(peer.incarnation for peer in self._peers.list_peers())

    async def prepare(self) -> None:
        self._register_handlers()
        self._start_helper(self._store_follower.run())
        if self._peer_follower is not None:
            self._start_helper(self._peer_follower.run())

    def _start_helper(self, coroutine: Coroutine) -> None:
        self._helpers.append(asyncio.create_task(coroutine))

    async def stop(self, exception: Exception | None = None) -> None:
        for helper in self._helpers:
            helper.cancel()
        await asyncio.gather(*self._helpers, return_exceptions=True)
        await super().stop(exception)

    async def handle(self, message: Any) -> Any:
        match message:
            case BundleLoaded(loaded=loaded, from_store=from_store):
                self._install(loaded, ready=from_store)
                return self.version
            case SourceConfirmed():
                self._become_ready()
                return self.ready
            case messages.WithdrawalGiven(withdrawal=withdrawal):
                return self._take_withdrawals((withdrawal,))
            case messages.WithdrawalsPushed(withdrawals=received):
                return self._take_withdrawals(received)
            case messages.PeerDigest():
                if self._peer_follower is not None:
                    self._peer_follower.notice(message)
            case StoreChanged():
                self._store_follower.wake()
        return self.version

    async def load(self, source: Source, data: bytes, pushed: bytes = b"") -> bool:
        """Load the bundle of a stored manifest and put it in force.

        Runs outside the inbox; only the installation is a message.

        :param pushed: stored delta that came with the manifest.
        :returns: whether the bundle at hand is not older than the manifest.
        """
        if data and data == self._refused:
            return False
        loaded = await bundle_loading.load(
            source, self._loaded, data, self._signers, pushed
        )
        match loaded:
            case Result(tag="error", error=failures):
                self._report(data, failures)
                return False
            case Result(tag="ok", ok=Loaded() as found):
                from_store = source is self._store_follower.source
                await self.ask(BundleLoaded(found, from_store))
        return True

    async def confirm(self) -> None:
        """State that nothing newer than the bundle at hand was accepted."""
        await self.ask(SourceConfirmed())

    def _report(self, data: bytes, failures: tuple[Failure, ...]) -> None:
        for failure in failures:
            logging.warning("the bundle was not loaded: %s", failure)
        if any(isinstance(f, bundle_loading.BundleFailure) for f in failures):
            # It stays invalid; another manifest is needed.
            self._refused = data

    def _install(self, loaded: Loaded, *, ready: bool) -> None:
        if loaded.configuration.bundle.version > self.version:
            carried = loaded.configuration.bundle.withdrawn
            self._withdrawals = withdrawals.drop_carried(self._withdrawals, carried)
            started = self.version == 0
            self._keep_deltas(loaded)
            self._loaded = replace(loaded, deltas=())
            logging.info("bundle %d was loaded", self.version)
            if not started:
                # The first bundle of a new instance is no news to its peers.
                self._spread_bundle()
        if ready:
            self._become_ready()
        self._refresh()

    def _keep_deltas(self, loaded: Loaded) -> None:
        self._deltas.update(loaded.deltas)
        oldest = loaded.configuration.bundle.version - deltas.KEPT_DELTAS
        for version in [v for v in self._deltas if v <= oldest]:
            del self._deltas[version]

    def _become_ready(self) -> None:
        if self.version and not self.ready:
            self.ready = True
            self._refresh()

    def _refresh(self) -> None:
        """Put the bundle at hand in force with all known withdrawals."""
        if not self.ready:
            return
        found = self._loaded.configuration
        refused = found.bundle.withdrawn | self._withdrawals.keys()
        before = self.current
        self.current = replace(
            found, keys=directory.replace_withdrawn(found.keys, refused)
        )
        for listener in self._listeners:
            listener(before, self.current)

    def _take_withdrawals(self, received: tuple[Withdrawal, ...]) -> Failure | None:
        """Add the valid statements; return the failure of the last one that is not."""
        valid, result = [], None
        for item in received:
            failure = withdrawals.verify(item, self._signers)
            if failure is None:
                valid.append(item)
            else:
                result = failure
                logging.warning("a withdrawal was refused: %s", failure)
        carried = self._loaded.configuration.bundle.withdrawn
        self._withdrawals, added = withdrawals.merge(self._withdrawals, valid, carried)
        if added:
            self._refresh()
            for item in added:
                logging.info("a key was withdrawn by %s: %s", item.person, item.reason)
            if self._peers is not None:
                self._peers.gossip(messages.WithdrawalsPushed(added))
        return result

    def _spread_bundle(self) -> None:
        if self._peers is not None:
            delta = self._deltas.get(self.version, b"")
            self._peers.gossip(messages.ManifestPushed(self._loaded.manifest, delta))

    def _register_handlers(self) -> None:
        if self._peers is None:
            return
        for message_type, handler in (
            (messages.ManifestPushed, self._peer_follower.receive),
            (messages.WithdrawalsPushed, self._receive_withdrawals),
            (messages.ManifestPulled, self._tell_manifest),
            (messages.DeltasPulled, self._tell_deltas),
            (messages.ChunkPulled, self._tell_chunk),
            (messages.WithdrawalsPulled, self._tell_withdrawals),
        ):
            self._peers.register(message_type, handler)

    async def _receive_withdrawals(
        self, sender: Instance, message: messages.WithdrawalsPushed
    ) -> None:
        await self.ask(message)

    async def _tell_manifest(
        self, sender: Instance, message: messages.ManifestPulled
    ) -> messages.ManifestTold:
        return messages.ManifestTold(self._loaded.manifest)

    async def _tell_deltas(
        self, sender: Instance, message: messages.DeltasPulled
    ) -> messages.DeltasTold:
        versions = sorted(v for v in self._deltas if v > message.version)
        return messages.DeltasTold(tuple(self._deltas[v] for v in versions))

    async def _tell_chunk(
        self, sender: Instance, message: messages.ChunkPulled
    ) -> messages.ChunkTold:
        found = chunks.find_chunk(
            self._loaded.configuration.bundle, self._loaded.index, message.digest
        )
        return messages.ChunkTold(found)

    async def _tell_withdrawals(
        self, sender: Instance, message: messages.WithdrawalsPulled
    ) -> messages.WithdrawalsPushed:
        return messages.WithdrawalsPushed(self.list_withdrawals())
