import asyncio
import tracemalloc
from dataclasses import replace
from datetime import UTC, datetime
from unittest.mock import Mock

import pytest
from aiohttp import StreamReader
from aiohttp.test_utils import make_mocked_request
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from shallotspindle_bundles import manifests, records, teams, withdrawals
from shallotspindle_bundles.manifests import Manifest
from shallotspindle_bundles.records import Bundle, Route, Service, Team, Upstream
from shallotspindle_bundles.withdrawals import Withdrawal
from shallotspindle_core.clock import ManualClock
from shallotspindle_core.identifiers import Instance
from shallotspindle_entry import bundle_loading, withdrawal_endpoint
from shallotspindle_entry import bundle_messages as messages
from shallotspindle_entry.configuration import ConfigurationTask, StoreChanged
from shallotspindle_entry.interfaces import PeerUnreachable
from shallotspindle_environment.memory import MemoryStore
from shallotspindle_keys import digests, directory
from shallotspindle_settings import chunks, manifest, withdrawal

KEY = Ed25519PrivateKey.from_private_bytes(b"k" * 32)
SIGNERS = {"astrid": KEY.public_key()}
SALT = b"s" * 16
DOMAINS = frozenset({"a", "b", "c"})
SERVICE = Service("stock", (Upstream("stock-1", "10.0.0.1:80", "a"),))
DIGEST = digests.digest_key(SALT, "dealer-key")
BUNDLE = Bundle(
    1,
    SALT,
    teams.build_teams([Team("dealer", 5.0, 5.0, (DIGEST,)), Team("museum", 1.0, 1.0)]),
    {"stock": SERVICE},
    (Route("stock", "/stock", "stock"),),
)
WITHDRAWAL = withdrawals.sign(Withdrawal(DIGEST, "astrid", "lost", "now"), KEY)


def publish(store, bundle, signer="astrid"):
    """Write a bundle to the store and return its stored manifest."""
    index, encoded = chunks.build_index(bundle)
    data = chunks.encode_index(index)
    name = manifests.compute_chunk_digest(data)
    for digest, chunk in (*encoded.items(), (name, data)):
        store.put(manifest.CHUNK_PREFIX + digest, chunk)
    unsigned = Manifest(bundle.version, bundle.version - 1, signer, "x", (name,))
    stored = manifest.format_manifest(manifests.sign(unsigned, KEY))
    store.put(manifest.MANIFEST_KEY, stored)
    return stored


def build_next_bundle(bundle, rate):
    changed = {"museum": Team("museum", rate, 1.0)}
    table = teams.replace_teams(bundle.teams, changed)
    return replace(bundle, version=bundle.version + 1, teams=table)


class InMemoryNetwork:
    """Delivers messages between tasks immediately and counts requests by type."""

    def __init__(self):
        self.messaging_by_instance = {}
        self.request_counts = {}
        self.is_partitioned = False

    def build_peer_messaging(self, name, domain):
        instance = Instance(name, f"10.0.0.{len(self.messaging_by_instance)}:1", domain)
        self.messaging_by_instance[instance] = FakePeerMessaging(self, instance)
        return self.messaging_by_instance[instance]


class FakePeerMessaging:
    def __init__(self, network, own_instance):
        self.network, self.own_instance, self.handlers = network, own_instance, {}

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def list_peers(self):
        return tuple(
            peer
            for peer in self.network.messaging_by_instance
            if peer != self.own_instance
        )

    async def request(self, peer, message, timeout):
        if self.network.is_partitioned:
            return PeerUnreachable("peer", "no response")
        count = self.network.request_counts.get(type(message), 0)
        self.network.request_counts[type(message)] = count + 1
        handler = self.network.messaging_by_instance[peer].handlers[type(message)]
        return await handler(self.own_instance, message)

    def gossip(self, message):
        for peer in () if self.network.is_partitioned else self.list_peers():
            handler = self.network.messaging_by_instance[peer].handlers.get(
                type(message)
            )
            if handler is not None:
                self.tasks = asyncio.ensure_future(handler(self.own_instance, message))


