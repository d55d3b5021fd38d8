"""Decides for one service in one failure domain which request gets which slot.

All requests of a domain are decided here, so that nobody collides on two slots and
what one request saw protects the next one. Requests that may run twice prove upstreams
of which nothing is known; the others go where a run has just ended well.

Under more load than the upstreams carry, requests that can still be on time go first,
by priority and then by arrival; what is late anyway gets the rest. A request that the
queue cannot reach in time is refused at once.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from shallotspindle_core.identifiers import ServiceName, UpstreamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_lending.crashes import Crashes
from shallotspindle_lending.durations import Durations
from shallotspindle_lending.records import (
    Decision,
    Outcome,
    Reason,
    SlotAsked,
    SlotLent,
    SlotRefused,
    SlotReturned,
)
from shallotspindle_lending.routes import SlowRoutes
from shallotspindle_lending.standing import Loan, LoanKey, Standing, Tier
from shallotspindle_registry.directory import Known
from shallotspindle_retries.budget import Budget

# An asker reports until its deadline; later reports were lost.
REPORT_SLACK_SECONDS = 0.5
# Requests that may run twice look for unproven upstreams at least this often.
EXPLORED_PART = 0.3
# An unproven upstream that got nothing for this long gets the next read.
IDLE_SECONDS = 0.8
# This part of the upstreams gets work in every span of this length, also while nothing
# fails: a loss of power showed only afterwards that a third of them had been idle.
FLOOR_PART = 0.8
FLOOR_SECONDS = 1.5
# Loans a second for each upstream below which there is too little work for all.
LEAST_FLOOR_RATE = FLOOR_PART / FLOOR_SECONDS
LEAST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 1.0
# Span over which the rate of lending is seen, and how far it may grow in it.
RATE_SECONDS = 1.0
GROWTH_FACTOR = 1.25
LEAST_RATE = 5.0
LARGEST_RATE = 1024
# A request with no trusted upstream waits this long before it takes a doubtful one.
PATIENCE_SECONDS = 0.06
# A read proves the most doubtful of the proven upstreams that are below this
# probability of being gray; the others are left to heal.
LARGEST_READ_RISK = 0.06
# Work with an effect waits this long for a proven upstream before an unproven one.
CAUTION_SECONDS = 0.04


@dataclass(frozen=True, slots=True)
class Waiting:
    """A queued question.

    :param since: when it was queued, in seconds.
    :param until: when it is refused, in seconds.
    """

    asked: SlotAsked
    since: float
    until: float

    @property
    def key(self) -> LoanKey:
        return (self.asked.asker, self.asked.number)

    def rank(self, work: float, now: float) -> tuple[bool, int, float]:
        """Return the place in the queue, the lowest first.

        :param work: time that most runs take, in seconds.
        """
        left = self.asked.objective_seconds - (now - self.since)
        return (left < work, self.asked.priority, self.since)


@dataclass(frozen=True, slots=True)
class Addressed:
    """A decision with the instance that it goes to."""

    asker: str
    decision: Decision


class Desk:
    """Slots of the upstreams of one service in one failure domain.

    :param crashes: requests that crash upstreams, shared by all desks.
    :param budget: bounds how often requests are sent to a second upstream.
    """

    def __init__(
        self,
        service: ServiceName,
        crashes: Crashes,
        random: RandomSource,
        budget: Budget,
    ) -> None:
        self._service = service
        self._crashes = crashes
        self._random = random
        self.budget = budget
        self._durations = Durations()
        self._routes = SlowRoutes()
        self._standings: dict[UpstreamName, Standing] = {}
        self._queue: list[Waiting] = []
        # When slots were lent, in seconds.
        self._lent: deque[float] = deque(maxlen=LARGEST_RATE)

    @property
    def queued(self) -> int:
        """Number of questions that wait."""
        return len(self._queue)

    @property
    def standings(self) -> Mapping[UpstreamName, Standing]:
        """State of the upstreams, for operators."""
        return self._standings

    def update(self, known: Mapping[UpstreamName, Known]) -> None:
        """Take the usable upstreams; what is known of a run is kept."""
        before = self._standings
        self._standings = {}
        for name, item in known.items():
            standing = before.get(name)
            if standing is None or standing.announcement.run != item.announcement.run:
                standing = Standing(item.announcement)
            standing.announcement = item.announcement
            standing.cold_until = item.seen_at + item.announcement.cold_seconds
            self._standings[name] = standing

    def ask(self, asked: SlotAsked, now: float) -> list[Addressed]:
        """Decide a question, or queue it."""
        repeated = self._find_again(asked)
        if repeated is not None:
            return repeated
        refused = self._find_refusal(asked, now)
        if refused is not None:
            return [self._refuse(asked, refused)]
        last_start = max(0.0, asked.seconds - self._durations.mean)
        waiting = Waiting(asked, now, now + min(asked.wait_seconds, last_start))
        if not self._queue or self._is_next(waiting, now):
            lent = self._serve(waiting, now)
            if lent is not None:
                return [lent]
        if waiting.until <= now or self._is_hopeless(waiting, now):
            return [self._refuse(asked, Reason.BUSY)]
        self._queue.append(waiting)
        return []

    def _is_next(self, waiting: Waiting, now: float) -> bool:
        """Return whether a question would be the first of the queue."""
        usual = self._durations.usual
        rank = waiting.rank(usual, now)
        return all(rank < item.rank(usual, now) for item in self._queue)

    def _is_hopeless(self, waiting: Waiting, now: float) -> bool:
        """Return whether the queue cannot reach a question in time."""
        usual = self._durations.usual
        rank = waiting.rank(usual, now)
        ahead = sum(item.rank(usual, now) <= rank for item in self._queue)
        return now + ahead / self._estimate_rate(now) > waiting.until

    def _estimate_rate(self, now: float) -> float:
        """Return how many slots a second are lent at the most.

        Upstreams that shed or cannot be reached lend less than their slots promise, so
        that what was lent in the last second bounds the rate, with some room to grow.
        """
        promised = max(1, self._count_slots(now)) / self._durations.mean
        return min(promised, GROWTH_FACTOR * self._find_rate(now) + LEAST_RATE)

    def _find_rate(self, now: float) -> float:
        """Return the slots that were lent in the last second, as a rate a second."""
        while self._lent and self._lent[0] <= now - RATE_SECONDS:
            self._lent.popleft()
        return len(self._lent) / RATE_SECONDS

    def _count_slots(self, now: float) -> int:
        """Return the slots of the upstreams that are not suspended."""
        overdue = self._durations.overdue
        return sum(
            item.announcement.slots
            for item in self._standings.values()
            if item.rank(overdue, now) is not Tier.SUSPENDED
        )

    def give_back(self, returned: SlotReturned, now: float) -> list[Addressed]:
        """Take a slot back and lend it again."""
        key = (returned.asker, returned.number)
        self._queue = [item for item in self._queue if item.key != key]
        if not returned.upstream:
            self._drop_loan(key)
        standing = self._standings.get(returned.upstream)
        if standing is not None:
            loan = standing.loans.pop(key, None)
            self._count(standing, loan, returned, now)
        return self.advance(now)

    def _count(
        self, standing: Standing, loan: Loan | None, returned: SlotReturned, now: float
    ) -> None:
        """Count how a run ended, for its upstream and its route."""
        started = loan.started if loan else now - returned.seconds
        outcome = returned.outcome
        if outcome is Outcome.WHOLE:
            self._durations.add(returned.seconds)
            if loan is not None:
                self._crashes.acquit(loan.fingerprint)
        if loan is not None and outcome in (Outcome.WHOLE, Outcome.TIMED_OUT):
            self._routes.note(loan.route, outcome is Outcome.WHOLE)
        is_slow = loan is not None and self._routes.is_slow(loan.route)
        if not (is_slow and outcome in (Outcome.TIMED_OUT, Outcome.OVERDUE)):
            standing.note(outcome, returned.asker, started, now)

    def _drop_loan(self, key: LoanKey) -> None:
        """Take back a slot that its asker never heard of."""
        for standing in self._standings.values():
            standing.loans.pop(key, None)

    def note_crash(self, fingerprint: int, now: float) -> None:
        """Clear the upstreams of blame if a request crashes whatever runs it."""
        if not self._crashes.is_held(fingerprint, now):
            return
        for name in self._crashes.list_blamed(fingerprint):
            if name in self._standings:
                self._standings[name].acquit()

    def advance(self, now: float) -> list[Addressed]:
        """Lend free slots to what waits, and refuse what waited too long."""
        for standing in self._standings.values():
            standing.expire(now)
        usual = self._durations.usual
        self._queue.sort(key=lambda item: item.rank(usual, now))
        decided: list[Addressed] = []
        left: list[Waiting] = []
        is_open = self._is_open(now)
        for item in self._queue:
            lent = self._serve(item, now) if is_open else None
            if lent is not None:
                decided.append(lent)
                is_open = self._is_open(now)
            elif now >= item.until:
                decided.append(self._refuse(item.asked, Reason.BUSY))
            elif not self._may_send(item.asked, now):
                decided.append(self._refuse(item.asked, Reason.NO_BUDGET))
            else:
                left.append(item)
        self._queue = left
        return decided

    def _is_open(self, now: float) -> bool:
        """Return whether a slot is free, so that a queued question may get it.

        Under overload none is, and the queue need not be tried one by one.
        """
        return any(item.is_open(now) for item in self._standings.values())

    def _find_again(self, asked: SlotAsked) -> list[Addressed] | None:
        """Return the answer to a question that was sent a second time."""
        key = (asked.asker, asked.number)
        if any(item.key == key for item in self._queue):
            return []
        for standing in self._standings.values():
            if key in standing.loans:
                return [self._address(asked, standing)]
        return None

    def _find_refusal(self, asked: SlotAsked, now: float) -> Reason | None:
        if not self._standings.keys() - set(asked.avoid):
            return Reason.NO_UPSTREAM
        if self._crashes.is_held(asked.fingerprint, now):
            return Reason.HELD
        return None if self._may_send(asked, now) else Reason.NO_BUDGET

    def _may_send(self, asked: SlotAsked, now: float) -> bool:
        """Return whether the budget for repeats allows a send."""
        return not asked.repeat or self.budget.has_retry(now)

    def _refuse(self, asked: SlotAsked, reason: Reason) -> Addressed:
        slots = sum(item.announcement.slots for item in self._standings.values())
        turns = (len(self._queue) + 1) / max(1, slots)
        spread = 0.5 + self._random.random()
        after = max(LEAST_RETRY_SECONDS, turns * self._durations.mean * spread)
        refused = SlotRefused(asked.number, reason, min(LONGEST_RETRY_SECONDS, after))
        return Addressed(asked.asker, refused)

    def _serve(self, item: Waiting, now: float) -> Addressed | None:
        asked = item.asked
        chosen = self._choose(item, now) if self._may_send(asked, now) else None
        if chosen is None:
            return None
        # Counted where it is sent: a busy desk passes its questions on to others.
        if asked.repeat:
            self.budget.take(now)
        else:
            self.budget.count_request(now)
        left = asked.seconds - (now - item.since)
        until = now + left + REPORT_SLACK_SECONDS
        is_slow = self._routes.is_slow(asked.route)
        chosen.loans[(asked.asker, asked.number)] = Loan(
            now, until, asked.fingerprint, asked.route, is_slow
        )
        chosen.lent_at = now
        self._lent.append(now)
        return self._address(asked, chosen)

    def _address(self, asked: SlotAsked, standing: Standing) -> Addressed:
        announcement = standing.announcement
        lent = SlotLent(
            asked.number,
            announcement.name,
            announcement.address,
            self._durations.overdue,
        )
        return Addressed(asked.asker, lent)

    def _choose(self, item: Waiting, now: float) -> Standing | None:
        asked = item.asked
        tiers = self._sort(asked, now)
        proves = asked.repeatable and not asked.repeat
        trusted = None if asked.repeat else self._find_idle(tiers, proves, now)
        if trusted is None and proves:
            trusted = self._choose_for_proof(tiers, now)
        elif trusted is None:
            trusted = self._choose_safest(item, tiers, now)
        if trusted is not None:
            return trusted
        if not self._has_waited(item, PATIENCE_SECONDS, now):
            return None
        rest = tiers[Tier.DOUBTFUL] or tiers[Tier.SUSPENDED]
        return min(rest, key=lambda s: s.suspended_until, default=None)

    @staticmethod
    def _has_waited(item: Waiting, seconds: float, now: float) -> bool:
        """Return whether a question waited long enough to take a worse upstream."""
        return now - item.since >= seconds

    def _choose_for_proof(
        self, tiers: Mapping[Tier, list[Standing]], now: float
    ) -> Standing | None:
        """Choose for a request that may run twice: where a proof is needed most."""
        proven, unproven = tiers[Tier.PROVEN], tiers[Tier.UNPROVEN]
        if self._explores(tiers, now):
            return min(unproven, key=lambda s: (len(s.loans), s.lent_at))
        gray = {s.announcement.name: self._estimate_gray(s, now) for s in proven}
        likely_sound = [n for n, odds in gray.items() if odds <= LARGEST_READ_RISK]
        if likely_sound:
            return self._standings[max(likely_sound, key=gray.__getitem__)]
        return min(proven, key=lambda s: gray[s.announcement.name], default=None)

    def _choose_safest(
        self, item: Waiting, tiers: Mapping[Tier, list[Standing]], now: float
    ) -> Standing | None:
        """Choose for a request that is lost where its upstream is gray.

        A slot of a proven upstream is worth a short wait as long as there is one.
        """
        proven, unproven = tiers[Tier.PROVEN], tiers[Tier.UNPROVEN]
        if proven:
            return min(proven, key=lambda s: self._estimate_gray(s, now))
        waits = not item.asked.repeatable and self._has_proven(now)
        if waits and not self._has_waited(item, CAUTION_SECONDS, now):
            return None
        return min(unproven, key=self._rank_unproven, default=None)

    def _estimate_gray(self, standing: Standing, now: float) -> float:
        return standing.estimate_gray(self._durations, now)

    def _has_proven(self, now: float) -> bool:
        """Return whether a slot of a proven upstream will be free."""
        overdue = self._durations.overdue
        return any(
            item.rank(overdue, now) is Tier.PROVEN for item in self._standings.values()
        )

    @staticmethod
    def _rank_unproven(standing: Standing) -> tuple[int, int, float]:
        return (standing.probation, len(standing.loans), -standing.proven_at)

    def _explores(self, tiers: Mapping[Tier, list[Standing]], now: float) -> bool:
        unproven = tiers[Tier.UNPROVEN]
        if not unproven:
            return False
        if not tiers[Tier.PROVEN]:
            return True
        if min(item.lent_at for item in unproven) < now - IDLE_SECONDS:
            return True
        return self._random.random() < EXPLORED_PART

    def _find_idle(
        self, tiers: Mapping[Tier, list[Standing]], proves: bool, now: float
    ) -> Standing | None:
        """Return an upstream that must get work, so that enough of them do.

        :param proves: whether the request may run twice; it goes to what was idle for
            longest, any other to what is least likely gray.
        """
        since = now - FLOOR_SECONDS
        live = [s for s in self._standings.values() if s.suspended_until <= now]
        used = sum(item.lent_at > since for item in live)
        if used >= FLOOR_PART * len(live):
            return None
        if self._find_rate(now) < LEAST_FLOOR_RATE * len(live):
            return None
        idle = [
            item
            for tier in (Tier.PROVEN, Tier.UNPROVEN)
            for item in tiers[tier]
            if item.lent_at <= since
        ]
        if proves:
            return min(idle, key=lambda s: s.lent_at, default=None)
        return min(idle, key=lambda s: self._estimate_gray(s, now), default=None)

    def _sort(self, asked: SlotAsked, now: float) -> dict[Tier, list[Standing]]:
        tiers: dict[Tier, list[Standing]] = {tier: [] for tier in Tier}
        overdue = self._durations.overdue
        for name, standing in self._standings.items():
            if name not in asked.avoid and standing.has_room(asked.asker, now):
                tiers[standing.rank(overdue, now)].append(standing)
        return tiers
