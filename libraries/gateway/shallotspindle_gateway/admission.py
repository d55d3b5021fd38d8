"""Rates of teams over the whole fleet, asked of the instance that holds the right."""

import asyncio
from typing import Any

from shallotspindle_bundles.records import Team
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import TeamName
from shallotspindle_gateway.following import Follower
from shallotspindle_gateway.messages import (
    NotHolder,
    TokenAsked,
    TokenDenied,
    TokenGiven,
)
from shallotspindle_gateway.peers import Peers
from shallotspindle_gateway.records import Bounds
from shallotspindle_gateway.rights import Rights, name_right
from shallotspindle_limits.leased_buckets import Reservation, TeamBuckets
from shallotspindle_limits.records import Limit

RESPONSE_TIMEOUT_SECONDS = 0.1
# A token that comes this soon is waited for instead of refused.
MAX_TOKEN_WAIT_SECONDS = 0.15
# A holder that has just taken a right has no tokens yet; what came meanwhile waits.
NEW_HOLDER_WAIT_SECONDS = 0.6
# A right moves within tens of milliseconds once its lease has ended; a fleet that
# starts anew takes its rights one after the other.
HOLDER_CHANGE_SECONDS = 0.6
RETRY_PAUSE_SECONDS = 0.03

TokenResult = TokenGiven | TokenDenied | NotHolder


class Admission:
    """Gives the tokens of held rights and asks for the others.

    :param bounds: says in which windows rates count.
    """

    def __init__(
        self,
        follower: Follower,
        rights: Rights,
        peers: Peers,
        clock: Clock,
        bounds: Bounds,
    ) -> None:
        self._window_seconds = bounds.rate_window_seconds
        self._follower = follower
        self._rights = rights
        self._peers = peers
        self._clock = clock
        self._buckets: dict[str, tuple[float, TeamBuckets]] = {}
        peers.register(TokenAsked, self._handle_request)

    def set_bounds(self, bounds: Bounds) -> None:
        """Take new bounds; buckets in use keep their window until the right moves."""
        self._window_seconds = bounds.rate_window_seconds

    async def acquire(self, team: Team, remaining_seconds: float) -> TokenResult:
        """Take one token of a team and wait until it may be used.

        :param remaining_seconds: time that is left for the request.
        """
        if team.rate <= 0:
            return TokenGiven(0.0)
        retry_until = self._clock.boottime() + min(
            HOLDER_CHANGE_SECONDS, remaining_seconds
        )
        while True:
            result = await self._request_token(
                self._build_request(team, remaining_seconds)
            )
            if isinstance(result, TokenGiven):
                await asyncio.sleep(result.after_seconds)
                return result
            if isinstance(result, TokenDenied) or self._clock.boottime() >= retry_until:
                return result
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    @staticmethod
    def _build_request(team: Team, remaining_seconds: float) -> TokenAsked:
        """Return the question of a request with some seconds left."""
        new_holder_wait = min(NEW_HOLDER_WAIT_SECONDS, remaining_seconds / 2)
        return TokenAsked(team.name, MAX_TOKEN_WAIT_SECONDS, new_holder_wait)

    async def _request_token(self, request: TokenAsked) -> TokenResult:
        holder = self._rights.find_holder(name_right(request.team))
        if holder is None:
            return NotHolder()
        if holder == self._peers.address:
            return self._take_token(request)
        result = await self._peers.request(holder, request, RESPONSE_TIMEOUT_SECONDS)
        if isinstance(result, TokenGiven | TokenDenied):
            return result
        return NotHolder()

    def _handle_request(self, sender: str, request: TokenAsked) -> Any:
        return self._take_token(request)

    def _take_token(self, request: TokenAsked) -> TokenResult:
        team = self._follower.deployment.bundle.teams.get(TeamName(request.team))
        now = self._clock.boottime()
        right = name_right(request.team)
        since = self._rights.find_gained(right, now)
        if team is None or since is None:
            return NotHolder()
        entry = self._buckets.get(right)
        if entry is None or entry[0] != since:
            entry = self._buckets[right] = (
                since,
                TeamBuckets(since, self._window_seconds),
            )
        limit = Limit(team.rate, team.burst)
        decision = entry[1].take(
            team.name, limit, request.wait_seconds, now, request.fresh_wait_seconds
        )
        if isinstance(decision, Reservation):
            return TokenGiven(decision.wait_seconds)
        return TokenDenied(decision.retry_after)
