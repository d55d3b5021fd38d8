"""Stored form of audit records."""

from typing import Annotated

from expression import Error, Ok, Result
from pydantic import Field, ValidationError

from shallotspindle_audit.records import Change, Record
from shallotspindle_settings import failures
from shallotspindle_settings.daemon import StrictModel
from shallotspindle_validation.fields import Counter

AUDIT_PREFIX = "/shallotspindle/audit/records/"
# The value is a sequence number near the end of the trail. It only saves reads and may
# be wrong.
AUDIT_HINT_KEY = "/shallotspindle/audit/hint"
SEQUENCE_DIGITS = 12
# Number of trailing digits in which the sequence numbers of one page differ.
PAGE_DIGITS = 3


class RecordModel(StrictModel):
    """A record of the audit trail."""

    sequence: Annotated[Counter, Field(ge=1)]
    previous: str = Field(pattern=r"^[0-9a-f]{64}$")
    attempt: str
    time: str
    person: str
    action: str
    version: Counter
    details: tuple[str, ...] = ()


def build_key(sequence: int) -> str:
    """Return the key of a record; keys sort in the order of sequence numbers."""
    return f"{AUDIT_PREFIX}{sequence:0{SEQUENCE_DIGITS}d}"


def build_page_prefix(page: int) -> str:
    """Return the prefix of the keys of one page of the trail."""
    return f"{AUDIT_PREFIX}{page:0{SEQUENCE_DIGITS - PAGE_DIGITS}d}"


def parse_record(
    source: str, data: bytes
) -> Result[Record, tuple[failures.SettingsFailure, ...]]:
    """Validate a stored record."""
    try:
        model = RecordModel.model_validate_json(data)
    except ValidationError as error:
        text = data.decode(errors="replace")
        return Error(failures.convert_errors(source, text, error))
    fields = model.model_dump(exclude={"sequence", "previous"})
    return Ok(Record(model.sequence, model.previous, Change(**fields)))


def describe_record(record: Record) -> RecordModel:
    """Convert a record to its model."""
    change = record.change
    return RecordModel(
        sequence=record.sequence,
        previous=record.previous,
        attempt=change.attempt,
        time=change.time,
        person=change.person,
        action=change.action,
        version=change.version,
        details=change.details,
    )


def format_record(record: Record) -> bytes:
    """Return the stored form of a record."""
    return describe_record(record).model_dump_json().encode()
