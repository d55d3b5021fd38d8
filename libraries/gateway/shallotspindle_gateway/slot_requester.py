"""Borrows slots of upstreams for the requests of this instance.

The lenders of the own failure domain are asked first, then those of the others. What
finds no slot waits in the own domain and asks the others again from time to time. An
instance whose lenders are all silent asks its own.
"""

import asyncio
import itertools
from collections.abc import Mapping, Set
from dataclasses import dataclass, replace
from typing import Any

from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_gateway.election import rank_lenders, rank_substitute_lenders
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.peers import PeerTransport, Unanswered
from shallotspindle_gateway.records import Member
from shallotspindle_lending.records import (
    Outcome,
    RefusalReason,
    SlotGrant,
    SlotQueued,
    SlotRefusal,
    SlotRequest,
    SlotReturned,
    UpstreamCrashed,
)

RESPONSE_TIMEOUT_SECONDS = 0.1
# A lender that did not answer is not asked for this time, then twice as long.
SILENT_SECONDS = 1.0
LONGEST_SILENT_SECONDS = 8.0
# A queued question is sent again in case the decision was lost.
REPEAT_SECONDS = 0.2
LENDERS_ASKED = 3
# A domain whose lenders were all silent counts as one without instances for this time.
# Leases show the loss of a domain as late as that; its upstreams would get nothing.
LOST_SECONDS = 3.0
HEDGE_SECONDS = 0.35
# A request waits this long for a slot in its own domain before others are asked; one
# whose body is dear to send to them waits longer.
NEAR_WAIT_SECONDS = 0.05
HEAVY_WAIT_SECONDS = 0.14
# A request that waits in its own domain asks the others again after this time, then
# after twice as long each time: the own upstreams may all hang until its deadline.
FIRST_ROUND_SECONDS = 0.3
# Questions below this wait are answered at once, so that other domains can be asked.
NO_WAIT = 0.0


@dataclass(frozen=True, slots=True)
class SlotRequirements:
    """What a request needs a slot for.

    :param is_retry: whether an upstream got the request before.
    :param is_hedge: whether another send is still on its way.
    :param has_large_body: whether its body is dear to send to another failure domain.
    :param deadline: when the request must be answered, in seconds.
    :param objective_deadline: when its answer is late, in seconds.
    """

    service: ServiceName
    is_idempotent: bool
    is_retry: bool
    priority: int
    has_large_body: bool
    deadline: float
    objective_deadline: float
    fingerprint: int
    route_hash: int
    is_hedge: bool = False
    excluded_upstreams: tuple[UpstreamName, ...] = ()


@dataclass(frozen=True, slots=True)
class AcquiredSlot:
    """A slot with the lender that gets it back.

    :param lender: address; empty when no lender answered.
    :param domain: failure domain of the upstream.
    """

    lender: str
    domain: FailureDomain
    number: int
    upstream: UpstreamName
    address: str
    hedge_delay_seconds: float


@dataclass(frozen=True, slots=True)
class Silence:
    """A lender that did not answer.

    :param until: until when it is not asked, in seconds.
    :param pause: length of that pause, in seconds.
    """

    until: float
    pause: float


Answer = SlotGrant | SlotRefusal


def draw_domain(
    counts: Mapping[FailureDomain, int],
    own: FailureDomain,
    populated: Set[FailureDomain],
    random: RandomSource,
) -> FailureDomain | None:
    """Return a domain without instances that is asked first, or None.

    The upstreams of such a domain get requests from the instances of the others only,
    each of which takes a share; the own domain keeps its part of the requests.

    :param counts: number of usable upstreams by domain.
    :param populated: domains with instances.
    """
    deserted = sorted(counts.keys() - populated - {own})
    shares = [counts[domain] / max(1, len(populated)) for domain in deserted]
    drawn = random.random() * (counts.get(own, 0) + sum(shares))
    for domain, share in zip(deserted, shares, strict=True):
        drawn -= share
        if drawn < 0:
            return domain
    return None


