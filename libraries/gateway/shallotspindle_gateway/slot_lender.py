"""Task that lends the slots of upstreams.

For each service and failure domain one instance is the lender: the first by rendezvous
hash that responds. Two lenders at a time are harmless. They grant the same slots twice,
and the upstreams then queue or shed a few requests. Cold upstreams would crash, so each
lender grants them only its share (``gateway.cold_limits``).
"""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any

from absl import logging
from aiomisc import Service

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import FailureDomain, ServiceName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_gateway.cold_limits import ColdLimits
from shallotspindle_gateway.crash_recording import CrashRecorder
from shallotspindle_gateway.election import rank_lenders
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.log_limiter import LogLimiter
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.records import Bounds, Member
from shallotspindle_lending.cold import ColdStart
from shallotspindle_lending.leaving import LeavingReports
from shallotspindle_lending.records import (
    Outcome,
    SlotQueued,
    SlotRequest,
    SlotReturned,
    UpstreamLeaving,
)
from shallotspindle_lending.scheduler import AddressedDecision, SlotScheduler
from shallotspindle_lending.upstreams import FAILURE_OUTCOMES
from shallotspindle_retries.budget import RetryBudget
from shallotspindle_telemetry.unexpected import UnexpectedErrors

# Fraction of the fleet's retry budget that the lenders grant. The rest covers a second
# lender after a change of members, and checks whose windows do not match the lenders'.
BUDGET_FRACTION = 0.9
ADVANCE_INTERVAL_SECONDS = 0.05
LOGGED_OUTCOMES = FAILURE_OUTCOMES | {Outcome.MISDIRECTED, Outcome.NOT_CONNECTED}


