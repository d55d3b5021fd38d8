"""Checks of the promises, as pure functions over the history of a soak.

Each check returns the broken cases as records; the bounds are those that a deployment
states, not what was measured.
"""

import bisect
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from shallotspindle_soak.records import Call, History, Kind, Run, Span

# Bounds of the deployments of today, in seconds.
KEY_SECONDS = 5.0
DRAIN_SECONDS = 2.0
WINDOW_SECONDS = 5.0
# How far the clocks of a send and of its run may lie apart on one machine.
CLOCK_SLACK_SECONDS = 0.1
# After a fault, bounds in time hold again.
STABLE_SECONDS = 3.0
OVERAGE_PART = 0.1
REPEAT_RATIO = 0.2
REPEAT_SLACK = 10
REPEAT_WINDOW_SECONDS = 10.0
# A caller hears of the end of a process shortly after it.
EXIT_SECONDS = 0.5
STOP_SECONDS = 3.0
# Work of a request that came up to here may go on until the end of a stop, if the
# upstream is still at it in the last part of the time.
EARLY_PART = 0.5
LAST_PART = 5 / 6
# A request that was whole on the way so long before its connection ended was lost.
LOSS_SECONDS = 0.2
# No route's timeout is shorter; what gets 504 sooner was broken off.
LEAST_TIMEOUT_SECONDS = 1.4
GATEWAY_TIMEOUT = 504
MEMORY_BYTES = 300 * 1024**2
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
RECOVERY_SECONDS = 6.0
LEAST_RECOVERED_PART = 0.9
# Longer than every route's timeout and the way of a large request.
OVERDUE_SECONDS = 2.5


@dataclass(frozen=True, slots=True)
class Broken:
    """A promise that did not hold.

    :param promise: name of the check.
    """

    promise: str
    request_id: str
    detail: str


