"""Renews leases for peers that the store rejects.

The store may reject single instances while it serves the others. Such an instance asks
its peers to renew its lease, so that it keeps its membership and its partitions. It
counts the renewal from the sending of its own request, which is earlier than the peer's
call to the store.
"""

import asyncio

from absl import logging
from expression import Result

from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.messages import RenewalRequest, RenewalResponse
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.storage import LeaseEnded, Store

RESPONSE_TIMEOUT_SECONDS = 0.3
MAX_PEERS_ASKED = 2


class PeerRenewals:
    """Asks peers to renew this instance's lease, and renews those of peers."""

    def __init__(
        self, store: Store, follower: StoreFollower, peers: PeerTransport
    ) -> None:
        self._store = store
        self._follower = follower
        self._peers = peers
        self._pending: dict[int, asyncio.Future[RenewalResponse]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        peers.register(RenewalRequest, self._handle_request)
        peers.register(RenewalResponse, self._handle_response)

    async def request_renewal(self, lease_id: int) -> RenewalResponse | None:
        """Return the response of the first peer, or None if none responds in time."""
        response = asyncio.get_running_loop().create_future()
        self._pending[lease_id] = response
        for address in self._follower.roster.list_peers_to_ask()[:MAX_PEERS_ASKED]:
            self._peers.send(address, RenewalRequest(lease_id))
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                return await response
        except TimeoutError:
            return None
        finally:
            del self._pending[lease_id]

    def _handle_request(self, sender: str, request: RenewalRequest) -> None:
        task = asyncio.create_task(self._renew(sender, request.lease_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _renew(self, sender: str, lease_id: int) -> None:
        match await self._store.renew_lease(lease_id):
            case Result(tag="ok"):
                logging.info("renewed lease %d for %s", lease_id, sender)
                self._peers.send(sender, RenewalResponse(lease_id, has_ended=False))
            case Result(tag="error", error=LeaseEnded()):
                self._peers.send(sender, RenewalResponse(lease_id, has_ended=True))
            case Result(tag="error", error=failure):
                logging.warning(
                    "could not renew lease %d for %s: %s", lease_id, sender, failure
                )

    def _handle_response(self, sender: str, response: RenewalResponse) -> None:
        pending = self._pending.get(response.lease_id)
        if pending is not None and not pending.done():
            pending.set_result(response)
