"""Commands that only use local files."""

import os
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cyclopts import App

from shallotspindle_operations import options, outcomes
from shallotspindle_operations.outcomes import ExitCode, Outcome
from shallotspindle_settings import daemon
from shallotspindle_settings.failures import SettingsFailure

OWNER_ONLY_MODE = 0o600

signer_app = App(name="signer", help="Create the keys of bundle signers.")


@signer_app.command
def create(name: str, path: Path, *, json: options.JsonFlag = False) -> int:
    """Create the key pair of a person who signs bundles.

    The person keeps the file with the private key. Add the printed public key to the
    settings of every instance.

    Example: shallotspindle signer create astrid astrid.key

    :param name: Name of the person.
    :param path: File to write the private key to; it must not exist yet.
    :param json: Print the result as JSON.
    """
    key = Ed25519PrivateKey.generate()
    open_flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(path, open_flags, OWNER_ONLY_MODE), "w") as file:
            file.write(key.private_bytes_raw().hex() + "\n")
    except OSError as error:
        failure = SettingsFailure(str(path), str(error))
        return outcomes.emit(outcomes.from_failures((failure,), ExitCode.INVALID), json)
    public_key = key.public_key().public_bytes_raw().hex()
    lines = (
        f"{path}: private key of {name}",
        f'"signers": {{"{name}": "{public_key}"}}',
    )
    data = {"name": name, "path": str(path), "public_key": public_key}
    return outcomes.emit(Outcome(ExitCode.DONE, lines, data), json)


def check(path: Path, *, json: options.JsonFlag = False) -> int:
    """Check the settings file of an instance and print all errors.

    Example: shallotspindle check entry.json

    :param path: JSON file with the settings.
    :param json: Print the result as JSON.
    """
    loaded = daemon.load_settings(path)
    if loaded.is_error():
        return outcomes.emit(
            outcomes.from_failures(loaded.error, ExitCode.INVALID), json
        )
    line = f"{path}: the settings of {loaded.ok.name} are valid"
    data = {"path": str(path), "name": loaded.ok.name}
    return outcomes.emit(Outcome(ExitCode.DONE, (line,), data), json)
