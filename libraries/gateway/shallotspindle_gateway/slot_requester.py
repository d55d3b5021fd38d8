"""Requests slots of upstreams for the requests of this instance.

The lenders of the instance's own failure domain are asked first, then those of the
other domains. A request that finds no slot is queued in the instance's own domain, and
the other domains are asked again from time to time. If that queue is too long, the
request is queued in another domain: demand and capacity may be uneven between domains.
If no lender responds at all, the instance lends slots to itself.
"""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_gateway import request_numbers
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.lender_roster import LenderRoster
from shallotspindle_gateway.peers import PeerTransport, RequestTimedOut
from shallotspindle_gateway.records import Member
from shallotspindle_gateway.upstream_notices import NoticeRecorder
from shallotspindle_lending.crashes import CrashTracker
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
from shallotspindle_notices.notices import Obstacle
from shallotspindle_registry.directory import UsableUpstreams

RESPONSE_TIMEOUT_SECONDS = 0.1
# A queued slot request is sent again in case the decision was lost.
RESEND_INTERVAL_SECONDS = 0.2
DEFAULT_HEDGE_DELAY_SECONDS = 0.35
# A request waits this long for a slot in its own domain before other domains are asked.
# A request with a large body waits longer, since sending it to them is expensive.
LOCAL_WAIT_SECONDS = 0.05
LARGE_BODY_LOCAL_WAIT_SECONDS = 0.14
# A request that is queued in its own domain asks the other domains again after this
# time, then after twice as long each time. Otherwise it could wait until its deadline
# when all upstreams of its own domain hang.
INITIAL_ROUND_SECONDS = 0.3
# A slot request with this wait is decided at once, so that the next domain can be
# asked.
NO_WAIT_SECONDS = 0.0
# A request that waits for the end of a pause checks this often whether any upstream of
# its service is left.
PAUSE_CHECK_INTERVAL_SECONDS = 0.25
# Retry-After of a refusal because of an evacuation, whose end is not known in advance.
EVACUATED_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class SlotRequirements:
    """What the slot for a request must satisfy.

    :param is_idempotent: whether the request may run twice.
    :param is_retry: whether the request was sent to an upstream before.
    :param has_large_body: whether the body of the request or of its response is so
        large that sending it to another failure domain is expensive.
    :param deadline: when the response must be complete, as boot-time in seconds.
    :param objective_deadline: when a response misses the latency objective, as
        boot-time in seconds.
    :param fingerprint: hash by which the same request is recognized later.
    :param is_hedge: whether another attempt of the request is still running.
    :param excluded_upstreams: upstreams that the request was sent to before.
    :param passed_over: filled with the upstreams that leave or want a pause.
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
    passed_over: dict[UpstreamName, Obstacle] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AcquiredSlot:
    """A slot and the lender that it must be returned to.

    :param lender: address; empty if the slot was taken without a lender.
    :param domain: failure domain of the upstream.
    :param number: number of the slot request.
    :param address: ``ip:port`` of the upstream.
    :param hedge_delay_seconds: age of the attempt from which a hedge is worth sending.
    """

    lender: str
    domain: FailureDomain
    number: int
    upstream: UpstreamName
    address: str
    hedge_delay_seconds: float


LenderDecision = SlotGrant | SlotRefusal


@dataclass(frozen=True, slots=True)
class DomainEvacuated:
    """The failure domain was evacuated while its lender had not decided yet."""


@dataclass(frozen=True, slots=True)
class PendingDecision:
    """A slot request whose lender has not decided yet.

    :param lender: address of the lender.
    :param domain: failure domain whose slots are requested.
    """

    lender: str
    domain: FailureDomain
    decision: asyncio.Future[LenderDecision | DomainEvacuated]


class SlotRequester:
    """Owns the slot requests that wait for a decision.

    :param crashes: requests that crash upstreams; shared with the lender.
    """

    def __init__(
        self,
        own_instance: Member,
        follower: StoreFollower,
        peers: PeerTransport,
        clock: Clock,
        random: RandomSource,
        notices: NoticeRecorder,
        crashes: CrashTracker,
    ) -> None:
        self._crashes = crashes
        self._notices = notices
        self._own_instance = own_instance
        self._follower = follower
        self._peers = peers
        self._clock = clock
        self._random = random
        self._request_numbers = request_numbers.count_from_random(random)
        self._pending_decisions: dict[int, PendingDecision] = {}
        self._lenders = LenderRoster(own_instance, follower, clock, random)
        peers.register(SlotGrant, self._handle_decision)
        peers.register(SlotRefusal, self._handle_decision)
        follower.subscribe(self._abandon_evacuated)

    def _handle_decision(self, sender: str, decision: LenderDecision) -> None:
        pending = self._pending_decisions.get(decision.number)
        if pending is None or pending.lender != sender:
            return
        if not pending.decision.done():
            pending.decision.set_result(decision)

    def _abandon_evacuated(self) -> None:
        """End the slot requests that wait in a domain that is evacuated by now."""
        evacuated = self._follower.upstreams.evacuated_domains
        if not evacuated:
            return
        for pending in self._pending_decisions.values():
            if pending.domain in evacuated and not pending.decision.done():
                pending.decision.set_result(DomainEvacuated())

    async def acquire_slot(
        self, requirements: SlotRequirements
    ) -> AcquiredSlot | SlotRefusal:
        """Return a slot in the nearest domain that has one, or why there is none.

        That an upstream leaves, wants a pause or is evacuated may reach its lender
        later than this instance. A slot of such an upstream is returned, and another
        one is requested. The upstream is checked last, so that the check holds for a
        caller that starts its attempt without waiting in between.
        """
        while True:
            refusal = await self._wait_for_pauses(requirements)
            if refusal is not None:
                return refusal
            result = await self._acquire_once(self._exclude_obstructed(requirements))
            if isinstance(result, SlotRefusal):
                if self._has_other_domain(result, requirements.service):
                    continue
                return result
            obstacle = self._find_obstacle(result)
            if obstacle is None:
                return result
            logging.info(
                "lender %s granted a slot of upstream %s, which is %s; "
                "requesting another slot",
                result.lender,
                result.upstream,
                obstacle.value,
            )
            requirements.passed_over[result.upstream] = obstacle
            self.release_slot(requirements, result, Outcome.CANCELLED, 0.0)
            requirements = replace(
                requirements,
                excluded_upstreams=(*requirements.excluded_upstreams, result.upstream),
            )

    def _has_other_domain(self, refusal: SlotRefusal, service: ServiceName) -> bool:
        """Return whether a domain was evacuated meanwhile and others have upstreams."""
        return refusal.reason is RefusalReason.EVACUATED and bool(
            self._follower.upstreams.count_usable_by_domain(service)
        )

    def _find_obstacle(self, slot: AcquiredSlot) -> Obstacle | None:
        """Return why a slot must not be used, or None."""
        if self._follower.upstreams.is_evacuated(slot.upstream, slot.domain):
            return Obstacle.EVACUATED
        return self._notices.find_obstacle(slot.upstream)

    def _exclude_obstructed(self, requirements: SlotRequirements) -> SlotRequirements:
        """Exclude the upstreams that leave or want a pause."""
        obstacles = self._notices.list_obstacles(requirements.service)
        requirements.passed_over.update(obstacles)
        excluded = dict.fromkeys((*requirements.excluded_upstreams, *obstacles))
        return replace(requirements, excluded_upstreams=tuple(excluded))

    async def _wait_for_pauses(
        self, requirements: SlotRequirements
    ) -> SlotRefusal | None:
        """Wait while all upstreams that the request may use want a pause.

        :returns: a refusal if the request cannot wait for the first of them.
        """
        while True:
            wait_seconds = self._notices.compute_wait(
                requirements.service, requirements.excluded_upstreams
            )
            if not wait_seconds:
                return None
            if requirements.is_hedge or wait_seconds >= self._get_remaining_seconds(
                requirements
            ):
                obstacles = self._notices.list_obstacles(requirements.service)
                requirements.passed_over.update(obstacles)
                return SlotRefusal(0, RefusalReason.PAUSED, wait_seconds)
            await asyncio.sleep(min(wait_seconds, PAUSE_CHECK_INTERVAL_SECONDS))

    async def _acquire_once(
        self, requirements: SlotRequirements
    ) -> AcquiredSlot | SlotRefusal:
        domains = self._lenders.order_domains(requirements.service)
        if not domains:
            return self._refuse_without_domains(requirements.service)
        refusal = SlotRefusal(0, RefusalReason.NO_RESPONSE, 0.5)
        for domain, wait_seconds in self._plan_first_round(requirements, domains):
            result = await self._acquire_in_domain(domain, requirements, wait_seconds)
            if isinstance(result, AcquiredSlot):
                return result
            if result is None:
                continue
            refusal = result
            if result.reason in (RefusalReason.QUARANTINED, RefusalReason.NO_BUDGET):
                return refusal
        if not requirements.is_hedge:
            result = await self._acquire_with_wait(domains, requirements)
            if isinstance(result, AcquiredSlot):
                return result
            refusal = result or refusal
        if refusal.reason is RefusalReason.NO_RESPONSE:
            return await self._acquire_without_lenders(requirements) or refusal
        return refusal

    def _refuse_without_domains(self, service: ServiceName) -> SlotRefusal:
        if self._follower.upstreams.is_service_evacuated(service):
            return self._refuse_evacuated()
        return SlotRefusal(0, RefusalReason.NO_UPSTREAM, 1.0)

    @staticmethod
    def _refuse_evacuated() -> SlotRefusal:
        return SlotRefusal(0, RefusalReason.EVACUATED, EVACUATED_RETRY_SECONDS)

    def _plan_first_round(
        self, requirements: SlotRequirements, domains: list[FailureDomain]
    ) -> list[tuple[FailureDomain, float]]:
        """Return the domains in the order in which they are asked first.

        :returns: each domain with the seconds to wait there.
        """
        plans = [(domain, NO_WAIT_SECONDS) for domain in domains]
        if requirements.is_hedge:
            return plans
        local_wait = (
            LARGE_BODY_LOCAL_WAIT_SECONDS
            if requirements.has_large_body
            else LOCAL_WAIT_SECONDS
        )
        return [
            (domains[0], min(local_wait, self._get_remaining_seconds(requirements))),
            *plans[1:],
        ]

    def _get_remaining_seconds(self, requirements: SlotRequirements) -> float:
        """Return the time until the response must be complete."""
        return max(0.0, requirements.deadline - self._clock.boottime())

    async def _acquire_with_wait(
        self, domains: list[FailureDomain], requirements: SlotRequirements
    ) -> AcquiredSlot | SlotRefusal | None:
        """Wait for a slot in the first domain, then in one that has a shorter queue."""
        result = await self._acquire_while_queued(domains, requirements)
        if isinstance(result, SlotRefusal) and result.reason is RefusalReason.BUSY:
            return await self._queue_elsewhere(domains[1:], requirements) or result
        return result

    async def _acquire_while_queued(
        self, domains: list[FailureDomain], requirements: SlotRequirements
    ) -> AcquiredSlot | SlotRefusal | None:
        """Wait in the queue of the first domain, and poll the others meanwhile.

        The slot request keeps its place in the queue while the others are asked.
        """
        first_domain, *others = domains
        queued = asyncio.create_task(
            self._acquire_in_domain(
                first_domain, requirements, self._get_remaining_seconds(requirements)
            )
        )
        result: AcquiredSlot | SlotRefusal | None = None
        round_seconds = INITIAL_ROUND_SECONDS
        try:
            while True:
                done, _ = await asyncio.wait((queued,), timeout=round_seconds)
                if done:
                    result = queued.result()
                    return result
                for domain in others:
                    result = await self._acquire_in_domain(
                        domain, requirements, NO_WAIT_SECONDS
                    )
                    if isinstance(result, AcquiredSlot):
                        return result
                    if queued.done():
                        break
                round_seconds *= 2
        finally:
            self._abandon_queued(queued, requirements, result)

    async def _queue_elsewhere(
        self, domains: list[FailureDomain], requirements: SlotRequirements
    ) -> AcquiredSlot | None:
        """Wait in the queue of another domain, after the own one refused the request.

        A lender whose queue is too long refuses at once, so that the next one is asked.

        :param domains: the other domains, in the order in which they are asked.
        """
        for domain in domains:
            remaining_seconds = self._get_remaining_seconds(requirements)
            if remaining_seconds <= 0:
                return None
            result = await self._acquire_in_domain(
                domain, requirements, remaining_seconds
            )
            if isinstance(result, AcquiredSlot):
                return result
        return None

    def _abandon_queued(
        self,
        queued: asyncio.Task[AcquiredSlot | SlotRefusal | None],
        requirements: SlotRequirements,
        used: AcquiredSlot | SlotRefusal | None,
    ) -> None:
        """Cancel a queued slot request, or return its slot if that is not used."""
        if not queued.done():
            queued.cancel()
        elif isinstance(slot := queued.result(), AcquiredSlot) and slot is not used:
            self.release_slot(requirements, slot, Outcome.CANCELLED, 0.0)

    async def _acquire_in_domain(
        self, domain: FailureDomain, requirements: SlotRequirements, wait_seconds: float
    ) -> AcquiredSlot | SlotRefusal | None:
        """Return the decision of a domain's lender, or None if none responded."""
        for lender in self._lenders.rank(requirements.service, domain):
            if domain in self._follower.upstreams.evacuated_domains:
                return self._refuse_evacuated()
            result = await self._acquire_from(
                lender, domain, requirements, wait_seconds
            )
            if result is not None:
                self._lenders.record_response(lender)
                return result
            self._lenders.record_silence(lender, requirements.service)
        self._lenders.mark_lost(domain)
        return None

    def _build_request(
        self, domain: FailureDomain, requirements: SlotRequirements, wait_seconds: float
    ) -> SlotRequest:
        now = self._clock.boottime()
        return SlotRequest(
            next(self._request_numbers),
            self._own_instance.address,
            requirements.service,
            domain,
            requirements.is_idempotent,
            requirements.is_retry,
            requirements.priority,
            max(0.0, requirements.deadline - now),
            requirements.objective_deadline - now,
            wait_seconds,
            requirements.fingerprint,
            requirements.excluded_upstreams,
            requirements.route_hash,
        )

    async def _acquire_from(
        self,
        lender: str,
        domain: FailureDomain,
        requirements: SlotRequirements,
        wait_seconds: float,
    ) -> AcquiredSlot | SlotRefusal | None:
        """Return the lender's decision, or None if it does not respond.

        A slot request that this instance abandons is cancelled at the lender. Its grant
        may still be on the way, and an unused slot makes its upstream look as if it
        hung.
        """
        request = self._build_request(domain, requirements, wait_seconds)
        decision = asyncio.get_running_loop().create_future()
        self._pending_decisions[request.number] = PendingDecision(
            lender, domain, decision
        )
        response: Any = None
        try:
            response = await self._send_request(lender, request)
            if isinstance(response, SlotQueued):
                response = await self._await_decision(lender, request, decision)
        finally:
            del self._pending_decisions[request.number]
            if not isinstance(response, SlotGrant | SlotRefusal):
                # Returns the slot if the lender has granted one meanwhile.
                self._return(lender, request, UpstreamName(""), Outcome.CANCELLED, 0.0)
        return self._convert_response(lender, domain, response)

    def _convert_response(
        self, lender: str, domain: FailureDomain, response: Any
    ) -> AcquiredSlot | SlotRefusal | None:
        """Return the result of a slot request, or None if there was no response.

        :param response: ``SlotQueued`` if the lender did not decide in time.
        """
        match response:
            case SlotGrant():
                return AcquiredSlot(
                    lender,
                    domain,
                    response.number,
                    response.upstream,
                    response.address,
                    response.hedge_delay_seconds,
                )
            case DomainEvacuated():
                return self._refuse_evacuated()
            case SlotQueued():
                return SlotRefusal(
                    response.number, RefusalReason.BUSY, DEFAULT_HEDGE_DELAY_SECONDS
                )
            case SlotRefusal():
                return response
        return None

    async def _send_request(self, lender: str, request: SlotRequest) -> Any:
        response = await self._peers.request(lender, request, RESPONSE_TIMEOUT_SECONDS)
        return None if isinstance(response, RequestTimedOut) else response

    async def _await_decision(
        self, lender: str, request: SlotRequest, decision: asyncio.Future
    ) -> Any:
        """Return the decision, ``SlotQueued`` if it is late, or None if none comes."""
        until = (
            self._clock.boottime() + request.max_wait_seconds + RESPONSE_TIMEOUT_SECONDS
        )
        while self._clock.boottime() < until:
            done, _ = await asyncio.wait((decision,), timeout=RESEND_INTERVAL_SECONDS)
            if done:
                return decision.result()
            response = await self._send_request(lender, request)
            if not isinstance(response, SlotQueued):
                return response
        return SlotQueued(request.number)

    async def _acquire_without_lenders(
        self, requirements: SlotRequirements
    ) -> AcquiredSlot | SlotRefusal | None:
        """Take a slot from this instance's scheduler when no lender responds.

        That scheduler remembers how the attempts of this instance ended. Retries are
        not allowed, since a second lender has no share of the retry budget.
        """
        if requirements.is_retry:
            return None
        wait_seconds = self._get_remaining_seconds(requirements)
        if self._own_instance.domain in self._follower.upstreams.count_usable_by_domain(
            requirements.service
        ):
            own_instance = self._own_instance
            return await self._acquire_from(
                own_instance.address, own_instance.domain, requirements, wait_seconds
            )
        return self._choose_random_upstream(requirements)

    def _choose_random_upstream(
        self, requirements: SlotRequirements
    ) -> AcquiredSlot | SlotRefusal | None:
        """Return an upstream of another domain, whose lenders do not respond.

        Cold upstreams are left out, since many instances may choose the same one.
        """
        if not self._crashes.admits(requirements.fingerprint):
            return SlotRefusal(
                0, RefusalReason.QUARANTINED, DEFAULT_HEDGE_DELAY_SECONDS
            )
        usable = self._follower.upstreams.list_usable(requirements.service)
        excluded = {*requirements.excluded_upstreams, *self._list_cold(usable)}
        names = sorted(usable.keys() - excluded)
        if not names:
            return None
        name = names[self._random.randrange(len(names))]
        address = usable[name].announcement.address
        return AcquiredSlot(
            "",
            FailureDomain(""),
            next(self._request_numbers),
            name,
            address,
            DEFAULT_HEDGE_DELAY_SECONDS,
        )

    def _list_cold(self, upstreams: UsableUpstreams) -> list[UpstreamName]:
        """Return the cold upstreams whose rate only lenders may use."""
        cold_starts = self._follower.configuration.cold_starts
        now = self._clock.boottime()
        return [
            name
            for name, known in upstreams.items()
            if (cold_start := cold_starts.get(known.announcement.service))
            and now < cold_start.compute_end(known)
        ]

    def release_slot(
        self,
        requirements: SlotRequirements,
        slot: AcquiredSlot,
        outcome: Outcome,
        duration_seconds: float,
    ) -> None:
        """Return a slot to its lender and report how the attempt ended.

        :param duration_seconds: time from the start to the end of the attempt.
        """
        if outcome is Outcome.RESET:
            self._broadcast_crash(
                UpstreamCrashed(requirements.fingerprint, slot.upstream)
            )
        if not slot.lender:
            return
        request = replace(
            self._build_request(slot.domain, requirements, NO_WAIT_SECONDS),
            number=slot.number,
        )
        self._return(slot.lender, request, slot.upstream, outcome, duration_seconds)

    def _return(
        self,
        lender: str,
        request: SlotRequest,
        upstream: UpstreamName,
        outcome: Outcome,
        duration_seconds: float,
    ) -> None:
        returned = SlotReturned(
            request.number,
            request.requester,
            request.service,
            request.domain,
            upstream,
            outcome,
            duration_seconds,
        )
        self._peers.send(lender, returned)

    def _broadcast_crash(self, crash: UpstreamCrashed) -> None:
        members = {member.address for member in self._follower.members.values()}
        for address in members | {self._own_instance.address}:
            self._peers.send(address, crash)
