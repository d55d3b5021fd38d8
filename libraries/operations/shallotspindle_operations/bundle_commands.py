"""Commands that create, validate, compare, sign, publish and show bundles."""

import secrets
import uuid
from dataclasses import replace
from pathlib import Path

from cyclopts import App
from expression import Result

from shallotspindle_bundles import differences
from shallotspindle_bundles.records import Bundle
from shallotspindle_environment.clock import SystemClock
from shallotspindle_environment.interface import Store
from shallotspindle_operations import changing, options, outcomes, publishing, rendering
from shallotspindle_operations.changing import Operator
from shallotspindle_operations.outcomes import ExitCode, Outcome
from shallotspindle_operations.publishing import AcceptedBundle, Proposal
from shallotspindle_settings import bundle as bundle_format
from shallotspindle_settings import manifest as manifest_format
from shallotspindle_settings.failures import SettingsFailure

SALT_BYTES = 16

app = App(name="bundle", help="Create, check, sign and publish bundles.")


def write_new_file(path: Path, text: str) -> SettingsFailure | None:
    """Write a new file; fail if it exists."""
    try:
        with path.open("x") as file:
            file.write(text)
    except OSError as error:
        return SettingsFailure(str(path), str(error))
    return None


@app.command
def create(
    path: Path, *, store: options.StoreUrl | None = None, json: options.JsonFlag = False
) -> int:
    """Write a bundle file to edit.

    Without --store, the file is an empty first bundle with a new salt. With --store,
    it is a copy of the accepted bundle with the next version number.

    Example: shallotspindle bundle create next.json --store http://10.0.0.9:2379

    :param path: File to write; it must not exist yet.
    :param store: Address of the platform's store.
    :param json: Print the result as JSON.
    """
    if store is None:
        first = Bundle(1, secrets.token_bytes(SALT_BYTES))
        return outcomes.emit(save_bundle(path, first), json)

    async def copy(connected: Store) -> Outcome:
        accepted = await publishing.read_accepted(connected)
        if accepted.is_error():
            return outcomes.from_failures((accepted.error,))
        bundle = accepted.ok.bundle
        if not bundle.version:
            bundle = replace(bundle, salt=secrets.token_bytes(SALT_BYTES))
        return save_bundle(path, replace(bundle, version=bundle.version + 1))

    return outcomes.emit(options.run_with_store(store, copy), json)


def save_bundle(path: Path, bundle: Bundle) -> Outcome:
    """Write a bundle to a new file."""
    text = bundle_format.format_bundle(bundle_format.describe_bundle(bundle))
    failure = write_new_file(path, text)
    if failure is not None:
        return outcomes.from_failures((failure,), ExitCode.INVALID)
    line = f"{path}: bundle {bundle.version} is written"
    return Outcome(
        ExitCode.DONE, (line,), {"path": str(path), "version": bundle.version}
    )


@app.command
def validate(path: Path, *, json: options.JsonFlag = False) -> int:
    """Check a bundle file and print all errors.

    Example: shallotspindle bundle validate next.json

    :param path: JSON file with the bundle.
    :param json: Print the result as JSON.
    """
    loaded = bundle_format.load_bundle(path)
    if loaded.is_error():
        return outcomes.emit(
            outcomes.from_failures(loaded.error, ExitCode.INVALID), json
        )
    line = f"{path}: bundle {loaded.ok.version} is valid"
    data = {"path": str(path), "version": loaded.ok.version}
    return outcomes.emit(Outcome(ExitCode.DONE, (line,), data), json)


def build_comparison(before: Bundle, after: Bundle) -> Outcome:
    """Return an outcome that lists the differences between two bundles."""
    lines = rendering.render_changes(differences.compare(before, after))
    title = f"bundle {before.version} -> {after.version}: {len(lines)} changes"
    data = {"from": before.version, "to": after.version, "changes": list(lines)}
    return Outcome(ExitCode.DONE, (title, *lines), data)


