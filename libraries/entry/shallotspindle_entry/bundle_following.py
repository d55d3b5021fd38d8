"""Follows the accepted bundle in the store and at peers.

A watch tells of a change at once on a few instances and peers pass it on; polls and
heartbeats repair what was missed.
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
from shallotspindle_entry.bundle_sources import PeerSource, Source, StoreSource
from shallotspindle_entry.interfaces import PeerMessaging
from shallotspindle_environment.interface import Conflict, Store
from shallotspindle_settings import manifest, withdrawal

RETRY_SECONDS = 1.0
# Time after which an instance looks whether it is now one of those that watch.
REVIEW_SECONDS = 5.0


class Keeper(Protocol):
    """Owner of the bundle that followers keep up to date."""

    ready: bool

    @property
    def version(self) -> int:
        """Version of the bundle at hand."""

    @property
    def withdrawal_summary(self) -> bytes:
        """Digest of the withdrawals that no bundle carries yet."""

    def list_withdrawals(self) -> tuple[Withdrawal, ...]:
        """Return the withdrawals that no bundle carries yet."""

    async def load(self, source: Source, data: bytes, pushed: bytes = b"") -> bool:
        """Load the bundle of a manifest; return whether it is at hand."""

    async def confirm(self) -> None:
        """State that nothing newer than the bundle at hand was accepted."""

    async def ask(self, message: object) -> object:
        """Send a message to the inbox and await the reply."""


class StoreFollower:
    """Reads the manifest at intervals, and watches it if this instance is to.

    :param members: incarnations of the usable peers.
    """

    def __init__(
        self,
        store: Store,
        keeper: Keeper,
        clock: Clock,
        own: Incarnation,
        members: Callable[[], tuple[Incarnation, ...]],
    ) -> None:
        self.source = StoreSource(store)
        self.heard = -math.inf
        self._store = store
        self._keeper = keeper
        self._clock = clock
        self._own = own
        self._members = members
        self._changed = asyncio.Event()
        self._listed = False
        self._saved: set[bytes] = set()

    def wake(self) -> None:
        """Read the manifest soon."""
        self._changed.set()

    def get_interval(self) -> float:
        """Return the time to the next poll, in seconds."""
        return versions.find_poll_interval(len(self._members()) + 1)

    async def run(self) -> None:
        """Follow until cancelled."""
        watcher = asyncio.create_task(self.keep_watch())
        try:
            await self.poll()
            # Spreads the polls of a fleet that starts at once over the interval.
            share = hashing.hash_text(self._own) / 2**64
            await self._wait(share * self.get_interval())
            while True:
                await self.poll()
                await self._wait(self.get_interval())
        finally:
            watcher.cancel()

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return
        finally:
            self._changed.clear()

    async def poll(self) -> None:
        """Read the manifest once and load its bundle if it is newer."""
        started = self._clock.boottime()
        data = await self.source.fetch_manifest()
        if data.is_error():
            logging.log_every_n_seconds(
                logging.WARNING, "the store did not answer: %s", 10, data.error
            )
            return
        if not self._listed and not await self.read_withdrawals():
            return
        self.heard = started
        if data.ok and await self._keeper.load(self.source, data.ok):
            await self._keeper.confirm()
        await self.save_withdrawals()

    async def read_withdrawals(self) -> bool:
        """Add the withdrawals that the store has; return whether it answered.

        A new instance needs them before it is ready, since peers may not be heard yet.
        """
        entries = await self._store.list(withdrawal.WITHDRAWAL_PREFIX)
        if entries.is_error():
            return False
        parsed = [withdrawal.parse_withdrawal(e.key, e.data) for e in entries.ok]
        found = tuple(item.ok for item in parsed if item.is_ok())
        await self._keeper.ask(messages.WithdrawalsPushed(found))
        self._saved |= {item.digest for item in found}
        self._listed = True
        return True

    async def save_withdrawals(self) -> None:
        """Store the withdrawals that were given while the store was away.

        Only the instances that watch do so; a value that exists already is the same
        withdrawal.
        """
        if not versions.is_watcher(self._own, self._members()):
            return
        for item in self._keeper.list_withdrawals():
            if item.digest in self._saved:
                continue
            key = withdrawal.WITHDRAWAL_PREFIX + item.digest.hex()
            data = withdrawal.format_withdrawal(item)
            written = await self._store.replace(key, data, 0)
            if written.is_ok() or isinstance(written.error, Conflict):
                self._saved.add(item.digest)

    async def keep_watch(self) -> None:
        """Hold a watch while this instance is one of those that watch."""
        while True:
            if versions.is_watcher(self._own, self._members()):
                await self.watch()
                await asyncio.sleep(RETRY_SECONDS)
            else:
                await asyncio.sleep(REVIEW_SECONDS)

    async def watch(self) -> None:
        """Wake the poll at each change until the watch fails."""
        entry = await self._store.get(manifest.MANIFEST_KEY)
        if entry.is_error():
            return
        self.wake()
        async for _ in self._store.watch(manifest.MANIFEST_KEY, entry.ok.revision + 1):
            self.wake()


class PeerFollower:
    """Loads what peers push, and pulls what their heartbeats show to be missing.

    :param own: this instance.
    :param domains: all failure domains of the fleet.
    """

    def __init__(
        self,
        link: PeerMessaging,
        keeper: Keeper,
        own: Instance,
        domains: frozenset[FailureDomain],
    ) -> None:
        self._link = link
        self._keeper = keeper
        self._own = own
        self._domains = domains
        self._noticed: dict[Instance, messages.PeerDigest] = {}
        self._pushed: dict[Instance, messages.ManifestPushed] = {}
        self._changed = asyncio.Event()

    def notice(self, digest: messages.PeerDigest) -> None:
        """Note what a heartbeat told; a difference is repaired soon."""
        behind = digest.version > self._keeper.version
        if behind or digest.withdrawals != self._keeper.withdrawal_summary:
            self._noticed[digest.peer] = digest
            self._changed.set()

    async def receive(self, sender: Instance, message: messages.ManifestPushed) -> None:
        """Note a pushed manifest; only the latest one of a peer counts."""
        self._pushed[sender] = message
        self._changed.set()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not self._keeper.ready:
                await self.start_from_peers()
            await self._wait()
            await self.repair()

    async def _wait(self) -> None:
        """Wait for a difference; an instance that is not ready asks again anyway."""
        try:
            async with asyncio.timeout(None if self._keeper.ready else RETRY_SECONDS):
                await self._changed.wait()
        except TimeoutError:
            return

    async def repair(self) -> None:
        """Load what was pushed and pull what is missing."""
        self._changed.clear()
        pushed, self._pushed = self._pushed, {}
        for peer, message in pushed.items():
            source = PeerSource(self._link, peer)
            await self._keeper.load(source, message.manifest, message.delta)
        noticed, self._noticed = self._noticed, {}
        for peer, digest in noticed.items():
            if digest.withdrawals != self._keeper.withdrawal_summary:
                await self.pull_withdrawals(peer)
            if digest.version > self._keeper.version:
                await self.pull_bundle(peer)

    async def pull_withdrawals(self, peer: Instance) -> bool:
        """Add a peer's withdrawals; return whether the peer answered."""
        told = await PeerSource(self._link, peer).fetch_withdrawals()
        if told.is_ok():
            await self._keeper.ask(told.ok)
        return told.is_ok()

    async def pull_bundle(self, peer: Instance) -> int | None:
        """Load a peer's bundle if it is newer.

        :returns: the version that the peer told; None when it did not answer.
        """
        source = PeerSource(self._link, peer)
        told = await source.fetch_manifest()
        if told.is_error():
            return None
        if not told.ok:
            return 0
        await self._keeper.load(source, told.ok)
        parsed = manifest.parse_manifest(told.ok)
        return parsed.ok.version if parsed.is_ok() else None

    async def start_from_peers(self) -> None:
        """Become ready with the version that a majority of failure domains told."""
        told: dict[FailureDomain, int] = {}
        for peer in self._link.list_peers():
            if self._keeper.ready:
                return
            version = await self.pull_bundle(peer)
            if version is not None and await self.pull_withdrawals(peer):
                told[peer.domain] = max(version, told.get(peer.domain, 0))
        required = versions.find_required_version(told, self._own.domain, self._domains)
        if required and self._keeper.version >= required:
            await self._keeper.confirm()
