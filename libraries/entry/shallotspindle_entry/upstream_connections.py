"""Connections to upstreams on which nothing goes beyond the limits on answers.

What an upstream sends may have no end, may be no answer, or may go on behind a whole
one. The task that waits for the answer is told at once, and the connection is closed.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD

from shallotspindle_entry.response_limits import (
    ResponseFault,
    ResponseLimits,
    ResponseProgress,
)

# Time for the rest of a request whose answer is whole. An upstream that does not read
# would keep the connection open without end.
FLUSH_SECONDS = 2.0
HEAD_END = b"\r\n\r\n"


class ResponseAbortedError(aiohttp.ClientPayloadError):
    """An answer was ended on this side of its connection."""

    def __init__(self, fault: ResponseFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class BoundedResponseHandler(ResponseHandler):
    """Connection that takes one answer within its limits.

    It remembers that it was reset: an answer without a length ends with its
    connection, and a reset must not end it.

    :param number: names the connection.
    :param hold: gets the size of what is held, in bytes; 0 at the end.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: ResponseLimits,
        connection_id: int,
        hold: Callable[["BoundedResponseHandler", int], None],
    ) -> None:
        super().__init__(loop)
        self.was_reset = False
        self.connection_id = connection_id
        self._limits = limits
        self._progress = ResponseProgress(limits)
        self._hold = hold
        self._last = b""

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer to the next request of the connection."""
        self._progress = ResponseProgress(self._limits)
        self._last = b""
        self._payload = None
        super().set_response_params(**params)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.was_reset = exc is not None
        self._hold(self, 0)
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

    def abort_response(self, fault: ResponseFault) -> None:
        """End an answer that is not whole."""
        error = ResponseAbortedError(fault)
        payload = self._payload
        # An abort forgets the exception, so that it is set afterwards.
        self.abort()
        if payload is not None:
            set_exception(payload, error)
        self.set_exception(error)

    def data_received(self, data: bytes) -> None:
        if not data:
            # Reading goes on after a pause, with what the parser kept.
            super().data_received(data)
            self._check()
            return
        while data and self.transport is not None and self._exception is None:
            size = self._find_part(data)
            self._progress.received_bytes += size
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
        head = self._last + data[: self._progress.remaining_head_bytes]
        end = head.find(HEAD_END)
        if end >= 0:
            self._progress.head_count += 1
            head = head[: end + len(HEAD_END)]
        size = len(head) - len(self._last)
        self._last = b"" if end >= 0 else head[-len(HEAD_END) + 1 :]
        return size

    def _check(self) -> None:
        """Break off an answer that went beyond its limits."""
        if self.transport is None:
            return
        if self._exception is not None:
            self._fail()
            return
        progress = self._progress
        if self._is_in_head():
            fault = progress.find_head_fault()
        elif self._payload.is_eof():
            # A whole answer is not broken off; what follows it is dropped with the
            # connection.
            self._hold(self, 0)
            return
        else:
            progress.body_bytes = self._payload.total_bytes
            # While reading is paused, the parser keeps a part of the body.
            fault = progress.find_body_fault(self._reading_paused)
        if fault is not None:
            self.abort_response(fault)
            return
        self._hold(self, progress.buffered_bytes)

    def _fail(self) -> None:
        """End an answer whose bytes the parser refused.

        The parser tells those who wait for a head but not those who read a body, and
        it closes the connection, which waits for the rest of the request.
        """
        if self._payload is not None and not self._payload.is_eof():
            set_exception(self._payload, ResponseAbortedError(ResponseFault.MALFORMED))
        self.transport.abort()


def find_fault(error: Exception) -> ResponseFault | None:
    """Return why an answer was not taken to its end, if it was not merely cut."""
    if isinstance(error, ResponseAbortedError):
        return error.fault
    cause = error.__cause__
    malformed = isinstance(error, aiohttp.ClientResponseError) or isinstance(
        cause, HttpProcessingError
    )
    return ResponseFault.MALFORMED if malformed else None
