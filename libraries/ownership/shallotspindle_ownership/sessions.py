"""Session of an instance: how long it may act for its partitions.

An instance renews its session by writing a counter to the store, and acts only until
the session timeout. The timeout runs from the moment at which the last acknowledged
renewal was sent, so that the session expires before any observer of the store can
conclude that it has.
"""

from dataclasses import dataclass, replace
from enum import IntEnum

MIN_RENEWAL_INTERVAL_SECONDS = 5.0
MAX_RENEWAL_INTERVAL_SECONDS = 30.0
# Keeps the whole fleet at 25 renewals per second until the maximum interval is reached.
RENEWAL_INTERVAL_SECONDS_PER_INSTANCE = 0.04
# Time after an acknowledged renewal for which the store counts as reachable.
CONNECTED_SECONDS = 300.0
SESSION_TIMEOUT_SECONDS = 8 * 3600.0
# The record outlives the session, so that both proofs can read the counter.
RECORD_LEASE_SECONDS = 9 * 3600


def compute_renewal_interval(instance_count: int) -> float:
    """Return the time between two renewals, in seconds.

    A proof of termination needs a read of the counter before the last two renewals.
    With short intervals an observer soon has such a read, even of a new instance.
    """
    wanted = RENEWAL_INTERVAL_SECONDS_PER_INSTANCE * instance_count
    return min(max(wanted, MIN_RENEWAL_INTERVAL_SECONDS), MAX_RENEWAL_INTERVAL_SECONDS)


class Phase(IntEnum):
    """What the owner of a session may do.

    ``CONNECTED``: act, and hand over through the store only. ``DISCONNECTED``: the
    store counts as unreachable; act, and hand over without the store if the successor
    agrees. ``EXPIRED``: do not act.
    """

    CONNECTED = 1
    DISCONNECTED = 2
    EXPIRED = 3


@dataclass(frozen=True, slots=True)
class Session:
    """Renewals of one instance; times are boot times in seconds.

    :param counter: last acknowledged renewal counter; 0 before the first.
    :param sent_at: when the last acknowledged renewal was sent.
    :param acked_at: when its response arrived.
    :param has_stopped_renewing: whether partitions were handed over without the
        store. The instance then never renews again: a new counter would let another
        instance take over by the proof of termination while the successor, which the
        table does not name, acts.
    """

    counter: int = 0
    sent_at: float = 0.0
    acked_at: float = 0.0
    has_stopped_renewing: bool = False


def find_phase(session: Session, now: float) -> Phase:
    """Return the phase that follows from the last acknowledged renewal.

    :param now: boot time in seconds.
    """
    if session.counter == 0 or now >= session.sent_at + SESSION_TIMEOUT_SECONDS:
        return Phase.EXPIRED
    if now < session.acked_at + CONNECTED_SECONDS:
        return Phase.CONNECTED
    return Phase.DISCONNECTED


def may_renew(session: Session) -> bool:
    return not session.has_stopped_renewing


def acknowledge_renewal(
    session: Session, counter: int, sent_at: float, now: float
) -> Session:
    """Record a renewal that is known to have taken effect.

    :param sent_at: when the first attempt to write this counter was sent.
    """
    if session.has_stopped_renewing or counter <= session.counter:
        return session
    return Session(counter, sent_at, now)


def stop_renewing(session: Session) -> Session:
    """Stop renewing for good."""
    return replace(session, has_stopped_renewing=True)


def compute_remaining_seconds(session: Session, now: float) -> float:
    """Return the time until the session expires, in seconds."""
    return max(0.0, session.sent_at + SESSION_TIMEOUT_SECONDS - now)
