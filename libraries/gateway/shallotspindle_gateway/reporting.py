"""Logs and metrics of requests.

One line tells what decided a request. The number of lines a second is bounded, and what
was left out is counted, so that logging takes no part of the processor under load.
"""

import json
import sys
from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from shallotspindle_core.clock import Clock
from shallotspindle_gateway.execution import Sent
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.forwarding import Answer
from shallotspindle_gateway.lines import LineBudget
from shallotspindle_gateway.pipeline import Trace
from shallotspindle_gateway.refusals import Refusal

LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.2, 2.0, 5.0)
Write = Callable[[str], object]


def describe_send(sent: Sent) -> list[str | float]:
    """Return what the log says of a send; a fault of the answer comes last."""
    described = [sent.upstream, sent.outcome.value, round(sent.seconds, 4)]
    return described if sent.fault is None else [*described, sent.fault.value]


class Reporter:
    """Writes a line and counts for each answer."""

    def __init__(
        self,
        name: str,
        follower: StoreFollower,
        clock: Clock,
        write: Write | None = None,
    ) -> None:
        self._name = name
        self.follower = follower
        self._clock = clock
        self._write = write or sys.stdout.write
        self._budget = LineBudget(clock)
        self._registry = Registry()
        self._answers = Counter(
            "shallotspindle_answers_total",
            "Answers to callers by route, status and kind of refusal.",
            registry=self._registry,
        )
        self._sends = Counter(
            "shallotspindle_sends_total",
            "Sends to upstreams by service and outcome.",
            registry=self._registry,
        )
        self._latency = Histogram(
            "shallotspindle_answer_seconds",
            "Time from the arrival of a request to its answer.",
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._state = Gauge(
            "shallotspindle_state",
            "Version in force, age of its confirmation and log lines left out.",
            registry=self._registry,
        )

    def report(
        self, trace: Trace, result: Answer | Refusal | None, seconds: float
    ) -> None:
        """Log and count one request; ``result`` is None when its caller left."""
        status = result.status if result is not None else 0
        kind = result.kind if isinstance(result, Refusal) else ""
        labels = {"route": trace.route, "status": str(status), "refusal": kind}
        self._answers.inc(labels)
        self._latency.observe({"route": trace.route}, seconds)
        for sent in trace.sends:
            self._sends.inc({"service": trace.service, "outcome": sent.outcome.value})
        if not self._budget.take():
            return
        line = {
            "time": self._clock.now().isoformat(),
            "instance": self._name,
            "event": "request",
            "request_id": trace.request_id,
            "status": status,
            "refusal": kind,
            "seconds": round(seconds, 4),
            "step": trace.step.value,
            "route": trace.route,
            "team": trace.team,
            "service": trace.service,
            "no_slot": trace.no_slot,
            "version": trace.version,
            "confirmed_before": round(min(trace.age, 9999.0), 3),
            "sends": [describe_send(sent) for sent in trace.sends],
        }
        try:
            self._write(json.dumps(line) + "\n")
        except BlockingIOError:
            self._budget.left_out += 1

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics as text, with its headers."""
        now = self._clock.boottime()
        version = self.follower.deployment.bundle.version
        self._state.set({"value": "version"}, version)
        self._state.set(
            {"value": "age"}, min(9999.0, self.follower.compute_confirmation_age(now))
        )
        self._state.set({"value": "lines_left_out"}, self._budget.left_out)
        return render(self._registry, ["text/plain"])
