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
from shallotspindle_entry.problems import OperationOutcome, Problem
from shallotspindle_health import scoring
from shallotspindle_retries import backoff, eligibility


@dataclass(frozen=True, slots=True)
class ExecutionResult:
    """The end of a call.

    :param answer: response that was streamed to the caller, or the refusal.
    :param stored: the whole answer, if it is kept for repeats.
    """

    answer: web.StreamResponse | Problem
    stored: StoredResponse | None
    outcome: scoring.Outcome | None

    @property
    def did_not_run(self) -> bool:
        """Whether no upstream can have run the call."""
        answer = self.answer
        return (
            isinstance(answer, Problem) and answer.outcome is OperationOutcome.NOT_RUN
        )


@dataclass(slots=True)
class CallProgress:
    """How far a call has come.

    :param granted: whether its idempotency key was granted to it.
    :param forwarded: whether it was sent to an upstream.
    :param may_have_run: whether an upstream may have run it, or still may.
    """

    is_claim_granted: bool = False
    is_forwarded: bool = False
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
        self, call: Call, request: web.Request, progress: CallProgress
    ) -> ExecutionResult:
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
                return ExecutionResult(problem, None, last.outcome if last else None)
            last = await self._attempt(exchange, call, assigned, progress)
            tried |= {assigned.upstream.name}
            if last.response is not None:
                return ExecutionResult(last.response, last.stored, last.outcome)
            delay = self._find_delay(call, last, len(tried))
            if delay is None:
                problem = self._describe_failure(call, last, progress.may_have_run)
                return ExecutionResult(problem, None, last.outcome)
            await asyncio.sleep(delay)

    async def _attempt(
        self,
        exchange: Exchange,
        call: Call,
        assigned: Assignment,
        progress: CallProgress,
    ) -> Attempt:
        seconds = call.deadline - self._clock.boottime()
        sample = AttemptSample(scoring.Outcome.CANCELLED, 0.0)
        try:
            if seconds <= 0:
                return Attempt(scoring.Outcome.CANCELLED, did_not_run=True)
            may_have_run = progress.may_have_run
            # True until the attempt shows otherwise: it may be broken off.
            progress.is_forwarded = progress.may_have_run = True
            attempt = await exchange.run(assigned.upstream, seconds)
            progress.may_have_run = may_have_run or not attempt.did_not_run
            sample = attempt.build_sample()
            return attempt
        finally:
            self._balancer.finish(assigned, sample)

    def _find_delay(self, call: Call, attempt: Attempt, attempts: int) -> float | None:
        """Return the wait before a retry, or None if there is none."""
        if call.body.has_failed:
            return None
        seen = eligibility.Attempt(
            is_connected=attempt.outcome is not scoring.Outcome.NOT_CONNECTED,
            status=attempt.status,
            headers=attempt.outcome_headers,
            has_started_response=attempt.response is not None,
            is_body_replayable=call.body.is_replayable,
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
        refusal: NoCapacity | RequestHeld, progress: CallProgress
    ) -> Problem:
        is_forwarded = progress.is_forwarded
        if isinstance(refusal, RequestHeld):
            return replace(problems.REQUEST_QUARANTINED, is_forwarded=is_forwarded)
        outcome = (
            OperationOutcome.UNKNOWN
            if progress.may_have_run
            else OperationOutcome.NOT_RUN
        )
        return replace(problems.NO_CAPACITY, outcome=outcome, is_forwarded=is_forwarded)

    @staticmethod
    def _describe_failure(call: Call, attempt: Attempt, may_have_run: bool) -> Problem:
        if call.body.has_failed:
            outcome = (
                OperationOutcome.UNKNOWN if may_have_run else OperationOutcome.NOT_RUN
            )
            return replace(problems.INCOMPLETE_BODY, outcome=outcome, is_forwarded=True)
        if not may_have_run:
            return replace(problems.NO_CAPACITY, is_forwarded=True)
        if attempt.outcome is scoring.Outcome.TIMED_OUT:
            return problems.DEADLINE_EXCEEDED
        return problems.UPSTREAM_FAILED
