"""Checks of the gateway's promises, as pure functions over the history of a soak test.

A promise is a property that a deployment guarantees to its users, such as that an order
is executed at most once. Each check yields its violations. The bounds are those that a
deployment states, not measured values.
"""

import bisect
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from shallotspindle_soak.records import Call, Execution, History, Interval, RequestKind

# Bounds of the current deployments.
KEY_WITHDRAWAL_SECONDS = 5.0
DRAIN_SECONDS = 2.0
RATE_WINDOW_SECONDS = 5.0
# Allowed difference between the recorded times of a caller and of an upstream on one
# machine.
CLOCK_SLACK_SECONDS = 0.1
# Bounds on time hold again so long after a fault.
STABILIZATION_SECONDS = 3.0
RATE_OVERAGE_FRACTION = 0.1
RETRY_RATIO = 0.2
EXTRA_RETRIES = 10
RETRY_WINDOW_SECONDS = 10.0
# A caller notices the exit of a process shortly after it.
EXIT_DETECTION_SECONDS = 0.5
MAX_STOP_SECONDS = 3.0
# A request sent in this first fraction of a shutdown may be cancelled at its end, but
# only if its upstream still works on it in the late phase, which begins at the second
# fraction.
EARLY_FRACTION = 0.5
LATE_PHASE_FRACTION = 5 / 6
# A request that was fully sent so long before its connection ended counts as lost.
MIN_LOSS_SECONDS = 0.2
# No route's timeout is shorter, so a request that gets 504 sooner was cancelled.
MIN_ROUTE_TIMEOUT_SECONDS = 1.4
STATUS_OK = 200
GATEWAY_TIMEOUT = 504
# An upstream that asks for a pause may get requests until the pause is known, and so
# many after that.
PAUSE_REACTION_SECONDS = 0.5
MAX_REQUESTS_IN_PAUSE = 2
MAX_MEMORY_BYTES = 300 * 1024**2
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
RECOVERY_SECONDS = 6.0
MIN_RECOVERED_FRACTION = 0.9
# Longer than every route's timeout plus the transfer of a large request.
RESPONSE_OVERDUE_SECONDS = 2.5


@dataclass(frozen=True, slots=True)
class Violation:
    """A case in which a promise did not hold.

    :param promise: its name as printed in the report.
    :param request_id: the affected request; empty if it concerns no single one.
    """

    promise: str
    request_id: str
    detail: str


def group_executions(history: History) -> dict[str, list[Execution]]:
    """Return the executions by request id."""
    executions: dict[str, list[Execution]] = defaultdict(list)
    for execution in history.executions:
        executions[execution.request_id].append(execution)
    return executions


def check_at_most_once(history: History) -> Iterator[Violation]:
    """An order is executed at most once."""
    executions = group_executions(history)
    for call in history.calls:
        if call.kind is RequestKind.ORDER and len(executions[call.request_id]) > 1:
            upstreams = ", ".join(
                execution.upstream for execution in executions[call.request_id]
            )
            yield Violation("once", call.request_id, f"executed by {upstreams}")


def check_refusals(history: History) -> Iterator[Violation]:
    """An order that was refused as not executed was not executed."""
    executions = group_executions(history)
    for call in history.calls:
        refused = call.status in NOT_RUN_STATUSES and call.kind is RequestKind.ORDER
        if refused and executions[call.request_id]:
            yield Violation(
                "refusal", call.request_id, f"{call.status} after an execution"
            )


def check_responses(history: History) -> Iterator[Violation]:
    """A successful response is complete and belongs to its request."""
    for call in history.calls:
        if not call.is_correct:
            detail = f"wrong or partial response: {call.response_summary}"
            yield Violation("answer", call.request_id, detail)


def check_keys(history: History) -> Iterator[Violation]:
    """No key reaches an upstream, and each execution is for the team of its key."""
    calls = {call.request_id: call for call in history.calls}
    for execution in history.executions:
        call = calls.get(execution.request_id)
        if execution.has_key:
            yield Violation("key", execution.request_id, "an upstream received the key")
        if call is None or execution.team != call.team:
            yield Violation(
                "key", execution.request_id, f"executed for team {execution.team!r}"
            )


