"""Digests of API keys.

A key is never stored or logged. The fleet keeps its HMAC-SHA256 with the salt of the
bundle instead.
"""

import hmac


def digest_key(salt: bytes, key: str) -> bytes:
    """Return the digest of a key.

    :param salt: salt of the bundle.
    :param key: the key as the caller sends it.
    :returns: 32 bytes.
    """
    return hmac.digest(salt, key.encode(), "sha256")
