"""Commands for bundles: create, validate, compare, sign, publish, show."""

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
from shallotspindle_operations.outcomes import Exit, Outcome
from shallotspindle_operations.publishing import Accepted, Proposal
from shallotspindle_settings import bundle as bundle_form
from shallotspindle_settings import manifest as manifest_form
from shallotspindle_settings.failures import SettingsFailure

SALT_BYTES = 16

app = App(name="bundle", help="Create, check, sign off and publish bundles.")


def write_new(path: Path, text: str) -> SettingsFailure | None:
    """Write a file that does not exist yet."""
    try:
        with path.open("x") as file:
            file.write(text)
    except OSError as error:
        return SettingsFailure(str(path), str(error))
    return None


@app.command
def create(
    path: Path, *, store: options.StoreUrl | None = None, json: options.Json = False
) -> int:
    """Write a bundle file to edit.

    Without a store the file is an empty first bundle with a new salt; with one it is
    the accepted bundle under the next version.

    Example: shallotspindle bundle create next.json --store http://10.0.0.9:2379

    :param path: File to write; it must not exist.
    :param store: Address of the platform's store.
    :param json: Print the result as JSON.
    """
    if store is None:
        first = Bundle(1, secrets.token_bytes(SALT_BYTES))
        return outcomes.emit(save_bundle(path, first), json)

    async def copy(connected: Store) -> Outcome:
        accepted = await publishing.read_accepted(connected)
        if accepted.is_error():
            return outcomes.fail((accepted.error,))
        found = accepted.ok.bundle
        if not found.version:
            found = replace(found, salt=secrets.token_bytes(SALT_BYTES))
        return save_bundle(path, replace(found, version=found.version + 1))

    return outcomes.emit(options.run_with_store(store, copy), json)


def save_bundle(path: Path, bundle: Bundle) -> Outcome:
    """Write a bundle to a new file."""
    text = bundle_form.format_bundle(bundle_form.describe_bundle(bundle))
    failure = write_new(path, text)
    if failure is not None:
        return outcomes.fail((failure,), Exit.INVALID)
    line = f"{path}: bundle {bundle.version} is written"
    return Outcome(Exit.DONE, (line,), {"path": str(path), "version": bundle.version})


@app.command
def validate(path: Path, *, json: options.Json = False) -> int:
    """Check a bundle file and print all its failures.

    Example: shallotspindle bundle validate next.json

    :param path: JSON file with the bundle.
    :param json: Print the result as JSON.
    """
    loaded = bundle_form.load_bundle(path)
    if loaded.is_error():
        return outcomes.emit(outcomes.fail(loaded.error, Exit.INVALID), json)
    line = f"{path}: bundle {loaded.ok.version} is valid"
    data = {"path": str(path), "version": loaded.ok.version}
    return outcomes.emit(Outcome(Exit.DONE, (line,), data), json)


def compare(before: Bundle, after: Bundle) -> Outcome:
    """Return the differences as an outcome."""
    lines = rendering.render(differences.compare(before, after))
    title = f"bundle {before.version} -> {after.version}: {len(lines)} changes"
    data = {"from": before.version, "to": after.version, "changes": list(lines)}
    return Outcome(Exit.DONE, (title, *lines), data)


@app.command
def diff(
    path: Path,
    other: Path | None = None,
    *,
    store: options.StoreUrl | None = None,
    json: options.Json = False,
) -> int:
    """Print what changes from one bundle to another.

    Example: shallotspindle bundle diff next.json --store http://10.0.0.9:2379

    :param path: JSON file with the bundle; the older one if two files are given.
    :param other: JSON file with the newer bundle.
    :param store: Address of the store whose accepted bundle is the older one.
    :param json: Print the result as JSON.
    """
    loaded = [bundle_form.load_bundle(item) for item in (path, other) if item]
    failures = [f for item in loaded if item.is_error() for f in item.error]
    if failures:
        return outcomes.emit(outcomes.fail(failures, Exit.INVALID), json)
    if other is not None:
        return outcomes.emit(compare(loaded[0].ok, loaded[1].ok), json)
    if store is None:
        failure = SettingsFailure("bundle diff", "give a second file or a store")
        return outcomes.emit(outcomes.fail((failure,), Exit.INVALID), json)

    async def read(connected: Store) -> Outcome:
        accepted = await publishing.read_accepted(connected)
        if accepted.is_error():
            return outcomes.fail((accepted.error,))
        return compare(accepted.ok.bundle, loaded[0].ok)

    return outcomes.emit(options.run_with_store(store, read), json)


@app.command
def sign(
    path: Path, output: Path, *, signer: str, key: Path, json: options.Json = False
) -> int:
    """Sign a bundle off without publishing it.

    The output is the signed manifest; somebody else can publish it.

    Example: shallotspindle bundle sign next.json next.signed --signer astrid
    --key astrid.key

    :param path: JSON file with the bundle.
    :param output: File to write the manifest to; it must not exist.
    :param signer: Name of the person who signs.
    :param key: File with the person's private key in hex.
    :param json: Print the result as JSON.
    """
    loaded = bundle_form.load_bundle(path)
    if loaded.is_error():
        return outcomes.emit(outcomes.fail(loaded.error, Exit.INVALID), json)
    private = options.read_key(key)
    if private.is_error():
        return outcomes.emit(outcomes.fail((private.error,), Exit.INVALID), json)
    parent = Accepted(Bundle(loaded.ok.version - 1, b""))
    proposal = publishing.propose(
        parent, loaded.ok, signer, private.ok, uuid.uuid4().hex
    )
    text = manifest_form.format_manifest(proposal.ok.manifest).decode()
    failure = write_new(output, text + "\n")
    if failure is not None:
        return outcomes.emit(outcomes.fail((failure,), Exit.INVALID), json)
    line = f"{output}: bundle {loaded.ok.version} is signed off by {signer}"
    data = {"path": str(output), "version": loaded.ok.version, "signer": signer}
    return outcomes.emit(Outcome(Exit.DONE, (line,), data), json)


