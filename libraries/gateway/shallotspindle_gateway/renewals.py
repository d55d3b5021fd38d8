"""Renews leases for neighbours that the store turns away.

The store may refuse single instances while it serves the others. Such an instance asks
its neighbours to renew its lease, so that it keeps its membership and its rights. It
counts the renewal from its own question, which is earlier than the call at the store.
"""

import asyncio

from absl import logging
from expression import Result

from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.messages import RenewalRequest, RenewalResponse
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.storage import LeaseEnded, Store

RESPONSE_TIMEOUT_SECONDS = 0.3
NEIGHBOURS_ASKED = 2


class PeerRenewals:
    """Asks neighbours for renewals, and renews for them."""

    def __init__(
        self, store: Store, follower: StoreFollower, peers: PeerTransport
    ) -> None:
        self._store = store
        self._follower = follower
        self._peers = peers
        self._waiting: dict[int, asyncio.Future[RenewalResponse]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        peers.register(RenewalRequest, self._answer)
        peers.register(RenewalResponse, self._hear)

    async def ask(self, lease: int) -> RenewalResponse | None:
        """Return what the first neighbour heard of the store, or None."""
        told = asyncio.get_running_loop().create_future()
        self._waiting[lease] = told
        for address in self._follower.list_peers_to_ask()[:NEIGHBOURS_ASKED]:
            self._peers.send(address, RenewalRequest(lease))
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                return await told
        except TimeoutError:
            return None
        finally:
            del self._waiting[lease]

    def _answer(self, sender: str, asked: RenewalRequest) -> None:
        task = asyncio.create_task(self._renew(sender, asked.lease))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _renew(self, sender: str, lease: int) -> None:
        match await self._store.renew_lease(lease):
            case Result(tag="ok"):
                logging.info("renewed lease %d for %s", lease, sender)
                self._peers.send(sender, RenewalResponse(lease, has_ended=False))
            case Result(tag="error", error=LeaseEnded()):
                self._peers.send(sender, RenewalResponse(lease, has_ended=True))
            case Result(tag="error", error=failure):
                logging.warning("lease %d of %s: %s", lease, sender, failure)

    def _hear(self, sender: str, told: RenewalResponse) -> None:
        waiting = self._waiting.get(told.lease)
        if waiting is not None and not waiting.done():
            waiting.set_result(told)
