"""State of each upstream of one service, as one instance sees it.

An upstream is ejected on the evidence of this instance or on a quorum of reports, as
long as the upstreams in use meet the floor. After good trial requests or when no
evidence is left, it returns with a weight that ramps up.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from shallotspindle_core.randomness import RandomSource
from shallotspindle_health import floor
from shallotspindle_health.floor import Candidate
from shallotspindle_health.messages import Suspicion
from shallotspindle_health.scoring import (
    NEUTRAL_OUTCOMES,
    Outcome,
    OutlierScores,
    Thresholds,
)
from shallotspindle_health.suspicions import MAX_SCORE, PeerReports


class HealthState(StrEnum):
    """How an upstream is used.

    ``EJECTION_BLOCKED`` is an upstream with enough evidence for an ejection, which is
    forbidden by the floor or because this instance suspects itself. It gets few
    requests.
    """

    ACTIVE = "active"
    SUSPECT = "suspect"
    EJECTION_BLOCKED = "kept"
    EJECTED = "ejected"
    RAMPING = "ramping"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class RecoverySettings:
    """How an ejected upstream returns to use.

    :param min_ejection_seconds: time from an ejection to its first trial; doubles with
        each further ejection and each failed trial.
    :param max_ejection_seconds: upper bound of that time, without jitter.
    :param trial_interval_seconds: mean time between trials of one instance.
    :param required_trials: successful trials in a row that end an ejection.
    :param ramp_seconds: time from the end of an ejection to full weight.
    :param forget_ejections_seconds: time in one state after which earlier ejections no
        longer count.
    """

    min_ejection_seconds: float = 5.0
    max_ejection_seconds: float = 60.0
    trial_interval_seconds: float = 4.0
    required_trials: int = 3
    ramp_seconds: float = 10.0
    forget_ejections_seconds: float = 120.0


# Fewer requests for a suspect would only delay the evidence that ejects or clears it.
SUSPECT_WEIGHT = 1.0
EJECTION_BLOCKED_WEIGHT = 0.1
RAMP_START_WEIGHT = 0.1


@dataclass(slots=True)
class UpstreamStatus:
    """State of one upstream, and the course of its ejection.

    :param since: time of the last change of state, in seconds.
    :param has_own_evidence: whether the ejection rests on evidence of this instance;
        only then does this instance send trials.
    :param ejection_score: evidence of this instance at the ejection.
    :param next_trial_at: earliest time of the next trial, in seconds.
    :param was_ramping: whether it was ejected while it ramped up; then it does not
        count towards the floor while it is ejected.
    """

    state: HealthState
    since: float
    has_own_evidence: bool = False
    ejection_score: float = 0.0
    ejection_reason: str = ""
    ejection_count: int = 0
    next_trial_at: float = 0.0
    successful_trials: int = 0
    is_trial_sent: bool = False
    was_ramping: bool = False
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamDescription:
    """State of an upstream as shown to operators."""

    name: str
    state: HealthState
    score: float
    reasons: tuple[str, ...]
    since: float
    shed_count: int


class ServiceHealth:
    """Decides which upstreams of a service get requests.

    :param peer_reports: suspicions of other instances, shared by all services.
    """

    def __init__(
        self,
        service: str,
        peer_reports: PeerReports,
        random: RandomSource,
        thresholds: Thresholds | None = None,
        recovery: RecoverySettings | None = None,
    ) -> None:
        self._service = service
        self._peer_reports = peer_reports
        self._random = random
        self._thresholds = thresholds or Thresholds()
        self._recovery = recovery or RecoverySettings()
        self._scores = OutlierScores(self._thresholds)
        self._statuses: dict[str, UpstreamStatus] = {}
        self._floor = 0
        self.suspects_itself = False
        # No state can change until an attempt looks bad or a report arrives.
        self.is_settled = False

    def update(self, upstreams: frozenset[str], floor_count: int, now: float) -> None:
        """Apply the upstreams and the floor of the current bundle.

        Upstreams of the first bundle get full weight; those that a later bundle adds
        ramp up.
        """
        state = HealthState.RAMPING if self._statuses else HealthState.ACTIVE
        known = self._statuses
        self._statuses = {
            upstream: known.get(upstream) or UpstreamStatus(state, now)
            for upstream in sorted(upstreams)
        }
        self._scores.set_upstreams(upstreams)
        self._floor = floor_count
        self.evaluate(now)

    def set_leaving(self, upstream: str, is_leaving: bool, now: float) -> None:
        """Stop new requests to a leaving upstream, or resume them with a ramp."""
        status = self._statuses.get(upstream)
        if status is None or status.is_leaving == is_leaving:
            return
        status.is_leaving = is_leaving
        self._set_state(
            status, HealthState.DRAINING if is_leaving else HealthState.RAMPING, now
        )
        self.evaluate(now)

    def record(
        self,
        upstream: str,
        outcome: Outcome,
        seconds: float,
        load: float | None,
        now: float,
    ) -> None:
        """Count an attempt at an upstream.

        :param seconds: duration of the attempt.
        :param load: requests per slot that the upstream reported, if it did.
        """
        status = self._statuses.get(upstream)
        if status is None:
            return
        is_bad = self._scores.record(upstream, outcome, seconds, load)
        if status.state is HealthState.EJECTED:
            # Late responses to requests sent before the ejection are no trials.
            if status.is_trial_sent and outcome not in NEUTRAL_OUTCOMES:
                status.is_trial_sent = False
                self._finish_trial(upstream, status, is_bad, now)
        elif is_bad or status.state is not HealthState.ACTIVE:
            self.evaluate(now)

    def retract_failure(self, upstream: str, now: float) -> None:
        """Take back a failure that the request caused, and an ejection based on it."""
        self._scores.retract_failure(upstream)
        status = self._statuses.get(upstream)
        if status is None or status.state is not HealthState.EJECTED:
            return
        if (
            status.has_own_evidence
            and self._scores.score(upstream) < self._thresholds.suspicion_score
        ):
            self._end_ejection(upstream, status, now, False)

    def start_trial(self, now: float) -> str | None:
        """Return an ejected upstream to send the next request to as a trial, if any."""
        for upstream, status in self._statuses.items():
            has_trials = status.state is HealthState.EJECTED and status.has_own_evidence
            if has_trials and now >= status.next_trial_at:
                status.next_trial_at = now + self._draw_trial_interval()
                status.is_trial_sent = True
                return upstream
        return None

    def find_weights(self, now: float) -> Mapping[str, float]:
        """Return the fraction of the usual load that each usable upstream may get."""
        weights = {}
        for upstream, status in self._statuses.items():
            weight = self._find_weight(status, now)
            if weight > 0:
                weights[upstream] = weight
        return weights

    def list_suspicions(self) -> list[Suspicion]:
        """Return the suspicions of this instance."""
        found = []
        for upstream, status in self._statuses.items():
            score = self._find_score(upstream, status)
            if score >= self._thresholds.suspicion_score and not status.is_leaving:
                reason = status.ejection_reason or self._scores.find_reason(upstream)
                is_ejected = status.state is HealthState.EJECTED
                found.append(
                    Suspicion(self._service, upstream, score, is_ejected, reason)
                )
        return found

    def describe(self, now: float) -> tuple[UpstreamDescription, ...]:
        """Return the state of each upstream for operators."""
        peer_suspicions = self._peer_reports.group_by_upstream(self._service, now)
        return tuple(
            UpstreamDescription(
                upstream,
                status.state,
                self._find_score(upstream, status),
                self._list_reasons(
                    upstream, status, len(peer_suspicions.get(upstream, ()))
                ),
                status.since,
                self._scores.get_shed_count(upstream),
            )
            for upstream, status in self._statuses.items()
        )

    def evaluate(self, now: float) -> None:
        """Update all states from own evidence, reports of peers and the floor."""
        peer_suspicions = self._peer_reports.group_by_upstream(self._service, now)
        proposed = self._find_proposed_ejections(peer_suspicions)
        selected = floor.select_ejections(
            self._list_candidates(peer_suspicions, proposed),
            self._list_present(proposed),
            self._floor,
        )
        for upstream, status in self._statuses.items():
            self._update_state(upstream, status, proposed, selected, now)
        settled_states = (HealthState.ACTIVE, HealthState.DRAINING)
        states = (status.state for status in self._statuses.values())
        self.is_settled = not peer_suspicions and all(
            state in settled_states for state in states
        )

    def _find_proposed_ejections(
        self, peer_suspicions: Mapping[str, list[tuple[str, Suspicion]]]
    ) -> dict[str, bool]:
        """Return the upstreams to eject if the floor allows.

        :returns: for each upstream whether a quorum proposes its ejection.
        """
        proposed = {}
        for upstream, status in self._statuses.items():
            score = self._find_score(upstream, status)
            is_suspect = (
                score >= self._thresholds.suspicion_score and not self.suspects_itself
            )
            has_quorum = self._peer_reports.has_quorum(
                peer_suspicions.get(upstream, ()), score if is_suspect else None
            )
            is_own_proposal = score >= 1.0 and not self.suspects_itself
            if has_quorum or is_own_proposal:
                proposed[upstream] = has_quorum
        return proposed

    def _list_candidates(
        self,
        peer_suspicions: Mapping[str, list[tuple[str, Suspicion]]],
        proposed: Mapping[str, bool],
    ) -> list[Candidate]:
        candidates = []
        for upstream, status in self._statuses.items():
            if status.is_leaving:
                continue
            suspicions = [item for _, item in peer_suspicions.get(upstream, ())]
            # An ejection by a peer uses up capacity above the floor even where this
            # instance does not propose it.
            if upstream in proposed or any(item.is_ejected for item in suspicions):
                scores = [min(MAX_SCORE, item.score) for item in suspicions]
                score = max([self._find_score(upstream, status), *scores])
                candidates.append(
                    Candidate(upstream, proposed.get(upstream, False), score)
                )
        return candidates

    def _list_present(self, proposed: Mapping[str, bool]) -> frozenset[str]:
        """Return the upstreams that count towards the floor."""
        return frozenset(
            upstream
            for upstream, status in self._statuses.items()
            if not self._is_absent(upstream, status, proposed)
        )

    def _is_absent(
        self, upstream: str, status: UpstreamStatus, proposed: Mapping[str, bool]
    ) -> bool:
        if status.state is HealthState.EJECTED:
            # Without a proposal the ejection ends now and the upstream ramps up.
            return status.was_ramping or upstream not in proposed
        return status.state in {HealthState.DRAINING, HealthState.RAMPING}

    def _find_score(self, upstream: str, status: UpstreamStatus) -> float:
        if status.state is HealthState.EJECTED and status.has_own_evidence:
            return status.ejection_score
        return min(MAX_SCORE, self._scores.score(upstream))

    def _update_state(
        self,
        upstream: str,
        status: UpstreamStatus,
        proposed: Mapping[str, bool],
        selected: frozenset[str],
        now: float,
    ) -> None:
        if status.is_leaving:
            return
        if upstream in proposed and upstream in selected:
            self._eject(upstream, status, now)
        elif status.state is HealthState.EJECTED:
            is_blocked = upstream in proposed or (
                self.suspects_itself and status.has_own_evidence
            )
            self._end_ejection(upstream, status, now, is_blocked)
        elif upstream in proposed or self._find_score(upstream, status) >= 1.0:
            # The floor forbids the ejection, or this instance suspects itself.
            self._set_state(status, HealthState.EJECTION_BLOCKED, now)
        elif status.state is HealthState.RAMPING:
            if now - status.since >= self._recovery.ramp_seconds:
                self._set_state(status, HealthState.ACTIVE, now)
        elif self._scores.score(upstream) >= self._thresholds.suspicion_score:
            self._set_state(status, HealthState.SUSPECT, now)
        else:
            self._set_state(status, HealthState.ACTIVE, now)

    def _eject(self, upstream: str, status: UpstreamStatus, now: float) -> None:
        if status.state is HealthState.EJECTED:
            return
        score = self._find_score(upstream, status)
        if now - status.since > self._recovery.forget_ejections_seconds:
            status.ejection_count = 0
        status.has_own_evidence = score >= self._thresholds.suspicion_score
        status.ejection_score = score
        status.ejection_reason = (
            self._scores.find_reason(upstream) if status.has_own_evidence else "reports"
        )
        status.ejection_count += 1
        status.successful_trials = 0
        status.is_trial_sent = False
        status.was_ramping = status.state is HealthState.RAMPING
        self._delay_trials(status, now)
        self._set_state(status, HealthState.EJECTED, now)

    def _delay_trials(self, status: UpstreamStatus, now: float) -> None:
        delay = self._recovery.min_ejection_seconds * 2 ** (status.ejection_count - 1)
        jitter = self._draw_trial_interval()
        status.next_trial_at = (
            now + min(self._recovery.max_ejection_seconds, delay) + jitter
        )

    def _draw_trial_interval(self) -> float:
        return self._recovery.trial_interval_seconds * (0.5 + self._random.random())

    def _finish_trial(
        self, upstream: str, status: UpstreamStatus, is_bad: bool, now: float
    ) -> None:
        if is_bad:
            status.successful_trials = 0
            status.ejection_count += 1
            self._delay_trials(status, now)
            return
        status.successful_trials += 1
        if (
            status.successful_trials >= self._recovery.required_trials
            and status.has_own_evidence
        ):
            self._end_ejection(upstream, status, now, False)
            self.evaluate(now)

    def _end_ejection(
        self, upstream: str, status: UpstreamStatus, now: float, is_blocked: bool
    ) -> None:
        """End an ejection.

        :param is_blocked: whether the evidence is still enough for an ejection, which
            is forbidden by the floor or because this instance suspects itself.
        """
        status.has_own_evidence = False
        status.ejection_reason = ""
        if not is_blocked:
            self._scores.reset(upstream)
        self._set_state(
            status,
            HealthState.EJECTION_BLOCKED if is_blocked else HealthState.RAMPING,
            now,
        )

    def _set_state(
        self, status: UpstreamStatus, state: HealthState, now: float
    ) -> None:
        if status.state is not state:
            status.state = state
            status.since = now

    def _find_weight(self, status: UpstreamStatus, now: float) -> float:
        match status.state:
            case HealthState.ACTIVE:
                return 1.0
            case HealthState.SUSPECT:
                return SUSPECT_WEIGHT
            case HealthState.EJECTION_BLOCKED:
                return EJECTION_BLOCKED_WEIGHT
            case HealthState.RAMPING:
                fraction = (now - status.since) / self._recovery.ramp_seconds
                return min(1.0, max(RAMP_START_WEIGHT, fraction))
        return 0.0

    def _list_reasons(
        self, upstream: str, status: UpstreamStatus, reporter_count: int
    ) -> tuple[str, ...]:
        reasons = [status.ejection_reason] if status.ejection_reason else []
        if self._scores.score(upstream) >= self._thresholds.suspicion_score:
            reasons.append(self._scores.find_reason(upstream))
        if reporter_count:
            reasons.append(f"reported by {reporter_count} instances")
        return tuple(dict.fromkeys(reasons))
