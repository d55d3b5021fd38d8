"""Executes a request: acquires slots and starts attempts until a response is final.

An idempotent request is hedged, that is, sent to a second upstream, when the first
attempt takes longer than nearly all others. The first complete response wins. Any other
request is retried only if it certainly did not run.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from shallotspindle_core.clock import Clock
from shallotspindle_entry.response_limits import ResponseFault
from shallotspindle_gateway.forwarding import (
    AttemptResult,
    Forwarder,
    UpstreamRequest,
    UpstreamResponse,
)
from shallotspindle_gateway.slot_requester import (
    AcquiredSlot,
    SlotRequester,
    SlotRequirements,
)
from shallotspindle_lending.records import Outcome, RefusalReason, SlotRefusal

# Bounds all attempts. The route's limit counts only attempts that may have run.
MAX_ATTEMPTS = 6
MIN_REMAINING_SECONDS = 0.01
# A hedge that gets no slot is tried again after this time: upstreams and the retry
# budget recover while an attempt hangs, which it may do for many times that long.
HEDGE_RETRY_SECONDS = 0.35
# Reasons that no later slot request of the same request changes.
FINAL_REFUSALS = frozenset({RefusalReason.QUARANTINED})
# An attempt that lost against its hedge counts against its upstream only if its age
# exceeds the hedge delay by this factor.
OVERDUE_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class ExecutionFailure:
    """The execution ended without a complete response.

    :param may_have_run: whether an upstream may have run the request.
    :param outcome: outcome of the last attempt; None if there was none.
    :param reason: why no slot was granted, if that ended the execution.
    :param retry_after: time after which the caller may retry, in seconds.
    """

    may_have_run: bool
    outcome: Outcome | None
    reason: RefusalReason | None
    retry_after: float


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """An ended attempt, for the log and the metrics.

    :param duration_seconds: time from the start to the end of the attempt.
    :param fault: why the response was rejected.
    """

    upstream: str
    outcome: Outcome
    duration_seconds: float
    fault: ResponseFault | None = None


class BodyStatus(Protocol):
    """Tells whether the body of a request can be sent."""

    def may_send(self) -> bool:
        """Return whether an attempt may start and would send the whole body."""

    def has_failed(self) -> bool:
        """Return whether the caller failed to send the body."""


@dataclass(slots=True)
class Execution:
    """Progress of one request.

    :param max_attempts: maximum number of attempts that may have run the request.
    :param possible_runs: number of ended attempts that may have run the request.
    :param delivered_attempts: number of ended attempts that reached an upstream.
    :param hedge_not_before: when a hedge may be tried again, as boot-time in seconds.
    """

    requirements: SlotRequirements
    max_attempts: int
    build_request: Callable[[AcquiredSlot, float], UpstreamRequest]
    body_status: BodyStatus
    ended_attempts: list[AttemptRecord]
    possible_runs: int = 0
    delivered_attempts: int = 0
    hedge_not_before: float = float("-inf")
    last_outcome: Outcome | None = None
    slot_refusal: SlotRefusal | None = None
    error_response: UpstreamResponse | None = None


@dataclass(slots=True)
class ActiveAttempt:
    """An attempt in progress."""

    slot: AcquiredSlot
    started_at: float
    task: asyncio.Task[AttemptResult]


class Executor:
    """Executes requests; each execution holds its own state."""

    def __init__(
        self, slot_requester: SlotRequester, forwarder: Forwarder, clock: Clock
    ) -> None:
        self._slot_requester = slot_requester
        self._forwarder = forwarder
        self._clock = clock

    async def run(
        self,
        requirements: SlotRequirements,
        max_attempts: int,
        build_request: Callable[[AcquiredSlot, float], UpstreamRequest],
        body_status: BodyStatus,
        ended_attempts: list[AttemptRecord],
    ) -> UpstreamResponse | ExecutionFailure:
        """Execute a request until its result is final.

        :param max_attempts: maximum number of attempts that may have run it.
        :param build_request: builds the request for a slot and a timeout in seconds.
        :param ended_attempts: each attempt is appended to it when it ends.
        """
        execution = Execution(
            requirements, max_attempts, build_request, body_status, ended_attempts
        )
        active_attempts: list[ActiveAttempt] = []
        try:
            return await self._run(execution, active_attempts)
        finally:
            for active in active_attempts:
                self._cancel_attempt(execution, active)

    async def _run(
        self, execution: Execution, active_attempts: list[ActiveAttempt]
    ) -> UpstreamResponse | ExecutionFailure:
        while True:
            if not active_attempts and not await self._start_attempt(
                execution, active_attempts
            ):
                return self._build_result(execution)
            hedge_delay = self._compute_hedge_delay(execution, active_attempts)
            done, _ = await asyncio.wait(
                [active.task for active in active_attempts],
                timeout=hedge_delay,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                if not await self._start_attempt(execution, active_attempts):
                    self._postpone_hedge(execution, len(active_attempts))
                continue
            response = self._collect_ended(execution, active_attempts)
            if response is not None:
                return response

    def _compute_hedge_delay(
        self, execution: Execution, active_attempts: list[ActiveAttempt]
    ) -> float | None:
        """Return the seconds until a hedge is due, or None if none may follow."""
        if not execution.requirements.is_idempotent or len(active_attempts) > 1:
            return None
        if execution.possible_runs + len(active_attempts) >= execution.max_attempts:
            return None
        active = active_attempts[0]
        hedge_at = max(
            active.started_at + active.slot.hedge_delay_seconds,
            execution.hedge_not_before,
        )
        return max(0.0, hedge_at - self._clock.boottime())

    def _postpone_hedge(self, execution: Execution, active_count: int) -> None:
        """Try a hedge again later, or not at all if it can never get a slot.

        :param active_count: number of attempts in progress.
        """
        refusal = execution.slot_refusal
        if refusal is not None and refusal.reason not in FINAL_REFUSALS:
            execution.hedge_not_before = self._clock.boottime() + HEDGE_RETRY_SECONDS
            return
        execution.max_attempts = min(
            execution.max_attempts, len(execution.ended_attempts) + active_count
        )

    @staticmethod
    def _may_start_attempt(execution: Execution, active_count: int) -> bool:
        """Return whether one more attempt may start.

        :param active_count: number of attempts in progress.
        """
        if len(execution.ended_attempts) + active_count >= MAX_ATTEMPTS:
            return False
        if execution.possible_runs + active_count >= execution.max_attempts:
            return False
        if execution.possible_runs and not execution.requirements.is_idempotent:
            return False
        return execution.body_status.may_send()

    async def _start_attempt(
        self, execution: Execution, active_attempts: list[ActiveAttempt]
    ) -> bool:
        if not self._may_start_attempt(execution, len(active_attempts)):
            return False
        execution.requirements = replace(
            execution.requirements,
            is_hedge=bool(active_attempts),
            is_retry=bool(execution.delivered_attempts or active_attempts),
        )
        slot = await self._slot_requester.acquire_slot(execution.requirements)
        if isinstance(slot, SlotRefusal):
            execution.slot_refusal = slot
            return False
        execution.requirements = replace(
            execution.requirements,
            excluded_upstreams=(
                *execution.requirements.excluded_upstreams,
                slot.upstream,
            ),
        )
        now = self._clock.boottime()
        remaining_seconds = execution.requirements.deadline - now
        if remaining_seconds < MIN_REMAINING_SECONDS:
            self._slot_requester.release_slot(
                execution.requirements, slot, Outcome.CANCELLED, 0.0
            )
            return False
        # Nothing may be awaited between the return of acquire_slot and the start of the
        # attempt: the upstream was checked for an evacuation last there.
        request = execution.build_request(slot, remaining_seconds)
        task = asyncio.create_task(self._forwarder.send(request))
        active_attempts.append(ActiveAttempt(slot, now, task))
        return True

    def _collect_ended(
        self, execution: Execution, active_attempts: list[ActiveAttempt]
    ) -> UpstreamResponse | None:
        response = None
        for active in [active for active in active_attempts if active.task.done()]:
            active_attempts.remove(active)
            result = active.task.result()
            self._record_result(execution, active, result)
            if result.outcome is Outcome.COMPLETE:
                response = result.response
            elif result.response is not None:
                execution.error_response = result.response
        return response

    def _record_result(
        self, execution: Execution, active: ActiveAttempt, result: AttemptResult
    ) -> None:
        # A body that its caller did not finish must not count against the upstream.
        outcome = (
            Outcome.CANCELLED if execution.body_status.has_failed() else result.outcome
        )
        execution.last_outcome = outcome
        if not result.did_not_run:
            execution.possible_runs += 1
        if result.outcome is not Outcome.NOT_CONNECTED:
            execution.delivered_attempts += 1
        duration_seconds = result.duration_seconds
        execution.ended_attempts.append(
            AttemptRecord(active.slot.upstream, outcome, duration_seconds, result.fault)
        )
        self._slot_requester.release_slot(
            execution.requirements, active.slot, outcome, duration_seconds
        )

    def _cancel_attempt(self, execution: Execution, active: ActiveAttempt) -> None:
        """Cancel an attempt whose response is no longer needed."""
        active.task.cancel()
        duration_seconds = self._clock.boottime() - active.started_at
        overdue = duration_seconds >= OVERDUE_FACTOR * active.slot.hedge_delay_seconds
        outcome = Outcome.OVERDUE if overdue else Outcome.CANCELLED
        execution.ended_attempts.append(
            AttemptRecord(active.slot.upstream, outcome, duration_seconds)
        )
        self._slot_requester.release_slot(
            execution.requirements, active.slot, outcome, duration_seconds
        )

    @staticmethod
    def _build_result(execution: Execution) -> UpstreamResponse | ExecutionFailure:
        if execution.error_response is not None:
            return execution.error_response
        slot_refusal = execution.slot_refusal
        return ExecutionFailure(
            may_have_run=execution.possible_runs > 0,
            outcome=execution.last_outcome,
            reason=slot_refusal.reason if slot_refusal else None,
            retry_after=slot_refusal.retry_after if slot_refusal else 0.2,
        )
