"""Syntactic checks of requests before authentication and routing.

A request is refused if its target or headers are ambiguous: this instance could
authorize one interpretation while the upstream acts on another.
"""

from collections.abc import Callable
from urllib.parse import unquote

from aiohttp import web

from shallotspindle_entry import headers
from shallotspindle_entry.problems import OperationOutcome, Problem

Check = Callable[[web.Request], Problem | None]

FORBIDDEN_METHODS = frozenset({"CONNECT", "TRACE"})
DOT_SEGMENTS = frozenset({".", ".."})

BAD_METHOD = Problem(
    405, "method-not-allowed", "The method is not allowed", OperationOutcome.NOT_RUN
)
BAD_TARGET = Problem(
    400, "bad-target", "The target is ambiguous", OperationOutcome.NOT_RUN
)
BAD_HOST = Problem(
    400, "bad-host", "Exactly one Host is needed", OperationOutcome.NOT_RUN
)
BAD_FRAMING = Problem(
    400, "bad-framing", "The length of the body is ambiguous", OperationOutcome.NOT_RUN
)
KEY_IN_TARGET = Problem(
    400,
    "key-in-target",
    "A key must not be part of the target",
    OperationOutcome.NOT_RUN,
)


def check_method(request: web.Request) -> Problem | None:
    """Refuse methods that tunnel through the proxy or echo the request."""
    return BAD_METHOD if request.method in FORBIDDEN_METHODS else None


def check_target(request: web.Request) -> Problem | None:
    """Refuse absolute targets, dot segments and encoded separators."""
    path, _, _ = request.raw_path.partition("?")
    decoded = unquote(path)
    if not path.startswith("/") or "\\" in decoded or "\0" in decoded:
        return BAD_TARGET
    if "%2f" in path.lower() or "#" in path:
        return BAD_TARGET
    if DOT_SEGMENTS.intersection(decoded.split("/")):
        return BAD_TARGET
    return None


def check_host(request: web.Request) -> Problem | None:
    """Refuse a missing or repeated Host header."""
    return None if len(request.headers.getall("Host", ())) == 1 else BAD_HOST


def check_framing(request: web.Request) -> Problem | None:
    """Refuse more than one length of the body, and encodings other than chunked."""
    lengths = request.headers.getall("Content-Length", ())
    encodings = request.headers.getall("Transfer-Encoding", ())
    if len(lengths) + len(encodings) > 1:
        return BAD_FRAMING
    if encodings and encodings[0].strip().lower() != "chunked":
        return BAD_FRAMING
    return None


def check_key_location(request: web.Request) -> Problem | None:
    """Refuse an API key that is also in the target, which is sent to the upstream."""
    key = headers.read_bearer_key(request.headers)
    if key and key in unquote(request.raw_path):
        return KEY_IN_TARGET
    return None


CHECKS: tuple[Check, ...] = (
    check_method,
    check_target,
    check_host,
    check_framing,
    check_key_location,
)


def find_problem(request: web.Request) -> Problem | None:
    """Return the first problem of a request, or None."""
    return next((problem for c in CHECKS if (problem := c(request)) is not None), None)