@app.command
def diff(
    path: Path,
    other: Path | None = None,
    *,
    store: options.StoreUrl | None = None,
    json: options.JsonFlag = False,
) -> int:
    """Print the differences between two bundles.

    Example: shallotspindle bundle diff next.json --store http://10.0.0.9:2379

    :param path: JSON file with the bundle; with two files, the older bundle.
    :param other: JSON file with the newer bundle.
    :param store: Address of the platform's store; its accepted bundle is the older one.
    :param json: Print the result as JSON.
    """
    loaded = [bundle_format.load_bundle(item) for item in (path, other) if item]
    failures = [f for item in loaded if item.is_error() for f in item.error]
    if failures:
        return outcomes.emit(outcomes.from_failures(failures, ExitCode.INVALID), json)
    if other is not None:
        return outcomes.emit(build_comparison(loaded[0].ok, loaded[1].ok), json)
    if store is None:
        failure = SettingsFailure(
            "bundle diff", "a second bundle file or --store is required"
        )
        return outcomes.emit(outcomes.from_failures((failure,), ExitCode.INVALID), json)

    async def read(connected: Store) -> Outcome:
        accepted = await publishing.read_accepted(connected)
        if accepted.is_error():
            return outcomes.from_failures((accepted.error,))
        return build_comparison(accepted.ok.bundle, loaded[0].ok)

    return outcomes.emit(options.run_with_store(store, read), json)


@app.command
def sign(
    path: Path, output: Path, *, signer: str, key: Path, json: options.JsonFlag = False
) -> int:
    """Sign a bundle without publishing it.

    The output is the signed manifest, which another person can publish.

    Example: shallotspindle bundle sign next.json next.signed --signer astrid
    --key astrid.key

    :param path: JSON file with the bundle.
    :param output: File to write the manifest to; it must not exist yet.
    :param signer: Name of the signer.
    :param key: File with the signer's private key in hex.
    :param json: Print the result as JSON.
    """
    loaded = bundle_format.load_bundle(path)
    if loaded.is_error():
        return outcomes.emit(
            outcomes.from_failures(loaded.error, ExitCode.INVALID), json
        )
    private = options.read_private_key(key)
    if private.is_error():
        return outcomes.emit(
            outcomes.from_failures((private.error,), ExitCode.INVALID), json
        )
    parent = AcceptedBundle(Bundle(loaded.ok.version - 1, b""))
    proposal = publishing.propose(
        parent, loaded.ok, signer, private.ok, uuid.uuid4().hex
    )
    text = manifest_format.format_manifest(proposal.ok.manifest).decode()
    failure = write_new_file(output, text + "\n")
    if failure is not None:
        return outcomes.emit(outcomes.from_failures((failure,), ExitCode.INVALID), json)
    line = f"{output}: bundle {loaded.ok.version} is signed off by {signer}"
    data = {"path": str(output), "version": loaded.ok.version, "signer": signer}
    return outcomes.emit(Outcome(ExitCode.DONE, (line,), data), json)


async def publish_bundle(store: Store, bundle: Bundle, operator: Operator) -> Outcome:
    """Sign and publish a bundle."""
    accepted = await publishing.read_accepted(store)
    if accepted.is_error():
        return outcomes.from_failures((accepted.error,))
    proposal = publishing.propose(
        accepted.ok, bundle, operator.name, operator.key, uuid.uuid4().hex
    )
    return await publish_proposal(store, accepted.ok, proposal, operator.name)


async def publish_signed(store: Store, bundle: Bundle, path: Path) -> Outcome:
    """Publish a bundle with an existing signed manifest."""
    try:
        signed = manifest_format.parse_manifest(path.read_bytes())
    except OSError as error:
        failure = SettingsFailure(str(path), str(error))
        return outcomes.from_failures((failure,), ExitCode.INVALID)
    if signed.is_error():
        return outcomes.from_failures(signed.error, ExitCode.INVALID)
    accepted = await publishing.read_accepted(store)
    if accepted.is_error():
        return outcomes.from_failures((accepted.error,))
    proposal = publishing.propose_signed(accepted.ok, bundle, signed.ok)
    return await publish_proposal(store, accepted.ok, proposal, signed.ok.signer)


