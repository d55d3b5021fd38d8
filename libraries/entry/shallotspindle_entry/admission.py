"""Task that owns token buckets, prepaid grants and what holders answered.

A held share gives tokens only if the right to act for its partition and the freshness
of this instance are checked in the same step.
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
# Enough for the way to another region and back.
ATTEMPT_SECONDS = 0.25
# Shares of a holder that did not answer are asked last for this time.
SILENT_SECONDS = 2.0
STATE_CODEC = Codec([PartitionState])

Answer = Admitted | LimitExceeded | LimitUnavailable
TakeAnswer = TokenGrant | TokenDenial | NotHolder


@dataclass(frozen=True, slots=True)
class Begin:
    """A request of a team arrived."""

    team: TeamName


@dataclass(frozen=True, slots=True)
class Plan:
    """Shares to ask of other instances.

    :param targets: numbers of shares with their holders, in order.
    :param waits: when own shares expect a token, in seconds from now.
    """

    targets: tuple[tuple[int, Instance], ...]
    demand: float
    waits: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Asked:
    """Another instance asks for a token."""

    message: TokenRequest


@dataclass(frozen=True, slots=True)
class Answered:
    """A holder answered, or ``answer`` is a failure.

    :param sent_at: when the holder was asked, in seconds.
    """

    team: TeamName
    index: int
    holder: Instance
    answer: Any
    sent_at: float


@dataclass(frozen=True, slots=True)
class Conclude:
    """No share gave a token.

    :param waits: when the asked holders expect a token, in seconds from now.
    """

    team: TeamName
    waits: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """A bundle came into force; ``teams`` is None for all teams."""

    limits: TeamLimits
    teams: frozenset[TeamName] | None


@dataclass(frozen=True, slots=True)
class BundleLimits:
    """Limits of the teams of a bundle; implements ``TeamLimits``."""

    bundle: Bundle

    def find_limit(self, team: TeamName) -> Limit | None:
        found = self.bundle.teams.get(team)
        return None if found is None else Limit(found.rate, found.burst)


def find_changed_teams(before: Bundle, after: Bundle) -> frozenset[TeamName]:
    """Return the teams whose limits differ between two bundles.

    The walk over 37,000 teams takes milliseconds; it may run outside the event loop.
    """
    old, new = BundleLimits(before), BundleLimits(after)
    names = before.teams.keys() | after.teams.keys()
    return frozenset(
        name for name in names if old.find_limit(name) != new.find_limit(name)
    )


class AdmissionTask(InboxTask):
    """Rates and bursts of teams; implements ``Admission``.

    :param own: this instance.
    """

    def __init__(
        self,
        own: Instance,
        link: PeerMessaging,
        rights: PartitionOwnership,
        freshness: Freshness,
        clock: Clock,
        random: RandomSource,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own = own
        self._link = link
        self._rights = rights
        self._freshness = freshness
        self._limits: TeamLimits = NoTeamLimits()
        self._clock = clock
        self._random = random
        self._held_shares = HeldShares()
        self._requester = TokenRequester()
        self._silent: dict[Incarnation, float] = {}
        self._actions = {
            Begin: self._begin,
            Asked: self._answer_peer,
            Answered: self._note_answer,
            Conclude: self._conclude,
            LimitsChanged: self._learn,
            PartitionGained: self._gain,
            PartitionLost: self._lose,
        }

    async def prepare(self) -> None:
        self._link.register(TokenRequest, self._receive)

    async def handle(self, message: Any) -> Any:
        return self._actions[type(message)](message)

    def note_bundle(
        self, limits: TeamLimits, changed: Iterable[TeamName] | None
    ) -> None:
        """Report that a bundle came into force.

        :param limits: limits of the bundle.
        :param changed: teams whose limits differ from the bundle before; None for the
            first bundle of this instance.
        """
        teams = None if changed is None else frozenset(changed)
        self.tell(LimitsChanged(limits, teams))

    async def acquire(self, team: TeamName, deadline: float) -> Answer:
        plan = await self.ask(Begin(team))
        if not isinstance(plan, Plan):
            return plan
        waits = list(plan.waits)
        for index, holder in plan.targets:
            answer = await self._ask_holder(team, index, holder, plan.demand, deadline)
            if isinstance(answer, Admitted):
                return answer
            if isinstance(answer, TokenDenial):
                waits.append(answer.retry_after)
        return await self.ask(Conclude(team, tuple(waits)))

    async def _ask_holder(
        self,
        team: TeamName,
        index: int,
        holder: Instance,
        demand: float,
        deadline: float,
    ) -> Any:
        sent_at = self._clock.boottime()
        timeout = min(ATTEMPT_SECONDS, deadline - sent_at)
        if timeout <= 0:
            return None
        message = TokenRequest(team, index, demand)
        answer = await self._link.request(holder, message, timeout)
        return await self.ask(Answered(team, index, holder, answer, sent_at))

    async def _receive(self, sender: Instance, message: TokenRequest) -> TakeAnswer:
        return await self.ask(Asked(message))

    def _begin(self, message: Begin) -> Answer | Plan:
        team, now = message.team, self._clock.boottime()
        limit = self._limits.find_limit(team)
        if limit is None:
            return LimitUnavailable("admission", "the team is not known", team)
        if self._requester.admit_prefetched(team, now):
            return Admitted()
        count = shares.count_shares(limit)
        holders = [self._find_holder(team, index) for index in range(count)]
        order = self._requester.choose_shares(
            team, count, lambda i: self._rank(holders[i], now), self._random, now
        )
        return self._try_own(team, [(index, holders[index]) for index in order], now)

    def _find_holder(self, team: TeamName, index: int) -> Instance | None:
        return self._rights.find_holder(shares.find_share_partition(team, index))

    def _rank(self, holder: Instance | None, now: float) -> int:
        if holder is None:
            return 3
        if holder == self._own:
            return 0
        return 2 if self._silent.get(holder.incarnation, now) > now else 1

    def _try_own(
        self, team: TeamName, order: list[tuple[int, Instance | None]], now: float
    ) -> Answer | Plan:
        demand = self._requester.estimate_demand(team)
        waits = []
        for index, holder in order:
            if holder != self._own:
                continue
            answer = self._take(team, index, demand, False, now)
            if isinstance(answer, TokenGrant):
                return Admitted()
            if isinstance(answer, TokenDenial):
                self._requester.record_denial(team, index, answer, now)
                waits.append(answer.retry_after)
        others = [item for item in order if item[1] not in (None, self._own)]
        return Plan(tuple(others), demand, tuple(waits))

    def _take(
        self, team: TeamName, index: int, demand: float, may_prefetch: bool, now: float
    ) -> TakeAnswer:
        partition = shares.find_share_partition(team, index)
        if not self._rights.may_act(partition, now):
            return NotHolder()
        if not self._freshness.is_fresh(now):
            return NotHolder()
        return self._held_shares.take(team, index, demand, may_prefetch, now)

    def _answer_peer(self, message: Asked) -> TakeAnswer:
        asked = message.message
        now = self._clock.boottime()
        return self._take(asked.team, asked.index, asked.demand, True, now)

    def _note_answer(self, message: Answered) -> Admitted | TokenDenial | None:
        now = self._clock.boottime()
        team, answer = message.team, message.answer
        match answer:
            case TokenGrant():
                is_valid = self._requester.record_grant(
                    team, answer, message.sent_at, now
                )
                return Admitted() if is_valid else None
            case TokenDenial():
                self._requester.record_denial(
                    team, message.index, answer, message.sent_at
                )
                return answer
            case NotHolder():
                return None
        self._note_silent(message.holder, now)
        return None

    def _note_silent(self, holder: Instance, now: float) -> None:
        self._silent = {name: at for name, at in self._silent.items() if at > now}
        self._silent[holder.incarnation] = now + SILENT_SECONDS

    def _conclude(self, message: Conclude) -> LimitExceeded | LimitUnavailable:
        team, now = message.team, self._clock.boottime()
        limit = self._limits.find_limit(team)
        count = shares.count_shares(limit) if limit is not None else 0
        known = self._requester.find_retry_after(team, count, now)
        waits = [*message.waits, *([] if known is None else [known])]
        if waits:
            text = "the team has used its rate and burst"
            return LimitExceeded("admission", text, team, min(waits))
        text = "no holder of the team's shares can be reached"
        return LimitUnavailable("admission", text, team)

    def _learn(self, message: LimitsChanged) -> None:
        self._limits = message.limits
        now = self._clock.boottime()
        self._held_shares.set_limits(message.limits, message.teams, now)

    def _gain(self, message: PartitionGained) -> None:
        state = None if message.is_takeover else self._decode(message)
        now = self._clock.boottime()
        self._held_shares.add_partition(message.partition, message.epoch, state, now)

    @staticmethod
    def _decode(message: PartitionGained) -> PartitionState | None:
        data = dict(message.states).get(STATE_NAME)
        if data is None:
            return None
        decoded = STATE_CODEC.decode(data)
        if decoded.is_error():
            partition = message.partition
            logging.warning("state of partition %d: %s", partition, decoded.error)
            return None
        return decoded.ok

    def _lose(self, message: PartitionLost) -> bytes:
        state = self._held_shares.remove_partition(
            message.partition, self._clock.boottime()
        )
        return STATE_CODEC.encode(state)
