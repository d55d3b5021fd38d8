"""Signs a bundle off and puts it into the store.

The chunks are written first; the one replacement of the manifest accepts the bundle.
"""

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from expression import Error, Ok, Result

from shallotspindle_bundles import manifests
from shallotspindle_bundles.manifests import Manifest
from shallotspindle_core.failures import Failure
from shallotspindle_platform.interface import Conflict, OutcomeUnknown, Store
from shallotspindle_settings import bundle, manifest
from shallotspindle_settings.bundle import BundleModel

CHUNK_BYTES = 500_000


def split_chunks(text: str) -> list[bytes]:
    """Cut the text of a bundle into chunks below the limit of a value."""
    data = text.encode()
    return [data[n : n + CHUNK_BYTES] for n in range(0, len(data), CHUNK_BYTES)]


async def write_chunk(store: Store, chunk: bytes) -> Failure | None:
    """Store a chunk under its digest; one that is there already is the same."""
    key = manifest.CHUNK_PREFIX + manifests.digest_chunk(chunk)
    written = await store.replace(key, chunk, 0)
    if written.is_ok() or isinstance(written.error, Conflict):
        return None
    return written.error


async def publish(
    store: Store,
    model: BundleModel,
    signer: str,
    key: Ed25519PrivateKey,
    attempt: str,
) -> Result[Manifest, Failure]:
    """Sign a bundle and make it the accepted one.

    :param attempt: random text that marks this write.
    """
    current = await store.get(manifest.MANIFEST_KEY)
    if current.is_error():
        return Error(current.error)
    chunks = split_chunks(bundle.format_bundle(model))
    for chunk in chunks:
        failure = await write_chunk(store, chunk)
        if failure is not None:
            return Error(failure)
    digests = tuple(map(manifests.digest_chunk, chunks))
    unsigned = Manifest(model.version, model.version - 1, signer, attempt, digests)
    signed = manifests.sign(unsigned, key)
    data = manifest.format_manifest(signed)
    written = await store.replace(manifest.MANIFEST_KEY, data, current.ok.revision)
    if written.is_ok():
        return Ok(signed)
    if isinstance(written.error, OutcomeUnknown):
        return await confirm(store, signed, data, written.error)
    return Error(written.error)


async def confirm(
    store: Store, signed: Manifest, data: bytes, failure: Failure
) -> Result[Manifest, Failure]:
    """Read back after a lost answer and recognise the own write."""
    found = await store.get(manifest.MANIFEST_KEY)
    if found.is_ok() and found.ok.data == data:
        return Ok(signed)
    return Error(failure)
