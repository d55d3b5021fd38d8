"""Connections to upstreams that enforce the limits on responses.

An upstream may send without end, may send bytes that are no HTTP response, or may send
more bytes after a complete response. The task that waits for the response gets an error
at once, and the connection is closed.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from shallotspindle_entry.response_limits import (
    ResponseFault,
    ResponseLimits,
    ResponseProgress,
)

# Time to send the rest of a request whose response is complete. An upstream that does
# not read the request would keep the connection open indefinitely.
FLUSH_TIMEOUT_SECONDS = 2.0
HEAD_END = b"\r\n\r\n"
# Informational responses come before the final one and need not repeat its headers.
MIN_FINAL_STATUS = 200
# A message with any other status is no response.
VALID_STATUSES = range(100, 600)


class ResponseAbortedError(aiohttp.ClientPayloadError):
    """A response was aborted on this side of its connection."""

    def __init__(self, fault: ResponseFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class BoundedResponseHandler(ResponseHandler):
    """Connection that enforces the limits on one response at a time.

    ``was_reset`` tells whether the connection was reset: a response without a length
    ends with its connection, and one that ends with a reset is truncated.

    :param on_size_change: called with the number of bytes of the response that are in
        memory; 0 at its end.
    :param request_id_header: header in which a response names its request; None if the
        connection is not reused. It is reused only after a response with the header, so
        that a late copy of an earlier response is told apart from the next one.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: ResponseLimits,
        connection_id: int,
        on_size_change: Callable[["BoundedResponseHandler", int], None],
        request_id_header: str | None = None,
    ) -> None:
        super().__init__(loop)
        self.was_reset = False
        self._request_id_header = request_id_header
        self._is_reused = False
        self._has_served = False
        self.connection_id = connection_id
        self._limits = limits
        self._progress = ResponseProgress(limits)
        self._on_size_change = on_size_change
        self._head_tail = b""

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to the next request on the connection."""
        self._is_reused, self._has_served = self._has_served, True
        self._progress = ResponseProgress(self._limits)
        self._head_tail = b""
        self._payload = None
        super().set_response_params(**params)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Handle a parsed head; one that names no request may be a late copy."""
        if data[0].code not in VALID_STATUSES:
            self.abort_response(ResponseFault.MALFORMED)
            return
        if self._lacks_request_id(data[0]):
            if self._is_reused:
                self.abort_response(ResponseFault.UNNAMED)
                return
            self.force_close()
        super().feed_data(data, size)

    def _lacks_request_id(self, message: RawResponseMessage) -> bool:
        """Return whether a final response should name its request and does not."""
        header = self._request_id_header
        is_final = message.code >= MIN_FINAL_STATUS
        return header is not None and is_final and header not in message.headers

    def connection_lost(self, exc: BaseException | None) -> None:
        self.was_reset = exc is not None
        if self.was_reset and self._payload is not None and not self._payload.is_eof():
            # Otherwise a response without a length would count as complete.
            error = aiohttp.ClientPayloadError("the connection was reset")
            set_exception(self._payload, error)
        self._on_size_change(self, 0)
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection; abort it if its response is incomplete.

        A regular close waits until the upstream has read the rest of the request.
        """
        if self._payload is None or not self._payload.is_eof():
            self.abort()
            return
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size():
            self._loop.call_later(FLUSH_TIMEOUT_SECONDS, transport.abort)
        super().close()

    def abort_response(self, fault: ResponseFault) -> None:
        """Abort an incomplete response; its reader gets the fault as an error."""
        error = ResponseAbortedError(fault)
        payload = self._payload
        # The abort clears the exception, so it is set afterwards.
        self.abort()
        if payload is not None:
            set_exception(payload, error)
        self.set_exception(error)

    def data_received(self, data: bytes) -> None:
        if not data:
            # Reading resumes after a pause, with the bytes that the parser kept.
            super().data_received(data)
            self._check_limits()
            return
        while data and self.transport is not None and self._exception is None:
            size = self._measure_next_part(data)
            self._progress.received_bytes += size
            super().data_received(data[:size])
            data = data[size:]
            self._check_limits()

    def _is_in_head(self) -> bool:
        return self._payload is None or self._payload is EMPTY_PAYLOAD

    def _measure_next_part(self, data: bytes) -> int:
        """Return how many bytes are passed to the parser at once.

        The parser loses a complete response if it gets it together with following bytes
        that are no response. Heads are therefore passed to it separately.
        """
        if not self._is_in_head():
            return len(data)
        # The blank line that ends a head may be split over two reads.
        head = self._head_tail + data[: self._progress.remaining_head_bytes]
        end = head.find(HEAD_END)
        if end >= 0:
            self._progress.head_count += 1
            head = head[: end + len(HEAD_END)]
        size = len(head) - len(self._head_tail)
        self._head_tail = b"" if end >= 0 else head[-len(HEAD_END) + 1 :]
        return size

    def _check_limits(self) -> None:
        """Abort a response that exceeded its limits."""
        if self.transport is None:
            return
        if self._exception is not None:
            self._abort_malformed()
            return
        progress = self._progress
        if self._is_in_head():
            fault = progress.find_head_fault()
        elif self._payload.is_eof():
            # A complete response is not aborted; bytes after it are dropped when the
            # connection is closed.
            self._on_size_change(self, 0)
            return
        else:
            progress.body_bytes = self._payload.total_bytes
            # While reading is paused, the parser holds back a part of the body.
            fault = progress.find_body_fault(self._reading_paused)
        if fault is not None:
            self.abort_response(fault)
            return
        self._on_size_change(self, progress.buffered_bytes)

    def _abort_malformed(self) -> None:
        """Abort a response that the parser rejected.

        The parser reports the error to a task that waits for a head but not to one that
        reads a body, and its close waits until the rest of the request is sent.
        """
        if self._payload is not None and not self._payload.is_eof():
            set_exception(self._payload, ResponseAbortedError(ResponseFault.MALFORMED))
        self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections enforce limits on responses.

    :param build_handler: returns the protocol of a new connection.
    """

    def __init__(
        self, build_handler: Callable[[], BoundedResponseHandler], **params: Any
    ) -> None:
        super().__init__(**params)
        self._factory = build_handler


def find_fault(error: Exception) -> ResponseFault | None:
    """Return why a response was rejected, or None if it was truncated."""
    if isinstance(error, ResponseAbortedError):
        return error.fault
    cause = error.__cause__
    is_malformed = isinstance(error, aiohttp.ClientResponseError) or isinstance(
        cause, HttpProcessingError
    )
    return ResponseFault.MALFORMED if is_malformed else None
