"""Rates of teams over the whole fleet, asked of the instance that holds the right."""

import asyncio
from typing import Any

from shallotspindle_bundles.records import Team
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import TeamName
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.messages import (
    NotHolder,
    TokenDenial,
    TokenGrant,
    TokenRequest,
)
from shallotspindle_gateway.ownership import PartitionOwnership, find_partition_key
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.records import Bounds
from shallotspindle_limits.leased_buckets import Reservation, TeamBuckets
from shallotspindle_limits.records import Limit

RESPONSE_TIMEOUT_SECONDS = 0.1
# A token that comes this soon is waited for instead of refused.
LONGEST_WAIT_SECONDS = 0.15
# A holder that has just taken a right has no tokens yet; what came meanwhile waits.
FRESH_WAIT_SECONDS = 0.6
# A right moves within tens of milliseconds once its lease has ended; a fleet that
# starts anew takes its rights one after the other.
MOVE_SECONDS = 0.6
MOVE_PAUSE_SECONDS = 0.03

Answer = TokenGrant | TokenDenial | NotHolder


class Admission:
    """Gives the tokens of held rights and asks for the others.

    :param bounds: says in which windows rates count.
    """

    def __init__(
        self,
        follower: StoreFollower,
        ownership: PartitionOwnership,
        peers: PeerTransport,
        clock: Clock,
        bounds: Bounds,
    ) -> None:
        self._window = bounds.rate_window_seconds
        self._follower = follower
        self._ownership = ownership
        self._peers = peers
        self._clock = clock
        self._buckets: dict[str, tuple[float, TeamBuckets]] = {}
        peers.register(TokenRequest, self._answer)

    def set_bounds(self, bounds: Bounds) -> None:
        """Take new bounds; buckets in use keep their window until the right moves."""
        self._window = bounds.rate_window_seconds

    async def acquire(self, team: Team, seconds: float) -> Answer:
        """Take one token of a team and wait until it may be used.

        :param seconds: time that is left for the request.
        """
        if team.rate <= 0:
            return TokenGrant(0.0)
        until = self._clock.boottime() + min(MOVE_SECONDS, seconds)
        while True:
            answer = await self._ask(self._build_question(team, seconds))
            if isinstance(answer, TokenGrant):
                await asyncio.sleep(answer.wait_seconds)
                return answer
            if isinstance(answer, TokenDenial) or self._clock.boottime() >= until:
                return answer
            await asyncio.sleep(MOVE_PAUSE_SECONDS)

    @staticmethod
    def _build_question(team: Team, seconds: float) -> TokenRequest:
        """Return the question of a request with some seconds left."""
        fresh_wait = min(FRESH_WAIT_SECONDS, seconds / 2)
        return TokenRequest(team.name, LONGEST_WAIT_SECONDS, fresh_wait)

    async def _ask(self, asked: TokenRequest) -> Answer:
        holder = self._ownership.find_holder(find_partition_key(asked.team))
        if holder is None:
            return NotHolder()
        if holder == self._peers.address:
            return self._take(asked)
        answer = await self._peers.request(holder, asked, RESPONSE_TIMEOUT_SECONDS)
        if isinstance(answer, TokenGrant | TokenDenial):
            return answer
        return NotHolder()

    def _answer(self, sender: str, asked: TokenRequest) -> Any:
        return self._take(asked)

    def _take(self, asked: TokenRequest) -> Answer:
        team = self._follower.deployment.bundle.teams.get(TeamName(asked.team))
        now = self._clock.boottime()
        right = find_partition_key(asked.team)
        since = self._ownership.find_held_since(right, now)
        if team is None or since is None:
            return NotHolder()
        held = self._buckets.get(right)
        if held is None or held[0] != since:
            held = self._buckets[right] = (since, TeamBuckets(since, self._window))
        limit = Limit(team.rate, team.burst)
        taken = held[1].take(
            team.name, limit, asked.wait_seconds, now, asked.new_holder_wait_seconds
        )
        if isinstance(taken, Reservation):
            return TokenGrant(taken.wait_seconds)
        return TokenDenial(taken.retry_after)
