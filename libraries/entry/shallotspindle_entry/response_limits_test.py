from shallotspindle_entry.response_limits import (
    FRAMING_ALLOWANCE_BYTES,
    MAX_HEADS,
    ResponseFault,
    ResponseLimits,
    ResponseMemory,
    ResponseProgress,
)

LIMITS = ResponseLimits(max_head_bytes=100, max_body_bytes=1000, max_total_bytes=2000)


class TestResponseProgress:
    def test_head_is_rejected_when_it_reaches_its_limit(self):
        # Guards against a head that fills the limit and still has no end.
        assert ResponseProgress(LIMITS, received_bytes=99).find_head_fault() is None
        fault = ResponseProgress(LIMITS, received_bytes=100).find_head_fault()
        assert fault is ResponseFault.HEAD_TOO_LONG

    def test_body_is_rejected_only_above_its_limit(self):
        # Guards against aborting a response whose body has exactly the allowed size.
        assert (
            ResponseProgress(
                LIMITS, received_bytes=1050, body_bytes=1000
            ).find_body_fault()
            is None
        )
        fault = ResponseProgress(
            LIMITS, received_bytes=1051, body_bytes=1001
        ).find_body_fault()
        assert fault is ResponseFault.BODY_TOO_LONG

    def test_number_of_informational_responses_is_limited(self):
        # Guards against endless informational responses that stay below the byte limit.
        progress = ResponseProgress(LIMITS, received_bytes=50, head_count=MAX_HEADS)
        assert progress.find_head_fault() is ResponseFault.HEAD_TOO_LONG

    def test_body_in_chunks_of_one_byte_is_accepted(self):
        # Guards against a framing limit that aborts valid responses.
        assert (
            ResponseProgress(
                LIMITS, received_bytes=90 + 600, body_bytes=100
            ).find_body_fault()
            is None
        )

    def test_framing_without_a_body_is_rejected(self):
        # Guards against endless chunk extensions and trailers.
        framing = LIMITS.max_head_bytes + FRAMING_ALLOWANCE_BYTES
        assert (
            ResponseProgress(LIMITS, received_bytes=framing).find_body_fault() is None
        )
        fault = ResponseProgress(LIMITS, received_bytes=framing + 1).find_body_fault()
        assert fault is ResponseFault.FRAMING_TOO_LONG

    def test_framing_is_not_checked_while_body_size_is_incomplete(self):
        # Guards against counting body bytes that the parser holds back as framing.
        progress = ResponseProgress(
            LIMITS, received_bytes=LIMITS.max_head_bytes + FRAMING_ALLOWANCE_BYTES + 1
        )
        assert progress.find_body_fault(is_partial=True) is None


class TestResponseMemory:
    def test_largest_response_is_aborted(self):
        # Guards against an ordinary response that is aborted because of an endless one.
        memory = ResponseMemory(1000)
        assert memory.set_size(1, 900) is None
        assert memory.set_size(2, 100) is None
        assert memory.set_size(2, 101) == 1

    def test_released_response_uses_no_memory(self):
        # Guards against a total that keeps counting responses that ended.
        memory = ResponseMemory(1000)
        memory.set_size(1, 900)
        memory.release(1)
        assert memory.used_bytes == 0
        assert memory.set_size(2, 1000) is None

    def test_growing_response_is_counted_once(self):
        # Guards against adding up the successive sizes of one response.
        memory = ResponseMemory(1000)
        for size in (100, 500, 1000):
            assert memory.set_size(1, size) is None
        assert memory.used_bytes == 1000

    def test_second_release_has_no_effect(self):
        # Guards against a wrong total when the end of a connection is reported twice.
        memory = ResponseMemory(1000)
        memory.set_size(1, 10)
        memory.release(1)
        memory.release(1)
        assert memory.used_bytes == 0
