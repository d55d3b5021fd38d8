"""Bodies of callers' requests.

A body up to ``KEPT_BYTES`` is read whole before anything is sent, so that it can be
sent again. The rest of a longer one is streamed and is sent once.
"""

import asyncio
import hashlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

from aiohttp import ClientError, HttpVersion11, hdrs, web

from shallotspindle_core.failures import Failure, FailureError

MAX_REPLAY_BYTES = 1024 * 1024
CHUNK_BYTES = 64 * 1024
IDLE_TIMEOUT_SECONDS = 5.0
CONTINUE_EXPECTATION = "100-continue"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyFault(Enum):
    """Why a body is not taken; nothing was sent to an upstream."""

    SLOW = "slow"
    TOO_LARGE = "too-large"


class BodyTooLong(Failure):
    """A streamed body grew beyond the limit; the send to the upstream is broken off."""


@dataclass(slots=True)
class Body:
    """A body whose start was read.

    :param remainder: the stream that holds what was not read; None if all was.
    :param max_bytes: limit on the whole body, in bytes.
    :param is_stream_started: whether a send has begun to read the rest.
    :param has_failed: whether the caller did not send the rest, or too much of it.
    """

    prefix: bytes
    remainder: asyncio.StreamReader | None
    max_bytes: int = 0
    is_stream_started: bool = False
    has_failed: bool = False

    @property
    def exists(self) -> bool:
        return bool(self.prefix) or self.remainder is not None

    @property
    def is_replayable(self) -> bool:
        """Whether the whole body is kept."""
        return self.remainder is None

    @property
    def is_sendable(self) -> bool:
        """Whether an upstream would get the body from its first byte to its last."""
        return not self.is_stream_started

    def compute_digest(self) -> bytes:
        """Return the digest of the start, 32 bytes."""
        return hashlib.sha256(self.prefix).digest()

    def get_content(self) -> bytes | AsyncIterator[bytes] | None:
        """Return what is sent to an upstream."""
        if not self.exists:
            return None
        return self.prefix if self.remainder is None else self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        self.is_stream_started = True
        yield self.prefix
        size = len(self.prefix)
        while chunk := await self._read_remainder():
            size += len(chunk)
            if size > self.max_bytes:
                self.has_failed = True
                raise FailureError(BodyTooLong("body", "is longer than the limit"))
            yield chunk

    async def _read_remainder(self) -> bytes:
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                return await self.remainder.read(CHUNK_BYTES)
        except (ClientError, OSError, TimeoutError):
            # Whatever ended the body, its upstream is not to blame for it.
            self.has_failed = True
            raise


async def send_continue(request: web.BaseRequest) -> None:
    """Ask for the body of a caller that waits for ``100 Continue`` before it."""
    expected = request.headers.get(hdrs.EXPECT, "").lower()
    if expected != CONTINUE_EXPECTATION or request.version < HttpVersion11:
        return
    await request.writer.write(CONTINUE_RESPONSE)
    # The final answer has not begun.
    request.writer.output_size = 0


async def read_body(request: web.BaseRequest, max_bytes: int) -> Body | BodyFault:
    """Read the start of a body.

    :param max_bytes: limit on the whole body, in bytes.
    :returns: a fault if the caller sends nothing for ``IDLE_SECONDS`` or too much.
    """
    if (request.content_length or 0) > max_bytes:
        return BodyFault.TOO_LARGE
    if not request.body_exists:
        return Body(b"", None)
    chunks = []
    size = 0
    while size <= MAX_REPLAY_BYTES:
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                chunk = await request.content.read(CHUNK_BYTES)
        except TimeoutError:
            return BodyFault.SLOW
        if not chunk:
            return Body(b"".join(chunks), None)
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            return BodyFault.TOO_LARGE
    return Body(b"".join(chunks), request.content, max_bytes)
