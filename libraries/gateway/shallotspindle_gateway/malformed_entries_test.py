"""Entries of the store that another writer replaced or added."""

import asyncio
import json
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import pytest

from shallotspindle_core.addresses import SocketAddress, parse_address
from shallotspindle_gateway import ownership, stored_forms
from shallotspindle_gateway.conftest import start_gateway
from shallotspindle_gateway.daemon import create_datagram_socket
from shallotspindle_gateway.fakes import SERVICE
from shallotspindle_gateway.messages import ChangesRequest, TokenRequest
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.records import Endpoint, PartitionHolder
from shallotspindle_gateway.storage import StoredValue
from shallotspindle_telemetry.unexpected import UnexpectedErrors
from shallotspindle_wire.codec import Codec
from shallotspindle_wire.envelopes import Tell

MALFORMED_VALUES = {
    "number": b"5",
    "null": b"null",
    "nested": b"[" * 100_000,
    "object": b'{"a": 1}',
    "no-text": b"\xff\xfe",
    "empty": b"",
    "infinite": b'["10.0.0.9:1", "a", 1e999]',
    "huge-number": b'["10.0.0.9:1", "a", 1' + b"0" * 5000 + b"]",
    "huge-port": b'["10.0.0.9:99999", "a", 1000]',
    "no-address": b'[5, "a", 1000]',
    "long": b'["10.0.0.9:1", "' + b"a" * 100_000 + b'", 1000]',
}


def is_known(daemon, upstream):
    return upstream.name in daemon.follower.upstreams.list_usable(SERVICE)


@pytest.mark.parametrize("value", MALFORMED_VALUES.values(), ids=MALFORMED_VALUES)
class TestMalformedEntries:
    async def test_the_store_is_followed_past_a_malformed_member(self, fleet, value):
        # Guards against one entry that hides all later changes from every instance.
        daemon = await start_gateway(fleet, "complete")
        watcher_count = len(daemon.follower.roster.rank_watchers())
        fleet.store.put("members/malformed", value)
        added = await fleet.add_upstream()
        await fleet.await_true(lambda: is_known(daemon, added))
        assert "members/malformed" not in daemon.follower.members
        assert len(daemon.follower.roster.rank_watchers()) == watcher_count
        assert (await fleet.send(daemon))[0] == 200

    async def test_a_malformed_partition_gets_a_holder_again(
        self, fleet, value, no_startup_delay, monkeypatch
    ):
        # Guards against a team whose requests are refused until the entry is removed.
        monkeypatch.setattr(ownership, "LEASE_SECONDS", 0.3)
        daemon = await start_gateway(fleet, "complete")
        key = ownership.find_partition_key("museum")
        fleet.store.put(key, value)
        malformed_revision = fleet.store.revision
        await fleet.await_true(lambda: daemon.follower.revision >= malformed_revision)

        def is_held_again():
            holder = daemon.follower.partitions.get(key)
            return isinstance(holder, PartitionHolder)

        await fleet.await_true(is_held_again)
        assert (await fleet.send(daemon))[0] == 200


class TestReplacedEntries:
    async def test_a_member_whose_entry_turns_malformed_is_not_asked_any_more(
        self, fleet
    ):
        # Guards against an entry that keeps an instance alive that left.
        daemon = await start_gateway(fleet, "complete")
        fleet.store.put("members/other", b'["10.0.0.9:1", "a", 1000.0]')
        await fleet.await_true(lambda: "members/other" in daemon.follower.members)
        fleet.store.put("members/other", b"5")
        await fleet.await_true(lambda: "members/other" not in daemon.follower.members)

    async def test_an_instance_restores_its_own_entry(self, fleet, no_startup_delay):
        # Guards against an instance that lends and watches for nobody any more because
        # another writer replaced its entry.
        daemon = await start_gateway(fleet, "complete")
        (key,) = daemon.follower.members
        fleet.store.put(key, b"5")
        await fleet.await_true(lambda: key not in daemon.follower.members)
        await fleet.await_true(lambda: key in daemon.follower.members)

    async def test_an_oversized_entry_reaches_the_peers_without_its_value(self, fleet):
        # Guards against a change that fits into no datagram: every instance would
        # watch the store itself from then on.
        watcher = await fleet.add_gateway()
        other = await fleet.add_gateway()
        fleet.store.put("members/malformed", b"[" * 1_000_000)
        revision = fleet.store.revision
        await fleet.await_true(lambda: watcher.follower.revision >= revision)
        await fleet.await_true(lambda: other.follower.revision >= revision)
        response = watcher.follower._handle_request("", ChangesRequest(revision - 1))
        sizes = [
            len(value)
            for key, value, *_ in response.events
            if key == "members/malformed"
        ]
        assert sizes == [0]

    async def test_a_holder_is_replaced_only_after_it_noticed(
        self, fleet, no_startup_delay
    ):
        # Guards against two instances that grant the tokens of one team.
        daemon = await start_gateway(fleet, "complete")
        key = ownership.find_partition_key("museum")
        fleet.store.put(key, b"5")
        malformed_revision = fleet.store.revision
        await fleet.await_true(lambda: daemon.follower.revision >= malformed_revision)
        await asyncio.sleep(0.5)
        assert fleet.store.values[key][0].value == b"5"


class TestStoredForms:
    def test_what_is_written_is_read_again(self):
        # Guards against members that their own fleet does not accept.
        member = stored_forms.decode_member(
            StoredValue("m", b'["10.0.0.1:1", "a", 1000]', 3)
        ).ok
        assert json.loads(stored_forms.encode_member(member)) == [
            "10.0.0.1:1",
            "a",
            1000,
        ]
        value = stored_forms.encode_holder("10.0.0.1:1", "inc")
        stored = StoredValue("limits/1", value, 4)
        holder = PartitionHolder("10.0.0.1:1", "inc", 4)
        assert stored_forms.decode_holder(stored).ok == holder


@contextmanager
def create_transport(errors: UnexpectedErrors) -> Iterator[PeerTransport]:
    """Return the transport of one instance on loopback."""
    with create_datagram_socket(Endpoint("127.0.0.1", 0)) as listener:
        yield PeerTransport(listener, [TokenRequest], Random(1), errors)


class TestPeerTransport:
    async def test_a_failing_handler_ends_only_its_message(self):
        # Guards against a peer whose message stops an instance from hearing others.
        handled = []

        def handle(sender, request):
            handled.append(request)
            if request.wait_seconds == 1.0:
                raise ZeroDivisionError

        errors = UnexpectedErrors()
        with create_transport(errors) as peers:
            peers.register(TokenRequest, handle)
            for wait_seconds in (1.0, 2.0):
                message = Codec([TokenRequest]).encode(TokenRequest("t", wait_seconds))
                data = Codec([Tell]).encode(Tell(message))
                peers._receive(data, ("127.0.0.1", 9))
        assert len(handled) == 2
        assert errors.counts == {"message of a peer": 1}

    async def test_a_message_to_an_invalid_address_is_dropped(self):
        # Guards against an error in the task that sends to all members.
        errors = UnexpectedErrors()
        with create_transport(errors) as peers:
            await peers.start()
            for address in ("10.0.0.1:99999", "", "nowhere:1"):
                assert not isinstance(parse_address(address), SocketAddress)
                peers.send(address, TokenRequest("t", 1.0))
            await peers.stop()
