"""Task that lends the slots of this failure domain and borrows for own requests.

For each service and failure domain one instance is the lender, the first by
rendezvous hash that answers. Two lenders at a time are harmless: they lend the same
slots twice, and the upstreams then queue or shed a few requests.
"""

import asyncio
import itertools
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from absl import logging
from aiomisc import Service

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_gateway.election import rank_members
from shallotspindle_gateway.following import Follower
from shallotspindle_gateway.lines import LineBudget
from shallotspindle_gateway.peers import Peers, Unanswered
from shallotspindle_gateway.records import Bounds, Member
from shallotspindle_lending.crashes import Crashes
from shallotspindle_lending.desk import Addressed, Desk
from shallotspindle_lending.records import (
    CrashSeen,
    Outcome,
    Reason,
    SlotAsked,
    SlotLent,
    SlotQueued,
    SlotRefused,
    SlotReturned,
)
from shallotspindle_lending.standing import FAILURES
from shallotspindle_retries.budget import Budget

# Part of the fleet's budget for repeats that lenders grant. The rest covers a second
# lender after a change of members, and windows that cut the lenders' windows.
BUDGET_PART = 0.9
ANSWER_SECONDS = 0.1
# A lender that did not answer is not asked for this time, then twice as long.
SILENT_SECONDS = 1.0
LONGEST_SILENT_SECONDS = 8.0
# A queued question is sent again in case the decision was lost.
REPEAT_SECONDS = 0.2
LENDERS_ASKED = 3
TICK_SECONDS = 0.05
HEDGE_SECONDS = 0.35
# A request waits this long for a slot in its own domain before others are asked; one
# whose body is dear to send to them waits longer.
NEAR_WAIT_SECONDS = 0.05
HEAVY_WAIT_SECONDS = 0.14
# Questions below this wait are answered at once, so that other domains can be asked.
NO_WAIT = 0.0


@dataclass(frozen=True, slots=True)
class Want:
    """What a request needs a slot for.

    :param repeat: whether an upstream got the request before.
    :param hedge: whether another send is still on its way.
    :param heavy: whether its body is dear to send to another failure domain.
    :param until: when the request must be answered, in seconds.
    :param objective_until: when its answer is late, in seconds.
    """

    service: ServiceName
    repeatable: bool
    repeat: bool
    priority: int
    heavy: bool
    until: float
    objective_until: float
    fingerprint: int
    route: int
    hedge: bool = False
    avoid: tuple[UpstreamName, ...] = ()


@dataclass(frozen=True, slots=True)
class Borrowed:
    """A slot with the lender that gets it back.

    :param lender: address; empty when no lender answered.
    """

    lender: str
    number: int
    upstream: UpstreamName
    address: str
    hedge_seconds: float


@dataclass(frozen=True, slots=True)
class Silence:
    """A lender that did not answer.

    :param until: until when it is not asked, in seconds.
    :param pause: length of that pause, in seconds.
    """

    until: float
    pause: float


Answer = SlotLent | SlotRefused
LOGGED_OUTCOMES = FAILURES | {Outcome.MISDIRECTED, Outcome.NOT_CONNECTED}


