"""Responses of peers that contain changes of the store."""

from dataclasses import dataclass

from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_gateway import transfers
from shallotspindle_gateway.messages import (
    ChangesOffer,
    ChangesRequest,
    ChangesResponse,
    ViewRequest,
)
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.storage import Changes, Snapshot, StoredValue

RESPONSE_TIMEOUT_SECONDS = 0.1
# Age of the last response of the store from which a watcher counts as stale. A change
# must be active within two seconds, also if the watcher loses the store right after a
# response.
MAX_STORE_RESPONSE_AGE_SECONDS = 1.2


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """A response of a peer that contains its changes.

    :param sender: address of the peer.
    :param sent_at: when the request was sent, as boot-time in seconds.
    :param is_view: whether the events are all values of the store.
    """

    response: ChangesResponse
    sender: str
    sent_at: float
    is_view: bool = False

    def read_changes(self) -> Changes:
        """Return the changes in the form of the store."""
        events = tuple(
            key if is_removed else StoredValue(key, value, revision)
            for key, value, revision, is_removed in self.response.events
        )
        return Changes(events, self.response.revision, self.response.era)

    def read_snapshot(self) -> Snapshot:
        """Return all values in the form of the store."""
        values = tuple(
            event for event in self.read_changes().events if not isinstance(event, str)
        )
        return Snapshot(values, self.response.revision, self.response.era)


def is_fresh(response: ChangesResponse) -> bool:
    """Return whether a peer learns of changes soon enough to rely on it alone."""
    return (
        not response.is_store_failing
        and response.store_response_age_seconds <= MAX_STORE_RESPONSE_AGE_SECONDS
    )


async def ask_peer(
    peers: PeerTransport,
    clock: Clock,
    address: str,
    request: ChangesRequest | ViewRequest,
) -> ReceivedResponse | None:
    """Send a request and fetch what the peer offers in place of a response."""
    sent_at = clock.boottime()
    response = await peers.request(address, request, RESPONSE_TIMEOUT_SECONDS)
    if isinstance(response, ChangesResponse):
        return ReceivedResponse(response, address, sent_at)
    if not isinstance(response, ChangesOffer):
        return None
    is_view = isinstance(request, ViewRequest)
    if response.since != (0 if is_view else request.revision):
        logging.warning("ignored changes of a peer that were not asked for")
        return None
    fetched = await transfers.fetch_response(peers, address, response)
    if fetched.is_error():
        logging.warning("could not fetch changes from a peer: %s", fetched.error)
        return None
    return ReceivedResponse(fetched.ok, address, sent_at, is_view)