def check_bodies(history: History) -> Iterator[Violation]:
    """An upstream executes a request with its complete body."""
    calls = {call.request_id: call for call in history.calls}
    for execution in history.executions:
        call = calls.get(execution.request_id)
        if call is not None and execution.body_bytes != call.body_bytes:
            detail = (
                f"{execution.upstream} executed it with {execution.body_bytes} of "
                f"{call.body_bytes} bytes"
            )
            yield Violation("body", execution.request_id, detail)


def check_withdrawals(history: History) -> Iterator[Violation]:
    """A withdrawn key stops working in time, whatever faults there are."""
    executions = group_executions(history)
    for call in history.calls:
        withdrawal_time = history.withdrawn_keys.get(call.key)
        if withdrawal_time is None or not executions[call.request_id]:
            continue
        delay_seconds = call.sent_at - withdrawal_time
        if delay_seconds > KEY_WITHDRAWAL_SECONDS + CLOCK_SLACK_SECONDS:
            yield Violation(
                "withdrawal", call.request_id, f"executed {delay_seconds:.1f} s later"
            )


def check_rates(history: History) -> Iterator[Violation]:
    """No team exceeds its rate limit in any window, over all gateways.

    Counts requests that were both sent and executed in the window, since a request that
    waits for a slot of an overloaded service is executed later than it was admitted. A
    request counts once, at its first execution: the fleet itself makes the retries, and
    the retry budget bounds them.
    """
    sent_at = {call.request_id: call.sent_at for call in history.calls}
    first_executions: dict[str, Execution] = {}
    for execution in sorted(
        history.executions, key=lambda execution: execution.started_at
    ):
        first_executions.setdefault(execution.request_id, execution)
    intervals: dict[str, list[Interval]] = defaultdict(list)
    for execution in first_executions.values():
        intervals[execution.team].append(
            Interval(
                sent_at.get(execution.request_id, execution.started_at),
                execution.started_at,
            )
        )
    for team, (rate, burst) in history.rate_limits.items():
        allowed = (rate * RATE_WINDOW_SECONDS + burst) * (1 + RATE_OVERAGE_FRACTION)
        max_count = _count_most_contained(intervals[team], RATE_WINDOW_SECONDS)
        if max_count > allowed:
            detail = f"{team}: {max_count} requests in a window, {allowed:.0f} allowed"
            yield Violation("rate", "", detail)


def _count_most_contained(intervals: list[Interval], seconds: float) -> int:
    """Return the maximum number of intervals inside any window of a given length."""
    start_times = {interval.start for interval in intervals}
    return max(
        (
            sum(start <= s.start and s.end <= start + seconds for s in intervals)
            for start in start_times
        ),
        default=0,
    )


def check_retries(history: History) -> Iterator[Violation]:
    """Retries stay within the retry budget, over all gateways.

    Those that an upstream rejects without an execution count too.
    """
    arrivals: dict[str, list[float]] = defaultdict(list)
    for execution in history.executions:
        arrivals[execution.request_id].append(execution.started_at)
    for rejection in history.rejections:
        arrivals[rejection.request_id].append(rejection.rejected_at)
    retries = [time for times in arrivals.values() for time in sorted(times)[1:]]
    sent_times = [call.sent_at for call in history.calls]
    # The busiest window of the history is an upper bound for every window.
    requests = _count_most_in_window(sent_times, RETRY_WINDOW_SECONDS)
    allowed = RETRY_RATIO * requests + EXTRA_RETRIES
    max_count = _count_most_in_window(retries, RETRY_WINDOW_SECONDS)
    if max_count > allowed:
        yield Violation(
            "repeats", "", f"{max_count} in a window, {allowed:.0f} allowed"
        )


def _count_most_in_window(times: list[float], seconds: float) -> int:
    """Return the maximum number of times inside any window of a given length."""
    sorted_times = sorted(times)
    return max(
        (
            bisect.bisect(sorted_times, time + seconds) - n
            for n, time in enumerate(sorted_times)
        ),
        default=0,
    )


