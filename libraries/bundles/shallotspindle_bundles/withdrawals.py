"""Withdrawals of keys as statements of a named person.

The set of withdrawals only grows until a bundle carries them, so that no order of
messages brings a withdrawn key back.
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

DIGEST_BYTES = 32
# A statement is small; longer texts could fill the memory of all instances.
MAX_TEXT_LENGTH = 256


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """Statement that a key is no longer accepted; also a message between peers.

    :param digest: digest of the key, 32 bytes.
    :param person: name of the person who states it.
    :param reason: why, in the person's words.
    :param time: when it was stated, ISO 8601 in UTC; for people only.
    :param signature: Ed25519 signature over the other fields, 64 bytes.
    """

    digest: bytes
    person: str
    reason: str
    time: str
    signature: bytes = b""


def encode_signed_fields(withdrawal: Withdrawal) -> bytes:
    """Return the bytes that the signature covers; each text has its length before."""
    texts = (withdrawal.person, withdrawal.reason, withdrawal.time)
    parts = [b"shallotspindle withdrawal", withdrawal.digest]
    parts += [text.encode() for text in texts]
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)


def sign(withdrawal: Withdrawal, key: Ed25519PrivateKey) -> Withdrawal:
    """Return the statement with the signature of the key's owner."""
    return replace(withdrawal, signature=key.sign(encode_signed_fields(withdrawal)))


def verify(
    withdrawal: Withdrawal, signers: Mapping[str, Ed25519PublicKey]
) -> SignatureFailure | None:
    """Check the signature of a statement.

    :param signers: public keys of the persons who may withdraw keys, by name.
    """
    person = withdrawal.person[:MAX_TEXT_LENGTH]
    texts = (withdrawal.person, withdrawal.reason, withdrawal.time)
    if len(withdrawal.digest) != DIGEST_BYTES:
        return SignatureFailure("withdrawal", "the digest has not 32 bytes", person)
    if max(map(len, texts)) > MAX_TEXT_LENGTH:
        return SignatureFailure("withdrawal", "a text is too long", person)
    key = signers.get(withdrawal.person)
    if key is None:
        return SignatureFailure("withdrawal", "the person is not known", person)
    try:
        key.verify(withdrawal.signature, encode_signed_fields(withdrawal))
    except InvalidSignature:
        return SignatureFailure("withdrawal", "the signature does not match", person)
    return None


WithdrawalsByDigest = Mapping[bytes, Withdrawal]


def merge(
    known: WithdrawalsByDigest,
    received: Iterable[Withdrawal],
    carried_digests: frozenset[bytes],
) -> tuple[WithdrawalsByDigest, tuple[Withdrawal, ...]]:
    """Add verified statements.

    :param known: the statements at hand by digest.
    :param carried: digests that the bundle in force carries.
    :returns: the statements after the call and those that are new.
    """
    added = {
        item.digest: item
        for item in received
        if item.digest not in known and item.digest not in carried_digests
    }
    return {**known, **added}, tuple(added.values())


def drop_carried(
    known: WithdrawalsByDigest, carried_digests: frozenset[bytes]
) -> WithdrawalsByDigest:
    """Leave out the statements that the bundle in force carries."""
    return {
        digest: item for digest, item in known.items() if digest not in carried_digests
    }


def summarize(known: Iterable[bytes]) -> bytes:
    """Return a digest of a set of withdrawn keys, 16 bytes; equal for equal sets."""
    return hashlib.sha256(b"".join(sorted(known))).digest()[:16]
