"""Publishes changes of the bundle and records them in the audit trail.

If the record of a change could not be written, the writer of the next change writes
it.
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
from shallotspindle_operations.publishing import AcceptedBundle, Proposal
from shallotspindle_operations.rendering import DIGEST_DIGITS
from shallotspindle_settings import withdrawal

MAX_AUDIT_DETAILS = 200

Failures = tuple[Failure, ...]
SignerKeys = Mapping[str, Ed25519PublicKey]
BundleEdit = Callable[[Bundle], Result[Bundle, Failures]]


@dataclass(frozen=True, slots=True)
class InvalidChange(Failure):
    """The change would make the bundle invalid."""


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Result of a published change.

    :param version: version of the accepted bundle.
    :param change_lines: one line for each difference.
    :param audit_record: sequence number of the audit record.
    """

    version: int
    change_lines: tuple[str, ...]
    audit_record: int


@dataclass(frozen=True, slots=True)
class Operator:
    """The person who makes a change.

    :param key: key that signs the bundle.
    :param signer_keys: public keys, by person, that verify withdrawals which other
        people issued.
    """

    name: str
    key: Ed25519PrivateKey
    clock: Clock
    signer_keys: SignerKeys = field(default_factory=dict)


def limit_details(change_lines: tuple[str, ...]) -> tuple[str, ...]:
    """Return the lines for an audit record, which must fit into one store value."""
    if len(change_lines) <= MAX_AUDIT_DETAILS:
        return change_lines
    return (
        *change_lines[:MAX_AUDIT_DETAILS],
        f"and {len(change_lines) - MAX_AUDIT_DETAILS} more changes",
    )


async def write_audit_record(
    store: Store,
    manifest: Manifest,
    action: str,
    change_lines: tuple[str, ...],
    clock: Clock,
) -> Result[int, Failure]:
    """Write the audit record of an accepted manifest and return its number."""
    change = Change(
        attempt=manifest.attempt,
        time=clock.now().isoformat(timespec="seconds"),
        person=manifest.signer,
        action=action,
        version=manifest.version,
        details=limit_details(change_lines),
    )
    written = await auditing.append_record(store, change)
    return written.map(lambda record: record.sequence)


async def record_unrecorded_bundle(
    store: Store, accepted: AcceptedBundle, clock: Clock
) -> Failure | None:
    """Write the audit record of the accepted bundle if its publisher could not."""
    if accepted.manifest is None:
        return None
    last = await auditing.read_last_record(store)
    if last.is_error():
        return last.error
    if last.ok is not None and last.ok.change.version >= accepted.manifest.version:
        return None
    change_lines = ("the changes are not known; recorded by a later writer",)
    written = await write_audit_record(
        store, accepted.manifest, "bundle", change_lines, clock
    )
    return written.error if written.is_error() else None


async def publish_and_record(
    store: Store,
    accepted: AcceptedBundle,
    proposal: Proposal,
    action: str,
    clock: Clock,
    extra_lines: tuple[str, ...] = (),
) -> Result[ChangeResult, Failure]:
    """Publish a proposal and record it in the audit trail.

    :param extra_lines: lines of the record in addition to the differences.
    :returns: ``AuditFailure`` if the bundle is accepted but not recorded.
    """
    failure = await record_unrecorded_bundle(store, accepted, clock)
    if failure is not None:
        return Error(failure)
    published = await publishing.publish(store, accepted, proposal)
    if published.is_error():
        return Error(published.error)
    change_lines = (*rendering.render_changes(proposal.changes), *extra_lines)
    written = await write_audit_record(store, published.ok, action, change_lines, clock)
    if written.is_error():
        source = f"bundle {published.ok.version}"
        message = "the bundle is accepted, but its audit record is not written yet"
        return Error(AuditFailure(source, message, str(written.error)))
    return Ok(ChangeResult(published.ok.version, change_lines, written.ok))


def check_bundle(bundle: Bundle) -> Failures:
    """Return all validation failures of a changed bundle."""
    return tuple(
        InvalidChange(f"bundle {bundle.version}: {f.source}", f.message, f.item)
        for f in packed_checks.check_bundle(bundle)
    )


@dataclass(frozen=True, slots=True)
class MergedWithdrawals:
    """A bundle with the withdrawals that were issued during a store outage.

    :param added_lines: one line for each withdrawal that was added to the bundle.
    :param warnings: one line for each withdrawal that could not be verified.
    """

    bundle: Bundle
    added_lines: tuple[str, ...]
    warnings: tuple[str, ...]


def describe_withdrawal(item: Withdrawal) -> str:
    digest = item.digest.hex()[:DIGEST_DIGITS]
    return f"withdrawal {digest} stated by {item.person} at {item.time}: {item.reason}"


async def merge_stored_withdrawals(
    store: Store, bundle: Bundle, signer_keys: SignerKeys
) -> Result[MergedWithdrawals, Failure]:
    """Add the withdrawals that the store holds to a bundle.

    Anyone with access to the store could have written them, so each signature is
    verified.
    """
    entries = await store.list(withdrawal.WITHDRAWAL_PREFIX)
    if entries.is_error():
        return Error(entries.error)
    parsed = [withdrawal.parse_withdrawal(item.key, item.data) for item in entries.ok]
    stored = [item.ok for item in parsed if item.is_ok()]
    new = [item for item in stored if item.digest not in bundle.withdrawn]
    failures = {item.digest: withdrawals.verify(item, signer_keys) for item in new}
    added = [item for item in new if failures[item.digest] is None]
    rejected = [item for item in new if failures[item.digest] is not None]
    digests = {item.digest for item in added}
    return Ok(
        MergedWithdrawals(
            replace(bundle, withdrawn=bundle.withdrawn | digests),
            tuple(map(describe_withdrawal, added)),
            tuple(
                f"not carried: {describe_withdrawal(item)}: {failures[item.digest]}"
                for item in rejected
            ),
        )
    )


async def publish_edit(
    store: Store, operator: Operator, action: str, edit: BundleEdit
) -> Result[ChangeResult, Failures]:
    """Edit the accepted bundle and publish the result.

    :param action: name of the change in the audit record.
    :param edit: returns the edited bundle, or the failures of the edit.
    """
    current = await publishing.read_accepted(store)
    if current.is_error():
        return Error((current.error,))
    accepted = current.ok
    edited = edit(accepted.bundle)
    if edited.is_error():
        return Error(edited.error)
    next_bundle = replace(edited.ok, version=accepted.bundle.version + 1)
    merged = await merge_stored_withdrawals(store, next_bundle, operator.signer_keys)
    if merged.is_error():
        return Error((merged.error,))
    next_bundle, added_lines = merged.ok.bundle, merged.ok.added_lines
    failures = check_bundle(next_bundle)
    if failures:
        return Error(failures)
    proposal = publishing.propose(
        accepted, next_bundle, operator.name, operator.key, uuid.uuid4().hex
    )
    if proposal.is_error():
        return Error((proposal.error,))
    result = await publish_and_record(
        store, accepted, proposal.ok, action, operator.clock, added_lines
    )
    warnings = merged.ok.warnings
    return result.map(
        lambda change: replace(change, change_lines=(*change.change_lines, *warnings))
    ).map_error(lambda failure: (failure,))