def check_drains(history: History) -> Iterator[Violation]:
    """A draining upstream gets no new requests after some seconds."""
    gateways = {call.request_id: call.gateway for call in history.calls}
    for execution in history.executions:
        drain_time = history.drained_upstreams.get(execution.upstream)
        if drain_time is None or execution.started_at <= drain_time + DRAIN_SECONDS:
            continue
        gateway = gateways.get(execution.request_id, "")
        if not history.is_affected(
            gateway, execution.started_at, STABILIZATION_SECONDS
        ):
            delay_seconds = execution.started_at - drain_time
            yield Violation(
                "drain",
                execution.request_id,
                f"{delay_seconds:.1f} s after {execution.upstream}",
            )


def check_leaving(history: History) -> Iterator[Violation]:
    """A gateway that passed on that an upstream leaves sends it nothing new.

    Neither the store nor the connection to it is an excuse, only a halt of the process.
    """
    executions = group_executions(history)
    noticed_at: dict[tuple[str, str, int], float] = {}
    for call in sorted(history.calls, key=lambda call: call.ended_at):
        if call.status != STATUS_OK or len(executions[call.request_id]) != 1:
            continue
        (execution,) = executions[call.request_id]
        if execution.said_leaving:
            key = (call.gateway, execution.upstream, execution.incarnation)
            noticed_at.setdefault(key, call.ended_at)
    for call in history.calls:
        for execution in executions[call.request_id]:
            key = (call.gateway, execution.upstream, execution.incarnation)
            since = noticed_at.get(key)
            if since is None or call.sent_at <= since + DRAIN_SECONDS:
                continue
            if not history.was_halted(call.gateway, since, execution.started_at):
                detail = f"{call.sent_at - since:.1f} s after {execution.upstream}"
                yield Violation("leaving", call.request_id, detail)


def check_pauses(history: History) -> Iterator[Violation]:
    """An upstream that asked a gateway for a pause gets hardly any requests from it."""
    gateways = {call.request_id: call.gateway for call in history.calls}
    arrivals: dict[tuple[str, str], list[float]] = defaultdict(list)
    for execution in history.executions:
        gateway = gateways.get(execution.request_id, "")
        arrivals[gateway, execution.upstream].append(execution.started_at)
    for rejection in history.rejections:
        gateway = gateways.get(rejection.request_id, "")
        arrivals[gateway, rejection.upstream].append(rejection.rejected_at)
    for rejection in history.rejections:
        gateway = gateways.get(rejection.request_id, "")
        start = rejection.rejected_at + PAUSE_REACTION_SECONDS
        end = rejection.rejected_at + rejection.pause_seconds
        times = arrivals[gateway, rejection.upstream]
        count = sum(start < time < end for time in times)
        if count <= MAX_REQUESTS_IN_PAUSE:
            continue
        if history.was_halted(gateway, rejection.rejected_at, end):
            continue
        detail = f"{count} requests from {gateway} to {rejection.upstream}"
        yield Violation("pause", rejection.request_id, detail)


def check_stops(history: History) -> Iterator[Violation]:
    """A graceful shutdown answers fully sent requests and cancels no running ones.

    Outages of the store are no excuse, as no response depends on the store.
    """
    executions = group_executions(history)
    for call in history.calls:
        shutdown = _find_shutdown(history, call)
        if shutdown is None or _is_excused(history, call):
            continue
        loss = _describe_loss(history, call, executions[call.request_id], shutdown)
        if loss:
            start_offset = call.sent_at - shutdown.start
            end_offset = call.ended_at - shutdown.start
            detail = (
                f"{loss} at {call.gateway}, {start_offset:.2f} to {end_offset:.2f} s "
                "after the start of a shutdown"
            )
            starved_seconds = _compute_starvation(history, call)
            if starved_seconds:
                detail += f", {starved_seconds:.1f} s of it without CPU time"
            yield Violation("stop", call.request_id, detail)


def _compute_starvation(history: History, call: Call) -> float:
    """Return how long the gateway was runnable without CPU time during a call."""
    return sum(
        max(0.0, min(interval.end, call.ended_at) - max(interval.start, call.sent_at))
        for interval in history.cpu_starvation.get(call.gateway, ())
    )


def _find_shutdown(history: History, call: Call) -> Interval | None:
    """Return the graceful shutdown in which a call ended."""
    intervals = history.shutdowns.get(call.gateway, ())
    matching = (
        interval
        for interval in intervals
        if interval.contains(call.ended_at, EXIT_DETECTION_SECONDS)
    )
    return next(matching, None)


