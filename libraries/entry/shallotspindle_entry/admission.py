"""Task that enforces the rate limits of teams over the whole fleet.

It owns the token buckets of the shares that this instance holds, the prefetched tokens
and what is known of other holders. Before a held share grants a token, the ownership of
its partition and the freshness of this instance are checked without an await in
between.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from absl import logging

from shallotspindle_bundles.records import Bundle
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import Incarnation, Instance, TeamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry.interfaces import (
    Admitted,
    Freshness,
    LimitExceeded,
    LimitUnavailable,
    PartitionGained,
    PartitionLost,
    PartitionOwnership,
    PeerMessaging,
)
from shallotspindle_entry.tasks import InboxTask
from shallotspindle_limits import shares
from shallotspindle_limits.held_shares import HeldShares, NoTeamLimits, TeamLimits
from shallotspindle_limits.records import (
    Limit,
    NotHolder,
    PartitionState,
    TokenDenial,
    TokenGrant,
    TokenRequest,
)
from shallotspindle_limits.requesters import TokenRequester
from shallotspindle_wire.codec import Codec

STATE_NAME = "admission"
# Long enough for a round trip to another region.
HOLDER_TIMEOUT_SECONDS = 0.25
# For this time after a holder failed to respond, its shares are asked last.
UNRESPONSIVE_SECONDS = 2.0
STATE_CODEC = Codec([PartitionState])

AdmissionResult = Admitted | LimitExceeded | LimitUnavailable
TokenResponse = TokenGrant | TokenDenial | NotHolder


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Asks for a token for a request that arrived; starts an acquisition.

    The reply is an ``AdmissionResult``, or a plan if other instances must be asked.
    """

    team: TeamName


@dataclass(frozen=True, slots=True)
class AcquisitionPlan:
    """Shares of other instances that are asked one after the other.

    :param remote_shares: indexes of shares with their holders, in the order of asking.
    :param demand_per_second: estimated requests per second of the team here.
    :param retry_delays: seconds until this instance's own shares expect a token.
    """

    remote_shares: tuple[tuple[int, Instance], ...]
    demand_per_second: float
    retry_delays: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TokenRequestReceived:
    """Another instance asks for a token."""

    request: TokenRequest


@dataclass(frozen=True, slots=True)
class HolderResponded:
    """A holder responded, or failed to.

    :param response: the holder's response, or the failure of the request.
    :param sent_at: boot-time in seconds at which the request was sent.
    """

    team: TeamName
    share_index: int
    holder: Instance
    response: Any
    sent_at: float


@dataclass(frozen=True, slots=True)
class AllSharesFailed:
    """None of the shares that were asked granted a token.

    :param retry_delays: seconds until the shares that were asked expect a token.
    """

    team: TeamName
    retry_delays: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """A bundle became active.

    :param changed_teams: teams whose limits differ; None for all teams.
    """

    limits: TeamLimits
    changed_teams: frozenset[TeamName] | None


@dataclass(frozen=True, slots=True)
class BundleLimits:
    """Rate limits of the teams in a bundle; implements ``TeamLimits``."""

    bundle: Bundle

    def find_limit(self, team: TeamName) -> Limit | None:
        record = self.bundle.teams.get(team)
        return None if record is None else Limit(record.rate, record.burst)


def find_changed_teams(old_bundle: Bundle, new_bundle: Bundle) -> frozenset[TeamName]:
    """Return the teams whose limits differ between two bundles.

    Comparing 37,000 teams takes milliseconds. The function is safe to run outside the
    event loop.
    """
    old_limits, new_limits = BundleLimits(old_bundle), BundleLimits(new_bundle)
    names = old_bundle.teams.keys() | new_bundle.teams.keys()
    return frozenset(
        name
        for name in names
        if old_limits.find_limit(name) != new_limits.find_limit(name)
    )


