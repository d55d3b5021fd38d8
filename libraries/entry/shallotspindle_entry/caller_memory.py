"""Decides which callers yield when a process holds too many bytes or connections.

Callers outside all limits begin requests and never end them. A caller that makes no
progress yields before one that does, one that has sent little of its request before one
that has sent most of it, and one without a slot at an upstream before one that has it.
A caller that holds less than the average yields last, so that an ordinary request is
served beside a crowd of large ones.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum

from shallotspindle_entry.response_limits import MEBIBYTE

# Fraction of the memory of a process for all that is held for callers, buffered
# responses included. With 200 MB this leaves 80 MB beyond the 60 MB of the process, for
# the second copy of a response and for memory that the allocator does not return.
MEMORY_FRACTION = 0.3
# Fraction of the descriptors for callers. Each running request may need another one for
# its upstream.
DESCRIPTOR_FRACTION = 0.5
# Descriptors for the store, other instances, listeners, logs and readiness checks.
RESERVED_DESCRIPTORS = 64
MIN_CONNECTIONS = 16
# Memory of a connection without a request: protocol, parser, transport and task.
CONNECTION_BYTES = 16 * 1024
# A caller that sends less than PROGRESS_BYTES in this time makes no progress. Links of
# callers carry 100 times as much.
STALL_SECONDS = 1.0
PROGRESS_BYTES = 1024
# Once the limit is exceeded, callers yield until this fraction of it is in use, so that
# the choice among all callers is not made for each segment.
RELIEF_FRACTION = 0.9
# The length of a chunked body is unknown until its end.
UNKNOWN_COMPLETENESS = 0.5


class RequestStage(IntEnum):
    """How far the request on a connection has got; ``SENT`` has a slot."""

    IDLE = 0
    HEAD = 1
    BODY = 2
    WAITING = 3
    SENT = 4


class Rank(IntEnum):
    """Groups of callers, in the order in which they yield.

    ``SMALL`` callers make progress and hold less than the average.
    """

    STALLED = 0
    IDLE = 1
    ARRIVING = 2
    WAITING = 3
    STALLED_WITH_SLOT = 4
    SMALL = 5


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Limits on what a process holds for all its callers.

    :param max_total_bytes: limit on received bytes, connections and buffered responses.
    :param max_connections: limit on the number of connections.
    """

    max_total_bytes: int = 160 * MEBIBYTE
    max_connections: int = 16_384


DEFAULT_LIMITS = MemoryLimits()


def derive_limits(memory_mb: float, descriptors: int) -> MemoryLimits:
    """Return the limits for a machine; a value of 0 keeps the default.

    :param memory_mb: memory above which the process is killed.
    :param descriptors: open descriptors that the process may have.
    """
    total_bytes = int(memory_mb * MEBIBYTE * MEMORY_FRACTION)
    free_descriptors = max(0, descriptors - RESERVED_DESCRIPTORS)
    connections = max(MIN_CONNECTIONS, int(free_descriptors * DESCRIPTOR_FRACTION))
    return MemoryLimits(
        max_total_bytes=total_bytes or DEFAULT_LIMITS.max_total_bytes,
        max_connections=connections if descriptors else DEFAULT_LIMITS.max_connections,
    )


@dataclass(slots=True)
class CallerUsage:
    """What is held for one connection.

    :param progressed_at: when the caller last made progress, in seconds.
    :param held_bytes: bytes of the connection and of what it received and still needs.
    :param body_bytes: received bytes of the current body.
    :param expected_bytes: length of the current body; None if it is unknown.
    :param is_body_complete: whether the whole current body was received.
    :param was_served: whether a request of the connection got its response.
    :param is_paused: whether the process does not read from the connection.
    :param has_yielded: whether the connection was chosen to yield.
    """

    progressed_at: float
    stage: RequestStage = RequestStage.IDLE
    held_bytes: int = CONNECTION_BYTES
    body_bytes: int = 0
    expected_bytes: int | None = None
    is_body_complete: bool = False
    was_served: bool = False
    is_paused: bool = False
    has_yielded: bool = False

    @property
    def completeness(self) -> float:
        """Fraction of the current request that was received."""
        if self.stage < RequestStage.BODY:
            return 0.0
        if self.expected_bytes is None:
            return UNKNOWN_COMPLETENESS
        return min(1.0, self.body_bytes / max(1, self.expected_bytes))

    def is_stalled(self, now: float) -> bool:
        """Return whether the caller has stopped in the middle of a request."""
        if self.stage in {RequestStage.IDLE, RequestStage.WAITING}:
            return False
        if self.is_body_complete or self.is_paused:
            return False
        return now - self.progressed_at >= STALL_SECONDS


def find_rank(
    usage: CallerUsage, now: float, average_bytes: float = 0.0
) -> Rank | None:
    """Return when a caller yields; None if it never does.

    :param average_bytes: bytes that are held for a connection on average.
    """
    if usage.has_yielded:
        return None
    is_stalled = usage.is_stalled(now)
    if usage.stage is RequestStage.SENT:
        return Rank.STALLED_WITH_SLOT if is_stalled else None
    if is_stalled:
        return Rank.STALLED
    if usage.held_bytes < average_bytes:
        return Rank.SMALL
    if usage.stage is RequestStage.IDLE:
        return Rank.IDLE
    return Rank.WAITING if usage.stage is RequestStage.WAITING else Rank.ARRIVING


def _order(
    usages: Iterable[CallerUsage], now: float, average_bytes: float = 0.0
) -> list[CallerUsage]:
    """Return the callers that may yield, the first one first."""
    ranked = [
        (rank, usage)
        for usage in usages
        if (rank := find_rank(usage, now, average_bytes)) is not None
    ]

    def get_key(item: tuple[Rank, CallerUsage]) -> tuple[float, ...]:
        rank, usage = item
        if rank is Rank.IDLE:
            return rank, usage.was_served, usage.progressed_at
        completeness = usage.completeness if rank is Rank.ARRIVING else 0.0
        return rank, completeness, usage.progressed_at

    return [usage for _, usage in sorted(ranked, key=get_key)]


def choose_yielding(
    usages: Sequence[CallerUsage], excess_bytes: int, now: float
) -> list[CallerUsage]:
    """Return the callers that yield because too many bytes are held.

    :param excess_bytes: bytes that must be released.
    """
    total_bytes = sum(usage.held_bytes for usage in usages)
    chosen = []
    for usage in _order(usages, now, total_bytes / max(1, len(usages))):
        if excess_bytes <= 0:
            break
        excess_bytes -= usage.held_bytes
        chosen.append(usage)
    return chosen


def choose_closing(usages: Iterable[CallerUsage], now: float) -> CallerUsage | None:
    """Return the caller that yields to a new connection; None if no one does.

    A request with a complete head that makes progress does not yield to a connection
    without one.
    """
    waiting = (
        usage
        for usage in usages
        if usage.stage < RequestStage.BODY or find_rank(usage, now) is Rank.STALLED
    )
    return next(iter(_order(waiting, now)), None)