def _describe_loss(
    history: History, call: Call, executions: list[Execution], shutdown: Interval
) -> str:
    """Return how a graceful shutdown lost a call; empty if it did not."""
    is_executing = any(
        _is_executing(execution, call.ended_at) for execution in executions
    )
    is_early_request = (
        call.sent_at <= shutdown.start + EARLY_FRACTION * MAX_STOP_SECONDS
    )
    late_phase_start = shutdown.start + LATE_PHASE_FRACTION * MAX_STOP_SECONDS
    worked_in_late_phase = any(
        execution.ended_at >= late_phase_start for execution in executions
    )
    # A response that becomes ready so late may not cross a slow link in time.
    if is_early_request and worked_in_late_phase and call.ended_at >= late_phase_start:
        return ""
    if call.status == 0:
        if executions:
            return "connection closed after an execution"
        waited_seconds = (
            call.ended_at - call.fully_sent_at if call.fully_sent_at else 0.0
        )
        is_late = waited_seconds > MIN_LOSS_SECONDS + CLOCK_SLACK_SECONDS
        return (
            f"no response {waited_seconds:.2f} s after it was fully sent"
            if is_late
            else ""
        )
    duration_seconds = call.ended_at - call.sent_at
    timed_out = duration_seconds >= MIN_ROUTE_TIMEOUT_SECONDS - CLOCK_SLACK_SECONDS
    if call.status != GATEWAY_TIMEOUT or timed_out:
        return ""
    if is_executing:
        return "cancelled while running"
    return (
        ""
        if _is_upstream_link_faulty(history, call)
        else "504 without a running execution"
    )


def _is_executing(execution: Execution, time: float) -> bool:
    return (
        execution.started_at <= time
        and execution.ended_at >= time - CLOCK_SLACK_SECONDS
    )


def _is_upstream_link_faulty(history: History, call: Call) -> bool:
    """Return whether a link fault may have lost a request or its response."""
    return any(
        interval.start <= call.ended_at and call.sent_at <= interval.end
        for interval in history.upstream_link_faults
    )


def _is_excused(history: History, call: Call) -> bool:
    times = (call.sent_at, call.ended_at)
    return any(
        history.is_directly_affected(call.gateway, time, STABILIZATION_SECONDS)
        for time in times
    )


def check_memory(history: History) -> Iterator[Violation]:
    """No gateway exceeds its memory bound, whatever an upstream sends."""
    for gateway, resident_bytes in history.peak_memory_bytes.items():
        if resident_bytes > MAX_MEMORY_BYTES:
            yield Violation(
                "memory", "", f"{gateway} used {resident_bytes // 1024**2} MB"
            )


def check_survival(history: History) -> Iterator[Violation]:
    """No gateway process exits by itself."""
    for gateway in history.unexpected_exits:
        yield Violation("survival", "", f"{gateway} exited unexpectedly")


def check_recovery(history: History) -> Iterator[Violation]:
    """Requests are served again some seconds after the last fault."""
    recovered_at = history.faults_ended_at + RECOVERY_SECONDS
    late_calls = [
        call
        for call in history.calls
        if call.sent_at >= recovered_at
        and call.key not in history.withdrawn_keys
        and call.status != 429
        and not _is_unfinished(history, call)
    ]
    served_count = sum(call.status == 200 for call in late_calls)
    if late_calls and served_count < MIN_RECOVERED_FRACTION * len(late_calls):
        yield Violation("recovery", "", f"{served_count} of {len(late_calls)} served")


def _is_unfinished(history: History, call: Call) -> bool:
    """Return whether a call was open but not overdue when the callers stopped."""
    open_seconds = history.callers_stopped_at - call.sent_at
    return call.ended_at == 0.0 and open_seconds < RESPONSE_OVERDUE_SECONDS


Check = Callable[[History], Iterator[Violation]]
CHECKS: tuple[Check, ...] = (
    check_at_most_once,
    check_refusals,
    check_responses,
    check_keys,
    check_bodies,
    check_withdrawals,
    check_rates,
    check_retries,
    check_drains,
    check_leaving,
    check_pauses,
    check_stops,
    check_memory,
    check_survival,
    check_recovery,
)


def check_all(history: History) -> list[Violation]:
    """Return the violations that all checks find."""
    return [violation for check in CHECKS for violation in check(history)]
