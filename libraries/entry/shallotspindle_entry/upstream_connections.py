"""Connections to upstreams that end when their answer fails.

The task that waits for the answer is told at once, and the connection is closed.
"""

import asyncio
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.streams import EMPTY_PAYLOAD

# Time for the rest of a request whose answer is whole. An upstream that does not read
# would keep the connection open without end.
FLUSH_SECONDS = 2.0
HEAD_END = b"\r\n\r\n"


class WatchedHandler(ResponseHandler):
    """Connection that is closed at once when its answer fails.

    It remembers that it was reset: an answer without a length ends with its
    connection, and a reset must not end it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.was_reset = False
        self._last = b""

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer to the next request of the connection."""
        self._last = b""
        self._payload = None
        super().set_response_params(**params)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.was_reset = exc is not None
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection, at once if its answer is not whole.

        A close waits until the upstream has read the rest of the request.
        """
        if self._payload is None or not self._payload.is_eof():
            self.abort()
            return
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size():
            self._loop.call_later(FLUSH_SECONDS, transport.abort)
        super().close()

    def data_received(self, data: bytes) -> None:
        if not data:
            # Reading goes on after a pause, with what the parser kept.
            super().data_received(data)
            self._check()
            return
        while data and self.transport is not None and self._exception is None:
            size = self._find_part(data)
            super().data_received(data[:size])
            data = data[size:]
            self._check()

    def _is_in_head(self) -> bool:
        return self._payload is None or self._payload is EMPTY_PAYLOAD

    def _find_part(self, data: bytes) -> int:
        """Return how many bytes the parser gets at once.

        It forgets an answer that came whole if the bytes behind it are no answer.
        Heads are therefore handed to it on their own.
        """
        if not self._is_in_head():
            return len(data)
        # The end of a head may be spread over two parts.
        head = self._last + data
        end = head.find(HEAD_END)
        if end >= 0:
            head = head[: end + len(HEAD_END)]
        size = len(head) - len(self._last)
        self._last = b"" if end >= 0 else head[-len(HEAD_END) + 1 :]
        return size

    def _check(self) -> None:
        """End an answer whose bytes the parser refused.

        The parser tells those who wait for a head but not those who read a body, and
        it closes the connection, which waits for the rest of the request.
        """
        if self._exception is None or self.transport is None:
            return
        if self._payload is not None and not self._payload.is_eof():
            error = aiohttp.ClientPayloadError("the parser refused a body")
            set_exception(self._payload, error)
        self.transport.abort()
