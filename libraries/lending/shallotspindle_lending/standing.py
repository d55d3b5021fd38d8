"""What the lender knows of one upstream from the requests of its whole domain.

An upstream is *proven* by a run that began recently and ended well. A run that takes
longer than nearly all others makes its upstream doubtful before it fails, because an
upstream that hangs shows nothing else. Its silence says how the upstream was when the
run began, so that it counts for a few seconds only.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from shallotspindle_lending.beliefs import UNKNOWN, Belief
from shallotspindle_lending.durations import Durations
from shallotspindle_lending.records import Outcome
from shallotspindle_registry.records import Announcement

# A proof says little once the upstream may have turned gray in between.
PROOF_SECONDS = 2.0
# The silence of a run speaks against its upstream for this time from its begin. Most
# upstreams answer again long before an upload that hung there reaches its deadline.
SILENCE_SECONDS = 4.5
# Longer suspensions would keep healthy capacity out after the upstream has recovered.
FIRST_SUSPENSION_SECONDS = 1.0
LONGEST_SUSPENSION_SECONDS = 1.5
MISDIRECTED_SECONDS = 5.0
SHED_SECONDS = 0.05
# One way between the asker and the upstream may be cut for some seconds.
PAIR_SECONDS = 3.0
LEAST_UNREACHED_ASKERS = 2
LARGEST_ERRORS = 2
# A gray upstream answers some requests; one whole run does not end a probation.
PROBATION_RUNS = 3
# After a server error a few runs must end well before it is trusted again.
ERROR_RUNS = 2
FAILURES = frozenset(
    {Outcome.TRUNCATED, Outcome.TIMED_OUT, Outcome.OVERDUE, Outcome.RESET}
)
SILENT = frozenset({Outcome.TIMED_OUT, Outcome.OVERDUE})


class Tier(IntEnum):
    """How much an upstream is trusted; the lowest is best."""

    PROVEN = 0
    UNPROVEN = 1
    DOUBTFUL = 2
    SUSPENDED = 3


@dataclass(frozen=True, slots=True)
class Loan:
    """A slot that is in use.

    :param started: when it was lent, in seconds.
    :param until: when it is taken back without a report, in seconds.
    :param is_slow: whether requests of its route take long wherever they run.
    """

    started: float
    until: float
    fingerprint: int
    route: int = 0
    is_slow: bool = False


LoanKey = tuple[str, int]


@dataclass(slots=True)
class Standing:
    """State of one upstream.

    :param proven_at: start of the latest run that ended well, in seconds.
    :param answered_at: when a run last ended well for any asker, in seconds.
    :param unreached: askers that could not connect, with the end of their pause.
    :param probation: runs that must still end well after the last suspension.
    """

    announcement: Announcement
    cold_until: float = 0.0
    loans: dict[LoanKey, Loan] = field(default_factory=dict)
    proven_at: float = float("-inf")
    lent_at: float = float("-inf")
    suspended_until: float = float("-inf")
    failed_at: float = float("-inf")
    avoid_until: float = float("-inf")
    suspension: float = FIRST_SUSPENSION_SECONDS
    probation: int = 0
    errors: int = 0
    unreached: dict[str, float] = field(default_factory=dict)
    answered_at: float = float("-inf")
    belief: Belief = UNKNOWN

    def expire(self, now: float) -> None:
        """Take back slots whose askers did not report."""
        for key in [key for key, loan in self.loans.items() if loan.until <= now]:
            loan = self.loans.pop(key)
            if now - loan.started <= SILENCE_SECONDS:
                self.suspend(now)

    def is_open(self, now: float) -> bool:
        """Return whether a slot is free for any asker."""
        if len(self.loans) >= self.announcement.slots or now < self.avoid_until:
            return False
        return not (
            self.suspension > FIRST_SUSPENSION_SECONDS and self.probation and self.loans
        )

    def has_room(self, asker: str, now: float) -> bool:
        """Return whether a request of an asker may be sent now."""
        return self.is_open(now) and self.unreached.get(asker, now) <= now

    def rank(self, overdue: float, now: float) -> Tier:
        """Return how much the upstream is trusted.

        :param overdue: age of a run beyond which it counts as overdue, in seconds.
        """
        if now < self.suspended_until:
            return Tier.SUSPENDED
        if any(age > overdue for age in self._list_ages(now)):
            return Tier.DOUBTFUL
        if self.probation or now < self.cold_until:
            return Tier.UNPROVEN
        if now - self.proven_at <= PROOF_SECONDS:
            return Tier.PROVEN
        return Tier.UNPROVEN

    def estimate_gray(self, durations: Durations, now: float) -> float:
        """Return the probability that a request sent now meets a gray upstream."""
        belief = self.belief.predict(now)
        for age in self._list_ages(now):
            belief = belief.note_running(durations.find_longer(age))
        return belief.gray

    def _list_ages(self, now: float) -> list[float]:
        """Return the ages of the runs whose silence says how the upstream is now."""
        ages = (now - loan.started for loan in self.loans.values() if not loan.is_slow)
        return [age for age in ages if age <= SILENCE_SECONDS]

    def note(self, outcome: Outcome, asker: str, started: float, now: float) -> None:
        """Count how a run ended.

        :param started: when the slot was lent, in seconds.
        """
        match outcome:
            case Outcome.WHOLE:
                self._note_whole(started, now)
            case Outcome.ERROR:
                self._note_error(now)
            case Outcome.SHED:
                self._note_shed(now)
            case Outcome.MISDIRECTED:
                self.suspended_until = now + MISDIRECTED_SECONDS
            case Outcome.NOT_CONNECTED:
                self._note_unreached(asker, now)
            case _ if outcome in SILENT and now - started > SILENCE_SECONDS:
                # Its upstream may have recovered, and was out for that time already.
                pass
            case _ if outcome in FAILURES:
                self.suspend(now)

    def suspend(self, now: float) -> None:
        """Give the upstream no work for a while, longer each time."""
        self.proven_at = float("-inf")
        self.failed_at = now
        self.belief = self.belief.note_failure(now)
        if now < self.suspended_until:
            return
        self.suspended_until = now + self.suspension
        self.suspension = min(2 * self.suspension, LONGEST_SUSPENSION_SECONDS)
        self.probation = PROBATION_RUNS

    def acquit(self) -> None:
        """Forget a suspension that a request and not the upstream caused."""
        self.suspended_until = float("-inf")
        self.probation = 0
        self.suspension = FIRST_SUSPENSION_SECONDS

    def _note_whole(self, started: float, now: float) -> None:
        self.answered_at = now
        if started < self.failed_at:
            return
        self.belief = self.belief.note_whole(now)
        self.errors = 0
        self.probation = max(0, self.probation - 1)
        if not self.probation:
            self.proven_at = max(self.proven_at, started)
            self.suspension = FIRST_SUSPENSION_SECONDS

    def _note_error(self, now: float) -> None:
        self.errors += 1
        self.belief = self.belief.note_error(now)
        self.proven_at = float("-inf")
        self.probation = max(self.probation, ERROR_RUNS)
        if self.errors >= LARGEST_ERRORS:
            self.suspend(now)

    def _note_shed(self, now: float) -> None:
        """Send work elsewhere for a moment.

        Shedding upstreams are not suspended: when all of them shed a part, suspensions
        would take the capacity that is left.
        """
        self.avoid_until = now + SHED_SECONDS
        self.proven_at = float("-inf")

    def _note_unreached(self, asker: str, now: float) -> None:
        """Pause the pair of asker and upstream, and the upstream if none reaches it.

        An upstream that answered somebody since the first of these askers failed is
        alive; the ways of the askers are cut.
        """
        self.unreached = {a: t for a, t in self.unreached.items() if t > now}
        self.unreached[asker] = now + PAIR_SECONDS
        first_failed = min(self.unreached.values()) - PAIR_SECONDS
        if len(self.unreached) >= LEAST_UNREACHED_ASKERS and (
            self.answered_at < first_failed
        ):
            self.suspend(now)
