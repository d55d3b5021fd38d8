"""Limits on the responses of upstreams: which response is aborted, and why.

An upstream may send a head or a body without end. The gateway buffers a response
completely before its caller gets it, so both the size of each response and the total
size of all of them are bounded.
"""

from dataclasses import dataclass
from enum import StrEnum

MEBIBYTE = 1024 * 1024
# Heads before the body, informational responses included; an upstream that sends more
# is not going to respond. Parsing 1,300 heads took 7 ms of processor time.
MAX_HEADS = 16
# Chunk size lines, extensions and trailers that are allowed in addition to the ratio to
# the body.
FRAMING_ALLOWANCE_BYTES = 128 * 1024


class ResponseFault(StrEnum):
    """Why a response was rejected.

    ``UNNAMED`` is a response without the request id that it must have, ``MISMATCHED``
    one with the id of another request, and ``UNSIGNED`` a success without a signature.
    """

    MALFORMED = "malformed"
    HEAD_TOO_LONG = "head-too-long"
    BODY_TOO_LONG = "body-too-long"
    FRAMING_TOO_LONG = "framing-too-long"
    MEMORY_EXHAUSTED = "no-room"
    UNNAMED = "unnamed"
    MISMATCHED = "mismatched"
    UNSIGNED = "unsigned"


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits on what an upstream may send.

    :param max_head_bytes: limit on a head together with the informational responses
        before it.
    :param max_body_bytes: limit on a body.
    :param max_framing_ratio: limit on the framing of a body, as a ratio to the size of
        the body. Parsing a chunk takes 2 microseconds of processor time, so an endless
        sequence of chunks of a few bytes would use a whole processor.
    :param max_total_bytes: limit on all responses that are being received.
    """

    max_head_bytes: int = 32 * 1024
    max_body_bytes: int = 64 * MEBIBYTE
    max_framing_ratio: float = 0.5
    max_total_bytes: int = 128 * MEBIBYTE


DEFAULT_LIMITS = ResponseLimits()


@dataclass(slots=True)
class ResponseProgress:
    """How much of one response was received.

    :param received_bytes: bytes read from the connection.
    :param head_count: number of heads, including those of informational responses.
    :param body_bytes: bytes that belong to the body.
    """

    limits: ResponseLimits
    received_bytes: int = 0
    head_count: int = 0
    body_bytes: int = 0

    @property
    def remaining_head_bytes(self) -> int:
        """Number of bytes that the head may still have."""
        return max(0, self.limits.max_head_bytes - self.received_bytes)

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of the response that are in memory."""
        return self.body_bytes + min(
            self.received_bytes - self.body_bytes, self.limits.max_head_bytes
        )

    def find_head_fault(self) -> ResponseFault | None:
        """Return why a response with an incomplete head must be aborted, if it must."""
        if self.head_count >= MAX_HEADS or not self.remaining_head_bytes:
            return ResponseFault.HEAD_TOO_LONG
        return None

    def find_body_fault(self, is_partial: bool = False) -> ResponseFault | None:
        """Return why a response with an incomplete body must be aborted, if it must.

        :param is_partial: whether ``body_bytes`` does not yet count all body bytes that
            were received.
        """
        if self.body_bytes > self.limits.max_body_bytes:
            return ResponseFault.BODY_TOO_LONG
        if is_partial:
            return None
        framing = self.received_bytes - self.body_bytes - self.limits.max_head_bytes
        if (
            framing
            > FRAMING_ALLOWANCE_BYTES + self.limits.max_framing_ratio * self.body_bytes
        ):
            return ResponseFault.FRAMING_TOO_LONG
        return None


class ResponseMemory:
    """Memory limit shared by all responses that a process receives.

    When it is exceeded, the largest response is aborted: an endless response becomes
    the largest one, and the ordinary responses beside it are served.

    :param max_bytes: limit on the sum of all responses.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._sizes: dict[int, int] = {}
        self.used_bytes = 0

    def set_size(self, connection_id: int, size: int) -> int | None:
        """Record the size of a response.

        :param size: bytes of the response that are in memory.
        :returns: connection of the response to abort, if any. Aborting one response is
            enough, since the largest is at least as large as what was added.
        """
        self.used_bytes += size - self._sizes.get(connection_id, 0)
        self._sizes[connection_id] = size
        if self.used_bytes <= self._max_bytes:
            return None
        return max(self._sizes, key=self._sizes.__getitem__)

    def release(self, connection_id: int) -> None:
        """Stop counting a response; does nothing if it is not counted."""
        self.used_bytes -= self._sizes.pop(connection_id, 0)
