"""Connections to the store and to the instance list, with limits on responses.

Whatever answers at their addresses may send without end. The clients read a response
completely before they decode it, so its size is bounded here.
"""

import asyncio
import itertools

import aiohttp

from shallotspindle_entry.response_limits import MEBIBYTE, ResponseLimits
from shallotspindle_entry.upstream_connections import (
    BoundedConnector,
    BoundedResponseHandler,
)

# A page of values has 1 MB in base64. A watch may report several large values at once;
# one that is cut off at the limit is opened again.
RESPONSE_LIMITS = ResponseLimits(max_body_bytes=16 * MEBIBYTE, max_framing_ratio=16.0)


def open_store_session() -> aiohttp.ClientSession:
    """Return a client session for the store and the instance list."""
    loop = asyncio.get_running_loop()
    connection_ids = itertools.count()

    def build_handler() -> BoundedResponseHandler:
        return BoundedResponseHandler(
            loop, RESPONSE_LIMITS, next(connection_ids), lambda handler, size: None
        )

    return aiohttp.ClientSession(
        connector=BoundedConnector(build_handler), cookie_jar=aiohttp.DummyCookieJar()
    )
