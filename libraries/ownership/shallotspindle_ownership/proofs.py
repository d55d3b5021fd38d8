"""Proofs that a holder no longer acts.

An observer reads the session record of a holder periodically. All times are in
seconds of the observer's own boot-time clock.
"""

from dataclasses import dataclass

from shallotspindle_ownership.sessions import CONNECTED_SECONDS, SESSION_TIMEOUT_SECONDS

# The clocks of two instances may drift apart by one percent.
CLOCK_DRIFT_FACTOR = 1.01


@dataclass(frozen=True, slots=True)
class Observation:
    """What an observer knows about the renewals of one holder.

    :param counter: highest counter read; 0 when no record was found.
    :param first_read_ended_at: end of the first read that returned this counter. The
        renewal was sent before it, so the holder's session expires within 8 h of it.
    :param older_read_started_at: start of the last read that returned a counter at
        least two below ``counter``; None if there was none. The holder had the response
        to the renewal ``counter - 1`` before it sent ``counter``, and received that
        response after this moment. The response to ``counter`` itself may have been
        lost.
    :param reads: pairs of a counter and the start of the last read that returned it.
    """

    counter: int
    first_read_ended_at: float
    older_read_started_at: float | None = None
    reads: tuple[tuple[int, float], ...] = ()


def add_read(
    previous: Observation | None, counter: int, started_at: float, ended_at: float
) -> Observation:
    """Return the observation after one more read of a session record.

    A record that vanished resets the observation, since renewals that were written
    and expired between two reads would go unseen.

    :param counter: the counter read; 0 when no record was found.
    :param started_at: when the read was sent.
    :param ended_at: when its response arrived.
    """
    vanished = counter == 0
    if previous is None or (vanished and previous.counter > 0):
        return Observation(counter, ended_at, None, ((counter, started_at),))
    if counter < previous.counter:
        return previous
    reads = (
        *(read for read in previous.reads if read[0] != counter),
        (counter, started_at),
    )
    older = [read for read in reads if read[0] <= counter - 2]
    older_read_started_at = older[-1][1] if older else None
    first_read_ended_at = (
        previous.first_read_ended_at if counter == previous.counter else ended_at
    )
    kept = tuple(older[-1:]) + tuple(read for read in reads if read[0] > counter - 2)
    return Observation(counter, first_read_ended_at, older_read_started_at, kept)


def proves_termination(
    observation: Observation, was_listed: bool, is_listed: bool, listed_at: float
) -> bool:
    """Return whether the holder ended during its connected period.

    It then made no handover that the table does not show.

    :param was_listed: whether the platform has ever listed the holder.
    :param is_listed: whether the platform's last list contains the holder.
    :param listed_at: when that list arrived.
    """
    if not was_listed or is_listed or observation.older_read_started_at is None:
        return False
    return listed_at < observation.older_read_started_at + CONNECTED_SECONDS


def proves_expiry(observation: Observation, read_started_at: float) -> bool:
    """Return whether the holder's session has expired.

    :param read_started_at: start of a read that still returned
        ``observation.counter``.
    """
    return (
        read_started_at
        >= observation.first_read_ended_at
        + SESSION_TIMEOUT_SECONDS * CLOCK_DRIFT_FACTOR
    )
