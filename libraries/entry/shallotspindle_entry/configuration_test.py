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
STATEMENT = withdrawals.sign(Withdrawal(DIGEST, "astrid", "lost", "now"), KEY)


def publish(store, bundle, signer="astrid"):
    """Write a bundle and return its stored manifest."""
    index, encoded = chunks.build_index(bundle)
    data = chunks.encode_index(index)
    name = manifests.digest_chunk(data)
    for digest, chunk in (*encoded.items(), (name, data)):
        store.put(manifest.CHUNK_PREFIX + digest, chunk)
    unsigned = Manifest(bundle.version, bundle.version - 1, signer, "x", (name,))
    stored = manifest.format_manifest(manifests.sign(unsigned, KEY))
    store.put(manifest.MANIFEST_KEY, stored)
    return stored


def change_rate(bundle, rate):
    changed = {"museum": Team("museum", rate, 1.0)}
    table = teams.replace_teams(bundle.teams, changed)
    return replace(bundle, version=bundle.version + 1, teams=table)


class Network:
    """Delivers messages between tasks at once; counts them by type."""

    def __init__(self):
        self.links = {}
        self.counts = {}
        self.cut = False

    def build_link(self, name, domain):
        instance = Instance(name, f"10.0.0.{len(self.links)}:1", domain)
        self.links[instance] = Link(self, instance)
        return self.links[instance]


class Link:
    def __init__(self, network, own):
        self.network, self.own, self.handlers = network, own, {}

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def list_peers(self):
        return tuple(peer for peer in self.network.links if peer != self.own)

    async def request(self, peer, message, timeout):
        if self.network.cut:
            return PeerUnreachable("peer", "no answer")
        count = self.network.counts.get(type(message), 0)
        self.network.counts[type(message)] = count + 1
        handler = self.network.links[peer].handlers[type(message)]
        return await handler(self.own, message)

    def gossip(self, message):
        for peer in () if self.network.cut else self.list_peers():
            handler = self.network.links[peer].handlers.get(type(message))
            if handler is not None:
                self.tasks = asyncio.ensure_future(handler(self.own, message))


async def settle():
    for _ in range(300):
        await asyncio.sleep(0)


