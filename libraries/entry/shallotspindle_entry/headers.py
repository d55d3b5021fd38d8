"""Which headers travel to upstreams and back.

The caller's key never reaches an upstream, and hop-by-hop headers end here.
"""

from collections.abc import Mapping

from multidict import CIMultiDict

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# The credentials end at the instance; Host and Forwarded are set anew.
REPLACED = frozenset({"authorization", "host", "forwarded"})


def list_named(headers: Mapping[str, str]) -> frozenset[str]:
    """Return the headers that the Connection header names as hop-by-hop."""
    names = headers.get("Connection", "").split(",")
    return frozenset(name.strip().lower() for name in names if name.strip())


def copy_end_to_end(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers without those that end at this hop."""
    dropped = HOP_BY_HOP | list_named(headers)
    kept = ((k, v) for k, v in headers.items() if k.lower() not in dropped)
    return CIMultiDict(kept)


def build_upstream_headers(
    headers: Mapping[str, str], host: str, caller: str, request_id: str
) -> CIMultiDict[str]:
    """Return the headers of the request to an upstream.

    :param host: host that the caller asked for.
    :param caller: IP address of the caller.
    """
    kept = copy_end_to_end(headers)
    for name in REPLACED:
        kept.popall(name, None)
    kept["Host"] = host
    kept["Forwarded"] = f'for="{caller}";host="{host}";proto=http'
    kept["X-Request-Id"] = request_id
    return kept


def read_key(headers: Mapping[str, str]) -> str | None:
    """Return the key of ``Authorization: Bearer KEY``, or None."""
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return key.strip()
