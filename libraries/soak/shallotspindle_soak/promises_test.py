from dataclasses import replace

import pytest

from shallotspindle_soak import promises
from shallotspindle_soak.records import (
    Call,
    Execution,
    History,
    Interval,
    Rejection,
    RequestKind,
)

ORDER = Call("r1", RequestKind.ORDER, "museum", "k1", "g1", 10.0, 10.2, 200)
EXECUTION = Execution("r1", "u1", "museum", has_key=False, started_at=10.1)

WITH_SHUTDOWN = {"shutdowns": {"g1": [Interval(9.0, 12.0)]}}


def build_history(call: Call = ORDER, *executions: Execution, **fields) -> History:
    default_fields = {"faults_ended_at": 100.0}
    return History(
        calls=[replace(call)], executions=list(executions), **(default_fields | fields)
    )


def build_read_history(count: int, **fields) -> History:
    """Return a history of reads, each executed once, within half a second."""
    calls = [
        replace(ORDER, request_id=f"r{n}", kind=RequestKind.READ)
        for n in range(1, count + 1)
    ]
    executions = [
        replace(EXECUTION, request_id=call.request_id, started_at=10 + n / 100)
        for n, call in enumerate(calls)
    ]
    return History(calls=calls, executions=executions, faults_ended_at=100.0, **fields)


def list_violations(history: History) -> list[str]:
    return [violation.promise for violation in promises.check_all(history)]


class TestCorrectHistory:
    def test_request_executed_once_and_answered_violates_nothing(self):
        # Guards against false reports.
        assert list_violations(build_history(ORDER, EXECUTION)) == []