async def wait_for(condition):
    """Run the tasks until a condition holds; real time only ends a failed test."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.001)


@pytest.fixture
async def fleet():
    """Starts tasks and stops them at the end of the test."""
    network, running = Network(), []

    async def start(store, name="one", domain="a", alone=False):
        link = None if alone else network.build_link(name, domain)
        own = None if alone else link.own
        clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC), 100.0)
        task = ConfigurationTask(store, SIGNERS, link, clock, own, DOMAINS)
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
    async def test_bundle_from_the_store_comes_into_force(self, fleet):
        store = MemoryStore()
        publish(store, BUNDLE)
        task = await fleet(store, alone=True)
        await wait_for(lambda: task.ready)
        assert task.current.bundle.version == 1
        assert directory.find_team(task.current.keys, "dealer-key") == "dealer"
        assert task.store_heard == 100.0

    async def test_watch_tells_of_a_change_and_only_changed_chunks_are_read(
        self, fleet
    ):
        # Guards against a change that costs a read of every chunk.
        store = MemoryStore()
        publish(store, BUNDLE)
        task = await fleet(store, alone=True)
        await wait_for(lambda: task.ready)
        await settle()
        reads = store.reads
        publish(store, change_rate(BUNDLE, 9.0))
        await wait_for(lambda: task.version == 2)
        assert task.current.bundle.teams["museum"].rate == 9.0
        assert store.reads - reads <= 5

    @pytest.mark.parametrize(
        ("bundle", "signer"),
        [
            (replace(BUNDLE, version=2, services={}), "astrid"),
            (replace(BUNDLE, version=2), "stranger"),
        ],
    )
    async def test_faulty_or_unsigned_bundle_is_refused(self, fleet, bundle, signer):
        # Guards against a part of a faulty bundle in force.
        store = MemoryStore()
        publish(store, BUNDLE)
        task = await fleet(store, alone=True)
        await wait_for(lambda: task.ready)
        publish(store, bundle, signer)
        await settle()
        assert task.current.bundle.version == 1
        assert task.current.bundle.services
        publish(store, change_rate(replace(BUNDLE, version=2), 7.0))
        await wait_for(lambda: task.version == 3)

    async def test_version_never_goes_down(self, fleet):
        # Guards against an accepted bundle that is reverted.
        store = MemoryStore()
        publish(store, replace(BUNDLE, version=5))
        task = await fleet(store, alone=True)
        await wait_for(lambda: task.ready)
        publish(store, replace(BUNDLE, version=4))
        await settle()
        assert task.current.bundle.version == 5

    async def test_target_size_fits(self):
        # Guards against a bundle that does not fit into 32 MB; half is the bound.
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
        store, away = MemoryStore(), MemoryStore()
        publish(store, BUNDLE)
        first = await fleet(store, "one", "a")
        await wait_for(lambda: first.ready)
        away.down = True
        second = await fleet(away, "two", "b")
        await wait_for(lambda: second.ready)
        fleet.network.counts.clear()
        publish(store, change_rate(BUNDLE, 9.0))
        await wait_for(lambda: second.version == 2)
        assert second.current.bundle.teams["museum"].rate == 9.0
        assert messages.ChunkPulled not in fleet.network.counts

    async def test_instance_started_in_an_outage_needs_a_majority(self, fleet):
        # Guards against an instance that starts with a reverted bundle.
        store, away = MemoryStore(), MemoryStore()
        away.down = True
        alone = await fleet(away, "two", "b")
        await settle()
        assert not alone.ready
        publish(store, BUNDLE)
        first = await fleet(store, "one", "a")
        await wait_for(lambda: alone.ready)
        assert first.ready
        assert alone.current.bundle.version == 1

    async def test_heartbeat_repairs_missed_changes(self, fleet):
        store, away = MemoryStore(), MemoryStore()
        away.down = True
        publish(store, BUNDLE)
        first = await fleet(store, "one", "a")
        second = await fleet(away, "two", "b")
        await wait_for(lambda: second.ready)
        fleet.network.cut = True
        publish(store, change_rate(BUNDLE, 9.0))
        await wait_for(lambda: first.version == 2)
        await first.ask(messages.WithdrawalGiven(STATEMENT))
        fleet.network.cut = False
        digest = messages.PeerDigest(
            next(iter(fleet.network.links)), 2, first.withdrawal_summary
        )
        second.tell(digest)
        await wait_for(lambda: second.version == 2)
        assert second.withdrawal_summary == first.withdrawal_summary


class TestWithdrawals:
    async def test_withdrawal_reaches_peers_while_the_store_is_away(self, fleet):
        # Guards against a withdrawn key that works on another instance.
        store = MemoryStore()
        publish(store, BUNDLE)
        first = await fleet(store, "one", "a")
        second = await fleet(store, "two", "b")
        await wait_for(lambda: first.ready and second.ready)
        store.down = True
        assert await first.ask(messages.WithdrawalGiven(STATEMENT)) is None
        await wait_for(lambda: second.current.keys.withdrawn)
        found = directory.find_team(second.current.keys, "dealer-key")
        assert isinstance(found, directory.UnknownKey)

    async def test_forged_withdrawal_is_refused(self, fleet):
        # Guards against withdrawals by somebody who may not sign.
        store = MemoryStore()
        publish(store, BUNDLE)
        task = await fleet(store, alone=True)
        await wait_for(lambda: task.ready)
        forged = replace(STATEMENT, person="stranger")
        assert await task.ask(messages.WithdrawalGiven(forged)) is not None
        assert not task.current.keys.withdrawn

    async def test_withdrawal_stays_until_a_bundle_carries_it(self, fleet):
        store = MemoryStore()
        publish(store, BUNDLE)
        task = await fleet(store, alone=True)
        await wait_for(lambda: task.ready)
        await task.ask(messages.WithdrawalGiven(STATEMENT))
        later = change_rate(BUNDLE, 9.0)
        publish(store, later)
        await wait_for(lambda: task.version == 2)
        assert DIGEST in task.current.keys.withdrawn
        carrying = replace(later, version=3, withdrawn=frozenset({DIGEST}))
        publish(store, carrying)
        await wait_for(lambda: task.version == 3)
        assert task.list_withdrawals() == ()
        assert DIGEST in task.current.keys.withdrawn
        assert records.order_routes(later.routes) == later.routes

    async def test_slow_store_does_not_delay_a_withdrawal(self, fleet):
        # Guards against a withdrawn key that works while a read of the store hangs.
        store = MemoryStore()
        publish(store, BUNDLE)
        task = await fleet(store, alone=True)
        await wait_for(lambda: task.ready)
        hanging = asyncio.Event()

        async def hang(key):
            hanging.set()
            await asyncio.Event().wait()

        store.get = hang
        task.tell(StoreChanged())
        await hanging.wait()
        await task.ask(messages.WithdrawalGiven(STATEMENT))
        assert DIGEST in task.current.keys.withdrawn

    async def test_withdrawal_of_an_outage_is_stored_and_read_by_new_instances(
        self, fleet
    ):
        # Guards against a key that works again when all instances were replaced.
        store = MemoryStore()
        publish(store, BUNDLE)
        first = await fleet(store, alone=True)
        await wait_for(lambda: first.ready)
        store.down = True
        await first.ask(messages.WithdrawalGiven(STATEMENT))
        store.down = False
        first.tell(StoreChanged())
        key = withdrawal.WITHDRAWAL_PREFIX + DIGEST.hex()
        await wait_for(lambda: key in store._entries)
        second = await fleet(store, "two", "b")
        await wait_for(lambda: second.ready)
        assert DIGEST in second.current.keys.withdrawn


class TestEndpoint:
    @pytest.mark.parametrize(
        ("statement", "status"),
        [(STATEMENT, 200), (replace(STATEMENT, reason="forged"), 403)],
    )
    async def test_signed_statement_is_taken(self, fleet, statement, status):
        task = await fleet(MemoryStore(), alone=True)
        body = withdrawal.format_withdrawal(statement)
        response = await self.send(task, body)
        assert response.status == status
        assert (DIGEST in task._withdrawals) == (status == 200)

    @pytest.mark.parametrize(("body", "status"), [(b"{}", 400), (b"x" * 9999, 413)])
    async def test_malformed_statement_is_refused(self, fleet, body, status):
        task = await fleet(MemoryStore(), alone=True)
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
        return await withdrawal_endpoint.take_withdrawal(task, request)
