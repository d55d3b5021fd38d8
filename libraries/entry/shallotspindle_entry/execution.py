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
    AttemptSample,
    Balancer,
    NoCapacity,
    RequestHeld,
    StoredResponse,
)
from shallotspindle_entry.problems import Outcome, Problem
from shallotspindle_health import scoring
from shallotspindle_retries import backoff, eligibility


@dataclass(frozen=True, slots=True)
class Executed:
    """The end of a call.

    :param answer: response that was streamed to the caller, or the refusal.
    :param stored: the whole answer, if it is kept for repeats.
    """

    answer: web.StreamResponse | Problem
    stored: StoredResponse | None
    result: scoring.Outcome | None

    @property
    def not_run(self) -> bool:
        """Whether no upstream can have run the call."""
        answer = self.answer
        return isinstance(answer, Problem) and answer.outcome is Outcome.NOT_RUN


@dataclass(slots=True)
class Progress:
    """How far a call has come.

    :param granted: whether its idempotency key was granted to it.
    :param forwarded: whether it was sent to an upstream.
    :param may_have_run: whether an upstream may have run it, or still may.
    """

    granted: bool = False
    forwarded: bool = False
    may_have_run: bool = False


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

    async def run(
        self, call: Call, request: web.Request, progress: Progress
    ) -> Executed:
        """Run a call whose body was kept or can be streamed once.

        :param progress: kept up to date, for whoever ends the call early.
        """
        exchange = Exchange(self._forwarder, self._clock, request, call)
        fingerprint = calls.fingerprint_request(call)
        tried: frozenset[UpstreamName] = frozenset()
        last: Attempt | None = None
        while True:
            assigned = await self._balancer.assign(
                call.route.service, call.team, fingerprint, tried, call.deadline
            )
            if not isinstance(assigned, Assignment):
                problem = self._describe_refusal(assigned, progress)
                return Executed(problem, None, last.result if last else None)
            last = await self._attempt(exchange, call, assigned, progress)
            tried |= {assigned.upstream.name}
            if last.response is not None:
                return Executed(last.response, last.stored, last.result)
            delay = self._find_delay(call, last, len(tried))
            if delay is None:
                problem = self._describe_failure(call, last, progress.may_have_run)
                return Executed(problem, None, last.result)
            await asyncio.sleep(delay)

    async def _attempt(
        self,
        exchange: Exchange,
        call: Call,
        assigned: Assignment,
        progress: Progress,
    ) -> Attempt:
        seconds = call.deadline - self._clock.boottime()
        sample = AttemptSample(scoring.Outcome.CANCELLED, 0.0)
        try:
            if seconds <= 0:
                return Attempt(scoring.Outcome.CANCELLED, not_run=True)
            may_have_run = progress.may_have_run
            # True until the attempt shows otherwise: it may be broken off.
            progress.forwarded = progress.may_have_run = True
            attempt = await exchange.run(assigned.upstream, seconds)
            progress.may_have_run = may_have_run or not attempt.not_run
            sample = attempt.describe()
            return attempt
        finally:
            self._balancer.finish(assigned, sample)

    def _find_delay(self, call: Call, attempt: Attempt, attempts: int) -> float | None:
        """Return the wait before a retry, or None if there is none."""
        if call.body.failed:
            return None
        seen = eligibility.Attempt(
            is_connected=attempt.result is not scoring.Outcome.NOT_CONNECTED,
            status=attempt.status,
            headers=attempt.outcome,
            has_started_response=attempt.response is not None,
            is_body_replayable=call.body.repeatable,
        )
        if not eligibility.may_retry(seen, call.is_idempotent):
            return None
        now = self._clock.boottime()
        delay = backoff.compute_delay(attempts, now, call.deadline, self._random)
        if delay is None or not self._balancer.may_retry(call.route.service):
            return None
        return delay

    @staticmethod
    def _describe_refusal(
        refusal: NoCapacity | RequestHeld, progress: Progress
    ) -> Problem:
        forwarded = progress.forwarded
        if isinstance(refusal, RequestHeld):
            return replace(problems.HELD, forwarded=forwarded)
        outcome = Outcome.UNKNOWN if progress.may_have_run else Outcome.NOT_RUN
        return replace(problems.NO_CAPACITY, outcome=outcome, forwarded=forwarded)

    @staticmethod
    def _describe_failure(call: Call, attempt: Attempt, may_have_run: bool) -> Problem:
        if call.body.failed:
            outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
            return replace(problems.BODY_FAILED, outcome=outcome, forwarded=True)
        if not may_have_run:
            return replace(problems.NO_CAPACITY, forwarded=True)
        if attempt.result is scoring.Outcome.TIMED_OUT:
            return problems.UPSTREAM_TIMEOUT
        return problems.UPSTREAM_FAILED
