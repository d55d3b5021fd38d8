"""Command-line options that several commands share."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import aiohttp
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from cyclopts import Parameter
from expression import Error, Ok, Result

from shallotspindle_core.failures import Failure
from shallotspindle_environment.clock import SystemClock
from shallotspindle_environment.etcd import EtcdStore
from shallotspindle_environment.interface import Store
from shallotspindle_operations import outcomes
from shallotspindle_operations.changing import Operator
from shallotspindle_operations.outcomes import ExitCode, Outcome
from shallotspindle_settings import daemon
from shallotspindle_settings.failures import SettingsFailure

JsonFlag = Annotated[bool, Parameter(name="--json", negative="")]
StoreUrl = Annotated[str, Parameter(name="--store")]
InstanceAddresses = Annotated[
    tuple[str, ...], Parameter(name="--instance", negative="", consume_multiple=False)
]


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class Signer:
    """The person who signs.

    :param signer: Name of the signer.
    :param key: File with the signer's private key in hex.
    :param settings: Settings file of an instance. Its public keys verify the
        withdrawals that were issued during a store outage; verified ones are added to
        the bundle.
    """

    signer: str
    key: Path
    settings: Path | None = None


def read_private_key(path: Path) -> Result[Ed25519PrivateKey, SettingsFailure]:
    """Read a private key; a failure does not contain the content of the file."""
    try:
        key_bytes = bytes.fromhex(path.read_text().strip())
        return Ok(Ed25519PrivateKey.from_private_bytes(key_bytes))
    except OSError as error:
        return Error(SettingsFailure(str(path), str(error)))
    except ValueError:
        message = "the file does not contain an Ed25519 private key in hex"
        return Error(SettingsFailure(str(path), message))


def run_with_store(url: str, action: Callable[[Store], Awaitable[Outcome]]) -> Outcome:
    """Run an action with a connection to the store, which is closed afterwards."""

    async def run() -> Outcome:
        async with aiohttp.ClientSession() as session:
            return await action(EtcdStore(session, url))

    return asyncio.run(run())


def load_operator(signer: Signer) -> Result[Operator, tuple[Failure, ...]]:
    """Read the files of the person who makes a change."""
    key = read_private_key(signer.key)
    if key.is_error():
        return Error((key.error,))
    signers = {}
    if signer.settings is not None:
        loaded = daemon.load_settings(signer.settings)
        if loaded.is_error():
            return Error(loaded.error)
        signers = loaded.ok.signers
    public_keys = {
        name: Ed25519PublicKey.from_public_bytes(bytes.fromhex(text))
        for name, text in signers.items()
    }
    return Ok(Operator(signer.signer, key.ok, SystemClock(), public_keys))


def run_signed(
    url: str, signer: Signer, action: Callable[[Store, Operator], Awaitable[Outcome]]
) -> Outcome:
    """Run an action with a connection to the store on behalf of a signer."""
    operator = load_operator(signer)
    if operator.is_error():
        return outcomes.from_failures(operator.error, ExitCode.INVALID)
    return run_with_store(url, lambda store: action(store, operator.ok))
