"""Bodies of callers' requests.

A short body is buffered, so that a retry can send it again; a long body is streamed
with at most ``STREAM_CHUNK_BYTES`` in memory besides the socket buffers.
"""

import asyncio
import hashlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

from aiohttp import web

from shallotspindle_core.failures import Failure, FailureError

STREAM_CHUNK_BYTES = 32 * 1024
MAX_REPLAY_BYTES = 64 * 1024
MAX_KEYED_BODY_BYTES = 256 * 1024
IDLE_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class SlowCaller(Failure):
    """The caller sent no part of the body within the idle timeout."""


class Body:
    """The body of one request.

    ``has_failed`` tells whether the body could not be read to its end.

    :param request: request whose body was not read yet.
    """

    def __init__(self, request: web.Request) -> None:
        self._content = request.content
        self._exists = request.body_exists
        self._prefix = b""
        self._is_complete = not request.body_exists
        self._is_streaming = False
        self.has_failed = False

    @property
    def exists(self) -> bool:
        """Whether the request has a body."""
        return self._exists

    @property
    def is_complete(self) -> bool:
        """Whether the whole body is buffered."""
        return self._is_complete

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent from its first byte."""
        return self._is_complete or not self._is_streaming

    async def _read(self) -> bytes:
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                chunk = await self._content.read(STREAM_CHUNK_BYTES)
        except TimeoutError as error:
            self.has_failed = True
            failure = SlowCaller(
                "caller", "no part of the body arrived within the idle timeout"
            )
            raise FailureError(failure) from error
        except Exception:
            # The upstream is not at fault, whatever interrupted the body.
            self.has_failed = True
            raise
        if not chunk and self._content.at_eof():
            self._is_complete = self._is_complete or not self._is_streaming
        return chunk

    async def buffer(self, max_bytes: int) -> None:
        """Read the start of the body into memory.

        :param max_bytes: reading stops once more than this was read.
        """
        chunks = [self._prefix]
        size = len(self._prefix)
        while not self._is_complete and size <= max_bytes:
            chunk = await self._read()
            chunks.append(chunk)
            size += len(chunk)
        self._prefix = b"".join(chunks)

    def digest(self) -> bytes:
        """Return the 32-byte SHA-256 digest of the buffered part."""
        return hashlib.sha256(self._prefix).digest()

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body from its first byte."""
        if self._prefix:
            yield self._prefix
        if self._is_complete:
            return
        self._is_streaming = True
        # A streamed body cannot be sent again, so its buffered start is released.
        self._prefix = b""
        while chunk := await self._read():
            yield chunk
