"""Plays a load against a desk in simulated time, to compare and test decisions.

Upstreams turn gray by turns: a part of the requests that begin there hangs until the
deadline. Reads are sent to a second upstream when the first takes too long; work with
an effect is sent once. There is no network; the desk is the one that instances use.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_lending.crashes import CrashTracker
from shallotspindle_lending.records import (
    Outcome,
    SlotGrant,
    SlotRequest,
    SlotReturned,
)
from shallotspindle_lending.scheduler import AddressedDecision, SlotScheduler
from shallotspindle_registry.directory import KnownUpstream
from shallotspindle_registry.records import AnnouncedState, Announcement
from shallotspindle_retries.budget import RetryBudget

SERVICE = ServiceName("catalogue")
DOMAIN = FailureDomain("a")
ASKER = "instance"
TICK_SECONDS = 0.05
CONNECT_SECONDS = 0.08


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    :param rate: requests a second.
    :param work_seconds: mean time of a run.
    :param objective_seconds: time until an answer is late.
    :param deadline_seconds: time until an answer is useless.
    """

    name: str
    repeatable: bool
    rate: float
    work_seconds: float
    objective_seconds: float
    deadline_seconds: float
    priority: int = 1


@dataclass(frozen=True, slots=True)
class World:
    """What is played.

    :param upstreams: number of upstreams, with two slots each.
    :param gray_part: part of the periods in which an upstream turns gray.
    :param gray_period: length of a period, in seconds.
    :param gray_seconds: length of a gray spell.
    :param hang_part: part of the runs that hang at a gray upstream.
    :param error_part: part of the runs that end with a server error.
    :param spread: standard deviation of the logarithm of the time of a run.
    :param shed_part: part of the requests that every upstream sheds.
    """

    kinds: tuple[Kind, ...]
    upstreams: int = 7
    slots: int = 2
    seconds: float = 60.0
    gray_part: float = 0.3
    gray_period: float = 9.0
    gray_seconds: float = 5.0
    hang_part: float = 0.75
    error_part: float = 0.012
    spread: float = 0.6
    shed_part: float = 0.0


@dataclass(slots=True)
class Tally:
    """Answers of one kind of request."""

    sent: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0

    @property
    def served_part(self) -> float:
        """Part of the requests with a whole answer."""
        return (self.on_time + self.late) / max(1, self.sent)

    @property
    def lost_part(self) -> float:
        """Part of the requests that ran or may have run without an answer."""
        return self.lost / max(1, self.sent)


@dataclass(slots=True)
class Request:
    """A request on its way.

    :param flights: numbers of the sends that have not ended.
    """

    kind: Kind
    arrived: float
    avoid: tuple[UpstreamName, ...] = ()
    flights: set[int] = field(default_factory=set)
    is_over: bool = False
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class Flight:
    """One send with the slot that it uses.

    :param ends: when its run ends at the upstream, in seconds.
    """

    request: Request
    lent: SlotGrant
    started: float
    ends: float = 0.0


