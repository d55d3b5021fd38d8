"""JSON form of a signed withdrawal, in the store and in requests to instances."""

from expression import Error, Ok, Result
from pydantic import Field, ValidationError

from shallotspindle_bundles.withdrawals import MAX_TEXT_LENGTH, Withdrawal
from shallotspindle_settings import failures
from shallotspindle_settings.bundle import Digest
from shallotspindle_settings.daemon import StrictModel

WITHDRAWAL_PREFIX = "/shallotspindle/withdrawals/"


class WithdrawalModel(StrictModel):
    """Statement that a key is no longer accepted.

    :param digest: digest of the key in hex.
    :param signature: Ed25519 signature in hex, 64 bytes.
    """

    digest: Digest
    person: str = Field(min_length=1, max_length=MAX_TEXT_LENGTH)
    reason: str = Field(max_length=MAX_TEXT_LENGTH)
    time: str = Field(max_length=MAX_TEXT_LENGTH)
    signature: str = Field(pattern=r"^[0-9a-f]{128}$")


def parse_withdrawal(
    source: str, data: bytes
) -> Result[Withdrawal, tuple[failures.SettingsFailure, ...]]:
    """Validate the JSON form of a withdrawal, without verifying its signature."""
    try:
        model = WithdrawalModel.model_validate_json(data)
    except ValidationError as error:
        text = data.decode(errors="replace")
        return Error(failures.convert_errors(source, text, error))
    return Ok(
        Withdrawal(
            bytes.fromhex(model.digest),
            model.person,
            model.reason,
            model.time,
            bytes.fromhex(model.signature),
        )
    )


def format_withdrawal(withdrawal: Withdrawal) -> bytes:
    """Return the JSON form of a withdrawal."""
    model = WithdrawalModel(
        digest=withdrawal.digest.hex(),
        person=withdrawal.person,
        reason=withdrawal.reason,
        time=withdrawal.time,
        signature=withdrawal.signature.hex(),
    )
    return model.model_dump_json().encode()
