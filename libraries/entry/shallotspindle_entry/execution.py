"""Runs a call: tries upstreams until one responds or no retry is allowed."""

import asyncio
from dataclasses import dataclass, replace

from aiohttp import web

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import UpstreamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry import calls, problems
from shallotspindle_entry.calls import Call
from shallotspindle_entry.exchanges import AttemptResult, Exchange
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
    """Result of a call.

    :param response: response that was streamed to the caller, or the problem.
    :param stored_response: the complete response, if it is kept for retries of the
        caller.
    :param outcome: outcome of the last attempt; None if there was none.
    """

    response: web.StreamResponse | Problem
    stored_response: StoredResponse | None
    outcome: scoring.Outcome | None

    @property
    def did_not_run(self) -> bool:
        """Whether certainly no upstream ran the call."""
        response = self.response
        return (
            isinstance(response, Problem)
            and response.outcome is OperationOutcome.NOT_RUN
        )


@dataclass(slots=True)
class CallProgress:
    """How far a call has progressed.

    :param is_claim_granted: whether the call may run under its idempotency key.
    :param is_forwarded: whether the call was sent to an upstream.
    :param may_have_run: whether an upstream may have run the call or may still run it.
    """

    is_claim_granted: bool = False
    is_forwarded: bool = False
    may_have_run: bool = False


class Executor:
    """Tries upstreams for a call; keeps no state between calls.

    :param requires_request_id: whether upstreams repeat the id of a request in every
        response, so that one without it is rejected.
    """

    def __init__(
        self,
        balancer: Balancer,
        forwarder: Forwarder,
        clock: Clock,
        random: RandomSource,
        requires_request_id: bool = False,
    ) -> None:
        self.requires_request_id = requires_request_id
        self._balancer = balancer
        self._forwarder = forwarder
        self._clock = clock
        self._random = random

    async def run(
        self, call: Call, request: web.Request, progress: CallProgress
    ) -> ExecutionResult:
        """Run a call whose body is buffered or can be streamed once.

        :param progress: updated while the call runs, so that a cancelled call can state
            what is known of it.
        """
        exchange = Exchange(
            self._forwarder,
            self._clock,
            request,
            call,
            self._balancer.record_notice,
            self.requires_request_id,
        )
        fingerprint = calls.fingerprint_request(call)
        tried_upstreams: frozenset[UpstreamName] = frozenset()
        last_attempt: AttemptResult | None = None
        while True:
            assignment = await self._balancer.assign(
                call.route.service,
                call.team,
                fingerprint,
                tried_upstreams,
                call.deadline,
            )
            if not isinstance(assignment, Assignment):
                problem = self._build_refusal_problem(assignment, progress)
                return ExecutionResult(
                    problem, None, last_attempt.outcome if last_attempt else None
                )
            last_attempt = await self._run_attempt(exchange, call, assignment, progress)
            tried_upstreams |= {assignment.upstream.name}
            if last_attempt.response is not None:
                return ExecutionResult(
                    last_attempt.response,
                    last_attempt.stored_response,
                    last_attempt.outcome,
                )
            delay = self._find_retry_delay(call, last_attempt, len(tried_upstreams))
            if delay is None:
                problem = self._build_failure_problem(
                    call, last_attempt, progress.may_have_run
                )
                return ExecutionResult(problem, None, last_attempt.outcome)
            await asyncio.sleep(delay)

    async def _run_attempt(
        self,
        exchange: Exchange,
        call: Call,
        assignment: Assignment,
        progress: CallProgress,
    ) -> AttemptResult:
        remaining_seconds = call.deadline - self._clock.boottime()
        sample = AttemptSample(scoring.Outcome.CANCELLED, 0.0)
        try:
            if remaining_seconds <= 0:
                return AttemptResult(scoring.Outcome.CANCELLED, did_not_run=True)
            may_have_run = progress.may_have_run
            # True until the attempt proves otherwise, since it may be cancelled.
            progress.is_forwarded = progress.may_have_run = True
            attempt = await exchange.run(assignment.upstream, remaining_seconds)
            progress.may_have_run = may_have_run or not attempt.did_not_run
            sample = attempt.build_sample()
            return attempt
        finally:
            self._balancer.finish(assignment, sample)

    def _find_retry_delay(
        self, call: Call, attempt: AttemptResult, attempt_count: int
    ) -> float | None:
        """Return the seconds to wait before a retry, or None if none is allowed."""
        if call.body.has_failed:
            return None
        retry_facts = eligibility.Attempt(
            is_connected=attempt.outcome is not scoring.Outcome.NOT_CONNECTED,
            status=attempt.status,
            headers=attempt.outcome_headers,
            has_started_response=attempt.response is not None,
            is_body_replayable=call.body.is_replayable,
        )
        if not eligibility.may_retry(retry_facts, call.is_idempotent):
            return None
        now = self._clock.boottime()
        delay = backoff.compute_delay(attempt_count, now, call.deadline, self._random)
        if delay is None or not self._balancer.may_retry(call.route.service):
            return None
        return delay

    @staticmethod
    def _build_refusal_problem(
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
        retry_after = refusal.retry_after or problems.NO_CAPACITY.retry_after
        return replace(
            problems.NO_CAPACITY,
            outcome=outcome,
            is_forwarded=is_forwarded,
            retry_after=retry_after,
        )

    @staticmethod
    def _build_failure_problem(
        call: Call, attempt: AttemptResult, may_have_run: bool
    ) -> Problem:
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
