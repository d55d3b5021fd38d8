"""Headers that are forwarded to upstreams and back to callers.

The caller's API key never reaches an upstream, and hop-by-hop headers are removed.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from multidict import CIMultiDict

from shallotspindle_core import bounds
from shallotspindle_entry import deadlines
from shallotspindle_notices import notices
from shallotspindle_notices.notices import Notice
from shallotspindle_retries import eligibility

REQUEST_ID = "X-Request-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"
LOAD = "Upstream-Load"
DRAINING = "Upstream-Draining"
RETRY_AFTER = "Retry-After"
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
# Credentials are not forwarded; the other headers are replaced or handled here.
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

    :param caller_address: IP address of the caller.
    :param scheme: ``http`` or ``https``.
    """

    caller_address: str
    host: str
    scheme: str


def list_connection_options(headers: Mapping[str, str]) -> frozenset[str]:
    """Return the names of headers that the Connection header lists as hop-by-hop."""
    names = headers.get("Connection", "").split(",")
    return frozenset(name.strip().lower() for name in names if name.strip())


def copy_end_to_end_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers without the hop-by-hop ones."""
    hop_by_hop = HOP_BY_HOP | list_connection_options(headers)
    forwarded = ((k, v) for k, v in headers.items() if k.lower() not in hop_by_hop)
    return CIMultiDict(forwarded)


def build_upstream_headers(
    headers: Mapping[str, str],
    origin: RequestOrigin,
    request_id: str,
    remaining_seconds: float,
) -> CIMultiDict[str]:
    """Return the headers of the request to an upstream.

    :param remaining_seconds: time until the deadline.
    """
    api_key = read_bearer_key(headers)
    forwarded = copy_end_to_end_headers(headers)
    for name in REPLACED_HEADERS:
        forwarded.popall(name, None)
    if api_key:
        # A caller may have copied its API key into another header by mistake.
        leaking_names = {name for name, value in forwarded.items() if api_key in value}
        for name in leaking_names:
            forwarded.popall(name)
    forwarded["Host"] = origin.host
    forwarded["Forwarded"] = format_forwarded(origin)
    forwarded[REQUEST_ID] = request_id
    forwarded[deadlines.TIMEOUT_HEADER] = deadlines.format_timeout(remaining_seconds)
    return forwarded


def format_forwarded(origin: RequestOrigin) -> str:
    """Return the value of the Forwarded header (RFC 7239)."""
    node = (
        f"[{origin.caller_address}]"
        if ":" in origin.caller_address
        else origin.caller_address
    )
    return f'for="{node}";host="{origin.host}";proto={origin.scheme}'


def read_bearer_key(headers: Mapping[str, str]) -> str | None:
    """Return the API key of ``Authorization: Bearer KEY``, or None."""
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return key.strip()


def read_load(headers: Mapping[str, str]) -> float | None:
    """Return the load that an upstream reports in its response, or None."""
    try:
        load = float(headers.get(LOAD, ""))
    except ValueError:
        return None
    return load if 0.0 <= load <= bounds.MAX_LOAD else None


def read_notice(status: int, headers: Mapping[str, str]) -> Notice:
    """Return what a response says of its upstream."""
    leaving, retry_after = headers.get(DRAINING, ""), headers.get(RETRY_AFTER, "")
    return notices.read_notice(status, leaving, retry_after)


def says_not_run(headers: Mapping[str, str]) -> bool:
    """Return whether an upstream states that it did not run the request."""
    outcome = headers.get(eligibility.OUTCOME_HEADER, "")
    return outcome.strip().lower() == eligibility.NOT_RUN
