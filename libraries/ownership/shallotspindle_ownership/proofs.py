"""Proofs that a holder no longer acts.

An observer reads the session record of a holder again and again. Times are those of
the observer's own boot-time clock.
"""

from dataclasses import dataclass

from shallotspindle_ownership.sessions import HORIZON_SECONDS, QUIET_SECONDS

# Clocks of two instances may drift apart by one percent.
DRIFT_FACTOR = 1.01


@dataclass(frozen=True, slots=True)
class Observation:
    """What an observer knows of the renewals of one holder.

    :param counter: the highest counter read; 0 when no record was found.
    :param first_read: end of the first read that returned this counter. The renewal
        was sent before it, so the horizon of the holder ends within 8 h of it.
    :param older_read: start of the last read that returned a counter at least two
        below ``counter``; None if there was none. The holder knew the answer to the
        renewal ``counter - 1`` before it sent ``counter``, and received that answer
        after this moment. The answer to ``counter`` itself may have been lost.
    :param reads: pairs of counter and start of the last read that returned it.
    """

    counter: int
    first_read: float
    older_read: float | None = None
    reads: tuple[tuple[int, float], ...] = ()


def observe(
    known: Observation | None, counter: int, started: float, ended: float
) -> Observation:
    """Add one read of a session record.

    A record that vanished starts the observation anew, since renewals that were
    written and expired between two reads would go unseen.

    :param started: when the read was sent.
    :param ended: when its answer arrived.
    """
    vanished = counter == 0
    if known is None or (vanished and known.counter > 0):
        return Observation(counter, ended, None, ((counter, started),))
    if counter < known.counter:
        return known
    reads = (*(item for item in known.reads if item[0] != counter), (counter, started))
    older = [item for item in reads if item[0] <= counter - 2]
    older_read = older[-1][1] if older else None
    first_read = known.first_read if counter == known.counter else ended
    kept = tuple(older[-1:]) + tuple(item for item in reads if item[0] > counter - 2)
    return Observation(counter, first_read, older_read, kept)


def proves_termination(
    known: Observation, was_listed: bool, is_listed: bool, now: float
) -> bool:
    """Return whether the holder ended in its quiet period.

    It then made no hand-over that the table does not show.

    :param now: when the answer without the instance arrived from the platform.
    """
    if not was_listed or is_listed or known.older_read is None:
        return False
    return now < known.older_read + QUIET_SECONDS


def proves_lapse(known: Observation, now: float) -> bool:
    """Return whether the holder's horizon has passed.

    :param now: start of a read that still returned ``known.counter``.
    """
    return now >= known.first_read + HORIZON_SECONDS * DRIFT_FACTOR
