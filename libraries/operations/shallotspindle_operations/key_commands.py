"""Commands that issue and withdraw the keys of callers."""

import secrets
from pathlib import Path
from typing import Any

from cyclopts import App
from expression import Error, Ok, Result

from shallotspindle_bundles import withdrawals
from shallotspindle_bundles.records import Bundle
from shallotspindle_bundles.withdrawals import Withdrawal
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import KEY_DIGEST_BYTES
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
from shallotspindle_operations.instances import InstanceFailure, WithdrawalResponse
from shallotspindle_operations.outcomes import ExitCode, Outcome
from shallotspindle_settings import bundle as bundle_format
from shallotspindle_settings.failures import SettingsFailure
from shallotspindle_settings.withdrawal import format_withdrawal

KEY_BYTES = 32

app = App(name="key", help="Issue and withdraw the keys of callers.")


@app.command
def give(
    team: str,
    *,
    store: options.StoreUrl,
    signer: options.Signer,
    json: options.JsonFlag = False,
) -> int:
    """Issue a new key for a team and print it; it cannot be shown again.

    The team's other keys stay valid, so that callers can switch to the new key before
    the old one is withdrawn.

    Example: shallotspindle key give museum --store http://10.0.0.9:2379
    --signer astrid --key astrid.key

    :param team: Name of the team.
    :param store: Address of the platform's store.
    :param json: Print the result as JSON.
    """
    secret = secrets.token_urlsafe(KEY_BYTES)

    def edit(bundle: Bundle) -> Result[Bundle, Failures]:
        digest = digests.digest_key(bundle.salt, secret)
        return editing.add_key(bundle, team, digest)

    async def run(connected: Store, operator: Operator) -> Outcome:
        result = await changing.publish_edit(connected, operator, "key given", edit)
        if result.is_error():
            return add_key_if_uncertain(
                outcomes.from_failures(result.error), result.error[0], secret
            )
        lines = (
            f"bundle {result.ok.version} is accepted, "
            f"audit record {result.ok.audit_record}",
            f"key of {team}: {secret}",
        )
        data = {
            "version": result.ok.version,
            "audit": result.ok.audit_record,
            "key": secret,
        }
        return Outcome(ExitCode.DONE, lines, {"team": team, **data})

    return outcomes.emit(options.run_signed(store, signer, run), json)


def add_key_if_uncertain(outcome: Outcome, failure: Failure, secret: str) -> Outcome:
    """Add the key to the output if the bundle may have been accepted.

    Without it nobody would know a key that may be valid.
    """
    if not isinstance(failure, OutcomeUnknown | AuditFailure):
        return outcome
    line = f"the key, which works if the bundle is accepted: {secret}"
    data = {**outcome.data, "key": secret}
    return Outcome(outcome.exit_code, (*outcome.lines, line), data)


def load_digest(
    digest: str | None, secret: Path | None, bundle: Path | None
) -> Result[bytes, tuple[Failure, ...]]:
    """Return the digest of the key to withdraw.

    :param secret: file with the key itself.
    :param bundle: bundle file with the salt of the digest; required with ``secret``.
    """
    if digest is not None:
        try:
            digest_bytes = bytes.fromhex(digest)
        except ValueError:
            digest_bytes = b""
        if len(digest_bytes) == KEY_DIGEST_BYTES:
            return Ok(digest_bytes)
        message = f"the digest must be {KEY_DIGEST_BYTES} bytes in hex"
        return Error((SettingsFailure("--digest", message),))
    if secret is None or bundle is None:
        message = "either --digest or --secret and --bundle are required"
        return Error((SettingsFailure("key withdraw", message),))
    try:
        text = secret.read_text().strip()
    except OSError as error:
        return Error((SettingsFailure(str(secret), str(error)),))
    loaded = bundle_format.load_bundle(bundle)
    return loaded.map(
        lambda loaded_bundle: digests.digest_key(loaded_bundle.salt, text)
    )


