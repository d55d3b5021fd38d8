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

KEPT_BYTES = 1024 * 1024
CHUNK_BYTES = 64 * 1024
IDLE_SECONDS = 5.0
CONTINUE_EXPECTED = "100-continue"
CONTINUE_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyFault(Enum):
    """Why a body is not taken; nothing was sent to an upstream."""

    SLOW = "slow"
    TOO_LARGE = "too-large"


class BodyTooLong(Failure):
    """A streamed body grew beyond the limit; the send to the upstream is broken off."""


@dataclass(slots=True)
class Body:
    """A body whose start was read.

    :param rest: the stream that holds what was not read; None if all was.
    :param largest: limit on the whole body, in bytes.
    :param is_streamed: whether a send has begun to read the rest.
    :param has_failed: whether the caller did not send the rest, or too much of it.
    """

    start: bytes
    rest: asyncio.StreamReader | None
    largest: int = 0
    is_streamed: bool = False
    has_failed: bool = False

    @property
    def exists(self) -> bool:
        return bool(self.start) or self.rest is not None

    @property
    def repeatable(self) -> bool:
        """Whether the whole body is kept."""
        return self.rest is None

    @property
    def is_sendable(self) -> bool:
        """Whether an upstream would get the body from its first byte to its last."""
        return not self.is_streamed

    def digest(self) -> bytes:
        """Return the digest of the start, 32 bytes."""
        return hashlib.sha256(self.start).digest()

    def open(self) -> bytes | AsyncIterator[bytes] | None:
        """Return what is sent to an upstream."""
        if not self.exists:
            return None
        return self.start if self.rest is None else self._iterate()

    async def _iterate(self) -> AsyncIterator[bytes]:
        self.is_streamed = True
        yield self.start
        size = len(self.start)
        while chunk := await self._read_rest():
            size += len(chunk)
            if size > self.largest:
                self.has_failed = True
                raise FailureError(BodyTooLong("body", "is longer than the limit"))
            yield chunk

    async def _read_rest(self) -> bytes:
        try:
            async with asyncio.timeout(IDLE_SECONDS):
                return await self.rest.read(CHUNK_BYTES)
        except (ClientError, OSError, TimeoutError):
            # Whatever ended the body, its upstream is not to blame for it.
            self.has_failed = True
            raise


async def send_continue(request: web.BaseRequest) -> None:
    """Ask for the body of a caller that waits for ``100 Continue`` before it."""
    expected = request.headers.get(hdrs.EXPECT, "").lower()
    if expected != CONTINUE_EXPECTED or request.version < HttpVersion11:
        return
    await request.writer.write(CONTINUE_ANSWER)
    # The final answer has not begun.
    request.writer.output_size = 0


async def read_body(request: web.BaseRequest, largest: int) -> Body | BodyFault:
    """Read the start of a body.

    :param largest: limit on the whole body, in bytes.
    :returns: a fault if the caller sends nothing for ``IDLE_SECONDS`` or too much.
    """
    if (request.content_length or 0) > largest:
        return BodyFault.TOO_LARGE
    if not request.body_exists:
        return Body(b"", None)
    parts = []
    size = 0
    while size <= KEPT_BYTES:
        try:
            async with asyncio.timeout(IDLE_SECONDS):
                chunk = await request.content.read(CHUNK_BYTES)
        except TimeoutError:
            return BodyFault.SLOW
        if not chunk:
            return Body(b"".join(parts), None)
        parts.append(chunk)
        size += len(chunk)
        if size > largest:
            return BodyFault.TOO_LARGE
    return Body(b"".join(parts), request.content, largest)
