"""Names of log fields and metrics that operators and their tools depend on."""

import json
from types import SimpleNamespace

from shallotspindle_core.failures import Failure
from shallotspindle_entry.caller_account import CallerLimit
from shallotspindle_entry.response_limits import ResponseFault
from shallotspindle_environment.clock import SystemClock
from shallotspindle_gateway import problems
from shallotspindle_gateway.execution import AttemptRecord
from shallotspindle_gateway.pipeline import RequestStep, RequestTrace
from shallotspindle_gateway.reporting import NO_CONFIGURATION, Reporter
from shallotspindle_lending.records import Outcome, RefusalReason
from shallotspindle_notices.notices import Obstacle
from shallotspindle_telemetry.unexpected import UnexpectedErrors

METRICS = {
    "# TYPE shallotspindle_answer_seconds histogram",
    "# TYPE shallotspindle_answers_total counter",
    "# TYPE shallotspindle_cold_denials_total counter",
    "# TYPE shallotspindle_caller_limits_total counter",
    "# TYPE shallotspindle_notices_total counter",
    "# TYPE shallotspindle_rejected_responses_total counter",
    "# TYPE shallotspindle_sends_total counter",
    "# TYPE shallotspindle_route_cost_ratio gauge",
    "# TYPE shallotspindle_state gauge",
    "# TYPE shallotspindle_unexpected_errors_total counter",
}


def create_reporter(written: list[str]) -> Reporter:
    """Return a reporter that has reported one request."""
    follower = SimpleNamespace(
        configuration=SimpleNamespace(bundle=SimpleNamespace(version=4), warnings=()),
        configuration_failures=(Failure("op", "wrong", "r5"),),
        compute_confirmation_age=lambda now: 1.5,
        compute_response_age=lambda now: 0.25,
        is_configuration_rejected=True,
        revision=7,
        upstreams=SimpleNamespace(evacuated_domains={"a", "b"}),
        era=2,
    )
    reporter = Reporter(
        "g",
        follower,
        SystemClock(),
        UnexpectedErrors(),
        SimpleNamespace(counts={"leaving": 3}),
        SimpleNamespace(denials={"service-1": 5}),
        SimpleNamespace(
            counts={CallerLimit.HEAD: 2}, connection_count=5, used_bytes=81920
        ),
        SimpleNamespace(write=written.append, dropped_lines=0),
        lambda: {"service-1": 2.0},
    )
    trace = RequestTrace("id-1", 4, 1.6641, "route-1", "team-1", "service-1", "busy")
    trace.step = RequestStep.SENT
    trace.passed_over["u2"] = Obstacle.LEAVING
    trace.attempts.append(
        AttemptRecord("u1", Outcome.TRUNCATED, 0.04761, ResponseFault.MEMORY_EXHAUSTED)
    )
    reporter.report(trace, problems.UPSTREAM_FAILED, 0.05273)
    return reporter


class TestReporter:
    # Guards against a renamed log field or metric, which breaks log searches and
    # dashboards of the operators.

    def test_the_request_line_has_its_documented_fields(self):
        written = []
        create_reporter(written)
        line = json.loads(written[0])
        assert line.pop("time")
        assert line == {
            "instance": "g",
            "event": "request",
            "request_id": "id-1",
            "status": 502,
            "refusal": "upstream-failed",
            "seconds": 0.0527,
            "step": "sent",
            "route": "route-1",
            "team": "team-1",
            "service": "service-1",
            "no_slot": "busy",
            "passed_over": [["u2", "leaving"]],
            "version": 4,
            "confirmed_before": 1.664,
            "sends": [["u1", "truncated", 0.0476, "no-room"]],
        }

    def test_the_state_is_readable_for_the_operators_command(self):
        state = create_reporter([]).describe_state()
        assert state == {
            "instance": "g",
            "bundle": 4,
            "rejected": True,
            "faults": ["op: wrong (r5)"],
        }

    def test_an_instance_without_a_configuration_says_why(self):
        # Guards against a fleet that is not ready without a reason an operator can see.
        reporter = create_reporter([])
        reporter.follower.configuration.bundle.version = 0
        assert reporter.describe_state()["faults"] == ["op: wrong (r5)"]
        reporter.follower.configuration_failures = ()
        assert reporter.describe_state()["faults"] == [NO_CONFIGURATION]

    def test_metrics_have_their_documented_names_and_labels(self):
        text = create_reporter([]).render()[0].decode()
        lines = text.splitlines()
        assert {line for line in lines if line.startswith("# TYPE")} == METRICS
        assert (
            'shallotspindle_answers_total{refusal="upstream-failed",route="route-1",'
            'status="502"} 1' in lines
        )
        sends = 'shallotspindle_sends_total{outcome="truncated",service="service-1"} 1'
        assert sends in lines
        rejected = 'shallotspindle_rejected_responses_total{fault="no-room",service='
        assert rejected + '"service-1"} 1' in lines
        assert 'shallotspindle_notices_total{kind="leaving"} 3' in lines
        assert 'shallotspindle_cold_denials_total{service="service-1"} 5' in lines
        assert 'shallotspindle_route_cost_ratio{service="service-1"} 2.0' in lines
        assert 'shallotspindle_caller_limits_total{limit="head"} 2' in lines
        states = {
            "version": "4",
            "age": "1.5",
            "rejected": "1",
            "warnings": "0",
            "revision": "7",
            "era": "2",
            "store_age": "0.25",
            "evacuated": "2",
            "lines_left_out": "0",
            "caller_connections": "5",
            "caller_bytes": "81920",
        }
        for name, value in states.items():
            assert f'shallotspindle_state{{value="{name}"}} {value}' in lines


class TestLoggedValues:
    # Guards against a renamed value that instances of an adjacent release or a log
    # search do not know.

    def test_attempt_outcomes_keep_their_values(self):
        assert [item.value for item in Outcome] == [
            "whole",
            "error",
            "shed",
            "misdirected",
            "truncated",
            "timed-out",
            "overdue",
            "reset",
            "not-connected",
            "cancelled",
        ]

    def test_slot_refusal_reasons_keep_their_values(self):
        assert [item.value for item in RefusalReason] == [
            "busy",
            "no-upstream",
            "no-budget",
            "held",
            "silent",
            "paused",
            "evacuated",
        ]

    def test_obstacles_keep_their_values(self):
        assert [item.value for item in Obstacle] == ["leaving", "paused", "evacuated"]

    def test_steps_and_faults_keep_their_values(self):
        assert [item.value for item in RequestStep] == [
            "checks",
            "body",
            "token",
            "slot",
            "sent",
        ]
        assert [item.value for item in ResponseFault] == [
            "malformed",
            "head-too-long",
            "body-too-long",
            "framing-too-long",
            "no-room",
            "unnamed",
            "mismatched",
            "unsigned",
        ]