class SlotLender(Service):
    """Owns the slot schedulers of this instance, by service and failure domain.

    :param crashes: owns the tracker that the schedulers share.
    :param errors: counts unexpected errors; one scheduler must not stop the others.
    """

    def __init__(
        self,
        own_instance: Member,
        follower: StoreFollower,
        peers: PeerTransport,
        bounds: Bounds,
        clock: Clock,
        random: RandomSource,
        crashes: CrashRecorder,
        errors: UnexpectedErrors,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._errors = errors
        self._own_instance = own_instance
        self._follower = follower
        self._peers = peers
        self._bounds = bounds
        self._clock = clock
        self._random = random
        self._log_limiter = LogLimiter(clock)
        self._crashes = crashes.tracker
        crashes.subscribe(self._handle_crash)
        self._leaving_reports = LeavingReports()
        self._schedulers: dict[tuple[ServiceName, FailureDomain], SlotScheduler] = {}
        self.cold_limits = ColdLimits(own_instance, follower, bounds)
        # Version of the upstreams, number of members and limits on cold upstreams that
        # the schedulers know.
        self._applied_state: tuple[int, int, Mapping[ServiceName, ColdStart]]
        self._applied_state = (-1, 0, {})
        follower.subscribe(self._update_schedulers)
        peers.register(SlotRequest, self._handle_request)
        peers.register(SlotReturned, self._handle_return)
        peers.register(UpstreamLeaving, self._handle_leaving)

    async def start(self) -> None:
        self.start_event.set()
        while True:
            await asyncio.sleep(ADVANCE_INTERVAL_SECONDS)
            now = self._clock.boottime()
            with self._errors.absorb("limits on cold upstreams"):
                self.cold_limits.refresh(now)
                self.cold_limits.log_denials(now)
            for scheduler in self._schedulers.values():
                if scheduler.queue_length:
                    with self._errors.absorb("queue of slot requests"):
                        self._send_decisions(scheduler.advance(now))

    def set_bounds(self, bounds: Bounds) -> None:
        """Set new bounds; the schedulers start new windows of the retry budget."""
        self._bounds = bounds
        self.cold_limits.bounds = bounds
        for key, scheduler in self._schedulers.items():
            scheduler.retry_budget = self._build_budget(*key)

    def measure_cost_ratios(self) -> dict[ServiceName, float]:
        """Return the highest ratio of the costs of the routes of each service."""
        ratios: dict[ServiceName, float] = {}
        for (service, _), scheduler in self._schedulers.items():
            ratios[service] = max(ratios.get(service, 1.0), scheduler.cost_ratio)
        return ratios

    def _update_schedulers(self) -> None:
        upstreams = self._follower.upstreams
        current_state = (
            upstreams.version,
            len(self._follower.members),
            self._follower.configuration.cold_starts,
        )
        if current_state == self._applied_state:
            return
        self._applied_state = current_state
        self.cold_limits.refresh(self._clock.boottime())
        for key, scheduler in self._schedulers.items():
            scheduler.update_upstreams(upstreams.list_usable(*key))
            scheduler.retry_budget.extra_retries = self._compute_extra_retries(*key)

    def _get_scheduler(
        self, service: ServiceName, domain: FailureDomain
    ) -> SlotScheduler:
        scheduler = self._schedulers.get((service, domain))
        if scheduler is None:
            budget = self._build_budget(service, domain)
            scheduler = SlotScheduler(
                service,
                self._crashes,
                self._random,
                budget,
                self._leaving_reports,
                self.cold_limits.get(service, domain, self._clock.boottime()),
            )
            scheduler.update_upstreams(
                self._follower.upstreams.list_usable(service, domain)
            )
            self._schedulers[service, domain] = scheduler
        return scheduler

    def _build_budget(self, service: ServiceName, domain: FailureDomain) -> RetryBudget:
        """Return the retry budget of a scheduler of this instance."""
        return RetryBudget(
            BUDGET_FRACTION * self._bounds.retry_ratio,
            min_retries=0,
            extra_retries=self._compute_extra_retries(service, domain),
            window_seconds=self._bounds.retry_window_seconds,
        )

    def _compute_extra_retries(
        self, service: ServiceName, domain: FailureDomain
    ) -> int:
        """Return the retries in a window beyond the ratio of the budget.

        Only the first lender of a domain gets them: while instances are cut off from
        each other, every one of them may lend to itself.
        """
        members = self._follower.members.values()
        lenders = rank_lenders(service, domain, members)
        if not lenders or lenders[0] != self._own_instance.address:
            return 0
        domains = max(1, len(self._follower.upstreams.count_usable_by_domain(service)))
        return int(BUDGET_FRACTION * self._bounds.extra_retries / 2 / domains)

    def _handle_request(self, sender: str, request: SlotRequest) -> Any:
        decisions = self._get_scheduler(request.service, request.domain).request_slot(
            request, self._clock.boottime()
        )
        response: Any = SlotQueued(request.number)
        for addressed in decisions:
            if (
                addressed.requester == request.requester
                and addressed.decision.number == request.number
            ):
                response = addressed.decision
            else:
                self._send_decisions([addressed])
        return response

    def _handle_return(self, sender: str, returned: SlotReturned) -> None:
        scheduler = self._get_scheduler(returned.service, returned.domain)
        if returned.outcome in LOGGED_OUTCOMES and self._log_limiter.take_line():
            logging.info(
                "attempt at upstream %s of service %s ended with %s after %.3f s, "
                "reported by %s",
                returned.upstream,
                returned.service,
                returned.outcome.value,
                returned.duration_seconds,
                returned.requester,
            )
        self._send_decisions(scheduler.return_slot(returned, self._clock.boottime()))

    def _send_decisions(self, decisions: Iterable[AddressedDecision]) -> None:
        for addressed in decisions:
            self._peers.send(addressed.requester, addressed.decision)

    def _handle_crash(self, fingerprint: int) -> None:
        for scheduler in self._schedulers.values():
            scheduler.handle_crash(fingerprint)

    def _handle_leaving(self, sender: str, leaving: UpstreamLeaving) -> None:
        now = self._clock.boottime()
        self._leaving_reports.record(leaving.upstream, leaving.started_at_ms, now)
