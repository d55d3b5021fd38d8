"""Commands that read the audit trail."""

from cyclopts import App

from shallotspindle_audit import records
from shallotspindle_audit.records import Record
from shallotspindle_environment.interface import Store
from shallotspindle_operations import auditing, options, outcomes
from shallotspindle_operations.outcomes import ExitCode, Outcome
from shallotspindle_settings import audit

app = App(name="audit", help="Read and verify the audit trail.")


def render_record(record: Record) -> list[str]:
    """Return a title line with the change, then an indented line for each detail."""
    change = record.change
    title = f"{record.sequence} {change.time} {change.person}: {change.action}"
    return [
        f"{title}, bundle {change.version}",
        *(f"    {detail}" for detail in change.details),
    ]


@app.command
def show(
    *, store: options.StoreUrl, last: int = 20, json: options.JsonFlag = False
) -> int:
    """Print the most recent records of the audit trail.

    Example: shallotspindle audit show --store http://10.0.0.9:2379 --last 5

    :param store: Address of the platform's store.
    :param last: Number of records to print.
    :param json: Print the result as JSON.
    """

    async def read(connected: Store) -> Outcome:
        trail = await auditing.read_last_records(connected, last)
        if trail.is_error():
            return outcomes.from_failures((trail.error,))
        lines = [line for record in trail.ok for line in render_record(record)]
        data = [audit.describe_record(record).model_dump() for record in trail.ok]
        return Outcome(ExitCode.DONE, tuple(lines), {"records": data})

    return outcomes.emit(options.run_with_store(store, read), json)


@app.command
def verify(
    *, store: options.StoreUrl, head: str | None = None, json: options.JsonFlag = False
) -> int:
    """Check the audit trail for changed, removed and reordered records.

    The command prints the digest of the last record. Keep it outside of the store and
    pass it as --head to the next run, which then also detects a truncated trail.

    Example: shallotspindle audit verify --store http://10.0.0.9:2379

    :param store: Address of the platform's store.
    :param head: Digest of a record that the trail must contain.
    :param json: Print the result as JSON.
    """

    async def read(connected: Store) -> Outcome:
        verified = await auditing.verify_trail(connected, head)
        if verified.is_error():
            return outcomes.from_failures((verified.error,))
        trail, failures = verified.ok
        if failures:
            return outcomes.from_failures(failures, ExitCode.FAILED)
        digest = records.compute_digest(trail[-1]) if trail else records.GENESIS_DIGEST
        line = f"{len(trail)} records are unchanged, head {digest}"
        return Outcome(ExitCode.DONE, (line,), {"records": len(trail), "head": digest})

    return outcomes.emit(options.run_with_store(store, read), json)