def find_runs(history: History) -> dict[str, list[Run]]:
    """Return the runs by request."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        runs[run.request_id].append(run)
    return runs


def check_once(history: History) -> Iterator[Broken]:
    """An order runs at most once."""
    runs = find_runs(history)
    for call in history.calls:
        if call.kind is Kind.ORDER and len(runs[call.request_id]) > 1:
            names = ", ".join(run.upstream for run in runs[call.request_id])
            yield Broken("once", call.request_id, f"ran at {names}")


def check_refusals(history: History) -> Iterator[Broken]:
    """What was refused as not run did not run."""
    runs = find_runs(history)
    for call in history.calls:
        refused = call.status in NOT_RUN_STATUSES and call.kind is Kind.ORDER
        if refused and runs[call.request_id]:
            yield Broken("refusal", call.request_id, f"{call.status} after a run")


def check_answers(history: History) -> Iterator[Broken]:
    """A success is the whole answer to the request that asked for it."""
    for call in history.calls:
        if not call.is_right:
            detail = f"another or a partial answer: {call.answer}"
            yield Broken("answer", call.request_id, detail)


def check_keys(history: History) -> Iterator[Broken]:
    """No key reaches an upstream, and each run is for the team of its key."""
    calls = {call.request_id: call for call in history.calls}
    for run in history.runs:
        call = calls.get(run.request_id)
        if run.key_seen:
            yield Broken("key", run.request_id, "an upstream saw the key")
        if call is None or run.team != call.team:
            yield Broken("key", run.request_id, f"ran for team {run.team!r}")


def check_bodies(history: History) -> Iterator[Broken]:
    """An upstream runs a request with its whole body."""
    calls = {call.request_id: call for call in history.calls}
    for run in history.runs:
        call = calls.get(run.request_id)
        if call is not None and run.size != call.size:
            detail = f"{run.upstream} ran it with {run.size} of {call.size} bytes"
            yield Broken("body", run.request_id, detail)


def check_withdrawals(history: History) -> Iterator[Broken]:
    """A withdrawn key stops working in time, whatever is cut."""
    runs = find_runs(history)
    for call in history.calls:
        withdrawn_at = history.withdrawn.get(call.key)
        if withdrawn_at is None or not runs[call.request_id]:
            continue
        late = call.sent_at - withdrawn_at
        if late > KEY_SECONDS + CLOCK_SLACK_SECONDS:
            yield Broken("withdrawal", call.request_id, f"ran {late:.1f} s after it")


def check_rates(history: History) -> Iterator[Broken]:
    """No team has more requests run than its limit in any window, over all gateways.

    Those that were sent and run in the window count: a request that waits for a slot
    in a crowded service runs later than it was admitted. A request counts once, at its
    first run: its repeats are the fleet's own and are bounded by the budget of repeats.
    """
    sent_at = {call.request_id: call.sent_at for call in history.calls}
    first: dict[str, Run] = {}
    for run in sorted(history.runs, key=lambda run: run.at):
        first.setdefault(run.request_id, run)
    spans: dict[str, list[Span]] = defaultdict(list)
    for run in first.values():
        spans[run.team].append(Span(sent_at.get(run.request_id, run.at), run.at))
    for team, (rate, burst) in history.limits.items():
        allowed = (rate * WINDOW_SECONDS + burst) * (1 + OVERAGE_PART)
        most = _find_most_within(spans[team], WINDOW_SECONDS)
        if most > allowed:
            detail = f"{team}: {most} requests in a window, {allowed:.0f} allowed"
            yield Broken("rate", "", detail)


def _find_most_within(spans: list[Span], seconds: float) -> int:
    """Return the largest number of spans that lie in any window of some length."""
    starts = {span.start for span in spans}
    return max(
        (
            sum(start <= s.start and s.end <= start + seconds for s in spans)
            for start in starts
        ),
        default=0,
    )


def check_repeats(history: History) -> Iterator[Broken]:
    """Requests are sent once more within the budget only, over all gateways."""
    repeats = [
        run.at
        for runs in find_runs(history).values()
        for run in sorted(runs, key=lambda run: run.at)[1:]
    ]
    sent = [call.sent_at for call in history.calls]
    # The whole history bounds the requests of a window from above.
    requests = _find_most(sent, REPEAT_WINDOW_SECONDS)
    allowed = REPEAT_RATIO * requests + REPEAT_SLACK
    most = _find_most(repeats, REPEAT_WINDOW_SECONDS)
    if most > allowed:
        yield Broken("repeats", "", f"{most} in a window, {allowed:.0f} allowed")


def _find_most(moments: list[float], seconds: float) -> int:
    """Return the largest number of moments in any span of some length."""
    ordered = sorted(moments)
    return max(
        (bisect.bisect(ordered, at + seconds) - n for n, at in enumerate(ordered)),
        default=0,
    )


def check_drains(history: History) -> Iterator[Broken]:
    """A leaving upstream gets no new work after some seconds."""
    gateways = {call.request_id: call.gateway for call in history.calls}
    for run in history.runs:
        drained_at = history.drained.get(run.upstream)
        if drained_at is None or run.at <= drained_at + DRAIN_SECONDS:
            continue
        gateway = gateways.get(run.request_id, "")
        if not history.is_disturbed(gateway, run.at, STABLE_SECONDS):
            late = run.at - drained_at
            yield Broken("drain", run.request_id, f"{late:.1f} s after {run.upstream}")


def check_stops(history: History) -> Iterator[Broken]:
    """A planned stop answers what was sent whole, and breaks no work off.

    Outages of the store excuse nothing: no answer depends on it.
    """
    runs = find_runs(history)
    for call in history.calls:
        stop = _find_stop(history, call)
        if stop is None or _is_excused(history, call):
            continue
        loss = _find_loss(history, call, runs[call.request_id], stop)
        if loss:
            began = call.sent_at - stop.start
            ended = call.ended_at - stop.start
            detail = f"{loss} at {call.gateway}, {began:.2f} to {ended:.2f} s of a stop"
            starved = _find_starved(history, call)
            if starved:
                detail += f", {starved:.1f} s of it without a processor"
            yield Broken("stop", call.request_id, detail)


def _find_starved(history: History, call: Call) -> float:
    """Return how long the gateway of a call could run and got no processor."""
    return sum(
        max(0.0, min(span.end, call.ended_at) - max(span.start, call.sent_at))
        for span in history.starved.get(call.gateway, ())
    )


def _find_stop(history: History, call: Call) -> Span | None:
    """Return the planned stop in which a call ended."""
    spans = history.stopped.get(call.gateway, ())
    found = (span for span in spans if span.covers(call.ended_at, EXIT_SECONDS))
    return next(found, None)


def _find_loss(history: History, call: Call, runs: list[Run], stop: Span) -> str:
    """Return how a planned stop lost a call; empty if it did not."""
    is_at_work = any(_is_at_work(run, call.ended_at) for run in runs)
    is_early = call.sent_at <= stop.start + EARLY_PART * STOP_SECONDS
    last_part = stop.start + LAST_PART * STOP_SECONDS
    worked_last = any(run.ended_at >= last_part for run in runs)
    # An answer that became ready so late may not get over a slow link in time.
    if is_early and worked_last and call.ended_at >= last_part:
        return ""
    if call.status == 0:
        if runs:
            return "cut after a run"
        waited = call.ended_at - call.whole_at if call.whole_at else 0.0
        is_lost = waited > LOSS_SECONDS + CLOCK_SLACK_SECONDS
        return f"no answer {waited:.2f} s after it was whole" if is_lost else ""
    lasted = call.ended_at - call.sent_at
    timed_out = lasted >= LEAST_TIMEOUT_SECONDS - CLOCK_SLACK_SECONDS
    if call.status != GATEWAY_TIMEOUT or timed_out:
        return ""
    if is_at_work:
        return "broken off"
    return "" if _is_way_harmed(history, call) else "504 with nothing at work"


def _is_at_work(run: Run, at: float) -> bool:
    return run.at <= at and run.ended_at >= at - CLOCK_SLACK_SECONDS


def _is_way_harmed(history: History, call: Call) -> bool:
    """Return whether a request or its answer may be lost on the way to an upstream."""
    return any(
        span.start <= call.ended_at and call.sent_at <= span.end
        for span in history.harmed_ways
    )


def _is_excused(history: History, call: Call) -> bool:
    moments = (call.sent_at, call.ended_at)
    return any(history.is_harmed(call.gateway, at, STABLE_SECONDS) for at in moments)


def check_memory(history: History) -> Iterator[Broken]:
    """No gateway grows beyond its bound, whatever an upstream sends."""
    for gateway, size in history.memory.items():
        if size > MEMORY_BYTES:
            yield Broken("memory", "", f"{gateway} held {size // 1024**2} MB")


def check_survival(history: History) -> Iterator[Broken]:
    """No gateway process ends by itself."""
    for gateway in history.died:
        yield Broken("survival", "", f"{gateway} ended by itself")


def check_recovery(history: History) -> Iterator[Broken]:
    """Some seconds after the last fault requests are served again."""
    since = history.quiet_from + RECOVERY_SECONDS
    late = [
        call
        for call in history.calls
        if call.sent_at >= since
        and call.key not in history.withdrawn
        and call.status != 429
        and not _is_unfinished(history, call)
    ]
    served = sum(call.status == 200 for call in late)
    if late and served < LEAST_RECOVERED_PART * len(late):
        yield Broken("recovery", "", f"{served} of {len(late)} served")


def _is_unfinished(history: History, call: Call) -> bool:
    """Return whether a call was open when the callers left and was not yet overdue."""
    open_seconds = history.callers_left_at - call.sent_at
    return call.ended_at == 0.0 and open_seconds < OVERDUE_SECONDS


Check = Callable[[History], Iterator[Broken]]
CHECKS: tuple[Check, ...] = (
    check_once,
    check_refusals,
    check_answers,
    check_keys,
    check_bodies,
    check_withdrawals,
    check_rates,
    check_repeats,
    check_drains,
    check_stops,
    check_memory,
    check_survival,
    check_recovery,
)


def check_all(history: History) -> list[Broken]:
    """Return every broken case of all promises."""
    return [broken for check in CHECKS for broken in check(history)]
