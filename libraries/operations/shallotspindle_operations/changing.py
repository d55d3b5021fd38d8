"""Accepts a new bundle and records it in the audit trail.

A change whose record could not be written is recorded by whoever makes the next one.
"""

import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from expression import Error, Ok, Result

from shallotspindle_audit.records import Change
from shallotspindle_bundles import packed_checks, withdrawals
from shallotspindle_bundles.manifests import Manifest
from shallotspindle_bundles.records import Bundle
from shallotspindle_bundles.withdrawals import Withdrawal
from shallotspindle_core.clock import Clock
from shallotspindle_core.failures import Failure
from shallotspindle_environment.interface import Store
from shallotspindle_operations import auditing, publishing, rendering
from shallotspindle_operations.auditing import AuditFailure
from shallotspindle_operations.publishing import Accepted, Proposal
from shallotspindle_operations.rendering import DIGEST_DIGITS
from shallotspindle_settings import withdrawal

DETAILS_MAX = 200

Failures = tuple[Failure, ...]
Signers = Mapping[str, Ed25519PublicKey]
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
    """The person who makes a change.

    :param signers: public keys by which withdrawals of other persons are verified.
    """

    name: str
    key: Ed25519PrivateKey
    clock: Clock
    signers: Signers = field(default_factory=dict)


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
    store: Store,
    accepted: Accepted,
    proposal: Proposal,
    action: str,
    clock: Clock,
    notes: tuple[str, ...] = (),
) -> Result[Done, Failure]:
    """Publish a proposal and record it.

    :param notes: lines of the record beside the differences.
    :returns: ``AuditFailure`` when it is accepted but not recorded.
    """
    failure = await record_missing(store, accepted, clock)
    if failure is not None:
        return Error(failure)
    published = await publishing.publish(store, accepted, proposal)
    if published.is_error():
        return Error(published.error)
    lines = (*rendering.render(proposal.changes), *notes)
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
        for f in packed_checks.check_bundle(bundle)
    )


@dataclass(frozen=True, slots=True)
class Carried:
    """A bundle with the withdrawals that were given while the store was away.

    :param notes: one line for each statement that the bundle now carries.
    :param warnings: one line for each statement that could not be verified.
    """

    bundle: Bundle
    notes: tuple[str, ...]
    warnings: tuple[str, ...]


def describe_statement(item: Withdrawal) -> str:
    digest = item.digest.hex()[:DIGEST_DIGITS]
    return f"withdrawal {digest} stated by {item.person} at {item.time}: {item.reason}"


async def carry_withdrawals(
    store: Store, bundle: Bundle, signers: Signers
) -> Result[Carried, Failure]:
    """Add the verified withdrawals of the store to a bundle.

    The store does not prove who wrote them, so each signature is checked.
    """
    entries = await store.list(withdrawal.WITHDRAWAL_PREFIX)
    if entries.is_error():
        return Error(entries.error)
    parsed = [withdrawal.parse_withdrawal(item.key, item.data) for item in entries.ok]
    found = [item.ok for item in parsed if item.is_ok()]
    new = [item for item in found if item.digest not in bundle.withdrawn]
    failures = {item.digest: withdrawals.verify(item, signers) for item in new}
    added = [item for item in new if failures[item.digest] is None]
    refused = [item for item in new if failures[item.digest] is not None]
    digests = {item.digest for item in added}
    return Ok(
        Carried(
            replace(bundle, withdrawn=bundle.withdrawn | digests),
            tuple(map(describe_statement, added)),
            tuple(
                f"not carried: {describe_statement(item)}: {failures[item.digest]}"
                for item in refused
            ),
        )
    )


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
    carried = await carry_withdrawals(store, following, operator.signers)
    if carried.is_error():
        return Error((carried.error,))
    following, notes = carried.ok.bundle, carried.ok.notes
    failures = check_bundle(following)
    if failures:
        return Error(failures)
    proposal = publishing.propose(
        accepted, following, operator.name, operator.key, uuid.uuid4().hex
    )
    if proposal.is_error():
        return Error((proposal.error,))
    done = await accept(store, accepted, proposal.ok, action, operator.clock, notes)
    warnings = carried.ok.warnings
    return done.map(
        lambda found: replace(found, lines=(*found.lines, *warnings))
    ).map_error(lambda failure: (failure,))