async def publish_bundle(store: Store, bundle: Bundle, operator: Operator) -> Outcome:
    """Sign a bundle and make it the accepted one."""
    accepted = await publishing.read_accepted(store)
    if accepted.is_error():
        return outcomes.fail((accepted.error,))
    proposal = publishing.propose(
        accepted.ok, bundle, operator.name, operator.key, uuid.uuid4().hex
    )
    return await accept(store, accepted.ok, proposal, operator.name)


async def publish_signed(store: Store, bundle: Bundle, path: Path) -> Outcome:
    """Make a bundle the accepted one under a manifest that was signed before."""
    try:
        signed = manifest_form.parse_manifest(path.read_bytes())
    except OSError as error:
        failure = SettingsFailure(str(path), str(error))
        return outcomes.fail((failure,), Exit.INVALID)
    if signed.is_error():
        return outcomes.fail(signed.error, Exit.INVALID)
    accepted = await publishing.read_accepted(store)
    if accepted.is_error():
        return outcomes.fail((accepted.error,))
    proposal = publishing.propose_signed(accepted.ok, bundle, signed.ok)
    return await accept(store, accepted.ok, proposal, signed.ok.signer)


async def accept(
    store: Store, accepted: Accepted, proposal: Result[Proposal, object], signer: str
) -> Outcome:
    """Publish a proposal and describe the result."""
    if proposal.is_error():
        return outcomes.fail((proposal.error,))
    clock = SystemClock()
    done = await changing.accept(store, accepted, proposal.ok, "bundle", clock)
    if done.is_error():
        return outcomes.fail((done.error,))
    found = done.ok
    line = f"bundle {found.version} is accepted, signed off by {signer}"
    data = {
        "version": found.version,
        "signer": signer,
        "changes": list(found.lines),
        "audit": found.record,
    }
    return Outcome(Exit.DONE, (line, f"audit record {found.record}"), data)


@app.command
def publish(
    path: Path,
    *,
    store: options.StoreUrl,
    signer: str | None = None,
    key: Path | None = None,
    manifest: Path | None = None,
    json: options.Json = False,
) -> int:
    """Make a bundle the accepted one; instances put it in force within 5 s.

    Exit codes: 0 accepted, 1 failed, 2 invalid input, 3 another bundle was accepted
    first, 4 the store does not tell whether it was accepted.

    Example: shallotspindle bundle publish next.json --store http://10.0.0.9:2379
    --signer astrid --key astrid.key

    :param path: JSON file with the bundle.
    :param store: Address of the platform's store.
    :param signer: Name of the person who signs.
    :param key: File with the person's private key in hex.
    :param manifest: Signed manifest of the bundle, instead of a signer and a key.
    :param json: Print the result as JSON.
    """
    loaded = bundle_form.load_bundle(path)
    if loaded.is_error():
        return outcomes.emit(outcomes.fail(loaded.error, Exit.INVALID), json)
    if manifest is not None:
        outcome = options.run_with_store(
            store, lambda found: publish_signed(found, loaded.ok, manifest)
        )
    elif signer is not None and key is not None:
        person = options.Signer(signer, key)
        outcome = options.run_signed(
            store,
            person,
            lambda found, operator: publish_bundle(found, loaded.ok, operator),
        )
    else:
        message = "give a signer and a key, or a signed manifest"
        failure = SettingsFailure("bundle publish", message)
        outcome = outcomes.fail((failure,), Exit.INVALID)
    return outcomes.emit(outcome, json)


@app.command
def show(
    *, store: options.StoreUrl, full: bool = False, json: options.Json = False
) -> int:
    """Print the accepted bundle.

    Example: shallotspindle bundle show --store http://10.0.0.9:2379

    :param store: Address of the platform's store.
    :param full: Print the whole bundle in the form of a file.
    :param json: Print the result as JSON.
    """

    async def read(connected: Store) -> Outcome:
        accepted = await publishing.read_accepted(connected)
        if accepted.is_error():
            return outcomes.fail((accepted.error,))
        return describe_accepted(accepted.ok, full)

    return outcomes.emit(options.run_with_store(store, read), json)


def describe_accepted(accepted: Accepted, full: bool) -> Outcome:
    """Return a summary or the file form of the accepted bundle."""
    found = accepted.bundle
    if accepted.manifest is None:
        return Outcome(Exit.DONE, ("no bundle is accepted yet",), {"version": 0})
    if full:
        model = bundle_form.describe_bundle(found)
        data = model.model_dump(mode="json", exclude_defaults=True)
        text = bundle_form.format_bundle(model).rstrip()
        return Outcome(Exit.DONE, (text,), {"bundle": data})
    data = {
        "version": found.version,
        "signer": accepted.manifest.signer,
        "teams": len(found.teams),
        "services": len(found.services),
        "upstreams": sum(len(s.upstreams) for s in found.services.values()),
        "routes": len(found.routes),
        "withdrawn": len(found.withdrawn),
    }
    lines = tuple(f"{name:<10} {value}" for name, value in data.items())
    return Outcome(Exit.DONE, lines, data)
