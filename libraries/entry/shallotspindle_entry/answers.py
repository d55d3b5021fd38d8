"""Limits on the answers of upstreams: which answer is broken off, and why.

An upstream may send without end, in a head or in a body. An answer is kept whole until
its caller gets it, so that both its size and the size of all answers are bounded.
"""

from dataclasses import dataclass
from enum import StrEnum

MEBIBYTE = 1024 * 1024
# An upstream that sends more heads before its answer does not answer. 1,300 of them
# took 7 ms of processor time.
LARGEST_HEADS = 16
# Size lines, extensions and trailers beyond the part of the body that is allowed.
FRAMING_BYTES = 128 * 1024


class Fault(StrEnum):
    """Why an answer was not taken to its end."""

    MALFORMED = "malformed"
    HEAD_TOO_LONG = "head-too-long"
    BODY_TOO_LONG = "body-too-long"
    FRAMING_TOO_LONG = "framing-too-long"
    NO_ROOM = "no-room"


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """What an upstream may send.

    :param head_bytes: largest size of a head, with the informational answers before
        it.
    :param body_bytes: largest size of a body.
    :param framing_part: largest size of the framing of a body as a part of the body. A
        chunk takes 2 microseconds of processor time, so that chunks of a few bytes
        without end would take all of it.
    :param room_bytes: largest size of all answers on their way from upstreams.
    """

    head_bytes: int = 32 * 1024
    body_bytes: int = 64 * MEBIBYTE
    framing_part: float = 0.5
    room_bytes: int = 128 * MEBIBYTE


DEFAULT_LIMITS = AnswerLimits()


@dataclass(slots=True)
class Progress:
    """What came of one answer.

    :param received: bytes of the connection.
    :param heads: heads, with those of informational answers.
    :param body: bytes that belong to the body.
    """

    limits: AnswerLimits
    received: int = 0
    heads: int = 0
    body: int = 0

    @property
    def head_left(self) -> int:
        """Bytes that the head may still take."""
        return max(0, self.limits.head_bytes - self.received)

    @property
    def held(self) -> int:
        """Bytes of the answer that are kept in memory."""
        return self.body + min(self.received - self.body, self.limits.head_bytes)

    def find_head_fault(self) -> Fault | None:
        """Return why an answer whose head is not whole yet must end."""
        if self.heads >= LARGEST_HEADS or not self.head_left:
            return Fault.HEAD_TOO_LONG
        return None

    def find_body_fault(self, is_partial: bool = False) -> Fault | None:
        """Return why an answer whose body is on its way must end.

        :param is_partial: whether ``body`` lags behind what was received.
        """
        if self.body > self.limits.body_bytes:
            return Fault.BODY_TOO_LONG
        if is_partial:
            return None
        framing = self.received - self.body - self.limits.head_bytes
        if framing > FRAMING_BYTES + self.limits.framing_part * self.body:
            return Fault.FRAMING_TOO_LONG
        return None


class Room:
    """Memory for all answers of a process.

    When it is used up, the largest answer is broken off: the one without end becomes
    the largest, and the ordinary ones beside it are served.
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self._held: dict[int, int] = {}
        self.used = 0

    def hold(self, number: int, size: int) -> int | None:
        """Note the size of an answer.

        :param number: names the answer.
        :param size: all that is held of it, in bytes.
        :returns: the answer to break off, if any. One is enough, since the largest is
            at least as large as what was added.
        """
        self.used += size - self._held.get(number, 0)
        self._held[number] = size
        if self.used <= self._size:
            return None
        return max(self._held, key=self._held.__getitem__)

    def leave(self, number: int) -> None:
        """Forget an answer."""
        self.used -= self._held.pop(number, 0)
