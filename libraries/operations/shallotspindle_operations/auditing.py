"""Writes and reads the audit trail in the store.

A record is created only if no record has its sequence number yet. Concurrent writers
therefore get different numbers, and no record is overwritten.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from expression import Error, Ok, Result

from shallotspindle_audit import records
from shallotspindle_audit.records import Change, Record, TrailFailure
from shallotspindle_core.failures import Failure
from shallotspindle_environment.interface import Conflict, OutcomeUnknown, Store
from shallotspindle_operations import publishing
from shallotspindle_settings import audit

# A writer gives up after it lost the race for the next sequence number this often.
MAX_APPEND_ATTEMPTS = 20


@dataclass(frozen=True, slots=True)
class AuditFailure(Failure):
    """A record could not be written to the audit trail."""


async def read_record(store: Store, sequence: int) -> Result[Record | None, Failure]:
    """Return the record with a sequence number; None if there is none."""
    entry = await store.get(audit.build_key(sequence))
    if entry.is_error():
        return Error(entry.error)
    if entry.ok.revision == 0:
        return Ok(None)
    parsed = audit.parse_record(entry.ok.key, entry.ok.data)
    return Error(parsed.error[0]) if parsed.is_error() else Ok(parsed.ok)


async def read_sequence_hint(store: Store) -> int:
    """Return a sequence number near the end of the trail; 0 if none is stored."""
    entry = await store.get(audit.AUDIT_HINT_KEY)
    if entry.is_ok() and entry.ok.data.isdigit():
        return int(entry.ok.data)
    return 0


async def read_last_record(store: Store) -> Result[Record | None, Failure]:
    """Return the last record of the trail; None if the trail is empty."""
    sequence = await read_sequence_hint(store)
    last = None
    if sequence:
        record = await read_record(store, sequence)
        if record.is_error():
            return record
        last = record.ok
        # After a wrong hint, the search only has to start at the first record.
        sequence = sequence if last else 0
    while True:
        record = await read_record(store, sequence + 1)
        if record.is_error():
            return record
        if record.ok is None:
            return Ok(last)
        last, sequence = record.ok, sequence + 1


async def append_record(store: Store, change: Change) -> Result[Record, Failure]:
    """Append a change to the trail exactly once.

    :returns: the record; ``OutcomeUnknown`` if the store does not report the outcome.
    """
    for _ in range(MAX_APPEND_ATTEMPTS):
        last = await read_last_record(store)
        if last.is_error():
            return Error(last.error)
        if last.ok is not None and last.ok.change.attempt == change.attempt:
            return Ok(last.ok)
        record = records.build_next_record(last.ok, change)
        written = await create_record(store, record)
        if written.is_ok():
            await write_sequence_hint(store, record.sequence)
            return Ok(record)
        if not isinstance(written.error, Conflict):
            return Error(written.error)
    return Error(
        AuditFailure(
            "audit trail", "other writers took every sequence number that was tried"
        )
    )


async def create_record(store: Store, record: Record) -> Result[int, Failure]:
    """Create a record; after a lost response, read it back to find the outcome.

    :returns: the revision; ``Conflict`` if another record has the sequence number.
    """
    key, data = audit.build_key(record.sequence), audit.format_record(record)
    written = await store.replace(key, data, 0)
    if written.is_error() and isinstance(written.error, OutcomeUnknown):
        # Retrying is idempotent: it writes the same bytes under the same number.
        written = await store.replace(key, data, 0)
    if written.is_ok() or not isinstance(written.error, Conflict):
        return written
    current = await store.get(key)
    if current.is_error():
        return Error(OutcomeUnknown(current.error.source, current.error.message))
    return Ok(current.ok.revision) if current.ok.data == data else written


async def write_sequence_hint(store: Store, sequence: int) -> None:
    """Store the end of the trail; a failure only makes later searches read more."""
    entry = await store.get(audit.AUDIT_HINT_KEY)
    if entry.is_ok():
        data = str(sequence).encode()
        await store.replace(audit.AUDIT_HINT_KEY, data, entry.ok.revision)


async def read_pages(
    store: Store,
) -> AsyncIterator[Result[tuple[Record, ...], Failure]]:
    """Yield the records page by page up to the end or the first failure.

    An empty page before the hint means that its records were removed, so reading goes
    on.
    """
    page, last_page = 0, await read_sequence_hint(store) // 10**audit.PAGE_DIGITS
    while True:
        entries = await store.list(audit.build_page_prefix(page))
        if entries.is_error():
            yield Error(entries.error)
            return
        if not entries.ok and page > last_page:
            return
        parsed = [audit.parse_record(item.key, item.data) for item in entries.ok]
        for item in parsed:
            if item.is_error():
                yield Error(item.error[0])
                return
        yield Ok(tuple(item.ok for item in parsed))
        page += 1


async def read_trail(store: Store) -> Result[tuple[Record, ...], Failure]:
    """Return all records, ordered by key."""
    trail: list[Record] = []
    async for page in read_pages(store):
        if page.is_error():
            return Error(page.error)
        trail += page.ok
    return Ok(tuple(trail))


async def read_last_records(
    store: Store, count: int
) -> Result[tuple[Record, ...], Failure]:
    """Return the last records of the trail."""
    last = await read_last_record(store)
    if last.is_error() or last.ok is None:
        return last.map(lambda _: ())
    last_records = [last.ok]
    while (
        len(last_records) < count and last_records[0].sequence > records.FIRST_SEQUENCE
    ):
        previous = await read_record(store, last_records[0].sequence - 1)
        if previous.is_error():
            return Error(previous.error)
        if previous.ok is None:
            source = f"audit record {last_records[0].sequence - 1}"
            return Error(TrailFailure(source, "the record is missing"))
        last_records.insert(0, previous.ok)
    return Ok(tuple(last_records))


async def verify_trail(
    store: Store, head: str | None
) -> Result[tuple[tuple[Record, ...], tuple[TrailFailure, ...]], Failure]:
    """Read the trail; check its digest chain and that it covers the accepted bundle.

    :param head: digest of a record that the trail must contain; None for no check.
    :returns: the records and the failures that were found.
    """
    # The version is read first: a change that is published in between adds a record,
    # which must not look like a missing one.
    version = await publishing.read_version(store)
    if version.is_error():
        return Error(version.error)
    trail = await read_trail(store)
    if trail.is_error():
        return Error(trail.error)
    failures = records.verify_chain(trail.ok, head)
    last_recorded = max((item.change.version for item in trail.ok), default=0)
    if last_recorded < version.ok:
        source = f"bundle {version.ok}"
        message = "the accepted bundle has no audit record"
        failures += (
            TrailFailure(
                source, message, f"the last record is of bundle {last_recorded}"
            ),
        )
    return Ok((trail.ok, failures))
