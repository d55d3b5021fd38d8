"""Digests of callers' keys.

A key is never stored or logged; the fleet holds its HMAC-SHA256 under the salt of
the bundle.
"""

import hmac


def digest_key(salt: bytes, key: str) -> bytes:
    """Return the digest of a key.

    :param salt: salt of the bundle.
    :param key: the key as the caller sends it.
    :returns: 32 bytes.
    """
    return hmac.digest(salt, key.encode(), "sha256")
