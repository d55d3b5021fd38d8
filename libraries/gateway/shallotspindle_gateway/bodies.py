"""Bodies of callers' requests.

A body of up to ``MAX_REPLAY_BYTES`` is read completely before it is sent, so that it
can be sent again. The remainder of a longer body is streamed and sent only once.
"""

import asyncio
import hashlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from enum import Enum

from aiohttp import ClientError, HttpVersion11, hdrs, web

from shallotspindle_core.failures import Failure, FailureError

MAX_REPLAY_BYTES = 1024 * 1024
CHUNK_BYTES = 32 * 1024
IDLE_TIMEOUT_SECONDS = 5.0
CONTINUE_EXPECTATION = "100-continue"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyFault(Enum):
    """Why a body is refused before anything is sent to an upstream."""

    SLOW = "slow"
    TOO_LARGE = "too-large"
    MALFORMED = "malformed"


class BodyTooLong(Failure):
    """A streamed body exceeded its limit; the upstream attempt is aborted."""


@dataclass(slots=True)
class Body:
    """A body whose prefix has been read.

    :param remainder: stream of the unread part; None if the prefix is the whole body.
    :param max_bytes: maximum size of the whole body.
    :param is_stream_started: whether an attempt has begun to read the remainder.
    :param has_failed: whether the caller stopped sending or exceeded the limit.
    :param release: called with the number of bytes that were passed on and are no
        longer held.
    """

    prefix: bytes
    remainder: asyncio.StreamReader | None
    max_bytes: int = 0
    is_stream_started: bool = False
    has_failed: bool = False
    release: Callable[[int], None] | None = None

    @property
    def exists(self) -> bool:
        return bool(self.prefix) or self.remainder is not None

    @property
    def is_replayable(self) -> bool:
        """Whether the whole body is in memory, so that it can be sent again."""
        return self.remainder is None

    @property
    def is_sendable(self) -> bool:
        """Whether an attempt can still send the body from its first byte."""
        return not self.is_stream_started

    def clear(self) -> None:
        """Free the memory of a body that is not sent again."""
        self.prefix = b""

    def compute_digest(self) -> bytes:
        """Return the SHA-256 digest of the prefix, 32 bytes."""
        return hashlib.sha256(self.prefix).digest()

    def get_content(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body as bytes or as a stream, or None if there is none."""
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
            if self.release is not None:
                self.release(len(chunk))

    async def _read_remainder(self) -> bytes:
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                return await self.remainder.read(CHUNK_BYTES)
        except (ClientError, OSError, TimeoutError, web.RequestPayloadError):
            # Any failure here is the caller's and must not count against the upstream.
            self.has_failed = True
            raise


class BodyPrefix:
    """The part of a body that was read so far.

    It consists of blocks of about ``CHUNK_BYTES``. Each small chunk would need memory
    of its own, and one growing buffer for each body fragments the memory.
    """

    def __init__(self) -> None:
        self.size = 0
        self._blocks: list[bytes] = []
        self._small_chunks: list[bytes] = []
        self._small_bytes = 0

    def add(self, chunk: bytes) -> None:
        """Append what was read."""
        self.size += len(chunk)
        self._small_chunks.append(chunk)
        self._small_bytes += len(chunk)
        if self._small_bytes >= CHUNK_BYTES:
            self._blocks.append(b"".join(self._small_chunks))
            self._small_chunks.clear()
            self._small_bytes = 0

    def clear(self) -> None:
        """Free the memory; a cancelled task stays until the next garbage collection."""
        self._blocks.clear()
        self._small_chunks.clear()

    def join(self) -> bytes:
        """Return the prefix as a whole."""
        return b"".join((*self._blocks, *self._small_chunks))


async def send_continue(request: web.BaseRequest) -> None:
    """Send ``100 Continue`` if the caller waits for it before it sends the body."""
    expected = request.headers.get(hdrs.EXPECT, "").lower()
    if expected != CONTINUE_EXPECTATION or request.version < HttpVersion11:
        return
    await request.writer.write(CONTINUE_RESPONSE)
    # Without this aiohttp would take the final response as begun.
    request.writer.output_size = 0


async def _read_chunk(request: web.BaseRequest) -> bytes | BodyFault:
    try:
        async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
            return await request.content.read(CHUNK_BYTES)
    except TimeoutError:
        return BodyFault.SLOW
    except web.RequestPayloadError:
        return BodyFault.MALFORMED


async def read_body(request: web.BaseRequest, max_bytes: int) -> Body | BodyFault:
    """Read a body up to ``MAX_REPLAY_BYTES``.

    :param max_bytes: limit on the whole body, in bytes.
    :returns: a fault if the caller pauses for ``IDLE_TIMEOUT_SECONDS``, exceeds the
        limit, or sends a malformed chunk.
    """
    if (request.content_length or 0) > max_bytes:
        return BodyFault.TOO_LARGE
    if not request.body_exists:
        return Body(b"", None)
    prefix = BodyPrefix()
    try:
        return await _read_prefix(request, prefix, max_bytes)
    finally:
        prefix.clear()


async def _read_prefix(
    request: web.BaseRequest, prefix: BodyPrefix, max_bytes: int
) -> Body | BodyFault:
    while prefix.size <= MAX_REPLAY_BYTES:
        chunk = await _read_chunk(request)
        if isinstance(chunk, BodyFault):
            return chunk
        if not chunk:
            return Body(prefix.join(), None)
        prefix.add(chunk)
        if prefix.size > max_bytes:
            return BodyFault.TOO_LARGE
    return Body(prefix.join(), request.content, max_bytes)
