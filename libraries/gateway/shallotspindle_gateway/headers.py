"""Headers of requests to upstreams and of responses to callers.

The caller's key is never forwarded. The team, the deadline and the target are always
set here and replace what the caller sent. Hop-by-hop headers are removed.
"""

from aiohttp import web
from multidict import CIMultiDict, CIMultiDictProxy

from shallotspindle_core.identifiers import TeamName, UpstreamName
from shallotspindle_entry.headers import copy_end_to_end_headers
from shallotspindle_gateway.records import HeaderNames

MAX_TIMEOUT_MS = 3_600_000


def build_upstream_headers(
    headers: CIMultiDictProxy[str],
    header_names: HeaderNames,
    team: TeamName,
    upstream: UpstreamName,
    remaining_seconds: float,
) -> CIMultiDict[str]:
    """Return the headers of the request to an upstream.

    :param remaining_seconds: time until the deadline of the request.
    """
    copied = copy_end_to_end_headers(headers)
    for name in (
        "Authorization",
        "Content-Length",
        "Expect",
        header_names.team,
        header_names.target,
    ):
        copied.popall(name, None)
    copied[header_names.deadline] = str(max(1, int(remaining_seconds * 1000)))
    copied[header_names.target] = upstream
    if team:
        copied[header_names.team] = team
    return copied


def build_caller_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Return the headers of the response to the caller."""
    copied = copy_end_to_end_headers(headers)
    copied.popall("Content-Length", None)
    return copied


def count_header_bytes(request: web.BaseRequest) -> int:
    """Return the size of the request's header lines in bytes, with their separators."""
    return sum(len(name) + len(value) + 4 for name, value in request.raw_headers)


def read_api_key(headers: CIMultiDictProxy[str], scheme: str) -> str | None:
    """Return the caller's API key, or None if there is none under the scheme."""
    found_scheme, _, key = headers.get("Authorization", "").partition(" ")
    if found_scheme.lower() != scheme.lower() or not key.strip():
        return None
    return key.strip()


def read_timeout(
    headers: CIMultiDictProxy[str], header_names: HeaderNames
) -> float | None:
    """Return how long the caller waits, in seconds, or None if it does not say."""
    try:
        milliseconds = float(headers.get(header_names.deadline, ""))
    except ValueError:
        return None
    if not 0 < milliseconds <= MAX_TIMEOUT_MS:
        return None
    return milliseconds / 1000
