"""Heartbeats and the acknowledgements in them.

A heartbeat acknowledges the receiver's latest one and says how long that was held.
The rest of the way there and back is an upper bound of the time that the heartbeat
was under way, so that one that waited in a buffer is not taken for a recent one.
"""

from collections import deque
from dataclasses import dataclass, field

from shallotspindle_core import hashing
from shallotspindle_core.identifiers import FailureDomain

INTERVAL_SECONDS = 1.0
# Older own heartbeats are no use as acknowledgements, since answers last 4 s.
REMEMBERED_HEARTBEATS = 16
MILLISECONDS = 1000.0
# Ages are sent in steps of 20 ms: up to 2.5 s takes one byte instead of three.
AGE_STEP_SECONDS = 0.02
NEVER = -1
DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class Progress:
    """What an instance knows; supplied by the tasks that own it.

    :param withdrawals: digest of the set of withdrawals.
    :param suspicions: digest of the suspicions in force.
    """

    bundle_version: int = 0
    table_version: int = 0
    withdrawals: bytes = b""
    suspicions: bytes = b""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of the sender; its incarnation is that of the connection.

    :param counter: number of this heartbeat from sender to receiver, from 1.
    :param acked: latest counter received from the receiver; 0 for none.
    :param held: time since that was received, in milliseconds.
    :param chosen: whether the receiver is a neighbour in the sender's view.
    :param store_age: age at which the store was heard, in steps of
        ``AGE_STEP_SECONDS``, or ``NEVER``.
    :param ages: hashes of failure domains with the ages at which they were heard,
        in the same steps.
    """

    counter: int
    acked: int
    held: int
    progress: Progress
    chosen: bool = True
    store_age: int = NEVER
    ages: tuple[tuple[int, int], ...] = ()


def hash_domain(domain: FailureDomain) -> int:
    """Return the 32-bit number that stands for a failure domain in heartbeats."""
    return hashing.hash_text(domain) & 0xFFFFFFFF


@dataclass(slots=True)
class Exchange:
    """Heartbeats with one peer.

    :param since: when the exchange began, in seconds.
    :param acked_at: when the latest acknowledged own heartbeat was sent.
    """

    since: float
    counter: int = 0
    sent: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_HEARTBEATS)
    )
    received: int = 0
    received_at: float = float("-inf")
    acked_at: float = float("-inf")
    chosen_at: float = float("-inf")

    def note_sent(self, now: float) -> int:
        """Count an own heartbeat and return its number."""
        self.counter += 1
        self.sent.append((self.counter, now))
        return self.counter

    def measure_held(self, now: float) -> int:
        """Return the milliseconds since the peer's latest heartbeat."""
        return int((now - self.received_at) * MILLISECONDS) if self.received else 0

    def receive(self, beat: Heartbeat, now: float) -> float | None:
        """Count a heartbeat of the peer.

        :returns: the longest time that it was under way, in seconds; None when it is
            not bounded and the contents must not count as recent.
        """
        if beat.counter <= self.received:
            return None
        self.received = beat.counter
        self.received_at = now
        if beat.chosen:
            self.chosen_at = now
        sent_at = dict(self.sent).get(beat.acked)
        if sent_at is None:
            return None
        self.acked_at = max(self.acked_at, sent_at)
        return max(0.0, now - sent_at - max(0, beat.held) / MILLISECONDS)
