"""Commands for callers' keys."""

import secrets
from pathlib import Path

from cyclopts import App
from expression import Error, Ok, Result

from shallotspindle_bundles import withdrawals
from shallotspindle_bundles.records import Bundle
from shallotspindle_bundles.withdrawals import Withdrawal
from shallotspindle_core.failures import Failure
from shallotspindle_environment.interface import OutcomeUnknown, Store
from shallotspindle_keys import digests
from shallotspindle_operations import (
    changing,
    editing,
    instances,
    options,
    outcomes,
)
from shallotspindle_operations.auditing import AuditFailure
from shallotspindle_operations.changing import Failures, Operator
from shallotspindle_operations.outcomes import Exit, Outcome
from shallotspindle_settings import bundle as bundle_form
from shallotspindle_settings.failures import SettingsFailure
from shallotspindle_settings.withdrawal import format_withdrawal

KEY_BYTES = 32
DIGEST_BYTES = 32

app = App(name="key", help="Give and withdraw callers' keys.")


@app.command
def give(
    team: str,
    *,
    store: options.StoreUrl,
    signer: options.Signer,
    json: options.Json = False,
) -> int:
    """Give a team a new key and print it once.

    The team's other keys keep working, so that callers can change over before the
    old key is withdrawn.

    Example: shallotspindle key give museum --store http://10.0.0.9:2379
    --signer astrid --key astrid.key

    :param team: Name of the team.
    :param store: Address of the platform's store.
    :param json: Print the result as JSON.
    """
    secret = secrets.token_urlsafe(KEY_BYTES)

    def edit(bundle: Bundle) -> Result[Bundle, Failures]:
        digest = digests.digest_key(bundle.salt, secret)
        return editing.give_key(bundle, team, digest)

    async def run(connected: Store, operator: Operator) -> Outcome:
        done = await changing.change(connected, operator, "key given", edit)
        if done.is_error():
            return describe_doubt(outcomes.fail(done.error), done.error[0], secret)
        lines = (
            f"bundle {done.ok.version} is accepted, audit record {done.ok.record}",
            f"key of {team}: {secret}",
        )
        data = {"version": done.ok.version, "audit": done.ok.record, "key": secret}
        return Outcome(Exit.DONE, lines, {"team": team, **data})

    return outcomes.emit(options.run_signed(store, signer, run), json)


def describe_doubt(outcome: Outcome, failure: Failure, secret: str) -> Outcome:
    """Add the key to an outcome after which it may work, since it is shown once."""
    if not isinstance(failure, OutcomeUnknown | AuditFailure):
        return outcome
    line = f"the key, which works if the bundle is accepted: {secret}"
    data = {**outcome.data, "key": secret}
    return Outcome(outcome.exit, (*outcome.lines, line), data)


def find_digest(
    digest: str | None, secret: Path | None, bundle: Path | None
) -> Result[bytes, tuple[Failure, ...]]:
    """Return the digest of the key to withdraw.

    :param secret: file with the key itself; the bundle file has its salt.
    """
    if digest is not None:
        try:
            found = bytes.fromhex(digest)
        except ValueError:
            found = b""
        if len(found) == DIGEST_BYTES:
            return Ok(found)
        message = f"the digest has not {DIGEST_BYTES} bytes in hex"
        return Error((SettingsFailure("--digest", message),))
    if secret is None or bundle is None:
        message = "give a digest, or a file with the key and a bundle file"
        return Error((SettingsFailure("key withdraw", message),))
    try:
        text = secret.read_text().strip()
    except OSError as error:
        return Error((SettingsFailure(str(secret), str(error)),))
    loaded = bundle_form.load_bundle(bundle)
    return loaded.map(lambda found: digests.digest_key(found.salt, text))


async def hand_over(
    addresses: tuple[str, ...], statement: Withdrawal
) -> tuple[list[str], list[str]]:
    """Hand a statement to instances; return who took it and what failed."""
    data = format_withdrawal(statement)
    answers = await instances.call_all(addresses, "POST", "/withdrawals", data)
    taken = [address for address, item in answers if item.is_ok()]
    failed = [str(item.error) for _, item in answers if item.is_error()]
    return taken, failed


async def withdraw_everywhere(
    store: Store,
    operator: Operator,
    statement: Withdrawal,
    addresses: tuple[str, ...],
) -> Outcome:
    """Hand a withdrawal to instances, then publish a bundle that carries it.

    With the store away it is in force as soon as one instance took it.
    """
    taken, failed = await hand_over(addresses, statement)
    done = await changing.change(
        store,
        operator,
        f"key withdrawn: {statement.reason}",
        lambda bundle: editing.withdraw_key(bundle, statement.digest),
    )
    lines = (
        *(f"taken by the instance {address}" for address in taken),
        *(f"not taken: {failure}" for failure in failed),
    )
    data = {"taken": taken, "failures": failed}
    if done.is_ok():
        outcome = outcomes.describe_change(done.ok)
        return Outcome(Exit.DONE, (*lines, *outcome.lines), {**data, **outcome.data})
    outcome = outcomes.fail(done.error)
    if taken and outcome.exit in {Exit.FAILED, Exit.UNKNOWN}:
        notes = ("the key is withdrawn; no bundle carries it yet:", *outcome.lines)
        return Outcome(Exit.DONE, (*lines, *notes), {**data, "version": None})
    return Outcome(outcome.exit, (*lines, *outcome.lines), {**data, **outcome.data})


@app.command
def withdraw(
    *,
    store: options.StoreUrl,
    signer: options.Signer,
    reason: str,
    digest: str | None = None,
    secret: Path | None = None,
    bundle: Path | None = None,
    instance: options.Instances = (),
    json: options.Json = False,
) -> int:
    """Withdraw a key; it stops working within 5 s.

    Instances take the signed statement also while the store is away and pass it on.
    With the store available, a new bundle carries it.

    Example: shallotspindle key withdraw --digest 5c1f... --reason "lost laptop"
    --store http://10.0.0.9:2379 --instance 10.0.0.1:9000 --signer astrid
    --key astrid.key

    :param store: Address of the platform's store.
    :param reason: Why the key is withdrawn.
    :param digest: Digest of the key in hex, as the bundle has it.
    :param secret: File with the key itself, instead of its digest.
    :param bundle: Bundle file with the salt of the digests, with --secret.
    :param instance: Administration address of an instance; may be repeated.
    :param json: Print the result as JSON.
    """
    found = find_digest(digest, secret, bundle)
    if found.is_error():
        return outcomes.emit(outcomes.fail(found.error, Exit.INVALID), json)

    async def run(connected: Store, operator: Operator) -> Outcome:
        time = operator.clock.now().isoformat(timespec="seconds")
        unsigned = Withdrawal(found.ok, operator.name, reason, time)
        statement = withdrawals.sign(unsigned, operator.key)
        return await withdraw_everywhere(connected, operator, statement, instance)

    return outcomes.emit(options.run_signed(store, signer, run), json)
