"""Audit records: who changed what, when, and which version came of it.

Each record names the digest of the one before it, so that a record that was changed,
removed or moved is found by whoever reads the trail.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from shallotspindle_core.failures import Failure

FIRST_SEQUENCE = 1
# The digest that the first record names.
ORIGIN = "0" * 64


@dataclass(frozen=True, slots=True)
class Change:
    """An accepted change, before it has a place in the trail.

    :param attempt: random text by which a writer recognises its own record.
    :param time: when it was accepted, ISO 8601 in UTC.
    :param person: name of the person who made it.
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
    """A change at its place in the trail.

    :param sequence: 1 for the first record, and one more for each further one.
    :param previous: digest of the record before it in hex.
    """

    sequence: int
    previous: str
    change: Change


@dataclass(frozen=True, slots=True)
class TrailFailure(Failure):
    """The trail is not the one that was written."""


def digest(record: Record) -> str:
    """Return the digest of a record in hex; each field has its length before it."""
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


def chain(last: Record | None, change: Change) -> Record:
    """Return the record that follows the last one."""
    if last is None:
        return Record(FIRST_SEQUENCE, ORIGIN, change)
    return Record(last.sequence + 1, digest(last), change)


def verify(
    records: Iterable[Record], head: str | None = None
) -> tuple[TrailFailure, ...]:
    """Check a whole trail.

    Only a digest that was noted elsewhere shows that the last records are missing.

    :param records: all records in the order in which they are stored.
    :param head: digest of a record that must be in the trail.
    :returns: all failures.
    """
    failures: list[TrailFailure] = []
    expected_sequence, expected_previous = FIRST_SEQUENCE, ORIGIN
    seen = set()
    for record in records:
        source = f"audit record {record.sequence}"
        if record.sequence != expected_sequence:
            message = "a record is missing or moved before this one"
            failures.append(
                TrailFailure(source, message, f"expected {expected_sequence}")
            )
        if record.previous != expected_previous:
            message = "the record before it was changed, removed or moved"
            failures.append(TrailFailure(source, message, record.previous))
        expected_sequence, expected_previous = record.sequence + 1, digest(record)
        seen.add(expected_previous)
    if head is not None and head not in seen:
        message = "the noted record is changed or missing"
        failures.append(TrailFailure("audit trail", message, head))
    return tuple(failures)
