"""The operators' command."""

import asyncio
import uuid
from pathlib import Path

import aiohttp
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cyclopts import App

from shallotspindle_operations import publishing
from shallotspindle_platform.etcd import EtcdStore
from shallotspindle_settings import bundle

EXIT_FAILED = 1
EXIT_INVALID = 2

app = App(name="shallotspindle", help="Operates the proxy fleet.")


@app.command
def validate(path: Path) -> int:
    """Check a bundle file and print all its errors.

    :param path: JSON file with the bundle.
    """
    loaded = bundle.load_bundle(path)
    if loaded.is_ok():
        print(f"{path}: bundle {loaded.ok.version} is valid")
        return 0
    for failure in loaded.error:
        print(failure)
    return EXIT_INVALID


async def send(path: Path, store: str, signer: str, key: Path) -> int:
    model = bundle.BundleModel.model_validate_json(path.read_text())
    private = Ed25519PrivateKey.from_private_bytes(bytes.fromhex(key.read_text()))
    async with aiohttp.ClientSession() as session:
        result = await publishing.publish(
            EtcdStore(session, store), model, signer, private, uuid.uuid4().hex
        )
    if result.is_error():
        print(result.error)
        return EXIT_FAILED
    print(f"bundle {result.ok.version} is accepted, signed off by {signer}")
    return 0


@app.command
def publish(path: Path, *, store: str, signer: str, key: Path) -> int:
    """Sign a bundle off and roll it across the fleet.

    :param path: JSON file with the bundle.
    :param store: address of the platform's store.
    :param signer: name of the person who signs.
    :param key: file with the person's private key in hex.
    """
    status = validate(path)
    if status:
        return status
    return asyncio.run(send(path, store, signer, key))


def run() -> None:
    """Entry point of the console script."""
    app()


if __name__ == "__main__":
    run()
