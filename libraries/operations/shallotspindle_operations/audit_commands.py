"""Commands that read the audit trail."""

from cyclopts import App

from shallotspindle_audit import records
from shallotspindle_audit.records import Record
from shallotspindle_environment.interface import Store
from shallotspindle_operations import auditing, options, outcomes
from shallotspindle_operations.outcomes import Exit, Outcome
from shallotspindle_settings import audit

app = App(name="audit", help="Read and verify the audit trail.")


def render(record: Record) -> list[str]:
    """Return a title with the change, then an indented line for each detail."""
    change = record.change
    title = f"{record.sequence} {change.time} {change.person}: {change.action}"
    return [
        f"{title}, bundle {change.version}",
        *(f"    {detail}" for detail in change.details),
    ]


@app.command
def show(*, store: options.StoreUrl, last: int = 20, json: options.Json = False) -> int:
    """Print the last records of the audit trail.

    Example: shallotspindle audit show --store http://10.0.0.9:2379 --last 5

    :param store: Address of the platform's store.
    :param last: Number of records.
    :param json: Print the result as JSON.
    """

    async def read(connected: Store) -> Outcome:
        trail = await auditing.read_end(connected, last)
        if trail.is_error():
            return outcomes.fail((trail.error,))
        lines = [line for record in trail.ok for line in render(record)]
        data = [audit.describe_record(record).model_dump() for record in trail.ok]
        return Outcome(Exit.DONE, tuple(lines), {"records": data})

    return outcomes.emit(options.run_with_store(store, read), json)


@app.command
def verify(
    *, store: options.StoreUrl, head: str | None = None, json: options.Json = False
) -> int:
    """Find changed, removed and moved records of the audit trail.

    The printed digest of the last record, noted elsewhere and given as --head the
    next time, also shows whether the end of the trail was cut off.

    Example: shallotspindle audit verify --store http://10.0.0.9:2379

    :param store: Address of the platform's store.
    :param head: Digest of a record that must be in the trail.
    :param json: Print the result as JSON.
    """

    async def read(connected: Store) -> Outcome:
        verified = await auditing.verify_trail(connected, head)
        if verified.is_error():
            return outcomes.fail((verified.error,))
        trail, failures = verified.ok
        if failures:
            return outcomes.fail(failures, Exit.FAILED)
        digest = records.compute_digest(trail[-1]) if trail else records.GENESIS_DIGEST
        line = f"{len(trail)} records are unchanged, head {digest}"
        return Outcome(Exit.DONE, (line,), {"records": len(trail), "head": digest})

    return outcomes.emit(options.run_with_store(store, read), json)
