"""Fleet-wide rate limits of teams.

The tokens of a team are granted by the instance that holds the team's partition.
"""

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
from shallotspindle_limits import waits
from shallotspindle_limits.leased_buckets import Exhausted, Reservation, TeamBuckets
from shallotspindle_limits.records import Limit

RESPONSE_TIMEOUT_SECONDS = 0.1
# A new holder of a partition starts without tokens. Requests that arrived during
# the change wait up to this time for their token.
NEW_HOLDER_WAIT_SECONDS = 0.6
# For how long a token request is retried while no holder is known. A partition is
# acquired within tens of milliseconds after its lease has ended; a fleet that starts
# anew acquires its partitions one after the other.
HOLDER_CHANGE_SECONDS = 0.6
RETRY_PAUSE_SECONDS = 0.03

TokenResult = TokenGrant | TokenDenial | NotHolder


class Admission:
    """Grants the tokens of held partitions and requests those of the others.

    :param bounds: contains the window over which rates are measured.
    """

    def __init__(
        self,
        follower: StoreFollower,
        ownership: PartitionOwnership,
        peers: PeerTransport,
        clock: Clock,
        bounds: Bounds,
    ) -> None:
        self._window_seconds = bounds.rate_window_seconds
        self._follower = follower
        self._ownership = ownership
        self._peers = peers
        self._clock = clock
        self._buckets: dict[str, tuple[float, TeamBuckets]] = {}
        peers.register(TokenRequest, self._handle_request)

    @property
    def reserved_until(self) -> float:
        """When the last token that this instance granted is due, as boot-time."""
        return max(
            (buckets.reserved_until for _, buckets in self._buckets.values()),
            default=float("-inf"),
        )

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new bounds; buckets keep their window until their holder changes."""
        self._window_seconds = bounds.rate_window_seconds

    async def acquire(
        self, team: Team, objective_seconds: float, remaining_seconds: float
    ) -> TokenResult:
        """Take one token of a team and wait until it may be used.

        :param objective_seconds: time until the request misses its latency objective.
        :param remaining_seconds: time until the deadline of the caller's request.
        """
        if team.rate <= 0:
            return TokenGrant(0.0)
        retry_until = self._clock.boottime() + min(
            HOLDER_CHANGE_SECONDS, remaining_seconds
        )
        while True:
            result = await self._request_token(
                self._build_request(team, objective_seconds, remaining_seconds)
            )
            if isinstance(result, TokenGrant):
                await asyncio.sleep(result.wait_seconds)
                return result
            if isinstance(result, TokenDenial) or self._clock.boottime() >= retry_until:
                return result
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    @staticmethod
    def _build_request(
        team: Team, objective_seconds: float, remaining_seconds: float
    ) -> TokenRequest:
        """Build the request; a new holder may delay it for half the remaining time."""
        max_wait = waits.compute_max_wait(objective_seconds, remaining_seconds)
        new_holder_wait = min(NEW_HOLDER_WAIT_SECONDS, remaining_seconds / 2)
        return TokenRequest(team.name, max_wait, new_holder_wait)

    async def _request_token(self, request: TokenRequest) -> TokenResult:
        holder = self._ownership.find_holder(find_partition_key(request.team))
        if holder is None:
            return NotHolder()
        if holder == self._peers.address:
            return self._take_token(request)
        result = await self._peers.request(holder, request, RESPONSE_TIMEOUT_SECONDS)
        if isinstance(result, TokenGrant | TokenDenial):
            return result
        return NotHolder()

    def _handle_request(self, sender: str, request: TokenRequest) -> Any:
        return self._take_token(request)

    def _take_token(self, request: TokenRequest) -> TokenResult:
        team = self._follower.configuration.bundle.teams.get(TeamName(request.team))
        now = self._clock.boottime()
        partition_key = find_partition_key(request.team)
        since = self._ownership.find_held_since(partition_key, now)
        if team is None or since is None:
            return NotHolder()
        entry = self._buckets.get(partition_key)
        if entry is None or entry[0] != since:
            entry = self._buckets[partition_key] = (
                since,
                TeamBuckets(since, self._window_seconds),
            )
        limit = Limit(team.rate, team.burst)
        decision = entry[1].take(
            team.name,
            limit,
            request.wait_seconds,
            now,
            request.new_holder_wait_seconds,
            self._ownership.acts_until,
        )
        match decision:
            case Reservation(wait_seconds=wait_seconds):
                return TokenGrant(wait_seconds)
            case Exhausted(retry_after=retry_after):
                return TokenDenial(retry_after)
        return NotHolder()
