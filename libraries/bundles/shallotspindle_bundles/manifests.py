"""Signed manifests, each of which describes one bundle.

Replacing the manifest in the store accepts a bundle. A manifest lists the digests of
the bundle's chunks and has the signature of the person who approved the bundle. An
instance never replaces a manifest by an older one.
"""

import hashlib
from dataclasses import dataclass, replace

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from shallotspindle_core.failures import Failure


@dataclass(frozen=True, slots=True)
class SignatureFailure(Failure):
    """A signature is invalid, or its signer is unknown."""


@dataclass(frozen=True, slots=True)
class Manifest:
    """Description of an accepted bundle.

    :param version: version of the bundle.
    :param parent: version that the bundle replaces; 0 for the first one.
    :param signer: name of the person who approved the bundle.
    :param attempt: random text by which a writer recognises its own write after a
        write whose outcome it does not know.
    :param chunks: SHA-256 digests of the chunks in hex, in order.
    :param signature: Ed25519 signature over the other fields, 64 bytes.
    """

    version: int
    parent: int
    signer: str
    attempt: str
    chunks: tuple[str, ...]
    signature: bytes = b""


def encode_signed_fields(manifest: Manifest) -> bytes:
    """Return the bytes that are signed."""
    fields = (
        "shallotspindle manifest",
        str(manifest.version),
        str(manifest.parent),
        manifest.signer,
        manifest.attempt,
        *manifest.chunks,
    )
    return "\n".join(fields).encode()


def compute_chunk_digest(chunk: bytes) -> str:
    """Return the SHA-256 digest in hex, under which the chunk is stored."""
    return hashlib.sha256(chunk).hexdigest()


def sign(manifest: Manifest, key: Ed25519PrivateKey) -> Manifest:
    """Return the manifest with a signature by a private key."""
    return replace(manifest, signature=key.sign(encode_signed_fields(manifest)))


def verify(
    manifest: Manifest, signers: dict[str, Ed25519PublicKey]
) -> SignatureFailure | None:
    """Verify the signature of a manifest.

    :param signers: public keys of the persons who may sign, by name.
    :returns: the failure, or None if the signature is valid.
    """
    source = f"manifest {manifest.version}"
    key = signers.get(manifest.signer)
    if key is None:
        return SignatureFailure(source, "unknown signer", manifest.signer)
    try:
        key.verify(manifest.signature, encode_signed_fields(manifest))
    except InvalidSignature:
        return SignatureFailure(source, "the signature does not match", manifest.signer)
    return None