async def send_withdrawal(
    addresses: tuple[str, ...], withdrawal: Withdrawal
) -> tuple[list[str], list[str]]:
    """Send a withdrawal to instances.

    Only a response that names the key proves that an instance accepted it.

    :returns: the addresses of the instances that accepted it, and the failures.
    """
    data = format_withdrawal(withdrawal)
    responses = await instances.call_instances(addresses, "POST", "/withdrawals", data)
    checked = [
        (address, check_withdrawal_response(address, response, withdrawal))
        for address, response in responses
    ]
    accepted_by = [address for address, item in checked if item.is_ok()]
    failed = [str(item.error) for _, item in checked if item.is_error()]
    return accepted_by, failed


def check_withdrawal_response(
    address: str, response: Result[Any, Failure], withdrawal: Withdrawal
) -> Result[WithdrawalResponse, Failure]:
    """Return the response of an instance if it names the key of the withdrawal."""
    checked = instances.parse_response(WithdrawalResponse, address, response)
    if checked.is_ok() and checked.ok.withdrawn != withdrawal.digest.hex():
        named = checked.ok.withdrawn
        return Error(InstanceFailure(address, "the response is to another key", named))
    return checked


async def publish_withdrawal(
    store: Store,
    operator: Operator,
    withdrawal: Withdrawal,
    addresses: tuple[str, ...],
) -> Outcome:
    """Send a withdrawal to instances, then publish a bundle that contains it.

    During a store outage the withdrawal is effective once one instance accepted it.
    """
    accepted_by, failed = await send_withdrawal(addresses, withdrawal)
    result = await changing.publish_edit(
        store,
        operator,
        f"key withdrawn: {withdrawal.reason}",
        lambda bundle: editing.withdraw_key(bundle, withdrawal.digest),
    )
    lines = (
        *(f"taken by the instance {address}" for address in accepted_by),
        *(f"not taken: {failure}" for failure in failed),
    )
    data = {"taken": accepted_by, "failures": failed}
    if result.is_ok():
        outcome = outcomes.describe_change(result.ok)
        return Outcome(
            ExitCode.DONE, (*lines, *outcome.lines), {**data, **outcome.data}
        )
    outcome = outcomes.from_failures(result.error)
    if accepted_by and outcome.exit_code in {ExitCode.FAILED, ExitCode.UNKNOWN}:
        explanation = (
            "the key is withdrawn; no bundle carries it yet:",
            *outcome.lines,
        )
        return Outcome(ExitCode.DONE, (*lines, *explanation), {**data, "version": None})
    return Outcome(
        outcome.exit_code, (*lines, *outcome.lines), {**data, **outcome.data}
    )


@app.command
def withdraw(
    *,
    store: options.StoreUrl,
    signer: options.Signer,
    reason: str,
    digest: str | None = None,
    secret: Path | None = None,
    bundle: Path | None = None,
    instance: options.InstanceAddresses = (),
    json: options.JsonFlag = False,
) -> int:
    """Withdraw a key; it stops working within 5 s.

    The named instances accept the signed withdrawal even during a store outage and
    forward it to the others. If the store is available, a new bundle contains it.

    Example: shallotspindle key withdraw --digest 5c1f... --reason "lost laptop"
    --store http://10.0.0.9:2379 --instance 10.0.0.1:9000 --signer astrid
    --key astrid.key

    :param store: Address of the platform's store.
    :param reason: Why the key is withdrawn.
    :param digest: Digest of the key in hex, as in the bundle.
    :param secret: File with the key itself; replaces --digest.
    :param bundle: Bundle file with the salt of the digest; required with --secret.
    :param instance: Administration address of an instance; may be repeated.
    :param json: Print the result as JSON.
    """
    digest_result = load_digest(digest, secret, bundle)
    if digest_result.is_error():
        return outcomes.emit(
            outcomes.from_failures(digest_result.error, ExitCode.INVALID), json
        )

    async def run(connected: Store, operator: Operator) -> Outcome:
        time = operator.clock.now().isoformat(timespec="seconds")
        unsigned = Withdrawal(digest_result.ok, operator.name, reason, time)
        withdrawal = withdrawals.sign(unsigned, operator.key)
        return await publish_withdrawal(connected, operator, withdrawal, instance)

    return outcomes.emit(options.run_signed(store, signer, run), json)
