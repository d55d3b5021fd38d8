"""Audit records: who changed what, when, and which bundle version resulted.

Each record contains the digest of the one before it, so that a reader of the trail
detects records that were changed, removed or moved.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from shallotspindle_core.failures import Failure

FIRST_SEQUENCE = 1
# Stands for the digest of the record before the first one.
GENESIS_DIGEST = "0" * 64


@dataclass(frozen=True, slots=True)
class Change:
    """An accepted change that has no position in the trail yet.

    :param attempt: random text by which a writer recognises its own record.
    :param time: when the change was accepted, ISO 8601 in UTC.
    :param person: name of the person who made the change.
    :param action: kind of the change, such as ``bundle``.
    :param version: version of the bundle that is accepted after the change.
    :param details: one line for each thing that changed.
    """

    attempt: str
    time: str
    person: str
    action: str
    version: int
    details: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Record:
    """A change at its position in the trail.

    :param sequence: 1 for the first record, and one more for each later one.
    :param previous: digest of the record before it, in hex.
    """

    sequence: int
    previous: str
    change: Change


@dataclass(frozen=True, slots=True)
class TrailFailure(Failure):
    """The trail was altered or is incomplete."""


def compute_digest(record: Record) -> str:
    """Return the SHA-256 digest of a record in hex.

    Each field is preceded by its length, so that text cannot move from one field to
    the next without a change of the digest.
    """
    change = record.change
    fields = (
        "shallotspindle audit record",
        str(record.sequence),
        record.previous,
        change.attempt,
        change.time,
        change.person,
        change.action,
        str(change.version),
        *change.details,
    )
    encoded = [field.encode() for field in fields]
    data = b"".join(len(field).to_bytes(4, "big") + field for field in encoded)
    return hashlib.sha256(data).hexdigest()


def build_next_record(last: Record | None, change: Change) -> Record:
    """Return the record of a change at the end of the trail.

    :param last: last record of the trail; None if the trail is empty.
    """
    if last is None:
        return Record(FIRST_SEQUENCE, GENESIS_DIGEST, change)
    return Record(last.sequence + 1, compute_digest(last), change)


def verify_chain(
    records: Iterable[Record], head: str | None = None
) -> tuple[TrailFailure, ...]:
    """Check the sequence numbers and digests of a whole trail.

    The chain alone does not show that records are missing at its end. For this, pass
    a digest that was kept outside the trail.

    :param records: all records in the order in which they are stored.
    :param head: digest of a record that must be in the trail.
    :returns: all failures; empty if the trail is unchanged.
    """
    failures: list[TrailFailure] = []
    expected_sequence, expected_previous = FIRST_SEQUENCE, GENESIS_DIGEST
    digests = set()
    for record in records:
        source = f"audit record {record.sequence}"
        if record.sequence != expected_sequence:
            message = "a record before this one is missing or was moved"
            failures.append(
                TrailFailure(source, message, f"expected {expected_sequence}")
            )
        if record.previous != expected_previous:
            message = "the previous record was changed, removed or moved"
            failures.append(TrailFailure(source, message, record.previous))
        expected_sequence, expected_previous = (
            record.sequence + 1,
            compute_digest(record),
        )
        digests.add(expected_previous)
    if head is not None and head not in digests:
        message = "the record with the given head digest is missing or was changed"
        failures.append(TrailFailure("audit trail", message, head))
    return tuple(failures)
