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

ANSWER_SECONDS = 0.1
# A token that comes this soon is waited for instead of refused.
LONGEST_WAIT_SECONDS = 0.15
# A holder that has just taken a right has no tokens yet; what came meanwhile waits.
FRESH_WAIT_SECONDS = 0.6
# A right moves within tens of milliseconds once its lease has ended; a fleet that
# starts anew takes its rights one after the other.
MOVE_SECONDS = 0.6
MOVE_PAUSE_SECONDS = 0.03

Answer = TokenGiven | TokenDenied | NotHolder


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
        self._window = bounds.rate_window_seconds
        self._follower = follower
        self._rights = rights
        self._peers = peers
        self._clock = clock
        self._buckets: dict[str, tuple[float, TeamBuckets]] = {}
        peers.register(TokenAsked, self._answer)

    def set_bounds(self, bounds: Bounds) -> None:
        """Take new bounds; buckets in use keep their window until the right moves."""
        self._window = bounds.rate_window_seconds

    async def acquire(self, team: Team, seconds: float) -> Answer:
        """Take one token of a team and wait until it may be used.

        :param seconds: time that is left for the request.
        """
        if team.rate <= 0:
            return TokenGiven(0.0)
        until = self._clock.boottime() + min(MOVE_SECONDS, seconds)
        while True:
            answer = await self._ask(self._build_question(team, seconds))
            if isinstance(answer, TokenGiven):
                await asyncio.sleep(answer.after_seconds)
                return answer
            if isinstance(answer, TokenDenied) or self._clock.boottime() >= until:
                return answer
            await asyncio.sleep(MOVE_PAUSE_SECONDS)

    @staticmethod
    def _build_question(team: Team, seconds: float) -> TokenAsked:
        """Return the question of a request with some seconds left."""
        fresh_wait = min(FRESH_WAIT_SECONDS, seconds / 2)
        return TokenAsked(team.name, LONGEST_WAIT_SECONDS, fresh_wait)

    async def _ask(self, asked: TokenAsked) -> Answer:
        holder = self._rights.find_holder(name_right(asked.team))
        if holder is None:
            return NotHolder()
        if holder == self._peers.address:
            return self._take(asked)
        answer = await self._peers.request(holder, asked, ANSWER_SECONDS)
        if isinstance(answer, TokenGiven | TokenDenied):
            return answer
        return NotHolder()

    def _answer(self, sender: str, asked: TokenAsked) -> Any:
        return self._take(asked)

    def _take(self, asked: TokenAsked) -> Answer:
        team = self._follower.deployment.bundle.teams.get(TeamName(asked.team))
        now = self._clock.boottime()
        right = name_right(asked.team)
        since = self._rights.find_gained(right, now)
        if team is None or since is None:
            return NotHolder()
        held = self._buckets.get(right)
        if held is None or held[0] != since:
            held = self._buckets[right] = (since, TeamBuckets(since, self._window))
        limit = Limit(team.rate, team.burst)
        taken = held[1].take(
            team.name, limit, asked.wait_seconds, now, asked.fresh_wait_seconds
        )
        if isinstance(taken, Reservation):
            return TokenGiven(taken.wait_seconds)
        return TokenDenied(taken.retry_after)
