"""Takes a request from the caller's socket to the answer, one decision a step.

The order is: checks, route, key, rate, idempotency key, upstream. Each step that
refuses states what is known of the operation.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import TypeVar

from aiohttp import web

from shallotspindle_core.clock import Clock
from shallotspindle_core.failures import FailureError
from shallotspindle_entry import calls, headers, problems
from shallotspindle_entry.bodies import MAX_KEYED_BODY_BYTES, MAX_REPLAY_BYTES
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
from shallotspindle_entry.validation import Refusal, RequestValidator

T = TypeVar("T")
# A hand-over of a group of partitions takes some tens of milliseconds.
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


def build_replay(stored: StoredResponse, request_id: str) -> web.Response:
    """Return the first answer to an idempotency key once more."""
    fields = [(k, v) for k, v in stored.headers if k.lower() != "content-length"]
    response = web.Response(status=stored.status, headers=fields, body=stored.body)
    response.headers[headers.REQUEST_ID] = request_id
    response.headers["Idempotency-Replayed"] = "true"
    return response


@dataclass(slots=True, eq=False)
class RunningCall:
    """A call that passed the gate and is not answered yet.

    :param task: what a planned stop ends; work with an effect has a task of its own.
    :param ended: whether a planned stop ended it.
    """

    call: Call
    task: asyncio.Task
    progress: CallProgress = field(default_factory=CallProgress)
    is_cancelled: bool = False

    def cancel(self) -> None:
        """End the call; its caller is answered with what is known of it."""
        if not self.is_cancelled:
            self.is_cancelled = True
            self.task.cancel()

    def build_stop_problem(self) -> Problem:
        """Return the answer to a call that a planned stop ended."""
        if self.progress.may_have_run:
            return problems.STOPPED
        problem = replace(problems.STOPPING, is_forwarded=self.progress.is_forwarded)
        not_looked_up = self.call.is_at_most_once and not self.progress.is_claim_granted
        return problems.weaken_outcome(problem, not_looked_up)


def abort_started_response(request: web.Request) -> bool:
    """End the connection if an answer has begun on it; return whether it has.

    An end in the usual way would make half an answer look whole.
    """
    begun = request.writer.output_size > 0
    if begun and request.transport is not None:
        request.transport.abort()
    return begun


class Pipeline:
    """Serves requests; all state belongs to the tasks that it asks."""

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
        self._running: set[RunningCall] = set()
        self._stop: StopPlan | None = None
        self._refuses = False

    async def serve(self, request: web.Request) -> web.StreamResponse | Problem:
        """Answer a request; the request id is set on every answer."""
        admitted = self._validator.validate(request, self._configuration.current)
        if isinstance(admitted, Refusal):
            problem = problems.weaken_outcome(admitted.problem, admitted.keyed)
            request[PROBLEM_KEY] = problem
            return problems.build_response(problem, admitted.request_id)
        request[CALL_KEY] = admitted
        answer = await self._serve_until_ended(admitted, request)
        if isinstance(answer, Problem):
            request[PROBLEM_KEY] = answer
            return problems.build_response(answer, admitted.request_id)
        return answer

    def begin_stop(self, plan: StopPlan) -> None:
        """Refuse from now on what may outlast the stop."""
        self._stop = plan

    def refuse_unsent(self) -> None:
        """Refuse what no upstream can have run, now and from now on."""
        self._refuses = True
        for running in self._running:
            if not running.progress.may_have_run:
                running.cancel()

    def cancel_running(self) -> None:
        """Answer what still runs; whether it ran to its end stays unknown."""
        for running in self._running:
            running.cancel()

    async def _serve_until_ended(
        self, call: Call, request: web.Request
    ) -> web.StreamResponse | Problem:
        handler = asyncio.current_task()
        running = RunningCall(call, handler)
        if self._refuses or not self._admits(call):
            return running.build_stop_problem()
        self._running.add(running)
        try:
            return await self._serve_call(running, request)
        except asyncio.CancelledError:
            if not running.is_cancelled or abort_started_response(request):
                raise
            handler.uncancel()
            return running.build_stop_problem()
        finally:
            if running.task is handler:
                self._running.discard(running)

    def _admits(self, call: Call) -> bool:
        now = self._clock.boottime()
        return self._stop is None or self._stop.admits(now, call.deadline)

    async def _serve_call(
        self, running: RunningCall, request: web.Request
    ) -> web.StreamResponse | Problem:
        call = running.call
        refused = await self._acquire(call) or await self._keep_body(call)
        if refused is not None:
            return problems.weaken_outcome(refused, call.is_at_most_once)
        if call.is_idempotent:
            return (await self._executor.run(call, request, running.progress)).answer
        if call.is_at_most_once:
            refused = await self._claim(call)
            if refused is not None:
                return refused
            running.progress.is_claim_granted = True
        # Work with an effect goes on when the caller leaves: a cut in the middle would
        # leave its outcome unknown, and a repeat with the key finds the answer.
        work = asyncio.create_task(self._run_with_effect(running, request))
        work.add_done_callback(lambda _: self._running.discard(running))
        running.task = work
        return await asyncio.shield(work)

    async def _await_holder(
        self,
        call: Call,
        ask: Callable[[], Awaitable[T]],
        is_unavailable: Callable[[T], bool],
    ) -> T:
        """Ask again for a moment: a partition that moves has no holder meanwhile."""
        until = min(call.deadline, self._clock.boottime() + MAX_HANDOVER_WAIT_SECONDS)
        while True:
            answer = await ask()
            if not is_unavailable(answer) or self._clock.boottime() >= until:
                return answer
            await asyncio.sleep(HANDOVER_RETRY_INTERVAL_SECONDS)

    async def _acquire(self, call: Call) -> Problem | None:
        if not call.team:
            return None
        answer = await self._await_holder(
            call,
            lambda: self._admission.acquire(call.team, call.deadline),
            lambda found: isinstance(found, LimitUnavailable),
        )
        if isinstance(answer, Admitted):
            return None
        if isinstance(answer, LimitExceeded):
            return replace(problems.RATE_EXCEEDED, retry_after=answer.retry_after)
        return problems.LIMIT_UNAVAILABLE

    async def _keep_body(self, call: Call) -> Problem | None:
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

    async def _claim(self, call: Call) -> web.StreamResponse | Problem | None:
        """Ask for the right to run the call; None means that it was granted."""
        digest = calls.digest_request(call)
        answer = await self._await_holder(
            call,
            lambda: self._claims.claim(
                call.team, call.idempotency_key, digest, call.deadline
            ),
            lambda found: found.state is ClaimState.UNAVAILABLE,
        )
        if answer.state is ClaimState.GRANTED:
            return None
        if answer.state is ClaimState.REPLAY and answer.response is not None:
            return build_replay(answer.response, call.request_id)
        return CLAIM_PROBLEMS[answer.state]

    async def _run_with_effect(
        self, running: RunningCall, request: web.Request
    ) -> web.StreamResponse | Problem:
        executed: ExecutionResult | None = None
        self._lifecycle.begin_request()
        try:
            executed = await self._executor.run(running.call, request, running.progress)
            return executed.answer
        finally:
            self._lifecycle.end_request()
            if running.call.is_at_most_once:
                await self._report(running, executed)

    async def _report(
        self, running: RunningCall, executed: ExecutionResult | None
    ) -> None:
        call = running.call
        did_not_run = (
            executed.did_not_run if executed else not running.progress.may_have_run
        )
        if did_not_run:
            await self._claims.abandon(call.team, call.idempotency_key)
            return
        stored = executed.stored if executed else None
        await self._claims.finish(call.team, call.idempotency_key, stored)
