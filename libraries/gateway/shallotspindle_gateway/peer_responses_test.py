import pytest

from shallotspindle_environment.clock import SystemClock
from shallotspindle_gateway import peer_responses
from shallotspindle_gateway.messages import (
    ChangesOffer,
    ChangesRequest,
    ChangesResponse,
    ViewRequest,
)


class OfferingPeers:
    """Peers that offer changes without events, which begin at a given revision."""

    def __init__(self, since):
        self._since = since

    async def request(self, address, message, timeout):
        if isinstance(message, ChangesRequest | ViewRequest):
            return ChangesOffer(self._since, ChangesResponse(9, 0.1, 0.1), 0)
        return None


class TestOffers:
    @pytest.mark.parametrize(
        ("request_message", "since"),
        [(ChangesRequest(5), 0), (ChangesRequest(5), 4), (ViewRequest(5), 5)],
    )
    async def test_an_offer_that_was_not_asked_for_is_not_fetched(
        self, monkeypatch, request_message, since
    ):
        # Guards against changes that are taken for all values, which would remove
        # every other entry.
        fetched = []
        monkeypatch.setattr(
            peer_responses.transfers, "fetch_response", lambda *a: fetched.append(a)
        )
        received = await peer_responses.ask_peer(
            OfferingPeers(since), SystemClock(), "p:1", request_message
        )
        assert received is None
        assert fetched == []