class AdmissionTask(InboxTask):
    """Consumes tokens for requests and grants tokens to other instances.

    Implements ``Admission``.
    """

    def __init__(
        self,
        own_instance: Instance,
        peers: PeerMessaging,
        ownership: PartitionOwnership,
        freshness: Freshness,
        clock: Clock,
        random: RandomSource,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own_instance = own_instance
        self._peers = peers
        self._ownership = ownership
        self._freshness = freshness
        self._limits: TeamLimits = NoTeamLimits()
        self._clock = clock
        self._random = random
        self._held_shares = HeldShares()
        self._requester = TokenRequester()
        self._unresponsive_until: dict[Incarnation, float] = {}
        self._handlers = {
            RequestArrived: self._start_acquisition,
            TokenRequestReceived: self._handle_token_request,
            HolderResponded: self._record_response,
            AllSharesFailed: self._build_refusal,
            LimitsChanged: self._set_limits,
            PartitionGained: self._add_partition,
            PartitionLost: self._remove_partition,
        }

    async def prepare(self) -> None:
        self._peers.register(TokenRequest, self._receive_token_request)

    async def handle(self, message: Any) -> Any:
        return self._handlers[type(message)](message)

    def update_limits(
        self, limits: TeamLimits, changed_teams: Iterable[TeamName] | None
    ) -> None:
        """Apply the limits of a bundle that became active.

        :param changed_teams: teams whose limits differ from the previous bundle; None
            for the first bundle of this instance.
        """
        names = None if changed_teams is None else frozenset(changed_teams)
        self.tell(LimitsChanged(limits, names))

    async def acquire(self, team: TeamName, deadline: float) -> AdmissionResult:
        plan = await self.ask(RequestArrived(team))
        if not isinstance(plan, AcquisitionPlan):
            return plan
        retry_delays = list(plan.retry_delays)
        for share_index, holder in plan.remote_shares:
            response = await self._request_token(
                team, share_index, holder, plan.demand_per_second, deadline
            )
            if isinstance(response, Admitted):
                return response
            if isinstance(response, TokenDenial):
                retry_delays.append(response.retry_after)
        return await self.ask(AllSharesFailed(team, tuple(retry_delays)))

    async def _request_token(
        self,
        team: TeamName,
        share_index: int,
        holder: Instance,
        demand_per_second: float,
        deadline: float,
    ) -> Any:
        sent_at = self._clock.boottime()
        timeout = min(HOLDER_TIMEOUT_SECONDS, deadline - sent_at)
        if timeout <= 0:
            return None
        message = TokenRequest(team, share_index, demand_per_second)
        response = await self._peers.request(holder, message, timeout)
        return await self.ask(
            HolderResponded(team, share_index, holder, response, sent_at)
        )

    async def _receive_token_request(
        self, sender: Instance, message: TokenRequest
    ) -> TokenResponse:
        return await self.ask(TokenRequestReceived(message))

    def _start_acquisition(
        self, message: RequestArrived
    ) -> AdmissionResult | AcquisitionPlan:
        team, now = message.team, self._clock.boottime()
        limit = self._limits.find_limit(team)
        if limit is None:
            return LimitUnavailable(
                "admission", "the team is not in the active bundle", team
            )
        if self._requester.admit_prefetched(team, now):
            return Admitted()
        share_count = shares.count_shares(limit)
        holders = [
            self._find_holder(team, share_index) for share_index in range(share_count)
        ]
        shares_to_ask = self._requester.choose_shares(
            team,
            share_count,
            lambda index: self._rank_holder(holders[index], now),
            self._random,
            now,
        )
        return self._try_own_shares(
            team,
            [(share_index, holders[share_index]) for share_index in shares_to_ask],
            now,
        )

    def _find_holder(self, team: TeamName, share_index: int) -> Instance | None:
        return self._ownership.find_holder(
            shares.find_share_partition(team, share_index)
        )

    def _rank_holder(self, holder: Instance | None, now: float) -> int:
        if holder is None:
            return 3
        if holder == self._own_instance:
            return 0
        return 2 if self._unresponsive_until.get(holder.incarnation, now) > now else 1

    def _try_own_shares(
        self,
        team: TeamName,
        shares_to_ask: list[tuple[int, Instance | None]],
        now: float,
    ) -> AdmissionResult | AcquisitionPlan:
        demand_per_second = self._requester.estimate_demand(team)
        retry_delays = []
        for share_index, holder in shares_to_ask:
            if holder != self._own_instance:
                continue
            response = self._take_token(
                team, share_index, demand_per_second, False, now
            )
            if isinstance(response, TokenGrant):
                return Admitted()
            if isinstance(response, TokenDenial):
                self._requester.record_denial(team, share_index, response, now)
                retry_delays.append(response.retry_after)
        remote_shares = [
            share
            for share in shares_to_ask
            if share[1] not in (None, self._own_instance)
        ]
        return AcquisitionPlan(
            tuple(remote_shares), demand_per_second, tuple(retry_delays)
        )

    def _take_token(
        self,
        team: TeamName,
        share_index: int,
        demand_per_second: float,
        may_prefetch: bool,
        now: float,
    ) -> TokenResponse:
        partition = shares.find_share_partition(team, share_index)
        if not self._ownership.may_act(partition, now):
            return NotHolder()
        if not self._freshness.is_fresh(now):
            return NotHolder()
        return self._held_shares.take(
            team, share_index, demand_per_second, may_prefetch, now
        )

    def _handle_token_request(self, message: TokenRequestReceived) -> TokenResponse:
        request = message.request
        now = self._clock.boottime()
        return self._take_token(request.team, request.index, request.demand, True, now)

    def _record_response(
        self, message: HolderResponded
    ) -> Admitted | TokenDenial | None:
        now = self._clock.boottime()
        team, response = message.team, message.response
        match response:
            case TokenGrant():
                is_valid = self._requester.record_grant(
                    team, response, message.sent_at, now
                )
                return Admitted() if is_valid else None
            case TokenDenial():
                self._requester.record_denial(
                    team, message.share_index, response, message.sent_at
                )
                return response
            case NotHolder():
                return None
        self._mark_unresponsive(message.holder, now)
        return None

    def _mark_unresponsive(self, holder: Instance, now: float) -> None:
        self._unresponsive_until = {
            name: at for name, at in self._unresponsive_until.items() if at > now
        }
        self._unresponsive_until[holder.incarnation] = now + UNRESPONSIVE_SECONDS

    def _build_refusal(
        self, message: AllSharesFailed
    ) -> LimitExceeded | LimitUnavailable:
        team, now = message.team, self._clock.boottime()
        limit = self._limits.find_limit(team)
        share_count = shares.count_shares(limit) if limit is not None else 0
        known_delay = self._requester.find_retry_after(team, share_count, now)
        retry_delays = [
            *message.retry_delays,
            *([] if known_delay is None else [known_delay]),
        ]
        if retry_delays:
            text = "the team has no tokens left"
            return LimitExceeded("admission", text, team, min(retry_delays))
        text = "no holder of the team's shares is reachable"
        return LimitUnavailable("admission", text, team)

    def _set_limits(self, message: LimitsChanged) -> None:
        self._limits = message.limits
        now = self._clock.boottime()
        self._held_shares.set_limits(message.limits, message.changed_teams, now)

    def _add_partition(self, message: PartitionGained) -> None:
        state = None if message.is_takeover else self._decode_state(message)
        now = self._clock.boottime()
        self._held_shares.add_partition(message.partition, message.epoch, state, now)

    @staticmethod
    def _decode_state(message: PartitionGained) -> PartitionState | None:
        data = dict(message.states).get(STATE_NAME)
        if data is None:
            return None
        decoded = STATE_CODEC.decode(data)
        if decoded.is_error():
            partition = message.partition
            logging.warning(
                "the handed-over token buckets of partition %d cannot be decoded and "
                "count as lost: %s",
                partition,
                decoded.error,
            )
            return None
        return decoded.ok

    def _remove_partition(self, message: PartitionLost) -> bytes:
        state = self._held_shares.remove_partition(
            message.partition, self._clock.boottime()
        )
        return STATE_CODEC.encode(state)
