"""Heartbeats and the acknowledgements that they carry.

A heartbeat acknowledges the receiver's latest one and says how long the sender has
held it. The rest of the round-trip time is an upper bound of the transit time of the
heartbeat, so that one that waited in a buffer is not taken for a recent one.
"""

from collections import deque
from dataclasses import dataclass, field

from shallotspindle_core import hashing
from shallotspindle_core.identifiers import FailureDomain

HEARTBEAT_INTERVAL_SECONDS = 1.0
# Acknowledgements of older heartbeats are useless, since they count for 4 s only.
MAX_SENT_HEARTBEATS = 16
MILLISECONDS_PER_SECOND = 1000.0
# Ages are sent in steps of 20 ms: up to 2.5 s they take one byte instead of three.
AGE_STEP_SECONDS = 0.02
UNKNOWN_AGE = -1
DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class StateSummary:
    """Versions and digests of the shared state that an instance has.

    The tasks that own the state supply them.

    :param withdrawals: digest of the set of withdrawals.
    :param suspicions: digest of the active suspicions.
    """

    bundle_version: int = 0
    table_version: int = 0
    withdrawals: bytes = b""
    suspicions: bytes = b""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of the sender; the connection identifies its incarnation.

    :param sequence_number: number of this heartbeat from sender to receiver, from 1.
    :param acked_number: latest sequence number received from the receiver; 0 if none.
    :param held_milliseconds: time since that one was received.
    :param is_neighbour: whether the sender chose the receiver as a neighbour.
    :param store_age_steps: time since the store was heard, in steps of
        ``AGE_STEP_SECONDS``, or ``UNKNOWN_AGE``.
    :param domain_ages: pairs of the hash of a failure domain and the time since it was
        heard, in the same steps.
    """

    sequence_number: int
    acked_number: int
    held_milliseconds: int
    summary: StateSummary
    is_neighbour: bool = True
    store_age_steps: int = UNKNOWN_AGE
    domain_ages: tuple[tuple[int, int], ...] = ()


def hash_domain(domain: FailureDomain) -> int:
    """Return the 32-bit number that identifies a failure domain in heartbeats."""
    return hashing.hash_text(domain) & 0xFFFFFFFF


@dataclass(slots=True)
class HeartbeatExchange:
    """Heartbeats sent to and received from one peer; times are in seconds.

    :param last_sent_number: sequence number of the last heartbeat sent.
    :param sent: sequence numbers and times of the last heartbeats sent.
    :param acked_at: when the latest acknowledged heartbeat was sent.
    :param chosen_at: when the peer last said that it chose this instance as a
        neighbour.
    """

    started_at: float
    last_sent_number: int = 0
    sent: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_SENT_HEARTBEATS)
    )
    last_received_number: int = 0
    received_at: float = float("-inf")
    acked_at: float = float("-inf")
    chosen_at: float = float("-inf")

    def record_sent(self, now: float) -> int:
        """Record a heartbeat that is sent and return its sequence number."""
        self.last_sent_number += 1
        self.sent.append((self.last_sent_number, now))
        return self.last_sent_number

    def compute_held_milliseconds(self, now: float) -> int:
        """Return the time since the peer's latest heartbeat; 0 if there was none."""
        return (
            int((now - self.received_at) * MILLISECONDS_PER_SECOND)
            if self.last_received_number
            else 0
        )

    def receive(self, heartbeat: Heartbeat, now: float) -> float | None:
        """Record a heartbeat of the peer.

        :returns: upper bound of its transit time, in seconds; None when there is no
            bound and the contents must not count as recent.
        """
        if heartbeat.sequence_number <= self.last_received_number:
            return None
        self.last_received_number = heartbeat.sequence_number
        self.received_at = now
        if heartbeat.is_neighbour:
            self.chosen_at = now
        sent_at = dict(self.sent).get(heartbeat.acked_number)
        if sent_at is None:
            return None
        self.acked_at = max(self.acked_at, sent_at)
        return max(
            0.0,
            now
            - sent_at
            - max(0, heartbeat.held_milliseconds) / MILLISECONDS_PER_SECOND,
        )