async def run_pending_callbacks():
    for _ in range(300):
        await asyncio.sleep(0)


async def wait_for(condition):
    """Run the tasks until a condition holds; the timeout only ends a failing test."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.001)


@pytest.fixture
async def fleet():
    """Return a function that starts a task; all are stopped at the end of the test."""
    network, running = InMemoryNetwork(), []

    async def start(store, name="one", domain="a", has_no_peers=False):
        peers = None if has_no_peers else network.build_peer_messaging(name, domain)
        own_instance = None if has_no_peers else peers.own_instance
        clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC), 100.0)
        task = ConfigurationTask(store, SIGNERS, peers, clock, own_instance, DOMAINS)
        task.set_loop(asyncio.get_running_loop())
        running.append((task, asyncio.create_task(task.start())))
        await task.start_event.wait()
        return task

    start.network = network
    yield start
    for task, job in running:
        await task.stop()
        job.cancel()


class TestLoading:
    async def test_bundle_from_the_store_becomes_active(self, fleet):
        # Guards against an instance that never serves the stored bundle.
        store = MemoryStore()
        publish(store, BUNDLE)
        task = await fleet(store, has_no_peers=True)
        await wait_for(lambda: task.is_ready)
        assert task.current.bundle.version == 1
        assert directory.find_team(task.current.keys, "dealer-key") == "dealer"
        assert task.store_contacted_at == 100.0

    async def test_watched_change_reads_only_changed_chunks(self, fleet):
        # Guards against a change that reads every chunk again.
        store = MemoryStore()
        publish(store, BUNDLE)
        task = await fleet(store, has_no_peers=True)
        await wait_for(lambda: task.is_ready)
        await run_pending_callbacks()
        reads = store.read_count
        publish(store, build_next_bundle(BUNDLE, 9.0))
        await wait_for(lambda: task.version == 2)
        assert task.current.bundle.teams["museum"].rate == 9.0
        assert store.read_count - reads <= 5

    @pytest.mark.parametrize(
        ("bundle", "signer"),
        [
            (replace(BUNDLE, version=2, services={}), "astrid"),
            (replace(BUNDLE, version=2), "stranger"),
        ],
    )
    async def test_invalid_or_unsigned_bundle_is_rejected(self, fleet, bundle, signer):
        # Guards against activating a part of an invalid bundle.
        store = MemoryStore()
        publish(store, BUNDLE)
        task = await fleet(store, has_no_peers=True)
        await wait_for(lambda: task.is_ready)
        publish(store, bundle, signer)
        await wait_for(lambda: task.is_bundle_rejected)
        assert task.current.bundle.version == 1
        assert task.current.bundle.services
        publish(store, build_next_bundle(replace(BUNDLE, version=2), 7.0))
        await wait_for(lambda: task.version == 3)
        assert not task.is_bundle_rejected

    async def test_version_never_decreases(self, fleet):
        # Guards against reverting to an older bundle.
        store = MemoryStore()
        publish(store, replace(BUNDLE, version=5))
        task = await fleet(store, has_no_peers=True)
        await wait_for(lambda: task.is_ready)
        publish(store, replace(BUNDLE, version=4))
        await run_pending_callbacks()
        assert task.current.bundle.version == 5

    async def test_bundle_of_the_target_size_fits_into_memory(self):
        # Guards against a bundle that does not fit into 32 MB; it may use half of them.
        members = [
            Team(f"team-{n}", 5.0, 9.0, (n.to_bytes(4, "big") * 8,))
            for n in range(0, 37_000 * 1000, 1000)
        ]
        loose = replace(BUNDLE, teams=teams.build_teams(members))
        del members
        tracemalloc.start()
        packed = teams.build_teams(loose.teams.values())
        built = bundle_loading.build_configuration(replace(loose, teams=packed))
        size, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(built.bundle.teams) == 37_000
        assert size < 16_000_000
        assert peak < 24_000_000


class TestPeers:
    async def test_change_reaches_peers_as_a_delta(self, fleet):
        # Guards against peers that read chunks for each change.
        store, unavailable_store = MemoryStore(), MemoryStore()
        publish(store, BUNDLE)
        first = await fleet(store, "one", "a")
        await wait_for(lambda: first.is_ready)
        unavailable_store.is_unavailable = True
        second = await fleet(unavailable_store, "two", "b")
        await wait_for(lambda: second.is_ready)
        fleet.network.request_counts.clear()
        publish(store, build_next_bundle(BUNDLE, 9.0))
        await wait_for(lambda: second.version == 2)
        assert second.current.bundle.teams["museum"].rate == 9.0
        assert messages.ChunkRequest not in fleet.network.request_counts

    async def test_instance_started_without_the_store_needs_a_majority(self, fleet):
        # Guards against an instance that starts with an outdated bundle.
        store, unavailable_store = MemoryStore(), MemoryStore()
        unavailable_store.is_unavailable = True
        second = await fleet(unavailable_store, "two", "b")
        await run_pending_callbacks()
        assert not second.is_ready
        publish(store, BUNDLE)
        first = await fleet(store, "one", "a")
        await wait_for(lambda: second.is_ready)
        assert first.is_ready
        assert second.current.bundle.version == 1

    async def test_heartbeat_triggers_repair_of_missed_changes(self, fleet):
        # Guards against a change that stays missing after a network failure.
        store, unavailable_store = MemoryStore(), MemoryStore()
        unavailable_store.is_unavailable = True
        publish(store, BUNDLE)
        first = await fleet(store, "one", "a")
        second = await fleet(unavailable_store, "two", "b")
        await wait_for(lambda: second.is_ready)
        fleet.network.is_partitioned = True
        publish(store, build_next_bundle(BUNDLE, 9.0))
        await wait_for(lambda: first.version == 2)
        await first.ask(messages.WithdrawalSubmitted(WITHDRAWAL))
        fleet.network.is_partitioned = False
        summary = messages.PeerStateSummary(
            next(iter(fleet.network.messaging_by_instance)), 2, first.withdrawal_summary
        )
        second.tell(summary)
        await wait_for(lambda: second.version == 2)
        assert second.withdrawal_summary == first.withdrawal_summary


class TestWithdrawals:
    async def test_withdrawal_reaches_peers_while_the_store_is_unavailable(self, fleet):
        # Guards against a withdrawn key that is still accepted by another instance.
        store = MemoryStore()
        publish(store, BUNDLE)
        first = await fleet(store, "one", "a")
        second = await fleet(store, "two", "b")
        await wait_for(lambda: first.is_ready and second.is_ready)
        store.is_unavailable = True
        assert await first.ask(messages.WithdrawalSubmitted(WITHDRAWAL)) is None
        await wait_for(lambda: second.current.keys.withdrawn)
        result = directory.find_team(second.current.keys, "dealer-key")
        assert isinstance(result, directory.UnknownKey)

    async def test_forged_withdrawal_is_rejected(self, fleet):
        # Guards against withdrawals by persons who are not signers.
        store = MemoryStore()
        publish(store, BUNDLE)
        task = await fleet(store, has_no_peers=True)
        await wait_for(lambda: task.is_ready)
        forged = replace(WITHDRAWAL, person="stranger")
        assert await task.ask(messages.WithdrawalSubmitted(forged)) is not None
        assert not task.current.keys.withdrawn

    async def test_withdrawal_is_kept_until_a_bundle_contains_it(self, fleet):
        # Guards against accepting a withdrawn key again after a newer bundle.
        store = MemoryStore()
        publish(store, BUNDLE)
        task = await fleet(store, has_no_peers=True)
        await wait_for(lambda: task.is_ready)
        await task.ask(messages.WithdrawalSubmitted(WITHDRAWAL))
        later = build_next_bundle(BUNDLE, 9.0)
        publish(store, later)
        await wait_for(lambda: task.version == 2)
        assert DIGEST in task.current.keys.withdrawn
        containing = replace(later, version=3, withdrawn=frozenset({DIGEST}))
        publish(store, containing)
        await wait_for(lambda: task.version == 3)
        assert task.list_withdrawals() == ()
        assert DIGEST in task.current.keys.withdrawn
        assert records.sort_routes(later.routes) == later.routes

    async def test_slow_store_does_not_delay_a_withdrawal(self, fleet):
        # Guards against accepting a withdrawn key while a read of the store hangs.
        store = MemoryStore()
        publish(store, BUNDLE)
        task = await fleet(store, has_no_peers=True)
        await wait_for(lambda: task.is_ready)
        hanging = asyncio.Event()

        async def hang(key):
            hanging.set()
            await asyncio.Event().wait()

        store.get = hang
        task.tell(StoreChanged())
        await hanging.wait()
        await task.ask(messages.WithdrawalSubmitted(WITHDRAWAL))
        assert DIGEST in task.current.keys.withdrawn

    async def test_withdrawal_made_without_the_store_is_stored_for_new_instances(
        self, fleet
    ):
        # Guards against accepting a withdrawn key again after all instances were
        # replaced.
        store = MemoryStore()
        publish(store, BUNDLE)
        first = await fleet(store, has_no_peers=True)
        await wait_for(lambda: first.is_ready)
        store.is_unavailable = True
        await first.ask(messages.WithdrawalSubmitted(WITHDRAWAL))
        store.is_unavailable = False
        first.tell(StoreChanged())
        key = withdrawal.WITHDRAWAL_PREFIX + DIGEST.hex()
        await wait_for(lambda: key in store._values)
        second = await fleet(store, "two", "b")
        await wait_for(lambda: second.is_ready)
        assert DIGEST in second.current.keys.withdrawn


class TestEndpoint:
    @pytest.mark.parametrize(
        ("submitted", "status"),
        [(WITHDRAWAL, 200), (replace(WITHDRAWAL, reason="forged"), 403)],
    )
    async def test_only_validly_signed_withdrawal_is_accepted(
        self, fleet, submitted, status
    ):
        # Guards against withdrawals with a forged signature.
        task = await fleet(MemoryStore(), has_no_peers=True)
        body = withdrawal.format_withdrawal(submitted)
        response = await self.send(task, body)
        assert response.status == status
        assert (DIGEST in task._withdrawals) == (status == 200)

    @pytest.mark.parametrize(("body", "status"), [(b"{}", 400), (b"x" * 9999, 413)])
    async def test_malformed_withdrawal_is_rejected(self, fleet, body, status):
        # Guards against malformed and oversized requests to the endpoint.
        task = await fleet(MemoryStore(), has_no_peers=True)
        assert (await self.send(task, body)).status == status

    async def send(self, task, body):
        """Call the handler with a request that has the body."""
        content = StreamReader(Mock(), 2**16, loop=asyncio.get_running_loop())
        content.feed_data(body)
        content.feed_eof()
        request = make_mocked_request(
            "POST",
            "/withdrawals",
            headers={"Content-Length": str(len(body))},
            payload=content,
        )
        return await withdrawal_endpoint.handle_withdrawal(task, request)


class TestLargeDeltas:
    async def test_deltas_that_no_frame_carries_are_left_out(self):
        # Guards against a peer that waits for a response that is never sent.
        task = ConfigurationTask(MemoryStore(), {})
        task._deltas_by_version = {2: bytes(600_000), 3: bytes(600_000)}
        request = messages.DeltasRequest(2)
        response = await task._handle_deltas_request(None, request)
        assert response.deltas == (bytes(600_000),)
        request = messages.DeltasRequest(1)
        response = await task._handle_deltas_request(None, request)
        assert response.deltas == ()
