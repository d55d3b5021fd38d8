"""Length-prefixed frames with a keyed MAC.

A frame is ``length (4 bytes) | MAC (16 bytes) | payload``. The key of a direction
comes from the fleet secret and both nonces of the connection, and the MAC covers
the frame's number, so that no frame can be forged, replayed, reordered or reflected.
"""

import enum
import hmac
from dataclasses import dataclass

from expression import Error, Ok, Result

from shallotspindle_core.failures import Failure

NONCE_BYTES = 16
MAC_BYTES = 16
LENGTH_BYTES = 4
OVERHEAD_BYTES = LENGTH_BYTES + MAC_BYTES
# Above the store's limit of 1 MB for a bundle chunk.
FRAME_LIMIT_BYTES = 2_000_000
# Limit until the first frame has shown that the sender knows the fleet secret.
FIRST_FRAME_LIMIT_BYTES = 1_024
LABEL = b"shallotspindle frame 1"


@dataclass(frozen=True, slots=True)
class FrameFailure(Failure):
    """The stream cannot be used any more and must be closed."""


@dataclass(frozen=True, slots=True)
class FrameTooLarge(FrameFailure):
    """The announced length is above the limit."""


@dataclass(frozen=True, slots=True)
class FrameForged(FrameFailure):
    """The MAC is wrong: other secret, other connection, other place or damage."""


class Direction(enum.Enum):
    """Who sends: the side that opened the connection or the other one."""

    DIALER = b"d"
    LISTENER = b"l"


def derive_key(
    secret: bytes, dialer_nonce: bytes, listener_nonce: bytes, direction: Direction
) -> bytes:
    """Return the key of one direction of one connection.

    :param secret: the fleet secret.
    :param dialer_nonce: random bytes of the side that opened the connection.
    :param listener_nonce: random bytes of the other side.
    """
    text = LABEL + direction.value + dialer_nonce + listener_nonce
    return hmac.digest(secret, text, "sha256")


def _compute_mac(key: bytes, number: int, payload: bytes) -> bytes:
    text = number.to_bytes(8, "big") + payload
    return hmac.digest(key, text, "sha256")[:MAC_BYTES]


class Sealer:
    """Makes the frames of one direction.

    :param key: from :func:`derive_key`.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._number = 0

    def seal(self, payload: bytes) -> bytes | FrameTooLarge:
        """Return the next frame."""
        if len(payload) > FRAME_LIMIT_BYTES:
            item = f"{len(payload)} bytes"
            return FrameTooLarge("frame", "the payload is too large", item)
        mac = _compute_mac(self._key, self._number, payload)
        self._number += 1
        return len(payload).to_bytes(LENGTH_BYTES, "big") + mac + payload


class Opener:
    """Checks the frames of one direction.

    :param key: from :func:`derive_key`.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._number = 0
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Result[tuple[bytes, ...], FrameFailure]:
        """Add received bytes and return the payloads that are complete.

        After a failure the stream must be closed; nothing of it may be used.
        """
        self._buffer += data
        payloads = []
        while len(self._buffer) >= LENGTH_BYTES:
            taken = self._take()
            if isinstance(taken, FrameFailure):
                return Error(taken)
            if taken is None:
                break
            payloads.append(taken)
        return Ok(tuple(payloads))

    # Plain values, because one Result a frame costs more than the MAC.
    def _take(self) -> bytes | FrameFailure | None:
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        limit = FRAME_LIMIT_BYTES if self._number else FIRST_FRAME_LIMIT_BYTES
        if length > limit:
            item = f"{length} bytes"
            return FrameTooLarge("frame", "the frame is too large", item)
        end = OVERHEAD_BYTES + length
        if len(self._buffer) < end:
            return None
        mac = bytes(self._buffer[LENGTH_BYTES:OVERHEAD_BYTES])
        payload = bytes(self._buffer[OVERHEAD_BYTES:end])
        if not hmac.compare_digest(mac, _compute_mac(self._key, self._number, payload)):
            return FrameForged("frame", "the MAC is wrong", str(self._number))
        del self._buffer[:end]
        self._number += 1
        return payload