class Lending(Service):
    """Owns the desks of this domain; implements borrowing from all domains."""

    def __init__(
        self,
        own: Member,
        follower: Follower,
        peers: Peers,
        bounds: Bounds,
        clock: Clock,
        random: RandomSource,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own = own
        self._follower = follower
        self._peers = peers
        self._bounds = bounds
        self._clock = clock
        self._random = random
        self._lines = LineBudget(clock)
        self._numbers = itertools.count(1)
        self._crashes = Crashes()
        self._desks: dict[ServiceName, Desk] = {}
        # Versions of the upstreams and number of members that the desks know.
        self._seen = (-1, 0)
        self._decisions: dict[int, asyncio.Future] = {}
        self._silences: dict[str, Silence] = {}
        follower.subscribe(self._update)
        peers.register(SlotAsked, self._answer_ask)
        peers.register(SlotReturned, self._take_back)
        peers.register(SlotLent, self._hear_decision)
        peers.register(SlotRefused, self._hear_decision)
        peers.register(CrashSeen, self._hear_crash)

    async def start(self) -> None:
        self.start_event.set()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock.boottime()
            for desk in self._desks.values():
                if desk.queued:
                    self._deliver(desk.advance(now))

    # Lending.

    def set_bounds(self, bounds: Bounds) -> None:
        """Take new bounds; the desks begin new windows for repeats."""
        self._bounds = bounds
        for service, desk in self._desks.items():
            desk.budget = self._build_budget(service)

    def _update(self) -> None:
        upstreams = self._follower.upstreams
        standpoint = (upstreams.version, len(self._follower.members))
        if standpoint == self._seen:
            return
        self._seen = standpoint
        for service, desk in self._desks.items():
            desk.update(upstreams.list_usable(service, self._own.domain))
            desk.budget.slack = self._find_slack(service)

    def _find_desk(self, service: ServiceName) -> Desk:
        desk = self._desks.get(service)
        if desk is None:
            desk = Desk(
                service, self._crashes, self._random, self._build_budget(service)
            )
            usable = self._follower.upstreams.list_usable(service, self._own.domain)
            desk.update(usable)
            self._desks[service] = desk
        return desk

    def _build_budget(self, service: ServiceName) -> Budget:
        """Return the budget for repeats of a desk of this instance."""
        return Budget(
            BUDGET_PART * self._bounds.retry_ratio,
            least=0,
            slack=self._find_slack(service),
            window=self._bounds.retry_window_seconds,
        )

    def _find_slack(self, service: ServiceName) -> int:
        """Return the repeats in a window that a desk has beside its part.

        Only the first lender of a domain has them: while instances are cut from each
        other, every one of them may lend to itself.
        """
        lenders = self._rank_members(service, self._own.domain)
        if lenders[0] != self._own.address:
            return 0
        domains = max(1, len(self._follower.upstreams.list_domains(service)))
        return int(BUDGET_PART * self._bounds.retry_slack / 2 / domains)

    def _answer_ask(self, sender: str, asked: SlotAsked) -> Any:
        decided = self._find_desk(asked.service).ask(asked, self._clock.boottime())
        answer: Any = SlotQueued(asked.number)
        for item in decided:
            if item.asker == asked.asker and item.decision.number == asked.number:
                answer = item.decision
            else:
                self._deliver([item])
        return answer

    def _take_back(self, sender: str, returned: SlotReturned) -> None:
        desk = self._find_desk(returned.service)
        if returned.outcome in LOGGED_OUTCOMES and self._lines.take():
            logging.info(
                "upstream %s of %s: %s after %.3f s, told by %s",
                returned.upstream,
                returned.service,
                returned.outcome.value,
                returned.seconds,
                returned.asker,
            )
        self._deliver(desk.give_back(returned, self._clock.boottime()))

    def _deliver(self, decided: Iterable[Addressed]) -> None:
        for item in decided:
            if item.asker == self._own.address:
                self._hear_decision(item.asker, item.decision)
            else:
                self._peers.send(item.asker, item.decision)

    def _hear_crash(self, sender: str, seen: CrashSeen) -> None:
        now = self._clock.boottime()
        self._crashes.note(seen.fingerprint, seen.upstream, now)
        for desk in self._desks.values():
            desk.note_crash(seen.fingerprint, now)

    # Borrowing.

    def _hear_decision(self, sender: str, decision: Answer) -> None:
        waiting = self._decisions.get(decision.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(decision)

    async def borrow(self, want: Want) -> Borrowed | SlotRefused:
        """Return a slot as near as possible, or why there is none."""
        domains = self._order_domains(want.service)
        if not domains:
            return SlotRefused(0, Reason.NO_UPSTREAM, 1.0)
        refused = SlotRefused(0, Reason.SILENT, 0.5)
        for domain, wait in self._plan(want, domains):
            found = await self._borrow_in(domain, want, wait)
            if isinstance(found, Borrowed):
                return found
            if found is None:
                continue
            refused = found
            if found.reason in (Reason.HELD, Reason.NO_BUDGET):
                break
        if refused.reason is Reason.SILENT:
            return await self._borrow_alone(want) or refused
        return refused

    def _plan(
        self, want: Want, domains: list[FailureDomain]
    ) -> list[tuple[FailureDomain, float]]:
        """Return the domains to ask, and how long to wait in each, in seconds."""
        plans = [(domain, NO_WAIT) for domain in domains]
        if want.hedge:
            return plans
        near = HEAVY_WAIT_SECONDS if want.heavy else NEAR_WAIT_SECONDS
        left = max(0.0, want.until - self._clock.boottime())
        return [(domains[0], min(near, left)), *plans[1:], (domains[0], left)]

    def _order_domains(self, service: ServiceName) -> list[FailureDomain]:
        counts = self._follower.upstreams.list_domains(service)
        others = sorted(domain for domain in counts if domain != self._own.domain)
        if others:
            first = self._random.randrange(len(others))
            others = others[first:] + others[:first]
        return [self._own.domain, *others] if self._own.domain in counts else others

    def _rank_lenders(self, service: ServiceName, domain: FailureDomain) -> list[str]:
        """Return the lenders to ask, without those that were silent lately."""
        now = self._clock.boottime()
        ranked = self._rank_members(service, domain)
        return [name for name in ranked if not self._is_silent(name, now)]

    def _rank_members(self, service: ServiceName, domain: FailureDomain) -> list[str]:
        """Return the instances of a domain in the order in which they lend."""
        members = self._follower.list_members(domain)
        return rank_members(f"lender {service}", members)

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
        self, domain: FailureDomain, want: Want, wait: float
    ) -> Borrowed | SlotRefused | None:
        for lender in self._rank_lenders(want.service, domain)[:LENDERS_ASKED]:
            found = await self._borrow_from(lender, want, wait)
            if found is not None:
                self._silences.pop(lender, None)
                return found
            self._note_silence(lender, want.service)
        return None

    def _build_question(self, want: Want, wait: float) -> SlotAsked:
        now = self._clock.boottime()
        return SlotAsked(
            next(self._numbers),
            self._own.address,
            want.service,
            want.repeatable,
            want.repeat,
            want.priority,
            max(0.0, want.until - now),
            want.objective_until - now,
            wait,
            want.fingerprint,
            want.avoid,
            want.route,
        )

    async def _borrow_from(
        self, lender: str, want: Want, wait: float
    ) -> Borrowed | SlotRefused | None:
        """Return the lender's decision, or None if it is silent."""
        asked = self._build_question(want, wait)
        decision = asyncio.get_running_loop().create_future()
        self._decisions[asked.number] = decision
        answer: Any = None
        try:
            answer = await self._ask(lender, asked)
            if isinstance(answer, SlotQueued):
                answer = await self._await_decision(lender, asked, decision)
        finally:
            del self._decisions[asked.number]
            if not isinstance(answer, SlotLent | SlotRefused):
                # A slot that was lent meanwhile goes back.
                self._return(lender, asked, UpstreamName(""), Outcome.CANCELLED, 0.0)
        if isinstance(answer, SlotLent):
            return Borrowed(
                lender,
                answer.number,
                answer.upstream,
                answer.address,
                answer.hedge_seconds,
            )
        return answer if isinstance(answer, SlotRefused) else None

    async def _ask(self, lender: str, asked: SlotAsked) -> Any:
        if lender == self._own.address:
            return self._answer_ask(lender, asked)
        answer = await self._peers.request(lender, asked, ANSWER_SECONDS)
        return None if isinstance(answer, Unanswered) else answer

    async def _await_decision(
        self, lender: str, asked: SlotAsked, decision: asyncio.Future
    ) -> Any:
        until = self._clock.boottime() + asked.wait_seconds + ANSWER_SECONDS
        while self._clock.boottime() < until:
            done, _ = await asyncio.wait((decision,), timeout=REPEAT_SECONDS)
            if done:
                return decision.result()
            answer = await self._ask(lender, asked)
            if not isinstance(answer, SlotQueued):
                return answer
        return SlotRefused(asked.number, Reason.BUSY, HEDGE_SECONDS)

    async def _borrow_alone(self, want: Want) -> Borrowed | SlotRefused | None:
        """Lend to oneself; every lender is silent.

        The own desk remembers what the requests of this instance saw. A second lender
        has no part in the budget for repeats.
        """
        if want.repeat:
            return None
        wait = max(0.0, want.until - self._clock.boottime())
        if self._own.domain in self._follower.upstreams.list_domains(want.service):
            return await self._borrow_from(self._own.address, want, wait)
        return self._draw(want)

    def _draw(self, want: Want) -> Borrowed | None:
        """Draw an upstream of another domain, whose lenders are silent."""
        usable = self._follower.upstreams.list_usable(want.service)
        names = sorted(usable.keys() - set(want.avoid))
        if not names:
            return None
        name = names[self._random.randrange(len(names))]
        address = usable[name].announcement.address
        return Borrowed("", next(self._numbers), name, address, HEDGE_SECONDS)

    def give_back(
        self, want: Want, slot: Borrowed, outcome: Outcome, seconds: float
    ) -> None:
        """Return a slot and tell how the request went."""
        if outcome is Outcome.RESET:
            self._spread_crash(CrashSeen(want.fingerprint, slot.upstream))
        if not slot.lender:
            return
        asked = replace(self._build_question(want, NO_WAIT), number=slot.number)
        self._return(slot.lender, asked, slot.upstream, outcome, seconds)

    def _return(
        self,
        lender: str,
        asked: SlotAsked,
        upstream: UpstreamName,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        returned = SlotReturned(
            asked.number, asked.asker, asked.service, upstream, outcome, seconds
        )
        if lender == self._own.address:
            self._take_back(lender, returned)
        else:
            self._peers.send(lender, returned)

    def _spread_crash(self, seen: CrashSeen) -> None:
        self._hear_crash(self._own.address, seen)
        for member in {m.address for m in self._follower.members.values()}:
            if member != self._own.address:
                self._peers.send(member, seen)
