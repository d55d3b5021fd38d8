import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from expression import Ok

from shallotspindle_gateway.messages import RenewalRequest, RenewalResponse
from shallotspindle_gateway.renewals import PeerRenewals

PEER = "10.0.0.2:1"
LEASE = 7


class FakePeers:
    """Peers whose responses are sent by the test."""

    def __init__(self) -> None:
        self.sent: list[RenewalRequest] = []
        self.handlers: dict = {}

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, address, message):
        self.sent.append(message)

    def respond(self, response: RenewalResponse, sender: str = PEER) -> None:
        self.handlers[RenewalResponse](sender, response)


def build_renewals(peers: FakePeers) -> PeerRenewals:
    roster = SimpleNamespace(list_peers_to_ask=lambda: [PEER])
    return PeerRenewals(None, SimpleNamespace(roster=roster), peers, Random(1))


async def ask(renewals: PeerRenewals, peers: FakePeers) -> asyncio.Task:
    sent = len(peers.sent)
    task = asyncio.create_task(renewals.request_renewal(LEASE))
    while len(peers.sent) == sent:
        await asyncio.sleep(0)
    return task


class TestLateResponses:
    # Guards against two holders of a partition: a renewal counted from the sending of
    # a later request seems to last longer than the lease does at the store.

    async def test_the_response_to_an_earlier_request_is_ignored(self):
        peers = FakePeers()
        renewals = build_renewals(peers)
        assert await (await ask(renewals, peers)) is None
        earlier, waiting = peers.sent[0], await ask(renewals, peers)
        peers.respond(RenewalResponse(LEASE, False, earlier.number))
        assert await waiting is None

    @pytest.mark.parametrize("number", [0, None])
    async def test_the_response_of_a_peer_that_was_not_asked_is_ignored(self, number):
        # Guards against a lease that counts as renewed, or as ended, although nobody
        # who was asked called the store.
        peers = FakePeers()
        waiting = await ask(build_renewals(peers), peers)
        if number is None:
            number = peers.sent[0].number
        peers.respond(RenewalResponse(LEASE, False, number), "10.0.0.3:1")
        assert await waiting is None

    async def test_the_response_to_the_request_is_used(self):
        peers = FakePeers()
        waiting = await ask(build_renewals(peers), peers)
        response = RenewalResponse(LEASE, False, peers.sent[0].number)
        peers.respond(response)
        assert await waiting == response

    async def test_the_response_of_an_earlier_release_is_used(self):
        # Guards against instances that lose their leases while a fleet is replaced.
        peers = FakePeers()
        waiting = await ask(build_renewals(peers), peers)
        peers.respond(RenewalResponse(LEASE, has_ended=False))
        assert (await waiting).has_ended is False


class TestEras:
    @pytest.mark.parametrize(
        ("lease_era", "store_eras", "has_ended", "calls"),
        [(0, (1, 1), True, 0), (0, (0, 1), True, 1), (None, (1, 1), False, 1)],
    )
    async def test_a_lease_of_an_earlier_era_has_ended(
        self, lease_era, store_eras, has_ended, calls
    ):
        # Guards against the renewal of another instance's lease that has the same id.
        # Builds that state no era are served as before.
        renewed = []

        async def renew_lease(lease):
            store.era = store_eras[1]
            renewed.append(lease)
            return Ok(None)

        store = SimpleNamespace(era=store_eras[0], renew_lease=renew_lease)
        peers = FakePeers()
        renewals = PeerRenewals(store, None, peers, Random(1))
        await renewals._renew(PEER, RenewalRequest(LEASE, 5, lease_era))
        assert peers.sent == [RenewalResponse(LEASE, has_ended, 5, 1)]
        assert len(renewed) == calls
