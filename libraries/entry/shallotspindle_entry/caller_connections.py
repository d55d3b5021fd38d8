"""Connections of callers: header timeouts, pipelines, and malformed requests.

A caller that begins a request and does not finish its headers would occupy a connection
indefinitely. It gets status 408, which states that the request was not run. What each
connection received is counted (``caller_account``), so that the process can limit the
memory that it holds for all callers.

A caller may send requests before the responses to earlier ones. The bytes of a request
are held until the request before it has its response, so that a malformed request costs
no other one its response, and requests behind a response that closes the connection
count as not read.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from absl import logging
from aiohttp import hdrs, web, web_protocol
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

from shallotspindle_entry.caller_account import (
    LOG_INTERVAL_SECONDS,
    CallerAccount,
    CallerLimit,
    EndRequest,
    Holding,
)
from shallotspindle_entry.caller_memory import RequestStage
from shallotspindle_entry.request_splitting import RequestSplitter

REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
HEAD_TOO_LONG_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
NO_MEMORY_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
ErrorResponseBuilder = Callable[[bool], web.StreamResponse]
# Time during which the unread rest of a refused body, or what follows the last request
# of a connection, is read and discarded.
LINGERING_SECONDS = 2.0
# Requests of a pipeline that are read before their turn. Reading pauses above this.
READ_AHEAD_BYTES = 64 * 1024
# Chunk size lines, extensions and trailers of a body may have the length of the body
# and this. It includes what is received at once before the parser reads it.
FRAMING_ALLOWANCE_BYTES = 512 * 1024
# A head that is rejected for one long line has at most this size.
DEFAULT_HEAD_BYTES = 256 * 1024


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
    :param max_head_bytes: limit on an incomplete head and the blank lines before it.
    """

    header_timeout_seconds: float
    max_header_line_bytes: int
    idle_timeout_seconds: float
    read_buffer_bytes: int = 256 * 1024
    first_request_timeout_seconds: float | None = None
    max_head_bytes: int = DEFAULT_HEAD_BYTES


