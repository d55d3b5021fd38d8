"""Task that lends the slots of upstreams.

For each service and failure domain one instance is the lender, the first by
rendezvous hash that answers. Two lenders at a time are harmless: they lend the same
slots twice, and the upstreams then queue or shed a few requests.
"""

import asyncio
from collections.abc import Iterable
from typing import Any

from absl import logging
from aiomisc import Service

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import FailureDomain, ServiceName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_gateway.election import rank_lenders
from shallotspindle_gateway.following import Follower
from shallotspindle_gateway.log_limiter import LogLimiter
from shallotspindle_gateway.peers import Peers
from shallotspindle_gateway.records import Bounds, Member
from shallotspindle_lending.crashes import CrashTracker
from shallotspindle_lending.records import (
    Outcome,
    SlotQueued,
    SlotRequest,
    SlotReturned,
    UpstreamCrashed,
)
from shallotspindle_lending.scheduler import AddressedDecision, SlotScheduler
from shallotspindle_lending.upstreams import FAILURE_OUTCOMES
from shallotspindle_retries.budget import RetryBudget

# Part of the fleet's budget for repeats that lenders grant. The rest covers a second
# lender after a change of members, and windows that cut the lenders' windows.
BUDGET_PART = 0.9
TICK_SECONDS = 0.05
LOGGED_OUTCOMES = FAILURE_OUTCOMES | {Outcome.MISDIRECTED, Outcome.NOT_CONNECTED}


class Lender(Service):
    """Owns the desks of this instance, by service and failure domain."""

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
        self._lines = LogLimiter(clock)
        self._crashes = CrashTracker()
        self._desks: dict[tuple[ServiceName, FailureDomain], SlotScheduler] = {}
        # Versions of the upstreams and number of members that the desks know.
        self._seen = (-1, 0)
        follower.subscribe(self._update)
        peers.register(SlotRequest, self._answer_ask)
        peers.register(SlotReturned, self._take_back)
        peers.register(UpstreamCrashed, self._hear_crash)

    async def start(self) -> None:
        self.start_event.set()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock.boottime()
            for desk in self._desks.values():
                if desk.queue_length:
                    self._deliver(desk.advance(now))

    def set_bounds(self, bounds: Bounds) -> None:
        """Take new bounds; the desks begin new windows for repeats."""
        self._bounds = bounds
        for key, desk in self._desks.items():
            desk.retry_budget = self._build_budget(*key)

    def _update(self) -> None:
        upstreams = self._follower.upstreams
        standpoint = (upstreams.version, len(self._follower.members))
        if standpoint == self._seen:
            return
        self._seen = standpoint
        for key, desk in self._desks.items():
            desk.update_upstreams(upstreams.list_usable(*key))
            desk.retry_budget.extra_retries = self._find_slack(*key)

    def _find_desk(self, service: ServiceName, domain: FailureDomain) -> SlotScheduler:
        desk = self._desks.get((service, domain))
        if desk is None:
            budget = self._build_budget(service, domain)
            desk = SlotScheduler(service, self._crashes, self._random, budget)
            desk.update_upstreams(self._follower.upstreams.list_usable(service, domain))
            self._desks[service, domain] = desk
        return desk

    def _build_budget(self, service: ServiceName, domain: FailureDomain) -> RetryBudget:
        """Return the budget for repeats of a desk of this instance."""
        return RetryBudget(
            BUDGET_PART * self._bounds.retry_ratio,
            min_retries=0,
            extra_retries=self._find_slack(service, domain),
            window_seconds=self._bounds.retry_window_seconds,
        )

    def _find_slack(self, service: ServiceName, domain: FailureDomain) -> int:
        """Return the repeats in a window that a desk has beside its part.

        Only the first lender of a domain has them: while instances are cut from each
        other, every one of them may lend to itself.
        """
        members = self._follower.members.values()
        lenders = rank_lenders(service, domain, members)
        if not lenders or lenders[0] != self._own.address:
            return 0
        domains = max(1, len(self._follower.upstreams.count_usable_by_domain(service)))
        return int(BUDGET_PART * self._bounds.retry_slack / 2 / domains)

    def _answer_ask(self, sender: str, asked: SlotRequest) -> Any:
        decided = self._find_desk(asked.service, asked.domain).request_slot(
            asked, self._clock.boottime()
        )
        answer: Any = SlotQueued(asked.number)
        for item in decided:
            if (
                item.requester == asked.requester
                and item.decision.number == asked.number
            ):
                answer = item.decision
            else:
                self._deliver([item])
        return answer

    def _take_back(self, sender: str, returned: SlotReturned) -> None:
        desk = self._find_desk(returned.service, returned.domain)
        if returned.outcome in LOGGED_OUTCOMES and self._lines.take_line():
            logging.info(
                "upstream %s of %s: %s after %.3f s, told by %s",
                returned.upstream,
                returned.service,
                returned.outcome.value,
                returned.duration_seconds,
                returned.requester,
            )
        self._deliver(desk.return_slot(returned, self._clock.boottime()))

    def _deliver(self, decided: Iterable[AddressedDecision]) -> None:
        for item in decided:
            self._peers.send(item.requester, item.decision)

    def _hear_crash(self, sender: str, seen: UpstreamCrashed) -> None:
        now = self._clock.boottime()
        self._crashes.record_crash(seen.fingerprint, seen.upstream, now)
        for desk in self._desks.values():
            desk.handle_crash(seen.fingerprint, now)
