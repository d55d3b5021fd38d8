"""Accepts a new bundle and records it in the audit trail.

A change whose record could not be written is recorded by whoever makes the next one.
"""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from expression import Error, Ok, Result

from shallotspindle_audit.records import Change
from shallotspindle_bundles import parts
from shallotspindle_bundles.manifests import Manifest
from shallotspindle_bundles.records import Bundle
from shallotspindle_core.clock import Clock
from shallotspindle_core.failures import Failure
from shallotspindle_operations import auditing, publishing, rendering
from shallotspindle_operations.auditing import AuditFailure
from shallotspindle_operations.publishing import Accepted, Proposal
from shallotspindle_platform.interface import Store
from shallotspindle_settings import withdrawal

DETAILS_MAX = 200

Failures = tuple[Failure, ...]
Edit = Callable[[Bundle], Result[Bundle, Failures]]


@dataclass(frozen=True, slots=True)
class InvalidChange(Failure):
    """The change leads to a bundle that is not valid."""


@dataclass(frozen=True, slots=True)
class Done:
    """An accepted bundle.

    :param lines: what changed, one line each.
    :param record: sequence number of the audit record; 0 if it is not yet written.
    """

    version: int
    lines: tuple[str, ...]
    record: int


@dataclass(frozen=True, slots=True)
class Operator:
    """The person who makes a change."""

    name: str
    key: Ed25519PrivateKey
    clock: Clock


def limit(lines: tuple[str, ...]) -> tuple[str, ...]:
    """Return the lines for an audit record, which must fit into one value."""
    if len(lines) <= DETAILS_MAX:
        return lines
    return (*lines[:DETAILS_MAX], f"and {len(lines) - DETAILS_MAX} more changes")


async def record(
    store: Store, manifest: Manifest, action: str, lines: tuple[str, ...], clock: Clock
) -> Result[int, Failure]:
    """Write the audit record of an accepted manifest and return its number."""
    change = Change(
        attempt=manifest.attempt,
        time=clock.now().isoformat(timespec="seconds"),
        person=manifest.signer,
        action=action,
        version=manifest.version,
        details=limit(lines),
    )
    written = await auditing.append(store, change)
    return written.map(lambda found: found.sequence)


async def record_missing(
    store: Store, accepted: Accepted, clock: Clock
) -> Failure | None:
    """Record the accepted bundle if whoever published it could not."""
    if accepted.manifest is None:
        return None
    last = await auditing.read_last(store)
    if last.is_error():
        return last.error
    if last.ok is not None and last.ok.change.version >= accepted.manifest.version:
        return None
    lines = ("the changes are not known; recorded by a later writer",)
    written = await record(store, accepted.manifest, "bundle", lines, clock)
    return written.error if written.is_error() else None


async def accept(
    store: Store, accepted: Accepted, proposal: Proposal, action: str, clock: Clock
) -> Result[Done, Failure]:
    """Publish a proposal and record it.

    :returns: ``AuditFailure`` when it is accepted but not recorded.
    """
    failure = await record_missing(store, accepted, clock)
    if failure is not None:
        return Error(failure)
    published = await publishing.publish(store, accepted, proposal)
    if published.is_error():
        return Error(published.error)
    lines = rendering.render(proposal.changes)
    written = await record(store, published.ok, action, lines, clock)
    if written.is_error():
        source = f"bundle {published.ok.version}"
        message = "it is accepted, but its audit record is not written yet"
        return Error(AuditFailure(source, message, str(written.error)))
    return Ok(Done(published.ok.version, lines, written.ok))


def check_bundle(bundle: Bundle) -> Failures:
    """Return all failures of a changed bundle."""
    return tuple(
        InvalidChange(f"bundle {bundle.version}: {f.source}", f.message, f.item)
        for f in parts.check_all(bundle)
    )


async def carry_withdrawals(store: Store, bundle: Bundle) -> Result[Bundle, Failure]:
    """Add the withdrawals that were given while the store was away."""
    entries = await store.list(withdrawal.WITHDRAWAL_PREFIX)
    if entries.is_error():
        return Error(entries.error)
    parsed = [withdrawal.parse_withdrawal(item.key, item.data) for item in entries.ok]
    found = {item.ok.digest for item in parsed if item.is_ok()}
    return Ok(replace(bundle, withdrawn=bundle.withdrawn | found))


async def change(
    store: Store, operator: Operator, action: str, edit: Edit
) -> Result[Done, Failures]:
    """Change the accepted bundle and publish the result.

    :param edit: returns the changed bundle, or the failures of the change.
    """
    read = await publishing.read_accepted(store)
    if read.is_error():
        return Error((read.error,))
    accepted = read.ok
    edited = edit(accepted.bundle)
    if edited.is_error():
        return Error(edited.error)
    following = replace(edited.ok, version=accepted.bundle.version + 1)
    carried = await carry_withdrawals(store, following)
    if carried.is_error():
        return Error((carried.error,))
    failures = check_bundle(carried.ok)
    if failures:
        return Error(failures)
    proposal = publishing.propose(
        accepted, carried.ok, operator.name, operator.key, uuid.uuid4().hex
    )
    if proposal.is_error():
        return Error((proposal.error,))
    done = await accept(store, accepted, proposal.ok, action, operator.clock)
    return done.map_error(lambda failure: (failure,))
