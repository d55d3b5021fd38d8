"""What the lender knows of one upstream from the requests of its whole failure domain.

An upstream is *verified* by a successful attempt that started recently. An attempt that
takes longer than nearly all others makes its upstream *suspect* before the attempt
fails, because a hanging upstream gives no other sign. The silence of an attempt
reflects the state that the upstream had when the attempt started, so it counts for a
few seconds only.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from shallotspindle_lending.beliefs import PRIOR_BELIEF, Belief
from shallotspindle_lending.durations import Durations
from shallotspindle_lending.records import Outcome
from shallotspindle_registry.records import Announcement

# An older success says little, since the upstream may have turned gray in between.
VERIFIED_SECONDS = 2.0
# The silence of an attempt counts against its upstream for this time from the attempt's
# start. Most upstreams respond again long before an upload that hung there reaches
# its deadline.
SILENCE_EVIDENCE_SECONDS = 4.5
# Longer suspensions would keep healthy capacity out after the upstream has recovered.
INITIAL_SUSPENSION_SECONDS = 1.0
MAX_SUSPENSION_SECONDS = 1.5
MISDIRECTED_SUSPENSION_SECONDS = 5.0
SHED_PAUSE_SECONDS = 0.05
# The path between one requester and the upstream may be cut for some seconds.
UNREACHABLE_PAUSE_SECONDS = 3.0
MIN_UNREACHABLE_REQUESTERS = 2
MAX_CONSECUTIVE_ERRORS = 2
# A gray upstream completes some requests, so one success does not end a probation.
PROBATION_SUCCESSES = 3
# One in this many slots, rounded down, is granted at a time during a probation; at
# least one is.
SLOTS_PER_PROBATION_GRANT = 2
# Successes after which an upstream is trusted again after a server error.
ERROR_PROBATION_SUCCESSES = 2
FAILURE_OUTCOMES = frozenset(
    {Outcome.TRUNCATED, Outcome.TIMED_OUT, Outcome.OVERDUE, Outcome.RESET}
)
SILENT_OUTCOMES = frozenset({Outcome.TIMED_OUT, Outcome.OVERDUE})


class TrustTier(IntEnum):
    """How much an upstream is trusted; the lowest value is the most trusted."""

    VERIFIED = 0
    UNVERIFIED = 1
    SUSPECT = 2
    SUSPENDED = 3


@dataclass(frozen=True, slots=True)
class Lease:
    """A slot that is in use.

    :param granted_at: in seconds.
    :param expires_at: when the slot is taken back without a report, in seconds.
    :param fingerprint: hash of the request that uses the slot.
    :param is_slow_route: whether requests of the route take long at every upstream.
    :param priority: priority of the request; 0 is the highest.
    :param route_durations: durations to expect of the route; None if those of the
        service apply.
    """

    granted_at: float
    expires_at: float
    fingerprint: int
    route_hash: int = 0
    is_slow_route: bool = False
    priority: int = 0
    route_durations: Durations | None = None

    def get_overdue_seconds(self, service_overdue_seconds: float) -> float:
        """Return the age beyond which the attempt is overdue.

        :param service_overdue_seconds: applies if the route has no durations.
        """
        if self.route_durations is None:
            return service_overdue_seconds
        return self.route_durations.overdue_seconds

    def is_within_route(self, age_seconds: float) -> bool:
        """Return whether the route has durations, and the attempt was not overdue."""
        return (
            self.route_durations is not None
            and age_seconds <= self.route_durations.overdue_seconds
        )


# Requester and number of the slot request.
LeaseKey = tuple[str, int]


@dataclass(slots=True)
class UpstreamState:
    """State of one upstream. All times are in seconds.

    :param cold_until: end of the warm-up after the upstream started or returned.
    :param verified_at: start of the latest successful attempt.
    :param last_granted_at: when a slot was granted for the last time.
    :param last_failed_at: when the upstream was last found to have failed.
    :param paused_until: end of the pause after the upstream shed a request.
    :param suspension_seconds: length of the next suspension.
    :param probation: successful attempts that are needed before the upstream is trusted
        again.
    :param consecutive_errors: server errors since the last success.
    :param unreachable_until: ends of the pauses of the requesters that could not
        connect.
    :param last_success_at: when an attempt of any requester last succeeded.
    """

    announcement: Announcement
    cold_until: float = 0.0
    leases: dict[LeaseKey, Lease] = field(default_factory=dict)
    verified_at: float = float("-inf")
    last_granted_at: float = float("-inf")
    suspended_until: float = float("-inf")
    last_failed_at: float = float("-inf")
    paused_until: float = float("-inf")
    suspension_seconds: float = INITIAL_SUSPENSION_SECONDS
    probation: int = 0
    consecutive_errors: int = 0
    unreachable_until: dict[str, float] = field(default_factory=dict)
    last_success_at: float = float("-inf")
    belief: Belief = PRIOR_BELIEF

    def expire_leases(self, now: float) -> None:
        """Take back slots whose requesters did not report an outcome."""
        for key in [
            key for key, lease in self.leases.items() if lease.expires_at <= now
        ]:
            lease = self.leases.pop(key)
            if now - lease.granted_at <= SILENCE_EVIDENCE_SECONDS:
                self.suspend(now)

    def has_free_slot(self, now: float) -> bool:
        """Return whether a slot may be granted to some requester.

        On probation after a repeated suspension, only a part of the slots is granted.
        """
        slots = self.announcement.slots
        if len(self.leases) >= slots or now < self.paused_until:
            return False
        if not self.probation or self.suspension_seconds <= INITIAL_SUSPENSION_SECONDS:
            return True
        granted = max(1, slots // SLOTS_PER_PROBATION_GRANT)
        return self._count_recent_leases(now) < granted

    def _count_recent_leases(self, now: float) -> int:
        """Return the number of running attempts, without those that hang for long.

        An attempt that hung before the upstream recovered would otherwise keep the
        others away until its deadline.
        """
        earliest = now - SILENCE_EVIDENCE_SECONDS
        return sum(lease.granted_at >= earliest for lease in self.leases.values())

    def is_available_to(self, requester: str, now: float) -> bool:
        """Return whether a slot may be granted to this requester."""
        return (
            self.has_free_slot(now)
            and self.unreachable_until.get(requester, now) <= now
        )

    def get_trust_tier(self, overdue_seconds: float, now: float) -> TrustTier:
        """Return how much the upstream is trusted.

        :param overdue_seconds: age beyond which a running attempt is overdue, if its
            route has no durations of its own.
        """
        if now < self.suspended_until:
            return TrustTier.SUSPENDED
        if any(
            now - lease.granted_at > lease.get_overdue_seconds(overdue_seconds)
            for lease in self._list_evidence_leases(now)
        ):
            return TrustTier.SUSPECT
        if self.probation or now < self.cold_until:
            return TrustTier.UNVERIFIED
        if now - self.verified_at <= VERIFIED_SECONDS:
            return TrustTier.VERIFIED
        return TrustTier.UNVERIFIED

    def estimate_gray_probability(self, durations: Durations, now: float) -> float:
        """Return the probability that the upstream is gray for a request sent now.

        :param durations: apply to attempts whose route has no durations of its own.
        """
        belief = self.belief.predict(now)
        for lease in self._list_evidence_leases(now):
            expected = lease.route_durations or durations
            age = now - lease.granted_at
            belief = belief.observe_running(expected.estimate_longer_fraction(age))
        return belief.gray_probability

    def _list_evidence_leases(self, now: float) -> list[Lease]:
        """Return the leases of the attempts whose silence counts as evidence.

        Attempts on slow routes and those that started too long ago do not count.
        """
        return [
            lease
            for lease in self.leases.values()
            if not lease.is_slow_route
            and now - lease.granted_at <= SILENCE_EVIDENCE_SECONDS
        ]

    def record_outcome(
        self, outcome: Outcome, requester: str, granted_at: float, now: float
    ) -> None:
        """Update the state with the outcome of an attempt.

        :param granted_at: when the slot was granted, in seconds.
        """
        match outcome:
            case Outcome.COMPLETE:
                self._record_success(granted_at, now)
            case Outcome.ERROR:
                self._record_error(now)
            case Outcome.SHED:
                self._record_shed(now)
            case Outcome.MISDIRECTED:
                self.suspended_until = now + MISDIRECTED_SUSPENSION_SECONDS
            case Outcome.NOT_CONNECTED:
                self._record_unreachable(requester, now)
            case _ if (
                outcome in SILENT_OUTCOMES
                and now - granted_at > SILENCE_EVIDENCE_SECONDS
            ):
                # The upstream may have recovered since the attempt started, and the
                # silence has already counted against it as evidence.
                pass
            case _ if outcome in FAILURE_OUTCOMES:
                self.suspend(now)

    def suspend(self, now: float) -> None:
        """Exclude the upstream for a time that doubles up to a maximum."""
        self.verified_at = float("-inf")
        self.last_failed_at = now
        self.belief = self.belief.observe_failure(now)
        if now < self.suspended_until:
            return
        self.suspended_until = now + self.suspension_seconds
        self.suspension_seconds = min(
            2 * self.suspension_seconds, MAX_SUSPENSION_SECONDS
        )
        self.probation = PROBATION_SUCCESSES

    def clear_suspension(self) -> None:
        """Undo a suspension that a request and not the upstream caused."""
        self.suspended_until = float("-inf")
        self.probation = 0
        self.suspension_seconds = INITIAL_SUSPENSION_SECONDS

    def _record_success(self, granted_at: float, now: float) -> None:
        self.last_success_at = now
        if granted_at < self.last_failed_at:
            return
        self.belief = self.belief.observe_success(now)
        self.consecutive_errors = 0
        self.probation = max(0, self.probation - 1)
        if not self.probation:
            self.verified_at = max(self.verified_at, granted_at)
            self.suspension_seconds = INITIAL_SUSPENSION_SECONDS

    def _record_error(self, now: float) -> None:
        self.consecutive_errors += 1
        self.belief = self.belief.observe_error(now)
        self.verified_at = float("-inf")
        self.probation = max(self.probation, ERROR_PROBATION_SUCCESSES)
        if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
            self.suspend(now)

    def _record_shed(self, now: float) -> None:
        """Pause the upstream briefly.

        Upstreams that shed load are not suspended: when all of them shed a part of it,
        suspensions would take away the remaining capacity.
        """
        self.paused_until = now + SHED_PAUSE_SECONDS
        self.verified_at = float("-inf")

    def _record_unreachable(self, requester: str, now: float) -> None:
        """Pause the upstream for this requester, or suspend it if none reaches it.

        An upstream that responded to any requester since the first of these connection
        failures is alive; only the network paths of the others are cut.
        """
        self.unreachable_until = {
            name: end for name, end in self.unreachable_until.items() if end > now
        }
        self.unreachable_until[requester] = now + UNREACHABLE_PAUSE_SECONDS
        first_failed_at = (
            min(self.unreachable_until.values()) - UNREACHABLE_PAUSE_SECONDS
        )
        if len(self.unreachable_until) >= MIN_UNREACHABLE_REQUESTERS and (
            self.last_success_at < first_failed_at
        ):
            self.suspend(now)
