"""Which headers travel to upstreams and back.

The caller's key never reaches an upstream, and hop-by-hop headers end here.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from multidict import CIMultiDict

from shallotspindle_entry import deadlines
from shallotspindle_retries import eligibility

REQUEST_ID = "X-Request-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"
LOAD = "Upstream-Load"
DRAINING = "Upstream-Draining"
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
# The credentials end at the instance; the others are set anew.
REPLACED_HEADERS = (
    "Authorization",
    "Expect",
    "Forwarded",
    "Host",
    REQUEST_ID,
    deadlines.TIMEOUT_HEADER,
)


@dataclass(frozen=True, slots=True)
class RequestOrigin:
    """Where a request comes from.

    :param caller: IP address of the caller.
    :param scheme: ``http`` or ``https``.
    """

    caller: str
    host: str
    scheme: str


def list_connection_options(headers: Mapping[str, str]) -> frozenset[str]:
    """Return the headers that the Connection header names as hop-by-hop."""
    names = headers.get("Connection", "").split(",")
    return frozenset(name.strip().lower() for name in names if name.strip())


def copy_end_to_end_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers without those that end at this hop."""
    dropped = HOP_BY_HOP | list_connection_options(headers)
    kept = ((k, v) for k, v in headers.items() if k.lower() not in dropped)
    return CIMultiDict(kept)


def build_upstream_headers(
    headers: Mapping[str, str], origin: RequestOrigin, request_id: str, seconds: float
) -> CIMultiDict[str]:
    """Return the headers of the request to an upstream.

    :param seconds: time that is left until the deadline.
    """
    key = read_bearer_key(headers)
    kept = copy_end_to_end_headers(headers)
    for name in REPLACED_HEADERS:
        kept.popall(name, None)
    if key:
        # A caller may repeat its key in another header by mistake.
        leaking = {name for name, value in kept.items() if key in value}
        for name in leaking:
            kept.popall(name)
    kept["Host"] = origin.host
    kept["Forwarded"] = format_forwarded(origin)
    kept[REQUEST_ID] = request_id
    kept[deadlines.TIMEOUT_HEADER] = deadlines.format_timeout(seconds)
    return kept


def format_forwarded(origin: RequestOrigin) -> str:
    """Return the value of the header Forwarded (RFC 7239)."""
    caller = f"[{origin.caller}]" if ":" in origin.caller else origin.caller
    return f'for="{caller}";host="{origin.host}";proto={origin.scheme}'


def read_bearer_key(headers: Mapping[str, str]) -> str | None:
    """Return the key of ``Authorization: Bearer KEY``, or None."""
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return key.strip()


def read_load(headers: Mapping[str, str]) -> float | None:
    """Return the load that an upstream reports in its answer."""
    try:
        return max(0.0, float(headers.get(LOAD, "")))
    except ValueError:
        return None


def is_draining(headers: Mapping[str, str]) -> bool:
    """Return whether an upstream says in its answer that it leaves."""
    return headers.get(DRAINING, "").strip().lower() == "true"


def says_not_run(headers: Mapping[str, str]) -> bool:
    """Return whether an upstream states that it did not run the request."""
    stated = headers.get(eligibility.OUTCOME_HEADER, "")
    return stated.strip().lower() == eligibility.NOT_RUN
