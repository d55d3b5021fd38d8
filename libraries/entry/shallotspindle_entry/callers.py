"""Connections of callers: times for header lines, and answers to malformed requests.

A caller that begins a request and does not finish its header lines holds a connection
for nothing. It gets 408, which states that nothing ran.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from absl import logging
from aiohttp import web, web_protocol

SLOW_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
BuildProblem = Callable[[bool], web.StreamResponse]


class CallerConnection(web_protocol.RequestHandler):
    """One connection of a caller.

    :param header_seconds: longest time from the first byte of a request to the end of
        its header lines, in seconds.
    :param build_problem: returns the answer to a request that no handler served; it
        gets whether the request was malformed.
    """

    def __init__(
        self,
        server: web.Server,
        *,
        header_seconds: float,
        build_problem: BuildProblem,
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._header_seconds = header_seconds
        self._build_problem = build_problem
        self._header_timer: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is in work or arrives, and every answer has left."""
        waits = self._waiter is not None and not self._messages
        if not waits or self._header_timer is not None:
            return False
        return self.transport is None or not self.transport.get_write_buffer_size()

    def data_received(self, data: bytes) -> None:
        """Take bytes of the caller and time the header lines that they begin."""
        awaits_request = self._waiter is not None and not self._messages
        super().data_received(data)
        if self._messages:
            self._stop_header_timer()
        elif awaits_request and data and self._header_timer is None:
            self._header_timer = asyncio.get_running_loop().call_later(
                self._header_seconds, self._close_slow
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the timer of a connection that ended."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _close_slow(self) -> None:
        self._header_timer = None
        if self.transport is not None:
            logging.info("a caller did not send its header lines in time")
            self.transport.write(SLOW_ANSWER)
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that no handler served.

        The parser's message is neither sent nor logged, since it quotes headers.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has already begun")
        is_malformed = 400 <= status < 500
        if not is_malformed:
            logging.error("a request failed: %r", exc)
        response = self._build_problem(is_malformed)
        response.force_close()
        return response
