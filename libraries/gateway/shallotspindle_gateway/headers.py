"""Which headers travel to upstreams and back.

A caller's key never reaches an upstream; the team, the deadline and the target are set
here whatever the caller sent. Hop-by-hop headers end here.
"""

from aiohttp import web
from multidict import CIMultiDict, CIMultiDictProxy

from shallotspindle_core.identifiers import TeamName, UpstreamName
from shallotspindle_entry.headers import copy_end_to_end_headers
from shallotspindle_gateway.records import HeaderNames

LARGEST_DEADLINE_MS = 3_600_000


def build_upstream_headers(
    headers: CIMultiDictProxy[str],
    names: HeaderNames,
    team: TeamName,
    upstream: UpstreamName,
    seconds: float,
) -> CIMultiDict[str]:
    """Return the headers of the request to an upstream.

    :param seconds: time that is left until the deadline.
    """
    kept = copy_end_to_end_headers(headers)
    for name in ("Authorization", "Content-Length", "Expect", names.team, names.target):
        kept.popall(name, None)
    kept[names.deadline] = str(max(1, int(seconds * 1000)))
    kept[names.target] = upstream
    if team:
        kept[names.team] = team
    return kept


def build_caller_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Return the headers of the answer to the caller."""
    kept = copy_end_to_end_headers(headers)
    kept.popall("Content-Length", None)
    return kept


def count_bytes(request: web.BaseRequest) -> int:
    """Return the size of the request's header lines, with their separators."""
    return sum(len(name) + len(value) + 4 for name, value in request.raw_headers)


def read_key(headers: CIMultiDictProxy[str], scheme: str) -> str | None:
    """Return the caller's key, or None."""
    found, _, key = headers.get("Authorization", "").partition(" ")
    if found.lower() != scheme.lower() or not key.strip():
        return None
    return key.strip()


def read_deadline(headers: CIMultiDictProxy[str], names: HeaderNames) -> float | None:
    """Return how long the caller waits, in seconds, or None if it does not say."""
    try:
        milliseconds = float(headers.get(names.deadline, ""))
    except ValueError:
        return None
    if not 0 < milliseconds <= LARGEST_DEADLINE_MS:
        return None
    return milliseconds / 1000
