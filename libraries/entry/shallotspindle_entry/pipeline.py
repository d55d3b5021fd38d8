"""Serves a request in steps, from its arrival to the end of its response.

The order is: validation, rate limit, body, idempotency key, upstream. A step that
refuses the request states what is known about the outcome of the operation.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import TypeVar

from aiohttp import web

from shallotspindle_core.clock import Clock
from shallotspindle_core.failures import FailureError
from shallotspindle_entry import caller_connections, calls, headers, problems
from shallotspindle_entry.bodies import MAX_KEYED_BODY_BYTES, MAX_REPLAY_BYTES
from shallotspindle_entry.caller_memory import RequestStage
from shallotspindle_entry.calls import Call
from shallotspindle_entry.configuration import ConfigurationTask
from shallotspindle_entry.execution import CallProgress, ExecutionResult, Executor
from shallotspindle_entry.interfaces import (
    Admission,
    Admitted,
    Claims,
    ClaimState,
    LimitExceeded,
    LimitUnavailable,
    StoredResponse,
)
from shallotspindle_entry.lifecycle import Lifecycle
from shallotspindle_entry.problems import Problem
from shallotspindle_entry.stopping import StopPlan
from shallotspindle_entry.validation import RejectedRequest, RequestValidator

T = TypeVar("T")
# Handing over a batch of partitions takes some tens of milliseconds, during which they
# have no holder.
MAX_HANDOVER_WAIT_SECONDS = 1.0
HANDOVER_RETRY_INTERVAL_SECONDS = 0.03
CALL_KEY = web.RequestKey("call", Call)
PROBLEM_KEY = web.RequestKey("problem", Problem)
CLAIM_PROBLEMS = {
    ClaimState.IN_PROGRESS: problems.IN_PROGRESS,
    ClaimState.COMPLETED: problems.COMPLETED,
    ClaimState.UNKNOWN: problems.UNKNOWN_OUTCOME,
    ClaimState.DIFFERENT_BODY: problems.DIFFERENT_BODY,
    ClaimState.UNAVAILABLE: problems.CLAIM_UNAVAILABLE,
}


def build_replayed_response(stored: StoredResponse, request_id: str) -> web.Response:
    """Return the stored response to an earlier request with the idempotency key."""
    fields = [(k, v) for k, v in stored.headers if k.lower() != "content-length"]
    response = web.Response(status=stored.status, headers=fields, body=stored.body)
    response.headers[headers.REQUEST_ID] = request_id
    response.headers["Idempotency-Replayed"] = "true"
    return response


@dataclass(slots=True, eq=False)
class RunningCall:
    """A validated call whose response has not ended.

    :param task: task that a graceful shutdown cancels; a non-idempotent request runs in
        a task of its own.
    :param is_cancelled: whether a graceful shutdown cancelled it.
    """

    call: Call
    task: asyncio.Task
    progress: CallProgress = field(default_factory=CallProgress)
    is_cancelled: bool = False

    def cancel(self) -> None:
        """Cancel the call; its caller is told what is known about the outcome."""
        if not self.is_cancelled:
            self.is_cancelled = True
            self.task.cancel()

    def build_stop_problem(self) -> Problem:
        """Return the problem for a call cancelled by a graceful shutdown."""
        if self.progress.may_have_run:
            return problems.STOPPED
        problem = replace(problems.STOPPING, is_forwarded=self.progress.is_forwarded)
        is_key_unchecked = (
            self.call.is_at_most_once and not self.progress.is_claim_granted
        )
        return problems.weaken_outcome(problem, is_key_unchecked)


def abort_started_response(request: web.Request) -> bool:
    """Abort the connection if a response has started; return whether it has.

    A regular close would make a truncated response look complete.
    """
    has_started = request.writer.output_size > 0
    if has_started and request.transport is not None:
        request.transport.abort()
    return has_started


class Pipeline:
    """Serves requests; the tasks behind the interfaces own the fleet's state."""

    def __init__(
        self,
        configuration: ConfigurationTask,
        validator: RequestValidator,
        admission: Admission,
        claims: Claims,
        executor: Executor,
        lifecycle: Lifecycle,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._validator = validator
        self._admission = admission
        self._claims = claims
        self._executor = executor
        self._lifecycle = lifecycle
        self._clock = clock
        self._running_calls: set[RunningCall] = set()
        self._stop_plan: StopPlan | None = None
        self._is_refusing_unsent = False

    async def serve(self, request: web.Request) -> web.StreamResponse | Problem:
        """Return the response to a request; every response carries the request id."""
        validated = self._validator.validate(request, self._configuration.current)
        if isinstance(validated, RejectedRequest):
            problem = problems.weaken_outcome(
                validated.problem, validated.has_idempotency_key
            )
            request[PROBLEM_KEY] = problem
            return problems.build_response(problem, validated.request_id)
        request[CALL_KEY] = validated
        response = await self._serve_until_cancelled(validated, request)
        if isinstance(response, Problem):
            request[PROBLEM_KEY] = response
            return problems.build_response(response, validated.request_id)
        return response

    def begin_stop(self, plan: StopPlan) -> None:
        """Refuse from now on requests that may run longer than the shutdown."""
        self._stop_plan = plan

    def refuse_unsent(self) -> None:
        """Refuse the requests that no upstream can have run, and all later ones."""
        self._is_refusing_unsent = True
        for running_call in self._running_calls:
            if not running_call.progress.may_have_run:
                running_call.cancel()

    def cancel_running(self) -> None:
        """Cancel all running calls; whether they complete at an upstream is unknown."""
        for running_call in self._running_calls:
            running_call.cancel()

    async def _serve_until_cancelled(
        self, call: Call, request: web.Request
    ) -> web.StreamResponse | Problem:
        handler = asyncio.current_task()
        running_call = RunningCall(call, handler)
        if self._is_refusing_unsent or not self._admits(call):
            return running_call.build_stop_problem()
        self._running_calls.add(running_call)
        try:
            return await self._serve_call(running_call, request)
        except asyncio.CancelledError:
            if not running_call.is_cancelled or abort_started_response(request):
                raise
            handler.uncancel()
            return running_call.build_stop_problem()
        finally:
            if running_call.task is handler:
                self._running_calls.discard(running_call)

    def _admits(self, call: Call) -> bool:
        now = self._clock.boottime()
        return self._stop_plan is None or self._stop_plan.admits(now, call.deadline)

    async def _serve_call(
        self, running_call: RunningCall, request: web.Request
    ) -> web.StreamResponse | Problem:
        call = running_call.call
        early_response = await self._acquire_token(call) or await self._buffer_body(
            call
        )
        if early_response is not None:
            return problems.weaken_outcome(early_response, call.is_at_most_once)
        # From here on an upstream may get the request, so it does not yield to others.
        caller_connections.set_stage(request, RequestStage.SENT)
        if not self._admits(call):
            return running_call.build_stop_problem()
        if call.is_idempotent:
            return (
                await self._executor.run(call, request, running_call.progress)
            ).response
        if call.is_at_most_once:
            early_response = await self._claim_key(call)
            if early_response is not None:
                return early_response
            running_call.progress.is_claim_granted = True
        # A non-idempotent request continues when its caller disconnects: cancelling it
        # would leave its outcome unknown, and a retry with the idempotency key gets the
        # stored response.
        task = asyncio.create_task(self._run_non_idempotent(running_call, request))
        task.add_done_callback(lambda _: self._running_calls.discard(running_call))
        running_call.task = task
        return await asyncio.shield(task)

    async def _retry_during_handover(
        self,
        call: Call,
        send_request: Callable[[], Awaitable[T]],
        is_unavailable: Callable[[T], bool],
    ) -> T:
        """Retry a request for a short time while its partition is handed over.

        :param is_unavailable: whether a result means that no holder responded.
        """
        give_up_at = min(
            call.deadline, self._clock.boottime() + MAX_HANDOVER_WAIT_SECONDS
        )
        while True:
            result = await send_request()
            if not is_unavailable(result) or self._clock.boottime() >= give_up_at:
                return result
            await asyncio.sleep(HANDOVER_RETRY_INTERVAL_SECONDS)

    async def _acquire_token(self, call: Call) -> Problem | None:
        if not call.team:
            return None
        result = await self._retry_during_handover(
            call,
            lambda: self._admission.acquire(call.team, call.deadline),
            lambda result: isinstance(result, LimitUnavailable),
        )
        if isinstance(result, Admitted):
            return None
        if isinstance(result, LimitExceeded):
            return replace(problems.RATE_EXCEEDED, retry_after=result.retry_after)
        return problems.LIMIT_UNAVAILABLE

    async def _buffer_body(self, call: Call) -> Problem | None:
        try:
            await call.body.buffer(
                MAX_KEYED_BODY_BYTES if call.is_at_most_once else MAX_REPLAY_BYTES
            )
        except FailureError:
            return problems.SLOW_CALLER
        except (ConnectionError, web.RequestPayloadError):
            return problems.INCOMPLETE_BODY
        if call.is_at_most_once and not call.body.is_complete:
            return problems.BODY_TOO_LARGE
        return None

    async def _claim_key(self, call: Call) -> web.StreamResponse | Problem | None:
        """Claim the idempotency key of a call; None means that the call may run."""
        request_digest = calls.digest_request(call)
        result = await self._retry_during_handover(
            call,
            lambda: self._claims.claim(
                call.team, call.idempotency_key, request_digest, call.deadline
            ),
            lambda result: result.state is ClaimState.UNAVAILABLE,
        )
        if result.state is ClaimState.GRANTED:
            return None
        if result.state is ClaimState.REPLAY and result.response is not None:
            return build_replayed_response(result.response, call.request_id)
        return CLAIM_PROBLEMS[result.state]

    async def _run_non_idempotent(
        self, running_call: RunningCall, request: web.Request
    ) -> web.StreamResponse | Problem:
        execution: ExecutionResult | None = None
        self._lifecycle.begin_request()
        try:
            execution = await self._executor.run(
                running_call.call, request, running_call.progress
            )
            return execution.response
        finally:
            self._lifecycle.end_request()
            if running_call.call.is_at_most_once:
                await self._report_claim(running_call, execution)

    async def _report_claim(
        self, running_call: RunningCall, execution: ExecutionResult | None
    ) -> None:
        call = running_call.call
        did_not_run = (
            execution.did_not_run
            if execution
            else not running_call.progress.may_have_run
        )
        if did_not_run:
            await self._claims.abandon(call.team, call.idempotency_key)
            return
        stored_response = execution.stored_response if execution else None
        await self._claims.finish(call.team, call.idempotency_key, stored_response)
