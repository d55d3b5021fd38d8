"""Runs a call: upstreams are tried until one answers or no retry is allowed."""

import asyncio
from dataclasses import dataclass, replace

from aiohttp import web

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import UpstreamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry import calls, problems
from shallotspindle_entry.calls import Call
from shallotspindle_entry.exchanges import Attempt, Exchange
from shallotspindle_entry.forwarding import Forwarder
from shallotspindle_entry.interfaces import (
    Assignment,
    Balancer,
    NoCapacity,
    RequestHeld,
    Result,
    Sample,
    StoredResponse,
)
from shallotspindle_entry.problems import Outcome, Problem

FIRST_BACKOFF_SECONDS = 0.01
LONGEST_BACKOFF_SECONDS = 0.25
MOST_ATTEMPTS = 3
# Results after which another upstream may do better.
REPEATABLE = frozenset({Result.SHED, Result.RESET, Result.NOT_CONNECTED})


@dataclass(frozen=True, slots=True)
class Executed:
    """The end of a call.

    :param answer: response that was streamed to the caller, or the refusal.
    :param stored: the whole answer, if it is kept for repeats.
    """

    answer: web.StreamResponse | Problem
    stored: StoredResponse | None
    result: Result | None

    @property
    def not_run(self) -> bool:
        """Whether no upstream can have run the call."""
        answer = self.answer
        return isinstance(answer, Problem) and answer.outcome is Outcome.NOT_RUN


class Executor:
    """Tries upstreams for one call after the other; holds no state of calls."""

    def __init__(
        self,
        balancer: Balancer,
        forwarder: Forwarder,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._balancer = balancer
        self._forwarder = forwarder
        self._clock = clock
        self._random = random

    async def run(self, call: Call, request: web.Request) -> Executed:
        """Run a call whose body was kept or can be streamed once."""
        exchange = Exchange(self._forwarder, self._clock, request, call)
        fingerprint = calls.fingerprint_request(call)
        tried: frozenset[UpstreamName] = frozenset()
        may_have_run = False
        last: Attempt | None = None
        while True:
            assigned = await self._balancer.assign(
                call.route.service, call.team, fingerprint, tried, call.deadline
            )
            if not isinstance(assigned, Assignment):
                problem = self._describe_refusal(assigned, may_have_run, bool(tried))
                return Executed(problem, None, last.result if last else None)
            last = await self._attempt(exchange, call, assigned)
            may_have_run = may_have_run or not last.not_run
            tried |= {assigned.upstream.name}
            if last.response is not None:
                return Executed(last.response, last.stored, last.result)
            if not self._may_retry(call, last, len(tried)):
                problem = self._describe_failure(call, last, may_have_run)
                return Executed(problem, None, last.result)
            await self._back_off(len(tried))

    async def _attempt(
        self, exchange: Exchange, call: Call, assigned: Assignment
    ) -> Attempt:
        seconds = call.deadline - self._clock.boottime()
        sample = Sample(Result.CANCELLED, 0.0)
        try:
            if seconds <= 0:
                return Attempt(Result.CANCELLED, not_run=True)
            attempt = await exchange.run(assigned.upstream, seconds)
            sample = attempt.describe()
            return attempt
        finally:
            self._balancer.finish(assigned, sample)

    def _may_retry(self, call: Call, attempt: Attempt, attempts: int) -> bool:
        if attempts >= MOST_ATTEMPTS or not call.body.repeatable or call.body.failed:
            return False
        if attempt.result not in REPEATABLE:
            return False
        if not attempt.not_run and not call.idempotent:
            return False
        if self._clock.boottime() >= call.deadline:
            return False
        return self._balancer.may_retry(call.route.service)

    async def _back_off(self, attempts: int) -> None:
        longest = min(FIRST_BACKOFF_SECONDS * 2**attempts, LONGEST_BACKOFF_SECONDS)
        await asyncio.sleep(longest * self._random.random())

    @staticmethod
    def _describe_refusal(
        refusal: NoCapacity | RequestHeld, may_have_run: bool, forwarded: bool
    ) -> Problem:
        if isinstance(refusal, RequestHeld):
            return replace(problems.HELD, forwarded=forwarded)
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        return replace(problems.NO_CAPACITY, outcome=outcome, forwarded=forwarded)

    @staticmethod
    def _describe_failure(call: Call, attempt: Attempt, may_have_run: bool) -> Problem:
        if call.body.failed:
            outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
            return replace(problems.BODY_FAILED, outcome=outcome, forwarded=True)
        if not may_have_run:
            return replace(problems.NO_CAPACITY, forwarded=True)
        if attempt.result is Result.TIMED_OUT:
            return problems.UPSTREAM_TIMEOUT
        return problems.UPSTREAM_FAILED
