"""Renews leases for peers that the store rejects.

The store may reject single instances while it serves the others. Such an instance asks
its peers to renew its lease, so that it keeps its membership and its partitions. It
counts the renewal from the sending of its own request, which is earlier than the peer's
call to the store.
"""

import asyncio
from dataclasses import dataclass

from absl import logging
from expression import Result

from shallotspindle_core.randomness import RandomSource
from shallotspindle_gateway import request_numbers
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.messages import RenewalRequest, RenewalResponse
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.storage import LeaseEnded, Store

RESPONSE_TIMEOUT_SECONDS = 0.3
MAX_PEERS_ASKED = 2


@dataclass(frozen=True, slots=True)
class PendingRenewal:
    """A renewal that no peer has responded to.

    :param peers: addresses of the peers that were asked.
    """

    number: int
    lease_id: int
    peers: tuple[str, ...]
    response: asyncio.Future[RenewalResponse]

    def matches(self, sender: str, response: RenewalResponse) -> bool:
        """Return whether a response belongs to this request.

        The response to an earlier request tells of an earlier renewal, which does not
        extend the lease as far. Releases up to e96edb3 do not tell the number.
        """
        return (
            sender in self.peers
            and response.lease_id == self.lease_id
            and response.number in (self.number, 0)
            and not self.response.done()
        )


class PeerRenewals:
    """Asks peers to renew this instance's lease, and renews those of peers.

    :param random: must differ from process to process.
    """

    def __init__(
        self,
        store: Store,
        follower: StoreFollower,
        peers: PeerTransport,
        random: RandomSource,
    ) -> None:
        self._store = store
        self._follower = follower
        self._peers = peers
        self._request_numbers = request_numbers.count_from_random(random)
        # The only task that asks waits for a response before it asks again.
        self._pending: PendingRenewal | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        peers.register(RenewalRequest, self._handle_request)
        peers.register(RenewalResponse, self._handle_response)

    async def request_renewal(
        self, lease_id: int, era: int = 0
    ) -> RenewalResponse | None:
        """Return the response of the first peer, or None if none responds in time.

        :param era: era of the store in which the lease was granted.
        """
        number = next(self._request_numbers)
        response = asyncio.get_running_loop().create_future()
        asked = tuple(self._follower.roster.list_peers_to_ask()[:MAX_PEERS_ASKED])
        self._pending = PendingRenewal(number, lease_id, asked, response)
        for address in asked:
            self._peers.send(address, RenewalRequest(lease_id, number, era))
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                return await response
        except TimeoutError:
            return None
        finally:
            self._pending = None

    def _handle_request(self, sender: str, request: RenewalRequest) -> None:
        task = asyncio.create_task(self._renew(sender, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _renew(self, sender: str, request: RenewalRequest) -> None:
        lease_id = request.lease_id
        if self._is_outdated(request):
            self._respond(sender, request, has_ended=True)
            return
        match await self._store.renew_lease(lease_id):
            case Result(tag="ok"):
                logging.info("renewed lease %d for %s", lease_id, sender)
                self._respond(sender, request, has_ended=self._is_outdated(request))
            case Result(tag="error", error=LeaseEnded()):
                self._respond(sender, request, has_ended=True)
            case Result(tag="error", error=failure):
                logging.warning(
                    "could not renew lease %d for %s: %s", lease_id, sender, failure
                )

    def _is_outdated(self, request: RenewalRequest) -> bool:
        """Return whether the store may have granted the id to another instance."""
        return request.era is not None and self._store.era > request.era

    def _respond(self, sender: str, request: RenewalRequest, has_ended: bool) -> None:
        response = RenewalResponse(
            request.lease_id, has_ended, request.number, self._store.era
        )
        self._peers.send(sender, response)

    def _handle_response(self, sender: str, response: RenewalResponse) -> None:
        if self._pending is not None and self._pending.matches(sender, response):
            self._pending.response.set_result(response)
