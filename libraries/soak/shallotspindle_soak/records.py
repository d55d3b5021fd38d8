"""What callers sent and heard, and what upstreams saw."""

from dataclasses import dataclass, field
from enum import StrEnum


class Kind(StrEnum):
    """Kinds of request, by what may be repeated."""

    READ = "read"
    ORDER = "order"


@dataclass(slots=True)
class Call:
    """One request of a caller.

    :param sent_at: when its last byte was written, in seconds.
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


@dataclass(frozen=True, slots=True)
class Run:
    """A request that an upstream began to work on."""

    request_id: str
    upstream: str
    team: str
    key_seen: bool
    at: float


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
    :param disturbed: spans in which a gateway or its ways were harmed, by gateway;
        the empty name stands for all.
    :param limits: rate and burst by team.
    """

    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    withdrawn: dict[str, float] = field(default_factory=dict)
    drained: dict[str, float] = field(default_factory=dict)
    stopped: dict[str, list[Span]] = field(default_factory=dict)
    disturbed: dict[str, list[Span]] = field(default_factory=dict)
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    quiet_from: float = 0.0

    def is_disturbed(self, gateway: str, at: float, slack: float) -> bool:
        """Return whether faults at a gateway excuse what is bound in time."""
        spans = (*self.disturbed.get(gateway, ()), *self.disturbed.get("", ()))
        return any(span.covers(at, slack) for span in spans)
