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


def seal(*payloads: bytes) -> list[bytes]:
    sealer = frames.Sealer(make_key())
    return [sealer.seal(payload) for payload in payloads]


class TestFrames:
    def test_payloads_survive_any_cut_of_the_stream(self):
        opener = frames.Opener(make_key())
        found = []
        for byte in b"".join(seal(b"one", b"", b"three")):
            found += opener.feed(bytes([byte])).ok
        assert found == [b"one", b"", b"three"]

    def test_replayed_frame_is_refused(self):
        opener = frames.Opener(make_key())
        first = seal(b"one")[0]
        assert opener.feed(first).ok == (b"one",)
        assert isinstance(opener.feed(first).error, FrameForged)

    def test_reordered_frame_is_refused(self):
        second = seal(b"one", b"two")[1]
        assert isinstance(frames.Opener(make_key()).feed(second).error, FrameForged)

    def test_frame_of_other_secret_connection_or_direction_is_refused(self):
        # Guards against joining without the secret, replay into a later connection,
        # and frames sent back to their sender.
        others = (
            make_key(secret=b"other"),
            make_key(nonce=b"c" * 16),
            make_key(direction=Direction.LISTENER),
        )
        for key in others:
            assert isinstance(frames.Opener(key).feed(seal(b"x")[0]).error, FrameForged)

    def test_damaged_byte_is_refused(self):
        good = seal(b"payload")[0]
        for place in range(frames.LENGTH_BYTES, len(good)):
            bad = bytearray(good)
            bad[place] ^= 1
            assert frames.Opener(make_key()).feed(bytes(bad)).is_error()

    def test_announced_length_is_bounded_before_anything_is_stored(self):
        # Guards against a stranger who makes the process reserve memory.
        length = (frames.FIRST_FRAME_LIMIT_BYTES + 1).to_bytes(4, "big")
        result = frames.Opener(make_key()).feed(length)
        assert isinstance(result.error, FrameTooLarge)
        large = b"x" * (frames.FRAME_LIMIT_BYTES + 1)
        assert isinstance(frames.Sealer(make_key()).seal(large), FrameTooLarge)
