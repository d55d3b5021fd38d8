"""Keeps the bundle up to date with the store and with peers.

A few instances watch the store, learn of a change immediately and push it to their
peers. Polls of the store and heartbeats of peers repair what was missed.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from absl import logging

from shallotspindle_bundles import versions
from shallotspindle_bundles.withdrawals import Withdrawal
from shallotspindle_core import hashing
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import FailureDomain, Incarnation, Instance
from shallotspindle_entry import bundle_messages as messages
from shallotspindle_entry.bundle_sources import BundleSource, PeerSource, StoreSource
from shallotspindle_entry.interfaces import PeerMessaging
from shallotspindle_environment.interface import Conflict, Store
from shallotspindle_settings import manifest, withdrawal
from shallotspindle_telemetry.unexpected import UnexpectedErrors

RETRY_INTERVAL_SECONDS = 1.0
# Interval at which an instance checks whether it has become a watcher.
WATCHER_CHECK_SECONDS = 5.0


class BundleOwner(Protocol):
    """Task whose bundle the followers keep up to date."""

    is_ready: bool
    # Whether the newest bundle of the store is invalid.
    is_bundle_rejected: bool

    @property
    def version(self) -> int:
        """Version of the loaded bundle."""

    @property
    def withdrawal_summary(self) -> bytes:
        """Digest of the withdrawals that the loaded bundle does not contain."""

    def list_withdrawals(self) -> tuple[Withdrawal, ...]:
        """Return the withdrawals that the loaded bundle does not contain."""

    async def load(
        self, source: BundleSource, data: bytes, pushed_delta: bytes = b""
    ) -> bool:
        """Load the bundle of a manifest.

        :param pushed_delta: stored delta that came with the manifest.
        :returns: whether the loaded bundle is not older than the manifest.
        """

    async def confirm(self) -> None:
        """Confirm that no bundle newer than the loaded one was accepted."""

    async def ask(self, message: object) -> object:
        """Send a message to the inbox and await the reply."""


class StoreFollower:
    """Polls the manifest in the store, and watches it if this instance is a watcher.

    :param list_peers: returns the incarnations of the usable peers.
    :param errors: counts unexpected errors; one read must not be the last one.
    """

    def __init__(
        self,
        store: Store,
        owner: BundleOwner,
        clock: Clock,
        own_incarnation: Incarnation,
        list_peers: Callable[[], tuple[Incarnation, ...]],
        errors: UnexpectedErrors,
    ) -> None:
        self._errors = errors
        self.source = StoreSource(store)
        self.last_contact_at = -math.inf
        self._store = store
        self._owner = owner
        self._clock = clock
        self._own_incarnation = own_incarnation
        self._list_peers = list_peers
        self._changed = asyncio.Event()
        self._has_read_withdrawals = False
        self._stored_digests: set[bytes] = set()

    def wake(self) -> None:
        """Poll without waiting for the end of the interval."""
        self._changed.set()

    def compute_poll_interval(self) -> float:
        """Return the time to the next poll, in seconds."""
        return versions.compute_poll_interval(len(self._list_peers()) + 1)

    async def run(self) -> None:
        """Poll and watch until cancelled."""
        watcher = asyncio.create_task(self.watch_while_assigned())
        try:
            await self._poll_once()
            # Spreads the polls of instances that start at the same time.
            delay_fraction = hashing.hash_text(self._own_incarnation) / 2**64
            await self._wait(delay_fraction * self.compute_poll_interval())
            while True:
                await self._poll_once()
                await self._wait(self.compute_poll_interval())
        finally:
            watcher.cancel()

    async def _poll_once(self) -> None:
        with self._errors.absorb("bundle of the store"):
            await self.poll()

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return
        finally:
            self._changed.clear()

    async def poll(self) -> None:
        """Read the manifest once and load its bundle if it is newer.

        The contact with the store counts only once the bundle is loaded, since a newer
        one may withdraw keys. An invalid bundle never becomes active, so the loaded one
        stays the newest.
        """
        started_at = self._clock.boottime()
        data = await self.source.fetch_manifest()
        if data.is_error():
            logging.log_every_n_seconds(
                logging.WARNING,
                "reading the manifest from the store failed: %s",
                10,
                data.error,
            )
            return
        if self._must_read_withdrawals() and not await self.read_withdrawals():
            return
        is_loaded = bool(data.ok) and await self._owner.load(self.source, data.ok)
        if is_loaded or not data.ok or self._owner.is_bundle_rejected:
            self.last_contact_at = started_at
        if is_loaded:
            await self._owner.confirm()
        await self.store_withdrawals()

    def _must_read_withdrawals(self) -> bool:
        """Return whether the withdrawals are read from the store.

        A new instance needs them before it is ready, since it may not have heard from
        any peer yet, and one without peers hears of new ones nowhere else.
        """
        return not self._has_read_withdrawals or not self._list_peers()

    async def read_withdrawals(self) -> bool:
        """Read the withdrawals in the store; return whether the store responded."""
        entries = await self._store.list(withdrawal.WITHDRAWAL_PREFIX)
        if entries.is_error():
            return False
        parsed = [withdrawal.parse_withdrawal(e.key, e.data) for e in entries.ok]
        withdrawals = tuple(item.ok for item in parsed if item.is_ok())
        await self._owner.ask(messages.WithdrawalsNotice(withdrawals))
        self._stored_digests |= {item.digest for item in withdrawals}
        self._has_read_withdrawals = True
        return True

    async def store_withdrawals(self) -> None:
        """Store the withdrawals that were submitted while the store was unavailable.

        Only watchers do so. The key is the digest of the withdrawn key, so an existing
        entry means that the withdrawal is stored already.
        """
        if not versions.is_watcher(self._own_incarnation, self._list_peers()):
            return
        for submitted in self._owner.list_withdrawals():
            if submitted.digest in self._stored_digests:
                continue
            key = withdrawal.WITHDRAWAL_PREFIX + submitted.digest.hex()
            data = withdrawal.format_withdrawal(submitted)
            result = await self._store.replace(key, data, 0)
            if result.is_ok() or isinstance(result.error, Conflict):
                self._stored_digests.add(submitted.digest)

    async def watch_while_assigned(self) -> None:
        """Watch the manifest while this instance is one of the watchers."""
        while True:
            if versions.is_watcher(self._own_incarnation, self._list_peers()):
                with self._errors.absorb("watch of the store"):
                    await self.watch()
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            else:
                await asyncio.sleep(WATCHER_CHECK_SECONDS)

    async def watch(self) -> None:
        """Start a poll at each change of the manifest until the watch fails."""
        entry = await self._store.get(manifest.MANIFEST_KEY)
        if entry.is_error():
            return
        self.wake()
        async for _ in self._store.watch(manifest.MANIFEST_KEY, entry.ok.revision + 1):
            self.wake()


class PeerFollower:
    """Loads what peers push, and pulls what their heartbeats show to be missing.

    :param domains: all failure domains of the fleet.
    :param errors: counts unexpected errors; one peer must not stop the others.
    """

    def __init__(
        self,
        peers: PeerMessaging,
        owner: BundleOwner,
        own_instance: Instance,
        domains: frozenset[FailureDomain],
        errors: UnexpectedErrors,
    ) -> None:
        self._errors = errors
        self._peers = peers
        self._owner = owner
        self._own_instance = own_instance
        self._domains = domains
        self._peer_states: dict[Instance, messages.PeerStateSummary] = {}
        self._pushed_manifests: dict[Instance, messages.ManifestNotice] = {}
        self._changed = asyncio.Event()

    def record_peer_state(self, summary: messages.PeerStateSummary) -> None:
        """Record a peer's state; a difference from it starts a synchronization."""
        is_behind = summary.version > self._owner.version
        if is_behind or summary.withdrawal_summary != self._owner.withdrawal_summary:
            self._peer_states[summary.peer] = summary
            self._changed.set()

    async def receive_manifest(
        self, sender: Instance, message: messages.ManifestNotice
    ) -> None:
        """Record a pushed manifest; it replaces an earlier one of the same peer."""
        self._pushed_manifests[sender] = message
        self._changed.set()

    async def run(self) -> None:
        """Synchronize with peers until cancelled."""
        while True:
            with self._errors.absorb("bundle of a peer"):
                if not self._owner.is_ready:
                    await self.become_ready_from_peers()
                await self._wait()
                await self.synchronize()
                continue
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _wait(self) -> None:
        """Wait for a difference from a peer.

        An instance that is not ready stops waiting after the retry interval.
        """
        try:
            async with asyncio.timeout(
                None if self._owner.is_ready else RETRY_INTERVAL_SECONDS
            ):
                await self._changed.wait()
        except TimeoutError:
            return

    async def synchronize(self) -> None:
        """Load pushed manifests and pull what is missing from peers."""
        self._changed.clear()
        pushed_manifests, self._pushed_manifests = self._pushed_manifests, {}
        for peer, message in pushed_manifests.items():
            source = PeerSource(self._peers, peer)
            await self._owner.load(source, message.manifest, message.delta)
        peer_states, self._peer_states = self._peer_states, {}
        for peer, summary in peer_states.items():
            if summary.withdrawal_summary != self._owner.withdrawal_summary:
                await self.pull_withdrawals(peer)
            if summary.version > self._owner.version:
                await self.pull_bundle(peer)

    async def pull_withdrawals(self, peer: Instance) -> bool:
        """Add a peer's withdrawals; return whether the peer responded."""
        response = await PeerSource(self._peers, peer).fetch_withdrawals()
        if response.is_ok():
            await self._owner.ask(response.ok)
        return response.is_ok()

    async def pull_bundle(self, peer: Instance) -> int | None:
        """Load a peer's bundle if it is newer.

        :returns: version of the peer's bundle, 0 if it has none; None if unknown.
        """
        source = PeerSource(self._peers, peer)
        response = await source.fetch_manifest()
        if response.is_error():
            return None
        if not response.ok:
            return 0
        await self._owner.load(source, response.ok)
        parsed = manifest.parse_manifest(response.ok)
        return parsed.ok.version if parsed.is_ok() else None

    async def become_ready_from_peers(self) -> None:
        """Become ready once a majority of the failure domains confirms the version."""
        versions_by_domain: dict[FailureDomain, int] = {}
        for peer in self._peers.list_peers():
            if self._owner.is_ready:
                return
            version = await self.pull_bundle(peer)
            if version is not None and await self.pull_withdrawals(peer):
                versions_by_domain[peer.domain] = max(
                    version, versions_by_domain.get(peer.domain, 0)
                )
        required = versions.find_required_version(
            versions_by_domain, self._own_instance.domain, self._domains
        )
        if required and self._owner.version >= required:
            await self._owner.confirm()
