"""State of each upstream of one service, as one instance sees it.

An upstream is ejected on this instance's evidence or on agreeing reports, never
below the floor. It comes back through trial requests and a ramp.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from shallotspindle_core.randomness import RandomSource
from shallotspindle_health import floor
from shallotspindle_health.floor import Candidate
from shallotspindle_health.messages import Suspicion
from shallotspindle_health.samples import NEUTRAL, Outcome, Statistics, Thresholds
from shallotspindle_health.suspicions import MAX_SCORE, Board


class State(StrEnum):
    """How an upstream is used.

    ``KEPT`` would be ejected, but the floor needs it; it gets little work.
    """

    ACTIVE = "active"
    SUSPECT = "suspect"
    KEPT = "kept"
    EJECTED = "ejected"
    RAMPING = "ramping"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Recovery:
    """How an ejected upstream comes back.

    :param hold: shortest ejection, in seconds; doubles with each that follows.
    :param hold_limit: longest time without trials, in seconds.
    :param interval: mean time between trials of one instance, in seconds.
    :param trials: good trials in a row that end an ejection.
    :param ramp: time from the end of an ejection to full weight, in seconds.
    :param forgiven: time in use after which earlier ejections count no longer.
    """

    hold: float = 5.0
    hold_limit: float = 60.0
    interval: float = 4.0
    trials: int = 3
    ramp: float = 10.0
    forgiven: float = 120.0


# Less work for a suspect only delays the evidence that ejects or clears it.
SUSPECT_WEIGHT = 1.0
KEPT_WEIGHT = 0.1
RAMP_START_WEIGHT = 0.1


@dataclass(slots=True)
class Standing:
    """State of one upstream.

    :param own: whether the ejection rests on this instance's evidence.
    :param score: evidence of this instance when it ejected the upstream.
    :param was_cold: whether it was ejected while it ramped; it stays absent then.
    """

    state: State
    since: float
    own: bool = False
    score: float = 0.0
    reason: str = ""
    ejections: int = 0
    next_trial: float = 0.0
    good_trials: int = 0
    trial_sent: bool = False
    was_cold: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Description:
    """What operators see of an upstream."""

    name: str
    state: State
    score: float
    reasons: tuple[str, ...]
    since: float
    shed: int


class ServiceHealth:
    """Decides which upstreams of a service get work.

    :param board: suspicions of other instances, shared by all services.
    """

    def __init__(
        self,
        service: str,
        board: Board,
        random: RandomSource,
        thresholds: Thresholds | None = None,
        recovery: Recovery | None = None,
    ) -> None:
        self._service = service
        self._board = board
        self._random = random
        self._thresholds = thresholds or Thresholds()
        self._recovery = recovery or Recovery()
        self._statistics = Statistics(self._thresholds)
        self._standings: dict[str, Standing] = {}
        self._floor = 0
        self.doubtful = False
        # Nothing to re-evaluate until a bad sample or a report arrives.
        self.settled = False

    def update(self, names: frozenset[str], floor_count: int, now: float) -> None:
        """Take the upstreams and the floor of the bundle in force.

        Upstreams of the first bundle are warm; those that a later one adds ramp.
        """
        state = State.RAMPING if self._standings else State.ACTIVE
        known = self._standings
        self._standings = {
            name: known.get(name) or Standing(state, now) for name in sorted(names)
        }
        self._statistics.keep(names)
        self._floor = floor_count
        self.evaluate(now)

    def mark_leaving(self, name: str, leaving: bool, now: float) -> None:
        """Stop new work for a leaving upstream, or take the mark back."""
        standing = self._standings.get(name)
        if standing is None or standing.leaving == leaving:
            return
        standing.leaving = leaving
        self._move(standing, State.DRAINING if leaving else State.RAMPING, now)
        self.evaluate(now)

    def record(
        self,
        name: str,
        outcome: Outcome,
        seconds: float,
        load: float | None,
        now: float,
    ) -> None:
        """Count an exchange with an upstream."""
        standing = self._standings.get(name)
        if standing is None:
            return
        bad = self._statistics.add(name, outcome, seconds, load)
        if standing.state is State.EJECTED:
            # Late answers of requests sent before the ejection are no trials.
            if standing.trial_sent and outcome not in NEUTRAL:
                standing.trial_sent = False
                self._judge_trial(name, standing, bad, now)
        elif bad or standing.state is not State.ACTIVE:
            self.evaluate(now)

    def acquit(self, name: str, now: float) -> None:
        """Take back a failure that a request caused."""
        self._statistics.acquit(name)
        standing = self._standings.get(name)
        if standing is None or standing.state is not State.EJECTED:
            return
        if standing.own and self._statistics.score(name) < self._thresholds.suspect:
            self._end_ejection(name, standing, now, False)

    def take_trial(self, now: float) -> str | None:
        """Return an ejected upstream that should get this request as a trial."""
        for name, standing in self._standings.items():
            due = standing.state is State.EJECTED and standing.own
            if due and now >= standing.next_trial:
                standing.next_trial = now + self._draw_interval()
                standing.trial_sent = True
                return name
        return None

    def weigh(self, now: float) -> Mapping[str, float]:
        """Return the part of normal work that each usable upstream may get."""
        weights = {}
        for name, standing in self._standings.items():
            weight = self._weigh_one(standing, now)
            if weight > 0:
                weights[name] = weight
        return weights

    def list_suspicions(self) -> list[Suspicion]:
        """Return what this instance holds against upstreams."""
        found = []
        for name, standing in self._standings.items():
            score = self._find_score(name, standing)
            if score >= self._thresholds.suspect and not standing.leaving:
                reason = standing.reason or self._statistics.explain(name)
                ejected = standing.state is State.EJECTED
                found.append(Suspicion(self._service, name, score, ejected, reason))
        return found

    def describe(self, now: float) -> tuple[Description, ...]:
        """Return the state of each upstream for operators."""
        claims = self._board.group(self._service, now)
        return tuple(
            Description(
                name,
                standing.state,
                self._find_score(name, standing),
                self._explain(name, standing, len(claims.get(name, ()))),
                standing.since,
                self._statistics.count_shed(name),
            )
            for name, standing in self._standings.items()
        )

    def evaluate(self, now: float) -> None:
        """Apply the floor to the combined view and move the states."""
        claims = self._board.group(self._service, now)
        wanted = self._find_wanted(claims)
        chosen = floor.select_ejections(
            self._list_candidates(claims, wanted),
            self._find_present(wanted),
            self._floor,
        )
        for name, standing in self._standings.items():
            self._advance(name, standing, wanted, chosen, now)
        quiet = (State.ACTIVE, State.DRAINING)
        states = (item.state for item in self._standings.values())
        self.settled = not claims and all(state in quiet for state in states)

    def _find_wanted(
        self, claims: Mapping[str, list[tuple[str, Suspicion]]]
    ) -> dict[str, bool]:
        wanted = {}
        for name, standing in self._standings.items():
            score = self._find_score(name, standing)
            suspects = score >= self._thresholds.suspect and not self.doubtful
            agreed = self._board.is_agreed(
                claims.get(name, ()), score if suspects else None
            )
            own = score >= 1.0 and not self.doubtful
            if agreed or own:
                wanted[name] = agreed
        return wanted

    def _list_candidates(
        self,
        claims: Mapping[str, list[tuple[str, Suspicion]]],
        wanted: Mapping[str, bool],
    ) -> list[Candidate]:
        candidates = []
        for name, standing in self._standings.items():
            if standing.leaving:
                continue
            reports = [item for _, item in claims.get(name, ())]
            # A peer's ejection takes room above the floor also where it is not shared.
            if name in wanted or any(item.ejected for item in reports):
                scores = [min(MAX_SCORE, item.score) for item in reports]
                score = max([self._find_score(name, standing), *scores])
                candidates.append(Candidate(name, wanted.get(name, False), score))
        return candidates

    def _find_present(self, wanted: Mapping[str, bool]) -> frozenset[str]:
        return frozenset(
            name
            for name, standing in self._standings.items()
            if not self._is_absent(name, standing, wanted)
        )

    def _is_absent(
        self, name: str, standing: Standing, wanted: Mapping[str, bool]
    ) -> bool:
        if standing.state is State.EJECTED:
            # Nobody wants the ejection any longer, so that the upstream turns cold.
            return standing.was_cold or name not in wanted
        return standing.state in {State.DRAINING, State.RAMPING}

    def _find_score(self, name: str, standing: Standing) -> float:
        if standing.state is State.EJECTED and standing.own:
            return standing.score
        return min(MAX_SCORE, self._statistics.score(name))

    def _advance(
        self,
        name: str,
        standing: Standing,
        wanted: Mapping[str, bool],
        chosen: frozenset[str],
        now: float,
    ) -> None:
        if standing.leaving:
            return
        if name in wanted and name in chosen:
            self._eject(name, standing, now)
        elif standing.state is State.EJECTED:
            kept = name in wanted or (self.doubtful and standing.own)
            self._end_ejection(name, standing, now, kept)
        elif name in wanted or self._find_score(name, standing) >= 1.0:
            # The floor or doubt about this instance forbids the ejection.
            self._move(standing, State.KEPT, now)
        elif standing.state is State.RAMPING:
            if now - standing.since >= self._recovery.ramp:
                self._move(standing, State.ACTIVE, now)
        elif self._statistics.score(name) >= self._thresholds.suspect:
            self._move(standing, State.SUSPECT, now)
        else:
            self._move(standing, State.ACTIVE, now)

    def _eject(self, name: str, standing: Standing, now: float) -> None:
        if standing.state is State.EJECTED:
            return
        score = self._find_score(name, standing)
        if now - standing.since > self._recovery.forgiven:
            standing.ejections = 0
        standing.own = score >= self._thresholds.suspect
        standing.score = score
        standing.reason = self._statistics.explain(name) if standing.own else "reports"
        standing.ejections += 1
        standing.good_trials = 0
        standing.trial_sent = False
        standing.was_cold = standing.state is State.RAMPING
        self._delay_trials(standing, now)
        self._move(standing, State.EJECTED, now)

    def _delay_trials(self, standing: Standing, now: float) -> None:
        hold = self._recovery.hold * 2 ** (standing.ejections - 1)
        jitter = self._draw_interval()
        standing.next_trial = now + min(self._recovery.hold_limit, hold) + jitter

    def _draw_interval(self) -> float:
        return self._recovery.interval * (0.5 + self._random.random())

    def _judge_trial(
        self, name: str, standing: Standing, bad: bool, now: float
    ) -> None:
        if bad:
            standing.good_trials = 0
            standing.ejections += 1
            self._delay_trials(standing, now)
            return
        standing.good_trials += 1
        if standing.good_trials >= self._recovery.trials and standing.own:
            self._end_ejection(name, standing, now, False)
            self.evaluate(now)

    def _end_ejection(
        self, name: str, standing: Standing, now: float, kept: bool
    ) -> None:
        standing.own = False
        standing.reason = ""
        if not kept:
            self._statistics.reset(name)
        self._move(standing, State.KEPT if kept else State.RAMPING, now)

    def _move(self, standing: Standing, state: State, now: float) -> None:
        if standing.state is not state:
            standing.state = state
            standing.since = now

    def _weigh_one(self, standing: Standing, now: float) -> float:
        match standing.state:
            case State.ACTIVE:
                return 1.0
            case State.SUSPECT:
                return SUSPECT_WEIGHT
            case State.KEPT:
                return KEPT_WEIGHT
            case State.RAMPING:
                part = (now - standing.since) / self._recovery.ramp
                return min(1.0, max(RAMP_START_WEIGHT, part))
        return 0.0

    def _explain(self, name: str, standing: Standing, claims: int) -> tuple[str, ...]:
        reasons = [standing.reason] if standing.reason else []
        if self._statistics.score(name) >= self._thresholds.suspect:
            reasons.append(self._statistics.explain(name))
        if claims:
            reasons.append(f"reported by {claims} instances")
        return tuple(dict.fromkeys(reasons))