class Play:
    """One run of a world.

    :param build_desk: returns the desk to try; the default is the one that instances
        use.
    """

    def __init__(
        self,
        world: World,
        seed: int,
        build_desk: Callable[[Random], SlotScheduler] | None = None,
    ) -> None:
        self._world = world
        self._random = Random(seed)
        self._desk = (build_desk or build_default)(Random(seed + 1))
        names = [UpstreamName(f"u{n}") for n in range(world.upstreams)]
        self._phases = {name: self._random.random() for name in names}
        self._busy: dict[UpstreamName, list[float]] = {name: [] for name in names}
        self._desk.update_upstreams(
            {name: announce(name, world.slots) for name in names}
        )
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._asked: dict[int, tuple[Request, SlotRequest]] = {}
        self._flights: dict[int, Flight] = {}
        self._now = 0.0
        self.tallies = {kind.name: Tally() for kind in world.kinds}

    def run(self) -> dict[str, Tally]:
        """Play to the end and return what callers got, by kind of request."""
        for kind in self._world.kinds:
            self._at(self._random.expovariate(kind.rate), self._arrive, kind)
        self._at(TICK_SECONDS, self._tick)
        while self._events:
            self._now, _, call = heapq.heappop(self._events)
            call()
        return self.tallies

    def _at(self, time: float, call: Callable[..., None], *arguments: object) -> None:
        event = (time, next(self._order), lambda: call(*arguments))
        heapq.heappush(self._events, event)

    def _tick(self) -> None:
        self._take(self._desk.advance(self._now))
        if self._now < self._world.seconds + 10:
            self._at(self._now + TICK_SECONDS, self._tick)

    def _arrive(self, kind: Kind) -> None:
        if self._now > self._world.seconds:
            return
        gap = self._random.expovariate(kind.rate)
        self._at(self._now + gap, self._arrive, kind)
        self.tallies[kind.name].sent += 1
        self._ask(Request(kind, self._now), repeat=False, hedge=False)

    def _ask(self, request: Request, *, repeat: bool, hedge: bool) -> None:
        kind = request.kind
        passed = self._now - request.arrived
        left = kind.deadline_seconds - passed
        number = next(self._numbers)
        asked = SlotRequest(
            number,
            ASKER,
            SERVICE,
            DOMAIN,
            kind.repeatable,
            repeat,
            kind.priority,
            left,
            kind.objective_seconds - passed,
            0.0 if hedge else left,
            number,
            request.avoid,
        )
        self._asked[number] = (request, asked)
        self._take(self._desk.request_slot(asked, self._now))

    def _take(self, decided: list[AddressedDecision]) -> None:
        for item in decided:
            request, _asked = self._asked.pop(item.decision.number)
            if isinstance(item.decision, SlotGrant):
                self._send(request, item.decision)
            elif not request.flights and not request.is_over:
                self._end(request, "lost" if request.may_have_run else "refused")

    def _send(self, request: Request, lent: SlotGrant) -> None:
        request.flights.add(lent.number)
        request.avoid = (*request.avoid, lent.upstream)
        left = request.arrived + request.kind.deadline_seconds - self._now
        if self._random.random() < self._world.shed_part:
            self._flights[lent.number] = Flight(request, lent, self._now)
            self._at(self._now + 0.002, self._finish, lent.number, Outcome.SHED)
            return
        ends, outcome = self._draw_run(request.kind, lent.upstream)
        self._flights[lent.number] = Flight(request, lent, self._now, ends)
        if ends - self._now > left:
            ends, outcome = self._now + left, Outcome.TIMED_OUT
        self._at(ends, self._finish, lent.number, outcome)
        if request.kind.repeatable and len(request.flights) == 1:
            self._at(self._now + lent.hedge_delay_seconds, self._hedge, lent.number)

    def _draw_run(self, kind: Kind, name: UpstreamName) -> tuple[float, Outcome]:
        """Return when a run that begins now ends, and how."""
        world = self._world
        busy = self._busy[name] = [t for t in self._busy[name] if t > self._now]
        begins = self._now if len(busy) < world.slots else min(busy)
        is_gray = self._is_gray(name, begins)
        if is_gray and self._random.random() < world.hang_part:
            ends, outcome = begins + kind.deadline_seconds, Outcome.TIMED_OUT
        else:
            mean = kind.work_seconds
            work = mean * self._random.lognormvariate(
                -(world.spread**2) / 2, world.spread
            )
            failed = self._random.random() < world.error_part
            ends, outcome = begins + work, Outcome.ERROR if failed else Outcome.COMPLETE
        busy.append(ends)
        return ends, outcome

    def _is_gray(self, name: UpstreamName, time: float) -> bool:
        passed = time / self._world.gray_period + self._phases[name]
        number = int(passed)
        if (passed - number) * self._world.gray_period > self._world.gray_seconds:
            return False
        drawn = Random(f"{name} {number} {self._phases[name]}")
        return drawn.random() < self._world.gray_part

    def _hedge(self, number: int) -> None:
        flight = self._flights.get(number)
        if flight is not None and not flight.request.is_over:
            self._ask(flight.request, repeat=True, hedge=True)

    def _finish(self, number: int, outcome: Outcome) -> None:
        flight = self._flights.pop(number, None)
        if flight is None:
            return
        request = flight.request
        request.flights.discard(number)
        if outcome is not Outcome.SHED:
            request.may_have_run = True
        self._give_back(flight, outcome)
        if request.is_over or request.flights:
            if outcome is Outcome.COMPLETE and not request.is_over:
                self._end_whole(request)
            return
        if outcome is Outcome.COMPLETE:
            self._end_whole(request)
        elif outcome is Outcome.SHED or request.kind.repeatable:
            self._ask(request, repeat=True, hedge=False)
        else:
            self._end(request, "lost")

    def _end_whole(self, request: Request) -> None:
        passed = self._now - request.arrived
        is_late = passed > request.kind.objective_seconds
        self._end(request, "late" if is_late else "on_time")
        for number in tuple(request.flights):
            flight = self._flights.pop(number)
            seconds = self._now - flight.started
            overdue = seconds >= 1.5 * flight.lent.hedge_delay_seconds
            # The upstream drops a request whose connection closes.
            busy = self._busy[flight.lent.upstream]
            if flight.ends in busy:
                busy.remove(flight.ends)
            outcome = Outcome.OVERDUE if overdue else Outcome.CANCELLED
            self._give_back(flight, outcome)

    def _end(self, request: Request, result: str) -> None:
        request.is_over = True
        tally = self.tallies[request.kind.name]
        setattr(tally, result, getattr(tally, result) + 1)

    def _give_back(self, flight: Flight, outcome: Outcome) -> None:
        seconds = self._now - flight.started
        returned = SlotReturned(
            flight.lent.number,
            ASKER,
            SERVICE,
            DOMAIN,
            flight.lent.upstream,
            outcome,
            seconds,
        )
        self._take(self._desk.return_slot(returned, self._now))


def build_default(random: Random) -> SlotScheduler:
    """Return a desk as instances use it."""
    return SlotScheduler(
        SERVICE, CrashTracker(), random, RetryBudget(0.18, 0, extra_retries=8)
    )


def announce(name: UpstreamName, slots: int) -> KnownUpstream:
    """Return an upstream that has been known for some time and is not cold."""
    item = Announcement(
        name, SERVICE, f"{name}:80", DOMAIN, AnnouncedState.READY, slots=slots
    )
    return KnownUpstream(item, -10.0)
