"""Connections to upstreams that end when their answer fails.

The task that waits for the answer is told at once, and the connection is closed.
"""

import asyncio

from aiohttp.client_proto import ResponseHandler

# Time for the rest of a request whose answer is whole. An upstream that does not read
# would keep the connection open without end.
FLUSH_SECONDS = 2.0


class WatchedHandler(ResponseHandler):
    """Connection that is closed at once when its answer fails.

    It remembers that it was reset: an answer without a length ends with its
    connection, and a reset must not end it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.was_reset = False

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
        super().data_received(data)
        # The parser refused the bytes and closed the connection, but a close waits for
        # the rest of the request.
        if self._exception is not None and self.transport is not None:
            self.transport.abort()