class CallerConnection(web_protocol.RequestHandler):
    """One connection of a caller.

    :param account: counts what the process holds for its callers.
    :param max_head_bytes: see :class:`ConnectionLimits`.
    :param header_timeout_seconds: see :class:`ConnectionLimits`.
    :param first_request_timeout_seconds: see :class:`ConnectionLimits`.
    :param build_error_response: returns the response to a request that no handler
        served; its argument tells whether the request was malformed.
    """

    def __init__(
        self,
        server: web.Server,
        *,
        account: CallerAccount | None,
        max_head_bytes: int,
        header_timeout_seconds: float,
        first_request_timeout_seconds: float | None = None,
        build_error_response: ErrorResponseBuilder,
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._account = account
        self.holding: Holding | None = (
            None if account is None else account.open(self._close_to_yield)
        )
        self._max_head_bytes = max_head_bytes
        self._head_bytes = 0
        # Bytes received since the head of the newest request was complete.
        self._message_bytes = 0
        # Body of the newest request, also after it was received whole.
        self._newest_body: StreamReader | None = None
        self._header_timeout_seconds = header_timeout_seconds
        self._build_error_response = build_error_response
        self._splitter = RequestSplitter()
        # The same body, but only until it was received whole.
        self._payload: StreamReader | None = None
        self._is_answered = True
        self._is_malformed = False
        self._is_read_ahead_full = False
        self._end_of_caller: asyncio.Future[None] | None = None
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

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection at once if there is no room for it."""
        super().connection_made(transport)
        if self._account is not None and self.holding is None:
            self.force_close()

    @property
    def has_next_request(self) -> bool:
        """Whether another request has arrived behind the current one."""
        return bool(self._messages) or self._splitter.held_bytes > 0

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the caller; the first bytes of a request start its timer."""
        awaits_request = self._waiter is not None and not self._messages
        if self._is_malformed or self._end_of_caller is not None:
            return
        if not data:
            # Reading resumes after a pause, with the bytes that the parser kept.
            self._feed_parser(data)
        self._splitter.add(data)
        self._parse()
        if not self._is_answered:
            self._stop_timers()
        elif awaits_request and data and self._header_timer is None:
            self._header_timer = self._start_timer(self._header_timeout_seconds)
        if data and self.holding is not None:
            self._count(len(data))

    def pause_reading(self) -> None:
        """Stop reading; a caller that cannot send does not count as stalled."""
        if self.holding is not None:
            self.holding.pause()
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read again."""
        if self.holding is not None:
            self.holding.resume()
        super().resume_reading(resume_parser)

    @property
    def _is_in_body(self) -> bool:
        return self._newest_body is not None and not self._newest_body.is_eof()

    def _count(self, size: int) -> None:
        """Count received bytes, and close the connection if a limit is exceeded."""
        if self._is_answered and self._payload is None:
            self._head_bytes += size
            self.holding.begin_head()
        self._message_bytes += size
        self.holding.receive(size)
        if self._head_bytes > self._max_head_bytes:
            self._refuse_head()
        elif self._is_in_body:
            self._check_framing()

    def _refuse_head(self) -> None:
        """Reject a head that exceeds its limit."""
        self._account.count(CallerLimit.HEAD)
        if self._waiter is None:
            # Requests before this one still get their responses.
            self.close()
        else:
            self._close_with(HEAD_TOO_LONG_RESPONSE)

    def _check_framing(self) -> None:
        """Close the connection if the framing of a body exceeds its limit."""
        body_bytes = self._newest_body.total_bytes
        framing_bytes = self._message_bytes - body_bytes
        if framing_bytes > FRAMING_ALLOWANCE_BYTES + body_bytes:
            self._account.count(CallerLimit.FRAMING)
            self.force_close()

    def _close_to_yield(self) -> None:
        """Close the connection, on which no request is served, to free its memory."""
        if self.holding is not None and self.holding.usage.stage is RequestStage.HEAD:
            self._close_with(NO_MEMORY_RESPONSE)
        else:
            self.force_close()

    def _close_with(self, response: bytes) -> None:
        self._stop_timers()
        if self.transport is not None:
            self.transport.write(response)
            self.force_close()

    def _parse(self) -> None:
        """Pass held bytes to the parser, up to the end of the request in progress."""
        while not self._reading_paused and not self._is_malformed:
            if self._payload is None and not self._is_answered:
                break
            part = self._splitter.take()
            if not part:
                break
            self._feed_parser(part)
        self._limit_read_ahead()

    def _limit_read_ahead(self) -> None:
        """Pause reading while many bytes are held; a body pauses it independently."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._splitter.held_bytes > READ_AHEAD_BYTES:
            self._is_read_ahead_full = True
            self.transport.pause_reading()
        elif self._is_read_ahead_full:
            self._is_read_ahead_full = False
            if not self._reading_paused:
                self.transport.resume_reading()

    def _feed_parser(self, part: bytes) -> None:
        """Pass a part to the parser that contains the end of one request at most."""
        message_count = len(self._messages)
        super().data_received(part)
        if len(self._messages) > message_count:
            self._begin_message(*self._messages[-1])
        if self._payload is not None and self._payload.is_eof():
            self._payload = None
            self._splitter.end_body()

    def _begin_message(self, message: Any, payload: StreamReader) -> None:
        if not isinstance(message, RawRequestMessage):
            self._is_malformed = True
            self._splitter.clear()
            if self._payload is not None and not self._payload.is_eof():
                # The body is malformed: its request gets the response that says so.
                self._messages.pop()
                self._payload.set_exception(web.RequestPayloadError("malformed body"))
                return
        self._is_answered = False
        if isinstance(message, RawRequestMessage):
            self._payload = self._newest_body = payload
            self._head_bytes = self._message_bytes = 0
            if self.holding is not None:
                self.holding.begin_body()
            length = int(message.headers.get(hdrs.CONTENT_LENGTH, 0))
            self._splitter.begin_body(None if message.chunked else length)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, then parse the request behind it unless it closes."""
        if self._is_malformed:
            resp.force_close()
        resp, was_reset = await super().finish_response(request, resp, start_time)
        self._is_answered = True
        if was_reset or not resp.keep_alive:
            if self._splitter.held_bytes or self._is_malformed:
                await self._discard_input()
            return resp, was_reset
        self._parse()
        if self._is_answered and self._splitter.is_in_head:
            self._header_timer = self._start_timer(self._header_timeout_seconds)
        return resp, was_reset

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timers of a closed connection and drop what it sent."""
        self._stop_timers()
        self._splitter.clear()
        if self.holding is not None:
            self.holding.close()
        super().connection_lost(exc)
        self._free_body()

    def _free_body(self) -> None:
        """Free the unread body of a closed connection.

        The connection stays in memory until the next garbage collection, since its
        task and its request refer to each other.
        """
        body, self._newest_body = self._newest_body, None
        if body is not None and not body.is_eof() and body.exception() is None:
            # A waiting reader has nothing to read.
            with contextlib.suppress(RuntimeError):
                body.read_nowait()

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

    async def _discard_input(self) -> None:
        """End the responses, and discard what the caller sends until it closes.

        Closing with unread bytes resets the connection, and a caller that still writes
        would lose responses that it has not read yet.
        """
        self._splitter.clear()
        transport = self.transport
        if transport is None or transport.is_closing() or not transport.can_write_eof():
            return
        self._end_of_caller = self._loop.create_future()
        transport.write_eof()
        transport.resume_reading()
        await asyncio.wait([self._end_of_caller], timeout=LINGERING_SECONDS)

    def eof_received(self) -> None:
        """Stop discarding, since the caller has closed its side."""
        if self._end_of_caller is not None and not self._end_of_caller.done():
            self._end_of_caller.set_result(None)
        super().eof_received()

    def _time_out(self) -> None:
        if self.transport is not None:
            logging.log_every_n_seconds(
                logging.INFO,
                "closed a connection: request headers did not arrive in time",
                LOG_INTERVAL_SECONDS,
            )
        self._close_with(REQUEST_TIMEOUT_RESPONSE)

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
        is_malformed = 400 <= status < 500 or isinstance(exc, web.RequestPayloadError)
        if not is_malformed:
            logging.error("request handler failed: %r", exc)
        response = self._build_error_response(is_malformed)
        response.force_close()
        # A malformed request counts as one of HTTP/1.0, whose response needs no header
        # to close the connection.
        response.headers[hdrs.CONNECTION] = "close"
        return response


def create_connection(
    server: web.Server,
    limits: ConnectionLimits,
    build_error_response: ErrorResponseBuilder,
    account: CallerAccount | None = None,
) -> CallerConnection:
    """Return the protocol of a new connection on the running loop.

    :param account: counts what the process holds for its callers; None if nothing does.
    """
    return CallerConnection(
        server,
        account=account,
        max_head_bytes=limits.max_head_bytes,
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


def get_holding(request: web.BaseRequest) -> Holding | None:
    """Return what is held for a request's connection; None if it is not counted."""
    connection = request.protocol
    return connection.holding if isinstance(connection, CallerConnection) else None


def begin_request(request: web.BaseRequest, end: EndRequest) -> None:
    """Record that a request is served.

    :param end: ends the request with a truthful response, or closes the connection.
    """
    holding = get_holding(request)
    if holding is not None:
        holding.begin_request(request.content, request.content_length, end)


def set_stage(request: web.BaseRequest, stage: RequestStage) -> None:
    """Record how far a request has got."""
    holding = get_holding(request)
    if holding is not None:
        holding.usage.stage = stage


def finish_request(request: web.BaseRequest) -> None:
    """Stop counting what was received of a request, as its response is known."""
    holding = get_holding(request)
    if holding is not None:
        holding.finish_request(request.content, request.protocol.has_next_request)
