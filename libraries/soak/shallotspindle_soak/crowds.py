"""Crowds of callers that ignore the limits: each begins a request and never ends it."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import StrEnum

from shallotspindle_adapter.settings import HEADERS
from shallotspindle_soak.fleet import HOST_NAME

KEY = "guild-0"
BODY_BYTES = 1_000_000
UNSENT_BYTES = 6
PIECE_BYTES = 4 * 1024
# aiohttp rejects a head with more than 128 lines.
HEADER_LINES = 120
LARGE_CHUNK_BYTES = 64 * 1024
SMALL_CHUNK_BYTES = 32
SMALL_CHUNK_BODY_BYTES = 700_000
# Connections that are opened between two checks that the gateway accepted them all.
GROUP_SIZE = 25
# After this time a caller that the gateway does not read from stops sending.
SEND_SECONDS = 20.0


class CrowdKind(StrEnum):
    """What the callers of a crowd send.

    ``WHOLE_BODIES`` and ``PIECES`` stop six bytes before the end of a body of legal
    size; ``SILENT`` callers send the beginning of a request line.
    """

    WHOLE_BODIES = "whole-bodies"
    PIECES = "pieces"
    LARGE_CHUNKS = "large-chunks"
    SMALL_CHUNKS = "small-chunks"
    HEADS = "heads"
    SILENT = "silent"


GATEWAY_LINES = (
    "POST /orders/1 HTTP/1.1",
    f"Host: {HOST_NAME}",
    f"{HEADERS.request_id}: crowd",
    f"Authorization: {HEADERS.key_scheme} {KEY}",
)
ENTRY_LINES = (
    "POST /catalogue/1 HTTP/1.1",
    f"Host: {HOST_NAME}",
    "Authorization: Bearer key-team-1",
)


@dataclass(frozen=True, slots=True)
class Crowd:
    """A number of callers that send the same.

    :param rounds: how often they connect.
    :param start: the first lines of their requests.
    :param header_line_bytes: size of each line of a head without end.
    """

    kind: CrowdKind
    size: int
    rounds: int = 1
    start: tuple[str, ...] = GATEWAY_LINES
    header_line_bytes: int = 15_000


def build_head(*lines: str, start: tuple[str, ...] = GATEWAY_LINES) -> bytes:
    """Return the head of a request that passes all checks.

    :param start: the first lines, with a key that the daemon knows.
    """
    head = (*start, *lines)
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def _repeat_chunk(size: int, body_bytes: int, chunks_in_piece: int) -> Iterator[bytes]:
    chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    for _ in range(body_bytes // (size * chunks_in_piece)):
        yield chunk * chunks_in_piece


def generate_pieces(crowd: Crowd) -> Iterator[bytes]:
    """Yield what a caller sends, in pieces that it writes one after the other."""
    kind, start = crowd.kind, crowd.start
    match kind:
        case CrowdKind.WHOLE_BODIES | CrowdKind.PIECES:
            yield build_head(f"Content-Length: {BODY_BYTES}", start=start)
            body = b"x" * (BODY_BYTES - UNSENT_BYTES)
            size = PIECE_BYTES if kind is CrowdKind.PIECES else BODY_BYTES
            for offset in range(0, len(body), size):
                yield body[offset : offset + size]
        case CrowdKind.LARGE_CHUNKS:
            yield build_head("Transfer-Encoding: chunked", start=start)
            yield from _repeat_chunk(LARGE_CHUNK_BYTES, BODY_BYTES, 1)
        case CrowdKind.SMALL_CHUNKS:
            yield build_head("Transfer-Encoding: chunked", start=start)
            yield from _repeat_chunk(SMALL_CHUNK_BYTES, SMALL_CHUNK_BODY_BYTES, 100)
        case CrowdKind.HEADS:
            yield build_head(start=start).removesuffix(b"\r\n")
            for number in range(HEADER_LINES):
                yield (
                    f"X-{number}: ".encode() + b"x" * crowd.header_line_bytes + b"\r\n"
                )
        case CrowdKind.SILENT:
            yield b"GET /"


async def _send(writer: asyncio.StreamWriter, crowd: Crowd) -> None:
    """Send everything, unless the gateway closes the connection or does not read."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_SECONDS):
            for piece in generate_pieces(crowd):
                writer.write(piece)
                await writer.drain()
                # Lets the other callers send in between.
                await asyncio.sleep(0)


@asynccontextmanager
async def open_crowd(
    address: tuple[str, int],
    crowd: Crowd,
    await_accepted: Callable[[], Awaitable[None]],
) -> AsyncIterator[None]:
    """Run a crowd until all its callers have sent what they send, and keep it open.

    :param await_accepted: returns after the gateway accepted all connections.
    """
    writers: list[asyncio.StreamWriter] = []
    try:
        for number in range(crowd.size):
            _, writer = await asyncio.open_connection(*address)
            writers.append(writer)
            if number % GROUP_SIZE == GROUP_SIZE - 1:
                await await_accepted()
        await asyncio.gather(*(_send(writer, crowd) for writer in writers))
        yield
    finally:
        for writer in writers:
            writer.transport.abort()
