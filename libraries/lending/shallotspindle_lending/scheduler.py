"""Decides which request gets which slot, for one service in one failure domain.

All requests of a domain are decided in one place, so that no two requests take the same
slot and every request benefits from what earlier ones observed. Idempotent requests
verify upstreams of which little is known; the others go to upstreams where an attempt
has just succeeded.

Under more load than the upstreams can carry, requests that can still meet their latency
objective go first, by priority and then by arrival; late requests get the remaining
slots. A slot request that the queue cannot reach in time is refused at once.

Where the routes of a service differ in cost, expected durations are those of the route
and not of the service (``costs``), and load is outstanding work (``work``).
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from shallotspindle_core.identifiers import ServiceName, UpstreamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_lending.cold import ColdLimit
from shallotspindle_lending.costs import RouteCosts
from shallotspindle_lending.crashes import CrashTracker
from shallotspindle_lending.durations import Durations
from shallotspindle_lending.grants import RecentGrant, RecentGrants
from shallotspindle_lending.leaving import LeavingReports
from shallotspindle_lending.records import (
    Decision,
    Outcome,
    RefusalReason,
    SlotGrant,
    SlotRefusal,
    SlotRequest,
    SlotReturned,
)
from shallotspindle_lending.request_queue import QueuedRequest, RequestQueue
from shallotspindle_lending.reserve import CostClass, is_held_back
from shallotspindle_lending.routes import SlowRoutes
from shallotspindle_lending.upstreams import Lease, LeaseKey, TrustTier, UpstreamState
from shallotspindle_lending.work import estimate_outstanding_work
from shallotspindle_registry.directory import KnownUpstream
from shallotspindle_retries.budget import RetryBudget

# A requester reports the outcome by the request's deadline; a report that is missing
# after this much longer was lost.
REPORT_GRACE_SECONDS = 0.5
# Fraction of the idempotent requests that go to an unverified upstream, at the least.
EXPLORATION_FRACTION = 0.3
# An unverified upstream that got no request for this long gets the next idempotent one.
MAX_UNVERIFIED_IDLE_SECONDS = 0.8
# This fraction of the upstreams gets requests within every activity window, also while
# nothing fails: a power loss showed only afterwards that a third of them had been idle.
MIN_ACTIVE_FRACTION = 0.8
ACTIVITY_WINDOW_SECONDS = 1.5
# Grants per second and upstream below which there are too few requests to keep
# MIN_ACTIVE_FRACTION of the upstreams active.
MIN_ACTIVE_GRANT_RATE = MIN_ACTIVE_FRACTION / ACTIVITY_WINDOW_SECONDS
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 1.0
# How far the grant rate may grow beyond the measured one: by the factor, and by a
# number of grants per second.
GRANT_RATE_GROWTH_FACTOR = 1.25
GRANT_RATE_ALLOWANCE = 5.0
# A request without a trusted upstream waits this long before it takes a suspect one.
SUSPECT_WAIT_SECONDS = 0.06
# An idempotent request goes to the verified upstream that is the most likely to be gray
# among those below this probability; the others are left to recover.
MAX_VERIFICATION_GRAY_PROBABILITY = 0.06
# Upstreams whose probabilities of being gray differ by no more are trusted equally;
# where routes differ in cost, the one with the least outstanding work is preferred.
MAX_EQUAL_TRUST_DIFFERENCE = 0.01
# A non-idempotent request waits this long for a verified upstream before it takes an
# unverified one.
VERIFIED_WAIT_SECONDS = 0.04


@dataclass(frozen=True, slots=True)
class AddressedDecision:
    """A decision with the instance that it is sent to."""

    requester: str
    decision: Decision


class SlotScheduler:
    """Grants the slots of the upstreams of one service in one failure domain.

    :param crash_tracker: requests that crash upstreams; shared by all schedulers of an
        instance.
    :param retry_budget: bounds the requests that are sent to a second upstream.
    :param leaving_reports: upstreams that instances reported as leaving; shared by all
        schedulers of an instance.
    :param cold_limit: bounds the requests that cold upstreams get.
    """

    def __init__(
        self,
        service: ServiceName,
        crash_tracker: CrashTracker,
        random: RandomSource,
        retry_budget: RetryBudget,
        leaving_reports: LeavingReports | None = None,
        cold_limit: ColdLimit | None = None,
    ) -> None:
        self._service = service
        self._crash_tracker = crash_tracker
        self._random = random
        self.retry_budget = retry_budget
        self._leaving_reports = leaving_reports or LeavingReports()
        self._cold_limit = cold_limit or ColdLimit()
        self._durations = Durations()
        self._costs = RouteCosts(self._durations)
        self._slow_routes = SlowRoutes()
        self._upstream_states: dict[UpstreamName, UpstreamState] = {}
        self._queue = RequestQueue(self._get_typical_seconds)
        self._grants = RecentGrants()

    @property
    def queue_length(self) -> int:
        """Number of slot requests that wait."""
        return len(self._queue)

    @property
    def upstream_states(self) -> Mapping[UpstreamName, UpstreamState]:
        """State of the upstreams, for operators."""
        return self._upstream_states

    @property
    def cost_ratio(self) -> float:
        """Ratio of the costs of the routes, for operators; see ``RouteCosts.ratio``."""
        return self._costs.ratio

    def update_upstreams(self, usable: Mapping[UpstreamName, KnownUpstream]) -> None:
        """Replace the usable upstreams.

        The state of an upstream is kept as long as its incarnation stays the same.
        """
        previous = self._upstream_states
        self._upstream_states = {}
        for name, known in usable.items():
            state = previous.get(name)
            if (
                state is None
                or state.announcement.incarnation != known.announcement.incarnation
            ):
                state = UpstreamState(known.announcement)
            state.announcement = known.announcement
            state.cold_until = self._cold_limit.cold_start.compute_end(known)
            self._upstream_states[name] = state

    def request_slot(self, request: SlotRequest, now: float) -> list[AddressedDecision]:
        """Decide a slot request, or queue it.

        :returns: the decision, or nothing if the request is queued.
        """
        repeated = self._find_repeated_decision(request)
        if repeated is not None:
            return repeated
        reason = self._find_refusal_reason(request, now)
        if reason is not None:
            return [self._build_refusal(request, reason)]
        needed_seconds = self._costs.estimate_needed_seconds(request.route_hash)
        max_delay = max(0.0, request.deadline_seconds - needed_seconds)
        queued = QueuedRequest(
            request, now, now + min(request.max_wait_seconds, max_delay)
        )
        if self._is_next(queued, now):
            grant = self._try_queued(queued, set(), now)
            if grant is not None:
                return [grant]
        if queued.expires_at <= now or self._would_expire_in_queue(queued, now):
            return [self._build_refusal(request, RefusalReason.BUSY)]
        self._queue.add(queued)
        return []

    def _get_typical_seconds(self, route_hash: int) -> float:
        """Return the duration that most attempts of a route do not exceed."""
        return self._costs.get_durations(route_hash).typical_seconds

    def _is_next(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether no request of the queue gets a slot before this one.

        Requests that are held back for cheap, urgent ones do not keep others waiting.
        """
        if not self._queue or self._queue.is_first(queued, now):
            return True
        if not self._costs.differ or not self._has_free_slot(now):
            return False
        held_back: set[CostClass] = set()
        return all(
            self._is_held_back(item.request, held_back, now)
            for item in self._queue.list_ahead(queued, now)
        )

    def _would_expire_in_queue(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether the queue cannot reach a new slot request in time."""
        ahead = self._queue.list_ahead(queued, now)
        return now + len(ahead) / self._estimate_rate_of(ahead, now) > queued.expires_at

    def _estimate_rate_of(self, items: Iterable[QueuedRequest], now: float) -> float:
        """Return the highest expected number of these requests granted per second."""
        mean_seconds = self._costs.estimate_mean_seconds(
            item.request.route_hash for item in items
        )
        return self._estimate_max_grant_rate(mean_seconds, now)

    def _estimate_max_grant_rate(self, mean_seconds: float, now: float) -> float:
        """Return the highest expected number of grants per second.

        Upstreams that shed load or cannot be reached run fewer requests than their
        slots allow, so the measured rate bounds the result, with some room to grow.
        Cold upstreams that got nothing yet may run what their limit allows.

        :param mean_seconds: mean duration to expect of the requests to be granted.
        """
        capacity = max(1, self._count_slots(now)) / mean_seconds
        measured = self._grants.measure_rate(now)
        max_growth = GRANT_RATE_GROWTH_FACTOR * measured + GRANT_RATE_ALLOWANCE
        if self._costs.differ:
            # The same work is another number of grants if their cost changes.
            granted_mean = self._grants.estimate_mean_seconds(now)
            max_growth *= (granted_mean or self._durations.mean_seconds) / mean_seconds
        cold = self._cold_limit.sum_rates(self._upstream_states.values(), now)
        return min(capacity, max(max_growth, cold))

    def _list_staying(self, now: float) -> list[UpstreamState]:
        """Return the upstreams that were not reported as leaving."""
        states = self._upstream_states.values()
        return self._leaving_reports.select_staying(states, now)

    def _count_slots(self, now: float) -> int:
        """Return the number of slots of the upstreams that are not suspended."""
        return sum(state.announcement.slots for state in self._list_unsuspended(now))

    def _list_unsuspended(self, now: float) -> list[UpstreamState]:
        """Return the upstreams that stay and are not suspended."""
        return [
            state for state in self._list_staying(now) if state.suspended_until <= now
        ]

    def return_slot(
        self, returned: SlotReturned, now: float
    ) -> list[AddressedDecision]:
        """Take a slot back, and grant free slots to queued requests.

        :returns: the decisions for queued requests.
        """
        key = (returned.requester, returned.number)
        self._queue.remove(key)
        if not returned.upstream:
            self._drop_lease(key)
        state = self._upstream_states.get(returned.upstream)
        if state is not None:
            lease = state.leases.pop(key, None)
            self._record_outcome(state, lease, returned, now)
        return self.advance(now)

    def _record_outcome(
        self,
        state: UpstreamState,
        lease: Lease | None,
        returned: SlotReturned,
        now: float,
    ) -> None:
        """Record the outcome of an attempt for its upstream and its route.

        Timeouts of a slow route are not recorded for the upstream, and neither are
        those of attempts that were not overdue by the durations of their route: such a
        request was sent too late.
        """
        granted_at = lease.granted_at if lease else now - returned.duration_seconds
        outcome = returned.outcome
        if outcome is Outcome.COMPLETE:
            self._durations.add(returned.duration_seconds)
            if lease is not None:
                self._costs.add(lease.route_hash, returned.duration_seconds)
                self._crash_tracker.record_success(lease.fingerprint)
        if lease is not None and outcome in (Outcome.COMPLETE, Outcome.TIMED_OUT):
            self._slow_routes.record_outcome(
                lease.route_hash, outcome is Outcome.COMPLETE
            )
        is_excused = lease is not None and (
            self._slow_routes.is_slow(lease.route_hash)
            or lease.is_within_route(returned.duration_seconds)
        )
        if not (is_excused and outcome in (Outcome.TIMED_OUT, Outcome.OVERDUE)):
            state.record_outcome(outcome, returned.requester, granted_at, now)

    def _drop_lease(self, key: LeaseKey) -> None:
        """Take back a slot whose requester never received the grant."""
        for state in self._upstream_states.values():
            state.leases.pop(key, None)

    def handle_crash(self, fingerprint: int) -> None:
        """Clear the suspensions that a quarantined request caused."""
        if not self._crash_tracker.is_quarantined(fingerprint):
            return
        for name in self._crash_tracker.list_crashed_upstreams(fingerprint):
            if name in self._upstream_states:
                self._upstream_states[name].clear_suspension()

    def advance(self, now: float) -> list[AddressedDecision]:
        """Grant free slots to queued requests, and refuse those that come too late.

        Later arrivals that can still meet their objective go ahead of those that
        cannot, so a request that seemed in time when it was queued may no longer be.
        """
        for state in self._upstream_states.values():
            state.expire_leases(now)
        self._queue.sort(now)
        decided: list[AddressedDecision] = []
        remaining: list[QueuedRequest] = []
        held_back: set[CostClass] = set()
        has_free_slot = self._has_free_slot(now)
        max_rate = self._estimate_rate_of(self._queue, now)
        for item in self._queue:
            grant = self._try_queued(item, held_back, now) if has_free_slot else None
            if grant is not None:
                decided.append(grant)
                has_free_slot = self._has_free_slot(now)
            elif now + len(remaining) / max_rate >= item.expires_at:
                decided.append(self._build_refusal(item.request, RefusalReason.BUSY))
            elif reason := self._find_exclusion(item.request, now):
                decided.append(self._build_refusal(item.request, reason))
            else:
                remaining.append(item)
        self._queue.replace(remaining)
        return decided

    def _has_free_slot(self, now: float) -> bool:
        """Return whether any upstream has a free slot.

        Under overload none has, and the queue need not be tried item by item.
        """
        return any(
            state.has_free_slot(now) and self._cold_limit.admits(state, now)
            for state in self._list_staying(now)
        )

    def _find_repeated_decision(
        self, request: SlotRequest
    ) -> list[AddressedDecision] | None:
        """Return the decision on a slot request that was received before.

        :returns: an empty list if it is still queued, None if it is new.
        """
        key = (request.requester, request.number)
        if any(item.lease_key == key for item in self._queue):
            return []
        for state in self._upstream_states.values():
            if key in state.leases:
                return [self._build_grant(request, state)]
        return None

    def _find_refusal_reason(
        self, request: SlotRequest, now: float
    ) -> RefusalReason | None:
        if not self._upstream_states.keys() - set(request.excluded_upstreams):
            return RefusalReason.NO_UPSTREAM
        return self._find_exclusion(request, now)

    def _find_exclusion(self, request: SlotRequest, now: float) -> RefusalReason | None:
        """Return why a request may use no upstream at all, whichever is free."""
        if not self._crash_tracker.admits(request.fingerprint):
            self._crash_tracker.record_refusal(request.fingerprint)
            return RefusalReason.QUARANTINED
        if not self._is_within_retry_budget(request, now):
            return RefusalReason.NO_BUDGET
        return None

    def _is_within_retry_budget(self, request: SlotRequest, now: float) -> bool:
        """Return whether the request is a first attempt or a retry is left."""
        return not request.is_retry or self.retry_budget.has_retry(now)

    def _build_refusal(
        self, request: SlotRequest, reason: RefusalReason
    ) -> AddressedDecision:
        slots = sum(
            state.announcement.slots for state in self._upstream_states.values()
        )
        rounds = (len(self._queue) + 1) / max(1, slots)
        jitter = 0.5 + self._random.random()
        retry_after = max(
            MIN_RETRY_AFTER_SECONDS, rounds * self._durations.mean_seconds * jitter
        )
        refusal = SlotRefusal(
            request.number, reason, min(MAX_RETRY_AFTER_SECONDS, retry_after)
        )
        return AddressedDecision(request.requester, refusal)

    def _try_queued(
        self, item: QueuedRequest, held_back: set[CostClass], now: float
    ) -> AddressedDecision | None:
        """Grant a slot unless it is kept for cheap, urgent requests.

        :param held_back: see ``_is_held_back``.
        """
        if self._is_held_back(item.request, held_back, now):
            return None
        return self._try_grant(item, now)

    def _is_held_back(
        self, request: SlotRequest, held_back: set[CostClass], now: float
    ) -> bool:
        """Return whether a request leaves the free slots to cheap, urgent ones.

        :param held_back: classes that were held back in this pass over the queue, in
            which no slot becomes free; is added to.
        """
        if not self._costs.differ:
            return False
        expected = self._costs.get_durations(request.route_hash)
        wanted = CostClass(request.priority, expected.mean_seconds)
        if wanted not in held_back and is_held_back(
            wanted, self._list_running(now), self._grants, self._count_slots(now), now
        ):
            held_back.add(wanted)
        return wanted in held_back

    def _list_running(self, now: float) -> Iterator[CostClass]:
        """Return the classes of the requests at upstreams that are not suspended."""
        for state in self._list_unsuspended(now):
            for lease in state.leases.values():
                expected = lease.route_durations or self._durations
                yield CostClass(lease.priority, expected.mean_seconds)

    def _try_grant(self, item: QueuedRequest, now: float) -> AddressedDecision | None:
        request = item.request
        if self._find_exclusion(request, now) is not None:
            return None
        chosen = self._choose_upstream(item, now)
        if chosen is None:
            return None
        self._crash_tracker.use_trial(request.fingerprint)
        # Counted only when a slot is granted: a request that is refused here may be
        # granted a slot, and counted, in another failure domain.
        if request.is_retry:
            self.retry_budget.take_retry(now)
        else:
            self.retry_budget.count_request(now)
        remaining = request.deadline_seconds - (now - item.queued_at)
        expires_at = now + remaining + REPORT_GRACE_SECONDS
        is_slow = self._slow_routes.is_slow(request.route_hash)
        expected = self._costs.get_durations(request.route_hash)
        chosen.leases[(request.requester, request.number)] = Lease(
            now,
            expires_at,
            request.fingerprint,
            request.route_hash,
            is_slow,
            request.priority,
            self._costs.find_route_durations(request.route_hash),
        )
        chosen.last_granted_at = now
        self._cold_limit.record_grant(chosen, now)
        spare_seconds = request.objective_seconds - expected.mean_seconds
        self._grants.add(
            RecentGrant(now, request.priority, expected.mean_seconds, spare_seconds)
        )
        return self._build_grant(request, chosen)

    def _build_grant(
        self, request: SlotRequest, state: UpstreamState
    ) -> AddressedDecision:
        announcement = state.announcement
        grant = SlotGrant(
            request.number,
            announcement.name,
            announcement.address,
            self._costs.get_durations(request.route_hash).overdue_seconds,
        )
        return AddressedDecision(request.requester, grant)

    def _choose_upstream(self, item: QueuedRequest, now: float) -> UpstreamState | None:
        request = item.request
        tiers = self._group_by_tier(request, now)
        can_verify = request.is_idempotent and not request.is_retry
        trusted = (
            None
            if request.is_retry
            else self._find_idle_upstream(tiers, can_verify, now)
        )
        if trusted is None and can_verify:
            trusted = self._choose_for_verification(tiers, now)
        elif trusted is None:
            trusted = self._choose_safest(item, tiers, now)
        if trusted is not None:
            return trusted
        if not self._has_waited(item, SUSPECT_WAIT_SECONDS, now):
            return None
        untrusted = tiers[TrustTier.SUSPECT] or tiers[TrustTier.SUSPENDED]
        return min(untrusted, key=lambda state: state.suspended_until, default=None)

    @staticmethod
    def _has_waited(item: QueuedRequest, seconds: float, now: float) -> bool:
        """Return whether a request waited long enough to take a less trusted upstream.

        :param seconds: the wait that is long enough.
        """
        return now - item.queued_at >= seconds

    def _choose_for_verification(
        self, tiers: Mapping[TrustTier, list[UpstreamState]], now: float
    ) -> UpstreamState | None:
        """Choose the upstream that an idempotent request verifies with most benefit."""
        verified, unverified = tiers[TrustTier.VERIFIED], tiers[TrustTier.UNVERIFIED]
        if self._should_explore(tiers, now):
            return min(
                unverified,
                key=lambda state: (self._get_load(state, now), state.last_granted_at),
            )
        probabilities = self._estimate_gray_probabilities(verified, now)
        likely_healthy = [
            name
            for name, probability in probabilities.items()
            if probability <= MAX_VERIFICATION_GRAY_PROBABILITY
        ]
        if likely_healthy:
            chosen = max(likely_healthy, key=probabilities.__getitem__)
            return self._prefer_least_work(
                chosen, {name: probabilities[name] for name in likely_healthy}, now
            )
        return min(
            verified,
            key=lambda state: probabilities[state.announcement.name],
            default=None,
        )

    def _choose_safest(
        self,
        item: QueuedRequest,
        tiers: Mapping[TrustTier, list[UpstreamState]],
        now: float,
    ) -> UpstreamState | None:
        """Choose the upstream that is the least likely to lose the request.

        While any upstream is verified, a non-idempotent request waits a short time for
        one of its slots.
        """
        verified, unverified = tiers[TrustTier.VERIFIED], tiers[TrustTier.UNVERIFIED]
        if verified:
            probabilities = self._estimate_gray_probabilities(verified, now)
            chosen = min(probabilities, key=probabilities.__getitem__)
            return self._prefer_least_work(chosen, probabilities, now)
        should_wait = not item.request.is_idempotent and self._has_verified_upstream(
            now
        )
        if should_wait and not self._has_waited(item, VERIFIED_WAIT_SECONDS, now):
            return None
        return min(
            unverified,
            key=lambda state: self._get_unverified_sort_key(state, now),
            default=None,
        )

    def _prefer_least_work(
        self,
        chosen: UpstreamName,
        probabilities: Mapping[UpstreamName, float],
        now: float,
    ) -> UpstreamState:
        """Return the upstream with the least work of those trusted like the chosen one.

        :param probabilities: of being gray, for the chosen upstream and the others that
            may be used.
        :returns: the chosen upstream while routes do not differ in cost.
        """
        if not self._costs.differ:
            return self._upstream_states[chosen]
        equal = [
            self._upstream_states[name]
            for name, probability in probabilities.items()
            if abs(probability - probabilities[chosen]) <= MAX_EQUAL_TRUST_DIFFERENCE
        ]
        return min(equal, key=lambda state: self._get_load(state, now))

    def _get_load(self, state: UpstreamState, now: float) -> float:
        """Return the outstanding work of an upstream.

        :returns: the number of its attempts while routes do not differ in cost.
        """
        if not self._costs.differ:
            return len(state.leases)
        return estimate_outstanding_work(state, self._durations, now)

    def _estimate_gray_probability(self, state: UpstreamState, now: float) -> float:
        return state.estimate_gray_probability(self._durations, now)

    def _estimate_gray_probabilities(
        self, states: Iterable[UpstreamState], now: float
    ) -> dict[UpstreamName, float]:
        return {
            state.announcement.name: self._estimate_gray_probability(state, now)
            for state in states
        }

    def _has_verified_upstream(self, now: float) -> bool:
        """Return whether any upstream is verified, with or without a free slot."""
        overdue = self._durations.overdue_seconds
        return any(
            state.get_trust_tier(overdue, now) is TrustTier.VERIFIED
            for state in self._list_staying(now)
        )

    def _get_unverified_sort_key(
        self, state: UpstreamState, now: float
    ) -> tuple[int, float, float]:
        return (state.probation, self._get_load(state, now), -state.verified_at)

    def _should_explore(
        self, tiers: Mapping[TrustTier, list[UpstreamState]], now: float
    ) -> bool:
        """Return whether an idempotent request goes to an unverified upstream."""
        unverified = tiers[TrustTier.UNVERIFIED]
        if not unverified:
            return False
        if not tiers[TrustTier.VERIFIED]:
            return True
        if (
            min(state.last_granted_at for state in unverified)
            < now - MAX_UNVERIFIED_IDLE_SECONDS
        ):
            return True
        return self._random.random() < EXPLORATION_FRACTION

    def _find_idle_upstream(
        self,
        tiers: Mapping[TrustTier, list[UpstreamState]],
        can_verify: bool,
        now: float,
    ) -> UpstreamState | None:
        """Return an idle upstream if too few upstreams got requests lately.

        :param can_verify: whether the request is idempotent and a first attempt. Such a
            request goes to the upstream that was idle for the longest time, any other
            to the one that is the least likely to be gray.
        """
        window_start = now - ACTIVITY_WINDOW_SECONDS
        eligible = self._list_unsuspended(now)
        active = sum(state.last_granted_at > window_start for state in eligible)
        if active >= MIN_ACTIVE_FRACTION * len(eligible):
            return None
        if self._grants.measure_rate(now) < MIN_ACTIVE_GRANT_RATE * len(eligible):
            return None
        idle = [
            state
            for tier in (TrustTier.VERIFIED, TrustTier.UNVERIFIED)
            for state in tiers[tier]
            if state.last_granted_at <= window_start
        ]
        if can_verify:
            return min(idle, key=lambda state: state.last_granted_at, default=None)
        return min(
            idle,
            key=lambda state: self._estimate_gray_probability(state, now),
            default=None,
        )

    def _list_candidates(self, request: SlotRequest, now: float) -> list[UpstreamState]:
        """Return the upstreams that the request was not sent to and that stay."""
        candidates = [
            state
            for name, state in self._upstream_states.items()
            if name not in request.excluded_upstreams
        ]
        return self._leaving_reports.select_staying(candidates, now)

    def _group_by_tier(
        self, request: SlotRequest, now: float
    ) -> dict[TrustTier, list[UpstreamState]]:
        """Return the upstreams that the request may use now, by tier."""
        tiers: dict[TrustTier, list[UpstreamState]] = {tier: [] for tier in TrustTier}
        overdue = self._durations.overdue_seconds
        available = [
            state
            for state in self._list_candidates(request, now)
            if state.is_available_to(request.requester, now)
        ]
        for state in self._cold_limit.select_admitted(available, now):
            tiers[state.get_trust_tier(overdue, now)].append(state)
        return tiers
