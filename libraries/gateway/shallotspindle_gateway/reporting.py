"""Logs and metrics of requests.

One log line describes each request. The rate of lines is limited, so that logging does
not slow a busy instance; dropped lines are counted.
"""

import json
import sys
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import ServiceName
from shallotspindle_entry.caller_account import CallerAccount
from shallotspindle_gateway.cold_limits import ColdLimits
from shallotspindle_gateway.execution import AttemptRecord
from shallotspindle_gateway.following import (
    MAX_REPORTED_AGE_SECONDS,
    StoreFollower,
)
from shallotspindle_gateway.forwarding import UpstreamResponse
from shallotspindle_gateway.log_limiter import LogLimiter
from shallotspindle_gateway.pipeline import RequestTrace
from shallotspindle_gateway.problems import Problem
from shallotspindle_gateway.upstream_notices import NoticeRecorder
from shallotspindle_telemetry.unexpected import UnexpectedErrors

LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.2, 2.0, 5.0)
# More upstreams that were passed over make the line of a request too long.
MAX_PASSED_OVER = 8
# More faults of a configuration make the state unreadable; the log has more of them.
MAX_FAULTS = 8
NO_CONFIGURATION = "the store holds no configuration, or none was read yet"


class LineStream(Protocol):
    """Stream of log lines whose ``write`` does not block.

    :ivar dropped_lines: number of lines for which there was no room.
    """

    dropped_lines: int

    def write(self, text: str) -> object:
        """Write a line."""


class StandardOutput:
    """Standard output as it is, for tests and tools."""

    dropped_lines = 0

    def write(self, text: str) -> None:
        """Write a line."""
        sys.stdout.write(text)


def describe_attempt(attempt: AttemptRecord) -> list[str | float]:
    """Return an attempt's entry in the log line; a fault of the response comes last."""
    fields = [
        attempt.upstream,
        attempt.outcome.value,
        round(attempt.duration_seconds, 4),
    ]
    return fields if attempt.fault is None else [*fields, attempt.fault.value]


