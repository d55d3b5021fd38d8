"""Writes and reads the audit trail in the store.

A record is created under its sequence number only if nobody did so before, so two
writers get two numbers and no record is overwritten.
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

# Writers that are overtaken this often in a row give up.
ATTEMPTS_MAX = 20


@dataclass(frozen=True, slots=True)
class AuditFailure(Failure):
    """A record was not written to the audit trail."""


async def read_record(store: Store, sequence: int) -> Result[Record | None, Failure]:
    """Return one record, or None when there is none under the number."""
    entry = await store.get(audit.build_key(sequence))
    if entry.is_error():
        return Error(entry.error)
    if entry.ok.revision == 0:
        return Ok(None)
    parsed = audit.parse_record(entry.ok.key, entry.ok.data)
    return Error(parsed.error[0]) if parsed.is_error() else Ok(parsed.ok)


async def read_hint(store: Store) -> int:
    """Return a sequence number near the end of the trail; 0 when there is none."""
    entry = await store.get(audit.AUDIT_HINT_KEY)
    if entry.is_ok() and entry.ok.data.isdigit():
        return int(entry.ok.data)
    return 0


async def read_last(store: Store) -> Result[Record | None, Failure]:
    """Return the last record of the trail."""
    sequence = await read_hint(store)
    last = None
    if sequence:
        found = await read_record(store, sequence)
        if found.is_error():
            return found
        last = found.ok
        # A wrong hint costs reads from the start and nothing else.
        sequence = sequence if last else 0
    while True:
        found = await read_record(store, sequence + 1)
        if found.is_error():
            return found
        if found.ok is None:
            return Ok(last)
        last, sequence = found.ok, sequence + 1


async def append(store: Store, change: Change) -> Result[Record, Failure]:
    """Write a change to the end of the trail, once.

    :returns: the record; ``OutcomeUnknown`` when the store does not tell.
    """
    for _ in range(ATTEMPTS_MAX):
        last = await read_last(store)
        if last.is_error():
            return Error(last.error)
        if last.ok is not None and last.ok.change.attempt == change.attempt:
            return Ok(last.ok)
        record = records.build_next_record(last.ok, change)
        written = await create(store, record)
        if written.is_ok():
            await write_hint(store, record.sequence)
            return Ok(record)
        if not isinstance(written.error, Conflict):
            return Error(written.error)
    return Error(AuditFailure("audit trail", "other writers were always first"))


async def create(store: Store, record: Record) -> Result[int, Failure]:
    """Create a record; a lost answer is resolved by reading the record back.

    :returns: ``Conflict`` when another record has the number.
    """
    key, data = audit.build_key(record.sequence), audit.format_record(record)
    written = await store.replace(key, data, 0)
    if written.is_error() and isinstance(written.error, OutcomeUnknown):
        # The same bytes under the same number: trying again has no second effect.
        written = await store.replace(key, data, 0)
    if written.is_ok() or not isinstance(written.error, Conflict):
        return written
    found = await store.get(key)
    if found.is_error():
        return Error(OutcomeUnknown(found.error.source, found.error.message))
    return Ok(found.ok.revision) if found.ok.data == data else written


async def write_hint(store: Store, sequence: int) -> None:
    """Note the end of the trail; a failure only costs reads later."""
    entry = await store.get(audit.AUDIT_HINT_KEY)
    if entry.is_ok():
        data = str(sequence).encode()
        await store.replace(audit.AUDIT_HINT_KEY, data, entry.ok.revision)


async def read_pages(
    store: Store,
) -> AsyncIterator[Result[tuple[Record, ...], Failure]]:
    """Yield the records page by page up to the end or the first failure.

    An empty page before the noted end is a removed one and does not end the trail.
    """
    page, end = 0, await read_hint(store) // 10**audit.PAGE_DIGITS
    while True:
        entries = await store.list(audit.build_page_prefix(page))
        if entries.is_error():
            yield Error(entries.error)
            return
        if not entries.ok and page > end:
            return
        parsed = [audit.parse_record(item.key, item.data) for item in entries.ok]
        for item in parsed:
            if item.is_error():
                yield Error(item.error[0])
                return
        yield Ok(tuple(item.ok for item in parsed))
        page += 1


async def read_trail(store: Store) -> Result[tuple[Record, ...], Failure]:
    """Return all records in the order of their keys."""
    found: list[Record] = []
    async for page in read_pages(store):
        if page.is_error():
            return Error(page.error)
        found += page.ok
    return Ok(tuple(found))


async def read_end(store: Store, count: int) -> Result[tuple[Record, ...], Failure]:
    """Return the last records of the trail."""
    last = await read_last(store)
    if last.is_error() or last.ok is None:
        return last.map(lambda _: ())
    found = [last.ok]
    while len(found) < count and found[0].sequence > records.FIRST_SEQUENCE:
        before = await read_record(store, found[0].sequence - 1)
        if before.is_error():
            return Error(before.error)
        if before.ok is None:
            source = f"audit record {found[0].sequence - 1}"
            return Error(TrailFailure(source, "the record is missing"))
        found.insert(0, before.ok)
    return Ok(tuple(found))


async def verify_trail(
    store: Store, head: str | None
) -> Result[tuple[tuple[Record, ...], tuple[TrailFailure, ...]], Failure]:
    """Read the whole trail and check it, also against the accepted version."""
    # The version is read first, since a change made meanwhile adds a record.
    version = await publishing.read_version(store)
    if version.is_error():
        return Error(version.error)
    trail = await read_trail(store)
    if trail.is_error():
        return Error(trail.error)
    failures = records.verify_chain(trail.ok, head)
    recorded = max((item.change.version for item in trail.ok), default=0)
    if recorded < version.ok:
        source = f"bundle {version.ok}"
        message = "the accepted bundle has no audit record"
        failures += (TrailFailure(source, message, f"last is bundle {recorded}"),)
    return Ok((trail.ok, failures))
