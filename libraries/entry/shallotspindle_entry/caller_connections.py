"""Connections of callers: header timeouts, and responses to malformed requests.

A caller that begins a request and does not finish its headers would occupy a connection
indefinitely. It gets status 408, which states that the request was not run.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from absl import logging
from aiohttp import web, web_protocol

REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
ErrorResponseBuilder = Callable[[bool], web.StreamResponse]
# Time during which the unread rest of a refused body is read and discarded.
LINGERING_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on a connection of a caller.

    :param header_timeout_seconds: longest time from the first byte of a request to the
        end of its headers.
    :param max_header_line_bytes: limit on one header line.
    :param idle_timeout_seconds: time after a response until an idle connection is
        closed.
    :param read_buffer_bytes: size of the part of a body that is read before its handler
        asks for it.
    :param first_request_timeout_seconds: longest time from the start of the connection
        to the end of the headers of its first request; None for no limit.
    """

    header_timeout_seconds: float
    max_header_line_bytes: int
    idle_timeout_seconds: float
    read_buffer_bytes: int = 256 * 1024
    first_request_timeout_seconds: float | None = None


class CallerConnection(web_protocol.RequestHandler):
    """One connection of a caller.

    :param header_timeout_seconds: see :class:`ConnectionLimits`.
    :param first_request_timeout_seconds: see :class:`ConnectionLimits`.
    :param build_error_response: returns the response to a request that no handler
        served; its argument tells whether the request was malformed.
    """

    def __init__(
        self,
        server: web.Server,
        *,
        header_timeout_seconds: float,
        first_request_timeout_seconds: float | None = None,
        build_error_response: ErrorResponseBuilder,
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._header_timeout_seconds = header_timeout_seconds
        self._build_error_response = build_error_response
        self._header_timer: asyncio.TimerHandle | None = None
        self._first_request_timer: asyncio.TimerHandle | None = None
        if first_request_timeout_seconds is not None:
            self._first_request_timer = self._start_timer(first_request_timeout_seconds)

    @property
    def is_idle(self) -> bool:
        """Whether no request is arriving or running and every response was sent."""
        awaits_request = self._waiter is not None and not self._messages
        if not awaits_request or self._header_timer is not None:
            return False
        return self.transport is None or not self.transport.get_write_buffer_size()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the caller; the first bytes of a request start its timer."""
        awaits_request = self._waiter is not None and not self._messages
        super().data_received(data)
        if self._messages:
            self._stop_timers()
        elif awaits_request and data and self._header_timer is None:
            self._header_timer = self._start_timer(self._header_timeout_seconds)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timers of a closed connection."""
        self._stop_timers()
        super().connection_lost(exc)

    def _start_timer(self, seconds: float) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(seconds, self._time_out)

    def _stop_timers(self) -> None:
        for timer in (self._header_timer, self._first_request_timer):
            if timer is not None:
                timer.cancel()
        self._header_timer = self._first_request_timer = None

    def close_partial_request(self) -> None:
        """Send 408 and close the connection if request headers are incomplete."""
        if self._header_timer is not None:
            self._time_out()

    def _time_out(self) -> None:
        self._stop_timers()
        if self.transport is not None:
            logging.info("closed a connection: request headers did not arrive in time")
            self.transport.write(REQUEST_TIMEOUT_RESPONSE)
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that no handler served.

        The parser's message is neither sent nor logged, since it quotes headers.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("cannot send an error: the response has started")
        is_malformed = 400 <= status < 500
        if not is_malformed:
            logging.error("request handler failed: %r", exc)
        response = self._build_error_response(is_malformed)
        response.force_close()
        return response


def create_connection(
    server: web.Server,
    limits: ConnectionLimits,
    build_error_response: ErrorResponseBuilder,
) -> CallerConnection:
    """Return the protocol of a new connection on the running loop."""
    return CallerConnection(
        server,
        header_timeout_seconds=limits.header_timeout_seconds,
        first_request_timeout_seconds=limits.first_request_timeout_seconds,
        build_error_response=build_error_response,
        loop=asyncio.get_running_loop(),
        access_log=None,
        keepalive_timeout=limits.idle_timeout_seconds,
        lingering_time=LINGERING_SECONDS,
        max_line_size=limits.max_header_line_bytes,
        max_field_size=limits.max_header_line_bytes,
        read_bufsize=limits.read_buffer_bytes,
        auto_decompress=False,
    )