class SlotRequester:
    """Owns the questions for slots that wait for their answer."""

    def __init__(
        self,
        own: Member,
        follower: StoreFollower,
        peers: PeerTransport,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._own = own
        self._follower = follower
        self._peers = peers
        self._clock = clock
        self._random = random
        self._numbers = itertools.count(1)
        self._decisions: dict[int, asyncio.Future] = {}
        self._silences: dict[str, Silence] = {}
        self._lost_until: dict[FailureDomain, float] = {}
        peers.register(SlotGrant, self._hear_decision)
        peers.register(SlotRefusal, self._hear_decision)

    def _hear_decision(self, sender: str, decision: Answer) -> None:
        waiting = self._decisions.get(decision.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(decision)

    async def acquire_slot(
        self, requirements: SlotRequirements
    ) -> AcquiredSlot | SlotRefusal:
        """Return a slot as near as possible, or why there is none.

        The news that an upstream leaves may reach its lender later than this instance;
        such a slot goes back and another one is asked for.
        """
        while True:
            found = await self._borrow(requirements)
            if isinstance(found, SlotRefusal) or not self._has_left(found):
                return found
            logging.info(
                "the lender %s does not know that upstream %s left",
                found.lender,
                found.upstream,
            )
            self.release_slot(requirements, found, Outcome.CANCELLED, 0.0)
            requirements = replace(
                requirements,
                excluded_upstreams=(*requirements.excluded_upstreams, found.upstream),
            )

    def _has_left(self, slot: AcquiredSlot) -> bool:
        return self._follower.upstreams.has_left(slot.upstream)

    async def _borrow(
        self, requirements: SlotRequirements
    ) -> AcquiredSlot | SlotRefusal:
        domains = self._order_domains(requirements.service)
        if not domains:
            return SlotRefusal(0, RefusalReason.NO_UPSTREAM, 1.0)
        refused = SlotRefusal(0, RefusalReason.NO_RESPONSE, 0.5)
        for domain, wait in self._plan(requirements, domains):
            found = await self._borrow_in(domain, requirements, wait)
            if isinstance(found, AcquiredSlot):
                return found
            if found is None:
                continue
            refused = found
            if found.reason in (RefusalReason.QUARANTINED, RefusalReason.NO_BUDGET):
                return refused
        if not requirements.is_hedge:
            found = await self._borrow_late(domains, requirements)
            if isinstance(found, AcquiredSlot):
                return found
            refused = found or refused
        if refused.reason is RefusalReason.NO_RESPONSE:
            return await self._borrow_alone(requirements) or refused
        return refused

    def _plan(
        self, requirements: SlotRequirements, domains: list[FailureDomain]
    ) -> list[tuple[FailureDomain, float]]:
        """Return the domains to ask at first, and how long to wait in each.

        :returns: times in seconds.
        """
        plans = [(domain, NO_WAIT) for domain in domains]
        if requirements.is_hedge:
            return plans
        near = HEAVY_WAIT_SECONDS if requirements.has_large_body else NEAR_WAIT_SECONDS
        return [(domains[0], min(near, self._find_left(requirements))), *plans[1:]]

    def _find_left(self, requirements: SlotRequirements) -> float:
        """Return the time until a request must be answered, in seconds."""
        return max(0.0, requirements.deadline - self._clock.boottime())

    async def _borrow_late(
        self, domains: list[FailureDomain], requirements: SlotRequirements
    ) -> AcquiredSlot | SlotRefusal | None:
        """Wait in the first domain, and ask the others again from time to time.

        The question keeps its place in the queue meanwhile.
        """
        near, *others = domains
        waiting = asyncio.create_task(
            self._borrow_in(near, requirements, self._find_left(requirements))
        )
        found: AcquiredSlot | SlotRefusal | None = None
        pause = FIRST_ROUND_SECONDS
        try:
            while True:
                done, _ = await asyncio.wait((waiting,), timeout=pause)
                if done:
                    found = waiting.result()
                    return found
                for domain in others:
                    found = await self._borrow_in(domain, requirements, NO_WAIT)
                    if isinstance(found, AcquiredSlot):
                        return found
                    if waiting.done():
                        break
                pause *= 2
        finally:
            self._give_up(waiting, requirements, found)

    def _give_up(
        self,
        waiting: asyncio.Task[AcquiredSlot | SlotRefusal | None],
        requirements: SlotRequirements,
        used: AcquiredSlot | SlotRefusal | None,
    ) -> None:
        """End a question that waits; a slot that it got and nobody uses goes back."""
        if not waiting.done():
            waiting.cancel()
        elif isinstance(slot := waiting.result(), AcquiredSlot) and slot is not used:
            self.release_slot(requirements, slot, Outcome.CANCELLED, 0.0)

    def _order_domains(self, service: ServiceName) -> list[FailureDomain]:
        counts = self._follower.upstreams.count_usable_by_domain(service)
        populated = self._find_populated()
        own = self._own.domain
        others = sorted(domain for domain in counts if domain != own)
        if others:
            first = self._random.randrange(len(others))
            others = others[first:] + others[:first]
        ordered = [own, *others] if own in counts else others
        first = draw_domain(counts, own, populated, self._random)
        return [first, *(d for d in ordered if d != first)] if first else ordered

    def _find_populated(self) -> set[FailureDomain]:
        """Return the failure domains whose instances lend their upstreams."""
        domains = {member.domain for member in self._follower.members.values()}
        return {domain for domain in domains if not self._is_lost(domain)}

    def _is_lost(self, domain: FailureDomain) -> bool:
        """Return whether the instances of a domain seem to be gone."""
        return self._clock.boottime() < self._lost_until.get(domain, float("-inf"))

    def _rank_lenders(self, service: ServiceName, domain: FailureDomain) -> list[str]:
        """Return the lenders to ask, without those that were silent lately."""
        now = self._clock.boottime()
        rank = rank_substitute_lenders if self._is_lost(domain) else rank_lenders
        ranked = rank(service, domain, self._follower.members.values())
        return [name for name in ranked if not self._is_silent(name, now)]

    def _is_silent(self, lender: str, now: float) -> bool:
        silence = self._silences.get(lender)
        return silence is not None and now < silence.until

    def _note_silence(self, lender: str, service: ServiceName) -> None:
        before = self._silences.get(lender)
        pause = min(
            LONGEST_SILENT_SECONDS, 2 * before.pause if before else SILENT_SECONDS
        )
        self._silences[lender] = Silence(self._clock.boottime() + pause, pause)
        logging.info(
            "the lender %s of %s is silent, not asked for %.0f s",
            lender,
            service,
            pause,
        )

    async def _borrow_in(
        self, domain: FailureDomain, requirements: SlotRequirements, wait: float
    ) -> AcquiredSlot | SlotRefusal | None:
        for lender in self._rank_lenders(requirements.service, domain)[:LENDERS_ASKED]:
            found = await self._borrow_from(lender, domain, requirements, wait)
            if found is not None:
                self._silences.pop(lender, None)
                return found
            self._note_silence(lender, requirements.service)
        self._note_loss(domain)
        return None

    def _note_loss(self, domain: FailureDomain) -> None:
        """Let other domains lend for one whose lenders are all silent."""
        if domain == self._own.domain or self._is_lost(domain):
            return
        self._lost_until[domain] = self._clock.boottime() + LOST_SECONDS
        logging.info(
            "no lender of %s answers, others lend for %.0f s", domain, LOST_SECONDS
        )

    def _build_question(
        self, domain: FailureDomain, requirements: SlotRequirements, wait: float
    ) -> SlotRequest:
        now = self._clock.boottime()
        return SlotRequest(
            next(self._numbers),
            self._own.address,
            requirements.service,
            domain,
            requirements.is_idempotent,
            requirements.is_retry,
            requirements.priority,
            max(0.0, requirements.deadline - now),
            requirements.objective_deadline - now,
            wait,
            requirements.fingerprint,
            requirements.excluded_upstreams,
            requirements.route_hash,
        )

    async def _borrow_from(
        self,
        lender: str,
        domain: FailureDomain,
        requirements: SlotRequirements,
        wait: float,
    ) -> AcquiredSlot | SlotRefusal | None:
        """Return the lender's decision, or None if it is silent.

        A question that this instance gives up is cancelled: the decision may still be
        on its way, and a slot that nobody uses makes its upstream look gray.
        """
        asked = self._build_question(domain, requirements, wait)
        decision = asyncio.get_running_loop().create_future()
        self._decisions[asked.number] = decision
        answer: Any = None
        try:
            answer = await self._ask(lender, asked)
            if isinstance(answer, SlotQueued):
                answer = await self._await_decision(lender, asked, decision)
        finally:
            del self._decisions[asked.number]
            if not isinstance(answer, SlotGrant | SlotRefusal):
                # A slot that was lent meanwhile goes back.
                self._return(lender, asked, UpstreamName(""), Outcome.CANCELLED, 0.0)
        if isinstance(answer, SlotGrant):
            return AcquiredSlot(
                lender,
                domain,
                answer.number,
                answer.upstream,
                answer.address,
                answer.hedge_delay_seconds,
            )
        if isinstance(answer, SlotQueued):
            return SlotRefusal(asked.number, RefusalReason.BUSY, HEDGE_SECONDS)
        return answer if isinstance(answer, SlotRefusal) else None

    async def _ask(self, lender: str, asked: SlotRequest) -> Any:
        answer = await self._peers.request(lender, asked, RESPONSE_TIMEOUT_SECONDS)
        return None if isinstance(answer, Unanswered) else answer

    async def _await_decision(
        self, lender: str, asked: SlotRequest, decision: asyncio.Future
    ) -> Any:
        """Return the decision, ``SlotQueued`` if it is late, or None if none comes."""
        until = (
            self._clock.boottime() + asked.max_wait_seconds + RESPONSE_TIMEOUT_SECONDS
        )
        while self._clock.boottime() < until:
            done, _ = await asyncio.wait((decision,), timeout=REPEAT_SECONDS)
            if done:
                return decision.result()
            answer = await self._ask(lender, asked)
            if not isinstance(answer, SlotQueued):
                return answer
        return SlotQueued(asked.number)

    async def _borrow_alone(
        self, requirements: SlotRequirements
    ) -> AcquiredSlot | SlotRefusal | None:
        """Lend to oneself; every lender is silent.

        The own desk remembers what the requests of this instance saw. A second lender
        has no part in the budget for repeats.
        """
        if requirements.is_retry:
            return None
        wait = max(0.0, requirements.deadline - self._clock.boottime())
        if self._own.domain in self._follower.upstreams.count_usable_by_domain(
            requirements.service
        ):
            own = self._own
            return await self._borrow_from(own.address, own.domain, requirements, wait)
        return self._draw(requirements)

    def _draw(self, requirements: SlotRequirements) -> AcquiredSlot | None:
        """Draw an upstream of another domain, whose lenders are silent."""
        usable = self._follower.upstreams.list_usable(requirements.service)
        names = sorted(usable.keys() - set(requirements.excluded_upstreams))
        if not names:
            return None
        name = names[self._random.randrange(len(names))]
        address = usable[name].announcement.address
        return AcquiredSlot(
            "", FailureDomain(""), next(self._numbers), name, address, HEDGE_SECONDS
        )

    def release_slot(
        self,
        requirements: SlotRequirements,
        slot: AcquiredSlot,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Return a slot and tell how the request went."""
        if outcome is Outcome.RESET:
            self._spread_crash(UpstreamCrashed(requirements.fingerprint, slot.upstream))
        if not slot.lender:
            return
        asked = replace(
            self._build_question(slot.domain, requirements, NO_WAIT), number=slot.number
        )
        self._return(slot.lender, asked, slot.upstream, outcome, seconds)

    def _return(
        self,
        lender: str,
        asked: SlotRequest,
        upstream: UpstreamName,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        returned = SlotReturned(
            asked.number,
            asked.requester,
            asked.service,
            asked.domain,
            upstream,
            outcome,
            seconds,
        )
        self._peers.send(lender, returned)

    def _spread_crash(self, seen: UpstreamCrashed) -> None:
        members = {member.address for member in self._follower.members.values()}
        for address in members | {self._own.address}:
            self._peers.send(address, seen)
