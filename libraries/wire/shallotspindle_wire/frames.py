"""Length-prefixed frames with a message authentication code (MAC).

A frame is ``length (4 bytes) | MAC (16 bytes) | payload``; the length is that of the
payload. Each direction of a connection has a key, derived from the fleet secret and
both nonces of the connection. The MAC also covers the sequence number of the frame, so
a frame that is forged, replayed, reordered or sent back to its sender is rejected.
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
# Leaves room for a bundle chunk, which the store limits to 1 MB.
MAX_PAYLOAD_BYTES = 2_000_000
# Applies until a valid first frame proves that the sender knows the fleet secret.
MAX_FIRST_PAYLOAD_BYTES = 1_024
KEY_LABEL = b"shallotspindle frame 1"


@dataclass(frozen=True, slots=True)
class FrameFailure(Failure):
    """The stream can no longer be used and must be closed."""


@dataclass(frozen=True, slots=True)
class FrameTooLarge(FrameFailure):
    """The payload is longer than the limit."""


@dataclass(frozen=True, slots=True)
class FrameForged(FrameFailure):
    """The MAC is wrong.

    The frame was made with another secret, for another connection, direction or
    sequence number, or it was damaged.
    """


class Direction(enum.Enum):
    """The sending side: the one that opened the connection or the one that accepted."""

    DIALER = b"d"
    LISTENER = b"l"


def derive_key(
    secret: bytes, dialer_nonce: bytes, listener_nonce: bytes, direction: Direction
) -> bytes:
    """Return the key of one direction of one connection.

    :param secret: the fleet secret.
    :param dialer_nonce: random bytes of the side that opened the connection.
    :param listener_nonce: random bytes of the side that accepted it.
    """
    authenticated_data = KEY_LABEL + direction.value + dialer_nonce + listener_nonce
    return hmac.digest(secret, authenticated_data, "sha256")


def _compute_mac(key: bytes, number: int, payload: bytes) -> bytes:
    authenticated_data = number.to_bytes(8, "big") + payload
    return hmac.digest(key, authenticated_data, "sha256")[:MAC_BYTES]


class FrameEncoder:
    """Encodes the payloads of one direction as frames.

    :param key: from :func:`derive_key`.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._next_number = 0

    def encode(self, payload: bytes) -> bytes | FrameTooLarge:
        """Return the next frame, with the payload."""
        if len(payload) > MAX_PAYLOAD_BYTES:
            item = f"{len(payload)} bytes"
            return FrameTooLarge("frame", "the payload is too large", item)
        mac = _compute_mac(self._key, self._next_number, payload)
        self._next_number += 1
        return len(payload).to_bytes(LENGTH_BYTES, "big") + mac + payload


class FrameDecoder:
    """Decodes and verifies the frames of one direction.

    :param key: from :func:`derive_key`.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._next_number = 0
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Result[tuple[bytes, ...], FrameFailure]:
        """Add received bytes and return the payloads of the frames that they complete.

        After a failure the stream must be closed; no further bytes may be decoded.
        """
        self._buffer += data
        payloads = []
        while len(self._buffer) >= LENGTH_BYTES:
            decoded = self._decode_next()
            if isinstance(decoded, FrameFailure):
                return Error(decoded)
            if decoded is None:
                break
            payloads.append(decoded)
        return Ok(tuple(payloads))

    # Returns plain values, because a Result for each frame costs more than the MAC.
    def _decode_next(self) -> bytes | FrameFailure | None:
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        max_bytes = MAX_PAYLOAD_BYTES if self._next_number else MAX_FIRST_PAYLOAD_BYTES
        if length > max_bytes:
            item = f"{length} bytes"
            return FrameTooLarge("frame", "the frame is too large", item)
        end = OVERHEAD_BYTES + length
        if len(self._buffer) < end:
            return None
        mac = bytes(self._buffer[LENGTH_BYTES:OVERHEAD_BYTES])
        payload = bytes(self._buffer[OVERHEAD_BYTES:end])
        if not hmac.compare_digest(
            mac, _compute_mac(self._key, self._next_number, payload)
        ):
            return FrameForged("frame", "the MAC is wrong", str(self._next_number))
        del self._buffer[:end]
        self._next_number += 1
        return payload
