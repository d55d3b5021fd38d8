"""Runs a request: borrows slots and sends it until an answer is final.

A request that may run twice is sent to a second upstream when the first takes longer
than nearly all others; the first whole answer is given. Any other request is sent
again only if it certainly did not run.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from shallotspindle_core.clock import Clock
from shallotspindle_entry.response_limits import ResponseFault
from shallotspindle_gateway.forwarding import Answer, Attempt, Forwarder, Order
from shallotspindle_gateway.slot_requester import (
    AcquiredSlot,
    SlotRequester,
    SlotRequirements,
)
from shallotspindle_lending.records import Outcome, RefusalReason, SlotRefusal

# Sends that certainly did not run are not counted against the route's attempts.
LARGEST_SENDS = 6
LEAST_SECONDS = 0.01
# A send that another one overtook speaks against its upstream only after this many
# times the age at which it was hedged.
OVERDUE_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class Failed:
    """No whole answer.

    :param may_have_run: whether an upstream may have run the request.
    :param reason: why no slot was lent, if that was the end.
    :param retry_after: time after which a repeat makes sense, in seconds.
    """

    may_have_run: bool
    outcome: Outcome | None
    reason: RefusalReason | None
    retry_after: float


@dataclass(frozen=True, slots=True)
class Sent:
    """One send for the log.

    :param fault: why the answer was not taken to its end.
    """

    upstream: str
    outcome: Outcome
    seconds: float
    fault: ResponseFault | None = None


class Source(Protocol):
    """Where the body of a request comes from."""

    def may_send(self) -> bool:
        """Return whether an upstream would get the whole body now."""

    def has_failed(self) -> bool:
        """Return whether the caller broke the body off."""


@dataclass(slots=True)
class Run:
    """Progress of one request.

    :param source: where the body comes from.
    :param runs: sends after which the request may have run.
    :param arrivals: sends that reached an upstream, run or not.
    """

    want: SlotRequirements
    attempts: int
    build: Callable[[AcquiredSlot, float], Order]
    source: Source
    sends: list[Sent]
    runs: int = 0
    arrivals: int = 0
    last: Outcome | None = None
    refused: SlotRefusal | None = None
    error: Answer | None = None


@dataclass(slots=True)
class Flight:
    """A send on its way."""

    slot: AcquiredSlot
    started: float
    task: asyncio.Task[Attempt]


class Executor:
    """Holds no state of requests."""

    def __init__(
        self, slot_requester: SlotRequester, forwarder: Forwarder, clock: Clock
    ) -> None:
        self._slot_requester = slot_requester
        self._forwarder = forwarder
        self._clock = clock

    async def run(
        self,
        want: SlotRequirements,
        attempts: int,
        build: Callable[[AcquiredSlot, float], Order],
        source: Source,
        sends: list[Sent],
    ) -> Answer | Failed:
        """Run a request until its answer is final.

        :param attempts: largest number of upstreams that may run it.
        :param build: returns what is sent with a slot in the seconds that are left.
        :param source: where the body comes from.
        :param sends: gets each send as it ends.
        """
        run = Run(want, attempts, build, source, sends)
        flights: list[Flight] = []
        try:
            return await self._run(run, flights)
        finally:
            for flight in flights:
                self._cancel(run, flight)

    async def _run(self, run: Run, flights: list[Flight]) -> Answer | Failed:
        while True:
            if not flights and not await self._launch(run, flights):
                return self._conclude(run)
            hedge = self._find_hedge(run, flights)
            done, _ = await asyncio.wait(
                [flight.task for flight in flights],
                timeout=hedge,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                if hedge is None or not await self._launch(run, flights):
                    run.attempts = min(run.attempts, len(run.sends) + len(flights))
                continue
            answer = self._take_done(run, flights)
            if answer is not None:
                return answer

    def _find_hedge(self, run: Run, flights: list[Flight]) -> float | None:
        """Return the time until a second send, or None if there is none."""
        if not run.want.is_idempotent or len(flights) > 1:
            return None
        if run.runs + len(flights) >= run.attempts:
            return None
        flight = flights[0]
        due = flight.started + flight.slot.hedge_delay_seconds
        return max(0.0, due - self._clock.boottime())

    @staticmethod
    def _may_send(run: Run, on_way: int) -> bool:
        """Return whether a request may go to one more upstream.

        :param on_way: number of sends that have not ended.
        """
        if len(run.sends) + on_way >= LARGEST_SENDS:
            return False
        if run.runs + on_way >= run.attempts:
            return False
        if run.runs and not run.want.is_idempotent:
            return False
        return run.source.may_send()

    async def _launch(self, run: Run, flights: list[Flight]) -> bool:
        if not self._may_send(run, len(flights)):
            return False
        run.want = replace(
            run.want, is_hedge=bool(flights), is_retry=bool(run.arrivals or flights)
        )
        slot = await self._slot_requester.acquire_slot(run.want)
        if isinstance(slot, SlotRefusal):
            run.refused = slot
            return False
        run.want = replace(
            run.want, excluded_upstreams=(*run.want.excluded_upstreams, slot.upstream)
        )
        now = self._clock.boottime()
        left = run.want.deadline - now
        if left < LEAST_SECONDS:
            self._slot_requester.release_slot(run.want, slot, Outcome.CANCELLED, 0.0)
            return False
        order = run.build(slot, left)
        task = asyncio.create_task(self._forwarder.send(order))
        flights.append(Flight(slot, now, task))
        return True

    def _take_done(self, run: Run, flights: list[Flight]) -> Answer | None:
        answer = None
        for flight in [flight for flight in flights if flight.task.done()]:
            flights.remove(flight)
            attempt = flight.task.result()
            self._note(run, flight, attempt)
            if attempt.outcome is Outcome.COMPLETE:
                answer = attempt.answer
            elif attempt.answer is not None:
                run.error = attempt.answer
        return answer

    def _note(self, run: Run, flight: Flight, attempt: Attempt) -> None:
        # A body that its caller broke off says nothing about the upstream.
        outcome = Outcome.CANCELLED if run.source.has_failed() else attempt.outcome
        run.last = outcome
        if not attempt.not_run:
            run.runs += 1
        if attempt.outcome is not Outcome.NOT_CONNECTED:
            run.arrivals += 1
        seconds = attempt.seconds
        run.sends.append(Sent(flight.slot.upstream, outcome, seconds, attempt.fault))
        self._slot_requester.release_slot(run.want, flight.slot, outcome, seconds)

    def _cancel(self, run: Run, flight: Flight) -> None:
        """End a send whose answer is no longer needed."""
        flight.task.cancel()
        seconds = self._clock.boottime() - flight.started
        overdue = seconds >= OVERDUE_FACTOR * flight.slot.hedge_delay_seconds
        outcome = Outcome.OVERDUE if overdue else Outcome.CANCELLED
        run.sends.append(Sent(flight.slot.upstream, outcome, seconds))
        self._slot_requester.release_slot(run.want, flight.slot, outcome, seconds)

    @staticmethod
    def _conclude(run: Run) -> Answer | Failed:
        if run.error is not None:
            return run.error
        refused = run.refused
        return Failed(
            may_have_run=run.runs > 0,
            outcome=run.last,
            reason=refused.reason if refused else None,
            retry_after=refused.retry_after if refused else 0.2,
        )
