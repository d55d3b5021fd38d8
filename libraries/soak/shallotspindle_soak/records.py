"""History of a soak test as recorded by its callers and its upstreams."""

import math
from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """Kinds of request: a read is idempotent, an order is not."""

    READ = "read"
    ORDER = "order"


@dataclass(slots=True)
class Call:
    """One request of a caller.

    :param sent_at: when the caller began to send it, in seconds.
    :param ended_at: when the response was complete or the connection ended, in seconds;
        0 while the request is open.
    :param status: HTTP status of the response; 0 for none.
    :param is_correct: whether a successful response was complete and belonged to this
        request.
    :param fully_sent_at: when the last byte was on its way to the gateway, in seconds;
        0 if that is not certain.
    :param body_bytes: length of the request body.
    :param response_summary: length and request id of a successful response, for the
        report.
    """

    request_id: str
    kind: RequestKind
    team: str
    key: str
    gateway: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    is_correct: bool = True
    fully_sent_at: float = 0.0
    body_bytes: int = 0
    response_summary: str = ""


@dataclass(slots=True)
class Execution:
    """The execution of a request by an upstream.

    :param has_key: whether the upstream received the caller's key.
    :param started_at: when the upstream began, in seconds.
    :param ended_at: when the execution ended or was cancelled, in seconds.
    :param body_bytes: length of the body that the upstream received.
    :param incarnation: counts the starts of the upstream.
    :param said_leaving: whether the response said that the upstream leaves.
    """

    request_id: str
    upstream: str
    team: str
    has_key: bool
    started_at: float
    ended_at: float = math.inf
    body_bytes: int = 0
    incarnation: int = 0
    said_leaving: bool = False


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request that an upstream rejected without an execution.

    :param pause_seconds: time for which the upstream wants no request; 0 if it asked
        for no pause.
    """

    request_id: str
    upstream: str
    rejected_at: float
    pause_seconds: float


@dataclass(frozen=True, slots=True)
class Interval:
    """A closed interval of time, in seconds."""

    start: float
    end: float

    def contains(self, time: float, slack_seconds: float = 0.0) -> bool:
        """Return whether a time lies in the interval or shortly after it.

        :param slack_seconds: how long after the end a time still counts.
        """
        return self.start <= time <= self.end + slack_seconds


@dataclass(slots=True)
class History:
    """Everything recorded during one soak test.

    :param withdrawn_keys: when the withdrawal of each key was acknowledged, by key.
    :param drained_upstreams: when the announcement that an upstream is draining was
        acknowledged, by upstream.
    :param shutdowns: graceful shutdowns by gateway.
    :param gateway_faults: when a gateway or its connections were disturbed, by gateway;
        the empty name stands for all gateways.
    :param gateway_halts: when a gateway process was paused or killed, by gateway.
    :param rejections: requests that upstreams rejected without an execution.
    :param stopping_gateways: gateways that are in a graceful shutdown now.
    :param upstream_link_faults: when the connections to some upstream were disturbed.
    :param rate_limits: requests per second and burst by team.
    :param peak_memory_bytes: largest resident size observed, by gateway.
    :param unexpected_exits: gateways whose process exited by itself, with exit codes.
    :param stalls: when the process of the soak test was not scheduled although a timer
        was due.
    :param cpu_starvation: when a gateway was runnable and got no CPU, by gateway.
    :param faults_ended_at: when the last fault was over, in seconds.
    :param callers_stopped_at: when the callers were cancelled, in seconds; the requests
        that were open then have no outcome.
    """

    calls: list[Call] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    withdrawn_keys: dict[str, float] = field(default_factory=dict)
    drained_upstreams: dict[str, float] = field(default_factory=dict)
    shutdowns: dict[str, list[Interval]] = field(default_factory=dict)
    gateway_faults: dict[str, list[Interval]] = field(default_factory=dict)
    gateway_halts: dict[str, list[Interval]] = field(default_factory=dict)
    rejections: list[Rejection] = field(default_factory=list)
    stopping_gateways: set[str] = field(default_factory=set)
    upstream_link_faults: list[Interval] = field(default_factory=list)
    rate_limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    peak_memory_bytes: dict[str, int] = field(default_factory=dict)
    unexpected_exits: list[str] = field(default_factory=list)
    stalls: list[Interval] = field(default_factory=list)
    cpu_starvation: dict[str, list[Interval]] = field(default_factory=dict)
    faults_ended_at: float = 0.0
    callers_stopped_at: float = math.inf

    def is_affected(self, gateway: str, time: float, slack_seconds: float) -> bool:
        """Return whether a fault excuses a gateway from bounds on time.

        Counts faults of the gateway and those that affect all gateways.
        """
        return self.is_directly_affected(
            gateway, time, slack_seconds
        ) or self.is_directly_affected("", time, slack_seconds)

    def was_halted(self, gateway: str, start: float, end: float) -> bool:
        """Return whether a gateway process was paused, killed or stopped meanwhile."""
        intervals = (
            *self.gateway_halts.get(gateway, ()),
            *self.shutdowns.get(gateway, ()),
        )
        return any(item.start <= end and start <= item.end for item in intervals)

    def is_directly_affected(
        self, gateway: str, time: float, slack_seconds: float
    ) -> bool:
        """Return whether the gateway itself or its connections were disturbed."""
        return any(
            interval.contains(time, slack_seconds)
            for interval in self.gateway_faults.get(gateway, ())
        )
