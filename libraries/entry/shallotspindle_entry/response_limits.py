"""Limits on the answers of upstreams: which answer is broken off, and why.

An upstream may send without end, in a head or in a body. An answer is kept whole until
its caller gets it, so that both its size and the size of all answers are bounded.
"""

from dataclasses import dataclass
from enum import StrEnum

MEBIBYTE = 1024 * 1024
# An upstream that sends more heads before its answer does not answer. 1,300 of them
# took 7 ms of processor time.
MAX_HEADS = 16
# Size lines, extensions and trailers beyond the part of the body that is allowed.
FRAMING_ALLOWANCE_BYTES = 128 * 1024


class ResponseFault(StrEnum):
    """Why an answer was not taken to its end."""

    MALFORMED = "malformed"
    HEAD_TOO_LONG = "head-too-long"
    BODY_TOO_LONG = "body-too-long"
    FRAMING_TOO_LONG = "framing-too-long"
    MEMORY_EXHAUSTED = "no-room"


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """What an upstream may send.

    :param head_bytes: largest size of a head, with the informational answers before
        it.
    :param body_bytes: largest size of a body.
    :param framing_part: largest size of the framing of a body as a part of the body. A
        chunk takes 2 microseconds of processor time, so that chunks of a few bytes
        without end would take all of it.
    :param room_bytes: largest size of all answers on their way from upstreams.
    """

    max_head_bytes: int = 32 * 1024
    max_body_bytes: int = 64 * MEBIBYTE
    max_framing_ratio: float = 0.5
    max_total_bytes: int = 128 * MEBIBYTE


DEFAULT_LIMITS = ResponseLimits()


@dataclass(slots=True)
class ResponseProgress:
    """What came of one answer.

    :param received: bytes of the connection.
    :param heads: heads, with those of informational answers.
    :param body_bytes: bytes that belong to the body.
    """

    limits: ResponseLimits
    received_bytes: int = 0
    head_count: int = 0
    body_bytes: int = 0

    @property
    def remaining_head_bytes(self) -> int:
        """Bytes that the head may still take."""
        return max(0, self.limits.max_head_bytes - self.received_bytes)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the answer that are kept in memory."""
        return self.body_bytes + min(
            self.received_bytes - self.body_bytes, self.limits.max_head_bytes
        )

    def find_head_fault(self) -> ResponseFault | None:
        """Return why an answer whose head is not whole yet must end."""
        if self.head_count >= MAX_HEADS or not self.remaining_head_bytes:
            return ResponseFault.HEAD_TOO_LONG
        return None

    def find_body_fault(self, is_partial: bool = False) -> ResponseFault | None:
        """Return why an answer whose body is on its way must end.

        :param is_partial: whether ``body_bytes`` lags behind what was received.
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
    """Memory for all answers of a process.

    When it is used up, the largest answer is broken off: the one without end becomes
    the largest, and the ordinary ones beside it are served.
    """

    def __init__(self, size: int) -> None:
        self._max_bytes = size
        self._sizes: dict[int, int] = {}
        self.used_bytes = 0

    def set_size(self, connection_id: int, size: int) -> int | None:
        """Note the size of an answer.

        :param connection_id: names the answer.
        :param size: all that is held of it, in bytes.
        :returns: the answer to break off, if any. One is enough, since the largest is
            at least as large as what was added.
        """
        self.used_bytes += size - self._sizes.get(connection_id, 0)
        self._sizes[connection_id] = size
        if self.used_bytes <= self._max_bytes:
            return None
        return max(self._sizes, key=self._sizes.__getitem__)

    def release(self, connection_id: int) -> None:
        """Forget an answer."""
        self.used_bytes -= self._sizes.pop(connection_id, 0)
