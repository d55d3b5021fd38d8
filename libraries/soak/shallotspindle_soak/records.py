"""What callers sent and heard, and what upstreams saw."""

import math
from dataclasses import dataclass, field
from enum import StrEnum


class Kind(StrEnum):
    """Kinds of request, by what may be repeated."""

    READ = "read"
    ORDER = "order"


@dataclass(slots=True)
class Call:
    """One request of a caller.

    :param sent_at: when its caller began, in seconds.
    :param whole_at: when its last byte was on the way to the gateway, in seconds; 0 if
        that is not certain.
    :param size: length of its body, in bytes.
    :param answer: length and request id of a success, for the report.
    :param ended_at: when its answer was whole or its connection ended, in seconds.
    :param status: status of the answer; 0 for none.
    :param is_right: whether a success was the whole answer to this request.
    """

    request_id: str
    kind: Kind
    team: str
    key: str
    gateway: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    is_right: bool = True
    whole_at: float = 0.0
    size: int = 0
    answer: str = ""


@dataclass(slots=True)
class Run:
    """A request that an upstream began to work on.

    :param ended_at: when the work ended or was cancelled, in seconds.
    :param size: length of the body that the upstream got, in bytes.
    """

    request_id: str
    upstream: str
    team: str
    key_seen: bool
    at: float
    ended_at: float = math.inf
    size: int = 0


@dataclass(frozen=True, slots=True)
class Span:
    """A time in which something holds, in seconds."""

    start: float
    end: float

    def covers(self, at: float, slack: float = 0.0) -> bool:
        """Return whether a moment lies in the span or up to ``slack`` after it."""
        return self.start <= at <= self.end + slack


@dataclass(slots=True)
class History:
    """All that happened in one soak.

    :param withdrawn: when the withdrawal of a key was acknowledged, by key.
    :param drained: when an upstream's leaving was acknowledged, by upstream.
    :param stopped: planned stops by gateway.
    :param stopping: gateways that are in a planned stop now.
    :param disturbed: spans in which a gateway or its ways were harmed, by gateway;
        the empty name stands for all.
    :param harmed_ways: spans in which a way to an upstream was harmed.
    :param limits: rate and burst by team.
    :param memory: largest resident size that was seen, in bytes, by gateway.
    :param died: gateways whose process ended by itself, with its exit code.
    :param callers_left_at: when the callers were ended, in seconds; what they had open
        then has no outcome.
    :param stalls: when the process of the soak did not run though it was due.
    :param starved: when a gateway could run and got no processor, by gateway.
    """

    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    withdrawn: dict[str, float] = field(default_factory=dict)
    drained: dict[str, float] = field(default_factory=dict)
    stopped: dict[str, list[Span]] = field(default_factory=dict)
    disturbed: dict[str, list[Span]] = field(default_factory=dict)
    stopping: set[str] = field(default_factory=set)
    harmed_ways: list[Span] = field(default_factory=list)
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    memory: dict[str, int] = field(default_factory=dict)
    died: list[str] = field(default_factory=list)
    stalls: list[Span] = field(default_factory=list)
    starved: dict[str, list[Span]] = field(default_factory=dict)
    quiet_from: float = 0.0
    callers_left_at: float = math.inf

    def is_disturbed(self, gateway: str, at: float, slack: float) -> bool:
        """Return whether faults at a gateway excuse what is bound in time."""
        return self.is_harmed(gateway, at, slack) or self.is_harmed("", at, slack)

    def is_harmed(self, gateway: str, at: float, slack: float) -> bool:
        """Return whether a gateway itself, or its ways, were harmed."""
        return any(span.covers(at, slack) for span in self.disturbed.get(gateway, ()))