class Metrics:
    """The metrics of an instance, as operators read them."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.responses = Counter(
            "shallotspindle_answers_total",
            "Answers to callers by route, status and kind of refusal.",
            registry=self.registry,
        )
        self.attempts = Counter(
            "shallotspindle_sends_total",
            "Sends to upstreams by service and outcome.",
            registry=self.registry,
        )
        self.rejected_responses = Counter(
            "shallotspindle_rejected_responses_total",
            "Responses of upstreams that were rejected, by service and fault.",
            registry=self.registry,
        )
        self.latency = Histogram(
            "shallotspindle_answer_seconds",
            "Time from the arrival of a request to its answer.",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.errors = Counter(
            "shallotspindle_unexpected_errors_total",
            "Unexpected errors by what was being handled; each is a fault to report.",
            registry=self.registry,
        )
        self.notices = Counter(
            "shallotspindle_notices_total",
            "What upstreams said of themselves in responses, by kind.",
            registry=self.registry,
        )
        self.cold_denials = Counter(
            "shallotspindle_cold_denials_total",
            "Grants that cold upstreams did not get, by service.",
            registry=self.registry,
        )
        self.cost_ratio = Gauge(
            "shallotspindle_route_cost_ratio",
            "Cost of the most expensive route of a service as a ratio to that of the "
            "cheapest one; 1 while they do not differ clearly.",
            registry=self.registry,
        )
        self.caller_limits = Counter(
            "shallotspindle_caller_limits_total",
            "Connections and requests of callers that a limit ended, by limit.",
            registry=self.registry,
        )
        self.state = Gauge(
            "shallotspindle_state",
            "Version in force, age of its confirmation, whether a newer version was "
            "rejected, warnings about the version in force, revision and era of the "
            "view, age of the last response of the store, evacuated failure domains, "
            "log lines left out, and connections and bytes held for callers.",
            registry=self.registry,
        )


class Reporter:
    """Writes the log line of each request and updates the metrics.

    :param errors: the unexpected errors of the instance, for the metrics.
    :param notices: what upstreams said of themselves, for the metrics.
    :param cold_limits: the limits on cold upstreams, for the metrics.
    :param account: what is held for callers, for the metrics.
    :param stream: takes the lines.
    :param measure_cost_ratios: returns, by service, how much the routes of the services
        that this instance lends differ in cost, for the metrics.
    """

    def __init__(
        self,
        instance_name: str,
        follower: StoreFollower,
        clock: Clock,
        errors: UnexpectedErrors,
        notices: NoticeRecorder,
        cold_limits: ColdLimits,
        account: CallerAccount,
        stream: LineStream,
        measure_cost_ratios: Callable[[], Mapping[ServiceName, float]] = dict,
    ) -> None:
        self._instance_name = instance_name
        self._errors = errors
        self._notices = notices
        self._cold_limits = cold_limits
        self._account = account
        self.follower = follower
        self._clock = clock
        self._stream = stream
        self._measure_cost_ratios = measure_cost_ratios
        self._log_limiter = LogLimiter(clock)
        self._metrics = Metrics()

    def report(
        self,
        trace: RequestTrace,
        result: UpstreamResponse | Problem | None,
        seconds: float,
    ) -> None:
        """Log and count one request.

        :param result: the response to the caller; None if the caller disconnected.
        :param seconds: time since the request arrived.
        """
        status = result.status if result is not None else 0
        kind = result.kind if isinstance(result, Problem) else ""
        labels = {"route": trace.route, "status": str(status), "refusal": kind}
        self._metrics.responses.inc(labels)
        self._metrics.latency.observe({"route": trace.route}, seconds)
        for attempt in trace.attempts:
            self._count_attempt(trace.service, attempt)
        if not self._log_limiter.take_line():
            return
        line = {
            "time": self._clock.now().isoformat(),
            "instance": self._instance_name,
            "event": "request",
            "request_id": trace.request_id,
            "status": status,
            "refusal": kind,
            "seconds": round(seconds, 4),
            "step": trace.step.value,
            "route": trace.route,
            "team": trace.team,
            "service": trace.service,
            "no_slot": trace.slot_refusal,
            "passed_over": list(trace.passed_over.items())[:MAX_PASSED_OVER],
            "version": trace.config_version,
            "confirmed_before": round(
                min(trace.config_age_seconds, MAX_REPORTED_AGE_SECONDS), 3
            ),
            "sends": [describe_attempt(attempt) for attempt in trace.attempts],
        }
        self._stream.write(json.dumps(line) + "\n")

    def _count_attempt(self, service: str, attempt: AttemptRecord) -> None:
        self._metrics.attempts.inc(
            {"service": service, "outcome": attempt.outcome.value}
        )
        if attempt.fault is not None:
            self._metrics.rejected_responses.inc(
                {"service": service, "fault": attempt.fault.value}
            )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the Prometheus text format, with the HTTP headers."""
        for name, value in self._read_state().items():
            self._metrics.state.set({"value": name}, value)
        for kind, count in self._errors.counts.items():
            self._metrics.errors.set({"kind": kind}, count)
        for kind, count in self._notices.counts.items():
            self._metrics.notices.set({"kind": kind}, count)
        for service, count in self._cold_limits.denials.items():
            self._metrics.cold_denials.set({"service": service}, count)
        for service, ratio in self._measure_cost_ratios().items():
            self._metrics.cost_ratio.set({"service": service}, ratio)
        for limit, count in self._account.counts.items():
            self._metrics.caller_limits.set({"limit": limit.value}, count)
        return render(self._metrics.registry, ["text/plain"])

    def describe_state(self) -> dict[str, Any]:
        """Return the state of the instance, as the operators' command reads it."""
        return {
            "instance": self._instance_name,
            "bundle": self.follower.configuration.bundle.version,
            "rejected": self.follower.is_configuration_rejected,
            "faults": self._describe_faults(),
        }

    def _describe_faults(self) -> list[str]:
        """Return why the newest configuration is not in force as it was written."""
        follower = self.follower
        if not (
            follower.configuration.bundle.version or follower.configuration_failures
        ):
            return [NO_CONFIGURATION]
        faults = follower.configuration_failures or follower.configuration.warnings
        return [str(fault) for fault in faults[:MAX_FAULTS]]

    def _read_state(self) -> dict[str, float]:
        """Return the values of the state gauge by name."""
        now = self._clock.boottime()
        follower = self.follower
        return {
            "version": follower.configuration.bundle.version,
            "age": min(
                MAX_REPORTED_AGE_SECONDS, follower.compute_confirmation_age(now)
            ),
            "rejected": int(follower.is_configuration_rejected),
            "warnings": len(follower.configuration.warnings),
            "revision": follower.revision,
            "era": follower.era,
            "store_age": min(
                MAX_REPORTED_AGE_SECONDS, follower.compute_response_age(now)
            ),
            "evacuated": len(follower.upstreams.evacuated_domains),
            "lines_left_out": self._log_limiter.dropped_lines
            + self._stream.dropped_lines,
            "caller_connections": self._account.connection_count,
            "caller_bytes": self._account.used_bytes,
        }
