from shallotspindle_wire import frames
from shallotspindle_wire.frames import Direction, FrameForged, FrameTooLarge

DIALER_NONCE = b"a" * 16
LISTENER_NONCE = b"b" * 16


def make_key(
    secret: bytes = b"secret",
    nonce: bytes = DIALER_NONCE,
    direction: Direction = Direction.DIALER,
) -> bytes:
    return frames.derive_key(secret, nonce, LISTENER_NONCE, direction)


def encode_all(*payloads: bytes) -> list[bytes]:
    encoder = frames.FrameEncoder(make_key())
    return [encoder.encode(payload) for payload in payloads]


class TestFrames:
    def test_payloads_are_decoded_from_single_bytes(self):
        # Guards against frames lost when the network splits the stream inside them.
        decoder = frames.FrameDecoder(make_key())
        payloads = []
        for byte in b"".join(encode_all(b"one", b"", b"three")):
            payloads += decoder.feed(bytes([byte])).ok
        assert payloads == [b"one", b"", b"three"]

    def test_replayed_frame_is_rejected(self):
        # Guards against an attacker that repeats a recorded message.
        decoder = frames.FrameDecoder(make_key())
        first = encode_all(b"one")[0]
        assert decoder.feed(first).ok == (b"one",)
        assert isinstance(decoder.feed(first).error, FrameForged)

    def test_reordered_frame_is_rejected(self):
        # Guards against an attacker that drops or reorders messages unnoticed.
        second = encode_all(b"one", b"two")[1]
        assert isinstance(
            frames.FrameDecoder(make_key()).feed(second).error, FrameForged
        )

    def test_frame_of_other_secret_connection_or_direction_is_rejected(self):
        # Guards against peers without the fleet secret, frames replayed on a later
        # connection, and frames reflected to their sender.
        other_keys = (
            make_key(secret=b"other"),
            make_key(nonce=b"c" * 16),
            make_key(direction=Direction.LISTENER),
        )
        for key in other_keys:
            assert isinstance(
                frames.FrameDecoder(key).feed(encode_all(b"x")[0]).error, FrameForged
            )

    def test_damaged_byte_is_rejected(self):
        # Guards against damaged payloads that are taken for messages.
        frame = encode_all(b"payload")[0]
        for position in range(frames.LENGTH_BYTES, len(frame)):
            damaged = bytearray(frame)
            damaged[position] ^= 1
            assert frames.FrameDecoder(make_key()).feed(bytes(damaged)).is_error()

    def test_length_is_checked_before_the_payload_arrives(self):
        # Guards against a sender without the fleet secret that makes the process buffer
        # large frames.
        length = (frames.MAX_FIRST_PAYLOAD_BYTES + 1).to_bytes(4, "big")
        result = frames.FrameDecoder(make_key()).feed(length)
        assert isinstance(result.error, FrameTooLarge)
        large = b"x" * (frames.MAX_PAYLOAD_BYTES + 1)
        assert isinstance(frames.FrameEncoder(make_key()).encode(large), FrameTooLarge)
