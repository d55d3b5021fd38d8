"""Session of an instance: how long its rights last.

An instance acts only before the horizon, which starts when the last acknowledged
renewal was sent, so that it ends before any observer of the store can say so.
"""

from dataclasses import dataclass, replace
from enum import IntEnum

RENEWAL_MIN_SECONDS = 5.0
RENEWAL_MAX_SECONDS = 30.0
# 25 renewals a second of the whole fleet until the longest interval is reached.
RENEWAL_SECONDS_PER_INSTANCE = 0.04
QUIET_SECONDS = 300.0
HORIZON_SECONDS = 8 * 3600.0
# The record outlives the horizon, so that both proofs can read the counter.
RECORD_LEASE_SECONDS = 9 * 3600


def find_renewal_interval(instances: int) -> float:
    """Return the time between two renewals, in seconds.

    A proof of termination needs a read of the counter before the last two renewals.
    With short intervals an observer soon has it, also of an instance that is young.
    """
    wanted = RENEWAL_SECONDS_PER_INSTANCE * instances
    return min(max(wanted, RENEWAL_MIN_SECONDS), RENEWAL_MAX_SECONDS)


class Phase(IntEnum):
    """What the holder of a session may do.

    ``QUIET``: act, and hand over through the store only. ``ALONE``: the store counts as
    away; act, and hand over by consent without it. ``LAPSED``: no longer act.
    """

    QUIET = 1
    ALONE = 2
    LAPSED = 3


@dataclass(frozen=True, slots=True)
class Session:
    """Renewals of one instance.

    :param counter: the last acknowledged renewal counter; 0 before the first.
    :param sent: when the last acknowledged renewal was sent, in boot-time seconds.
    :param acked: when its answer arrived.
    :param ended: whether a hand-over without the store was made. The instance then
        never renews again; a fresh counter would let a successor take over by the
        proof of termination while the unrecorded successor acts.
    """

    counter: int = 0
    sent: float = 0.0
    acked: float = 0.0
    ended: bool = False


def find_phase(session: Session, now: float) -> Phase:
    """Return what a holder may do now, by its last renewal.

    :param now: boot-time in seconds.
    """
    if session.counter == 0 or now >= session.sent + HORIZON_SECONDS:
        return Phase.LAPSED
    if now < session.acked + QUIET_SECONDS:
        return Phase.QUIET
    return Phase.ALONE


def may_renew(session: Session) -> bool:
    return not session.ended


def acknowledge(session: Session, counter: int, sent: float, now: float) -> Session:
    """Count a renewal that is known to have taken effect.

    :param sent: when the first attempt to write this counter was sent.
    """
    if session.ended or counter <= session.counter:
        return session
    return Session(counter, sent, now)


def end(session: Session) -> Session:
    """Stop renewing for good."""
    return replace(session, ended=True)


def measure_remaining(session: Session, now: float) -> float:
    """Return the seconds until the horizon."""
    return max(0.0, session.sent + HORIZON_SECONDS - now)