class TestChecks:
    """Guards against a check that misses its violation or reports a harmless case."""

    def test_order_executed_twice_is_reported(self):
        second_execution = replace(EXECUTION, upstream="u2")
        assert list_violations(build_history(ORDER, EXECUTION, second_execution)) == [
            "once"
        ]

    def test_read_executed_twice_is_allowed(self):
        read = replace(ORDER, kind=RequestKind.READ)
        assert (
            list_violations(
                build_history(read, EXECUTION, replace(EXECUTION, upstream="u2"))
            )
            == []
        )

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_refusal_of_an_executed_order_is_reported(self, status):
        assert list_violations(
            build_history(replace(ORDER, status=status), EXECUTION)
        ) == ["refusal"]

    def test_wrong_response_is_reported(self):
        assert list_violations(
            build_history(replace(ORDER, is_correct=False), EXECUTION)
        ) == ["answer"]

    def test_key_received_by_an_upstream_is_reported(self):
        assert list_violations(
            build_history(ORDER, replace(EXECUTION, has_key=True))
        ) == ["key"]

    def test_execution_with_a_truncated_body_is_reported(self):
        # Guards against a body that was forwarded without its end.
        assert list_violations(
            build_history(ORDER, replace(EXECUTION, body_bytes=10))
        ) == ["body"]

    def test_execution_for_another_team_is_reported(self):
        assert list_violations(
            build_history(ORDER, replace(EXECUTION, team="kiosk"))
        ) == ["key"]

    def test_late_use_of_a_withdrawn_key_is_reported_even_during_faults(self):
        history = build_history(ORDER, EXECUTION, withdrawn_keys={"k1": 4.0})
        history.gateway_faults[""] = [Interval(0.0, 60.0)]
        assert list_violations(history) == ["withdrawal"]

    def test_key_withdrawn_shortly_before_is_allowed(self):
        assert (
            list_violations(build_history(ORDER, EXECUTION, withdrawn_keys={"k1": 6.0}))
            == []
        )

    def test_more_executions_than_the_rate_limit_are_reported(self):
        history = build_read_history(17, rate_limits={"museum": (2.0, 5.0)})
        assert list_violations(history) == ["rate"]

    def test_queued_request_counts_from_when_it_was_sent(self):
        # Guards against a rate limit that looks exceeded because an overloaded service
        # executed two requests 0.8 and 1.2 s after they had been admitted.
        history = build_read_history(17, rate_limits={"museum": (2.0, 5.0)})
        history.calls[0] = replace(history.calls[0], sent_at=4.9)
        assert list_violations(history) == []

    def test_retried_read_counts_once_for_its_team(self):
        # Guards against counting the fleet's own retries for a team: a team with seven
        # requests, two of them retried, was reported with nine executions.
        history = build_read_history(16, rate_limits={"museum": (2.0, 5.0)})
        history.executions += [
            replace(execution, upstream="u2") for execution in history.executions[:10]
        ]
        assert list_violations(history) == []

    def test_more_retries_than_the_budget_are_reported(self):
        history = build_read_history(40)
        # 0.2 * 40 + 10 = 18 retries are allowed in a window.
        retries = [
            replace(execution, upstream="u2") for execution in history.executions
        ]
        history.executions += retries[:18]
        assert list_violations(history) == []
        history.executions += retries[18:19]
        assert list_violations(history) == ["repeats"]

    def test_rejected_retries_count_too(self):
        # Guards against a fleet that floods upstreams which shed: each retry that they
        # reject is an arrival, although nothing is executed.
        history = build_read_history(40)
        history.rejections += [
            Rejection(call.request_id, "u2", call.sent_at + 0.1, 0.0)
            for call in history.calls[:18]
        ]
        assert list_violations(history) == []
        first = history.rejections[0]
        history.rejections.append(replace(first, upstream="u3"))
        assert list_violations(history) == ["repeats"]

    def test_new_request_to_a_drained_upstream_is_reported(self):
        history = build_history(ORDER, EXECUTION, drained_upstreams={"u1": 7.0})
        assert list_violations(history) == ["drain"]
        history.gateway_faults["g1"] = [Interval(9.0, 9.5)]
        assert list_violations(history) == []

    def test_request_aborted_by_a_graceful_shutdown_is_reported(self):
        aborted = replace(ORDER, status=0)
        history = build_history(
            aborted, EXECUTION, shutdowns={"g1": [Interval(9.0, 12.0)]}
        )
        assert list_violations(history) == ["stop"]

    def test_request_not_fully_sent_in_time_is_excused(self):
        # Guards against a report of a request that the gateway did not receive in time.
        late = replace(ORDER, status=0, fully_sent_at=10.1)
        assert list_violations(build_history(late, **WITH_SHUTDOWN)) == []
        unfinished = replace(ORDER, status=0, fully_sent_at=0.0)
        assert list_violations(build_history(unfinished, **WITH_SHUTDOWN)) == []

    def test_fully_sent_request_without_a_response_is_reported(self):
        # Guards against a lost upload that no upstream received.
        lost = replace(ORDER, status=0, sent_at=9.0, fully_sent_at=9.2)
        assert list_violations(build_history(lost, **WITH_SHUTDOWN)) == ["stop"]
        history = build_history(lost, **WITH_SHUTDOWN)
        history.gateway_faults[""] = [Interval(0.0, 20.0)]
        assert list_violations(history) == ["stop"]
        history.gateway_faults["g1"] = [Interval(9.0, 9.1)]
        assert list_violations(history) == []

    @pytest.mark.parametrize(
        ("sent_at", "ended_at", "violations"),
        [
            (10.4, 11.6, []),
            (10.6, 11.8, ["stop"]),
            (10.4, 11.0, ["stop"]),
        ],
    )
    def test_only_early_requests_may_be_cancelled_late_in_a_shutdown(
        self, sent_at, ended_at, violations
    ):
        # Guards against a 504 in place of a response that was still to come. Only early
        # requests may be cancelled, and only in the late phase.
        call = replace(ORDER, status=504, sent_at=sent_at, ended_at=ended_at)
        execution = replace(EXECUTION, started_at=sent_at + 0.1)
        assert (
            list_violations(build_history(call, execution, **WITH_SHUTDOWN))
            == violations
        )

    def test_detail_names_how_long_the_gateway_had_no_cpu_time(self):
        # Guards against mistaking an overloaded machine for a lost request: the case
        # stays a violation, and its detail names the time.
        lost = replace(ORDER, status=0, sent_at=9.0, fully_sent_at=9.2)
        history = build_history(
            lost, **WITH_SHUTDOWN, cpu_starvation={"g1": [Interval(9.5, 30.0)]}
        )
        (violation,) = promises.check_all(history)
        assert "0.7 s of it without CPU time" in violation.detail

    def test_504_without_an_execution_is_reported(self):
        # Guards against a 504 for a request that all upstreams had shed.
        call = replace(ORDER, status=504)
        history = build_history(call, **WITH_SHUTDOWN)
        assert list_violations(history) == ["stop"]
        history.upstream_link_faults = [Interval(10.0, 10.1)]
        assert list_violations(history) == []

    def test_route_timeout_in_a_graceful_shutdown_is_allowed(self):
        call = replace(ORDER, status=504, sent_at=9.2, ended_at=10.6)
        assert list_violations(build_history(call, EXECUTION, **WITH_SHUTDOWN)) == []

    def test_excessive_memory_is_reported(self):
        history = build_history(
            ORDER, EXECUTION, peak_memory_bytes={"g1": 301 * 1024**2}
        )
        assert list_violations(history) == ["memory"]

    def test_unexpected_exit_is_reported(self):
        assert list_violations(
            build_history(ORDER, EXECUTION, unexpected_exits=["g1"])
        ) == ["survival"]

    def test_fleet_that_does_not_recover_is_reported(self):
        failed = replace(ORDER, status=503)
        assert list_violations(build_history(failed, faults_ended_at=1.0)) == [
            "recovery"
        ]

    def test_request_open_when_the_callers_stopped_is_reported_only_if_overdue(self):
        # Guards against a report about requests that the end of the soak test cut off,
        # and against missing a fleet that answers nothing.
        aborted = replace(ORDER, status=0, ended_at=0.0)
        late_history = {"faults_ended_at": 1.0, "callers_stopped_at": 11.0}
        assert list_violations(build_history(aborted, **late_history)) == []
        late_history["callers_stopped_at"] = 13.0
        assert list_violations(build_history(aborted, **late_history)) == ["recovery"]

    def test_requests_after_an_upstream_said_that_it_leaves_are_reported(self):
        notice = replace(EXECUTION, said_leaving=True)
        late_call = replace(ORDER, request_id="r2", sent_at=12.3)
        late = replace(EXECUTION, request_id="r2", started_at=12.4)
        history = build_history(ORDER, notice, late)
        history.calls.append(late_call)
        assert list_violations(history) == ["leaving"]
        history.executions[1] = replace(late, incarnation=1)
        assert list_violations(history) == []
        history.executions[1] = late
        history.gateway_halts["g1"] = [Interval(11.0, 11.1)]
        assert list_violations(history) == []

    def test_requests_in_a_pause_are_reported(self):
        calls = [replace(ORDER, request_id=f"r{n}") for n in range(4)]
        executions = [
            replace(EXECUTION, request_id=f"r{n}", started_at=10.7 + n / 10)
            for n in range(1, 4)
        ]
        rejection = Rejection("r0", "u1", 10.1, 2.5)
        history = History(calls, executions, rejections=[rejection])
        assert "pause" in list_violations(history)
        del history.executions[0]
        assert "pause" not in list_violations(history)