async def publish_proposal(
    store: Store,
    accepted: AcceptedBundle,
    proposal: Result[Proposal, object],
    signer: str,
) -> Outcome:
    """Publish a proposal and describe the result."""
    if proposal.is_error():
        return outcomes.from_failures((proposal.error,))
    clock = SystemClock()
    result = await changing.publish_and_record(
        store, accepted, proposal.ok, "bundle", clock
    )
    if result.is_error():
        return outcomes.from_failures((result.error,))
    change = result.ok
    line = f"bundle {change.version} is accepted, signed off by {signer}"
    data = {
        "version": change.version,
        "signer": signer,
        "changes": list(change.change_lines),
        "audit": change.audit_record,
    }
    return Outcome(ExitCode.DONE, (line, f"audit record {change.audit_record}"), data)


@app.command
def publish(
    path: Path,
    *,
    store: options.StoreUrl,
    signer: str | None = None,
    key: Path | None = None,
    manifest: Path | None = None,
    json: options.JsonFlag = False,
) -> int:
    """Publish a bundle; instances activate it within 5 s.

    Exit codes: 0 accepted, 1 failed, 2 invalid input, 3 another bundle was accepted
    first, 4 the store did not report whether the bundle was accepted.

    Example: shallotspindle bundle publish next.json --store http://10.0.0.9:2379
    --signer astrid --key astrid.key

    :param path: JSON file with the bundle.
    :param store: Address of the platform's store.
    :param signer: Name of the signer.
    :param key: File with the signer's private key in hex.
    :param manifest: Signed manifest of the bundle; replaces --signer and --key.
    :param json: Print the result as JSON.
    """
    loaded = bundle_format.load_bundle(path)
    if loaded.is_error():
        return outcomes.emit(
            outcomes.from_failures(loaded.error, ExitCode.INVALID), json
        )
    if manifest is not None:
        outcome = options.run_with_store(
            store, lambda connected: publish_signed(connected, loaded.ok, manifest)
        )
    elif signer is not None and key is not None:
        signer_options = options.Signer(signer, key)
        outcome = options.run_signed(
            store,
            signer_options,
            lambda connected, operator: publish_bundle(connected, loaded.ok, operator),
        )
    else:
        message = "either --signer and --key or --manifest is required"
        failure = SettingsFailure("bundle publish", message)
        outcome = outcomes.from_failures((failure,), ExitCode.INVALID)
    return outcomes.emit(outcome, json)


@app.command
def show(
    *, store: options.StoreUrl, full: bool = False, json: options.JsonFlag = False
) -> int:
    """Print the accepted bundle.

    Example: shallotspindle bundle show --store http://10.0.0.9:2379

    :param store: Address of the platform's store.
    :param full: Print the whole bundle in the format of a bundle file.
    :param json: Print the result as JSON.
    """

    async def read(connected: Store) -> Outcome:
        accepted = await publishing.read_accepted(connected)
        if accepted.is_error():
            return outcomes.from_failures((accepted.error,))
        return describe_accepted(accepted.ok, full)

    return outcomes.emit(options.run_with_store(store, read), json)


def describe_accepted(accepted: AcceptedBundle, full: bool) -> Outcome:
    """Return a summary of the accepted bundle, or its whole content."""
    bundle = accepted.bundle
    if accepted.manifest is None:
        return Outcome(ExitCode.DONE, ("no bundle is accepted yet",), {"version": 0})
    if full:
        model = bundle_format.describe_bundle(bundle)
        data = model.model_dump(mode="json", exclude_defaults=True)
        text = bundle_format.format_bundle(model).rstrip()
        return Outcome(ExitCode.DONE, (text,), {"bundle": data})
    data = {
        "version": bundle.version,
        "signer": accepted.manifest.signer,
        "teams": len(bundle.teams),
        "services": len(bundle.services),
        "upstreams": sum(len(s.upstreams) for s in bundle.services.values()),
        "routes": len(bundle.routes),
        "withdrawn": len(bundle.withdrawn),
    }
    lines = tuple(f"{name:<10} {value}" for name, value in data.items())
    return Outcome(ExitCode.DONE, lines, data)
