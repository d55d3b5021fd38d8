"""Signed withdrawals of keys that take effect before a bundle contains them.

A withdrawal is removed from an instance's set only once the bundle contains it, so that
no order of messages makes a withdrawn key valid again.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from shallotspindle_bundles.manifests import SignatureFailure
from shallotspindle_core.identifiers import KEY_DIGEST_BYTES

# Bounds the memory of withdrawals, since all instances store each one.
MAX_TEXT_LENGTH = 256


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """Statement that a key is no longer accepted; also a message between peers.

    :param digest: digest of the key, 32 bytes.
    :param person: name of the person who withdrew the key.
    :param reason: explanation as free text.
    :param time: time of the withdrawal, ISO 8601 in UTC; only for display.
    :param signature: Ed25519 signature over the other fields, 64 bytes.
    """

    digest: bytes
    person: str
    reason: str
    time: str
    signature: bytes = b""


def encode_signed_fields(withdrawal: Withdrawal) -> bytes:
    """Return the bytes that are signed: all other fields with length prefixes."""
    texts = (withdrawal.person, withdrawal.reason, withdrawal.time)
    parts = [b"shallotspindle withdrawal", withdrawal.digest]
    parts += [text.encode() for text in texts]
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)


def sign(withdrawal: Withdrawal, key: Ed25519PrivateKey) -> Withdrawal:
    """Return the withdrawal with a signature by a private key."""
    return replace(withdrawal, signature=key.sign(encode_signed_fields(withdrawal)))


def verify(
    withdrawal: Withdrawal, signers: Mapping[str, Ed25519PublicKey]
) -> SignatureFailure | None:
    """Verify the signature and the sizes of a withdrawal.

    :param signers: public keys of the persons who may withdraw keys, by name.
    """
    person = withdrawal.person[:MAX_TEXT_LENGTH]
    texts = (withdrawal.person, withdrawal.reason, withdrawal.time)
    if len(withdrawal.digest) != KEY_DIGEST_BYTES:
        return SignatureFailure(
            "withdrawal", "the key digest is not 32 bytes long", person
        )
    if max(map(len, texts)) > MAX_TEXT_LENGTH:
        return SignatureFailure("withdrawal", "a text is too long", person)
    key = signers.get(withdrawal.person)
    if key is None:
        return SignatureFailure("withdrawal", "unknown person", person)
    try:
        key.verify(withdrawal.signature, encode_signed_fields(withdrawal))
    except InvalidSignature:
        return SignatureFailure("withdrawal", "the signature does not match", person)
    return None


WithdrawalsByDigest = Mapping[bytes, Withdrawal]


def merge(
    known: WithdrawalsByDigest,
    received: Iterable[Withdrawal],
    bundled_digests: frozenset[bytes],
) -> tuple[WithdrawalsByDigest, tuple[Withdrawal, ...]]:
    """Add verified withdrawals that are neither known nor in the active bundle.

    :param known: known withdrawals by key digest.
    :param bundled_digests: digests of the withdrawn keys of the active bundle.
    :returns: all withdrawals by key digest, and the added ones.
    """
    added = {
        item.digest: item
        for item in received
        if item.digest not in known and item.digest not in bundled_digests
    }
    return {**known, **added}, tuple(added.values())


def drop_bundled(
    known: WithdrawalsByDigest, bundled_digests: frozenset[bytes]
) -> WithdrawalsByDigest:
    """Return the withdrawals that the active bundle does not contain."""
    return {
        digest: item for digest, item in known.items() if digest not in bundled_digests
    }


def summarize(key_digests: Iterable[bytes]) -> bytes:
    """Return a digest of a set of withdrawn keys, 16 bytes; equal for equal sets."""
    return hashlib.sha256(b"".join(sorted(key_digests))).digest()[:16]
