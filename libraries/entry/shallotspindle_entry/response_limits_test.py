from shallotspindle_entry.response_limits import (
    FRAMING_ALLOWANCE_BYTES,
    MAX_HEADS,
    ResponseFault,
    ResponseLimits,
    ResponseMemory,
    ResponseProgress,
)

LIMITS = ResponseLimits(max_head_bytes=100, max_body_bytes=1000, max_total_bytes=2000)


class TestProgress:
    def test_a_head_may_not_reach_its_limit(self):
        assert ResponseProgress(LIMITS, received_bytes=99).find_head_fault() is None
        fault = ResponseProgress(LIMITS, received_bytes=100).find_head_fault()
        assert fault is ResponseFault.HEAD_TOO_LONG

    def test_a_body_may_reach_its_limit(self):
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

    def test_informational_answers_are_counted(self):
        # Guards against heads without end that are small enough for the limit.
        progress = ResponseProgress(LIMITS, received_bytes=50, head_count=MAX_HEADS)
        assert progress.find_head_fault() is ResponseFault.HEAD_TOO_LONG

    def test_a_body_in_chunks_of_one_byte_is_taken(self):
        # Guards against a limit on framing that breaks off proper answers.
        assert (
            ResponseProgress(
                LIMITS, received_bytes=90 + 600, body_bytes=100
            ).find_body_fault()
            is None
        )

    def test_framing_without_a_body_is_broken_off(self):
        # Guards against chunk extensions and trailers without end.
        framing = LIMITS.max_head_bytes + FRAMING_ALLOWANCE_BYTES
        assert (
            ResponseProgress(LIMITS, received_bytes=framing).find_body_fault() is None
        )
        fault = ResponseProgress(LIMITS, received_bytes=framing + 1).find_body_fault()
        assert fault is ResponseFault.FRAMING_TOO_LONG

    def test_framing_is_not_judged_before_the_body_is_known(self):
        # Guards against a body that is kept by the parser and counted as framing.
        progress = ResponseProgress(
            LIMITS, received_bytes=LIMITS.max_head_bytes + FRAMING_ALLOWANCE_BYTES + 1
        )
        assert progress.find_body_fault(is_partial=True) is None


class TestRoom:
    def test_the_largest_answer_is_broken_off(self):
        # Guards against an ordinary answer that pays for one without end beside it.
        memory = ResponseMemory(1000)
        assert memory.set_size(1, 900) is None
        assert memory.set_size(2, 100) is None
        assert memory.set_size(2, 101) == 1

    def test_an_answer_that_left_takes_no_room(self):
        memory = ResponseMemory(1000)
        memory.set_size(1, 900)
        memory.release(1)
        assert memory.used_bytes == 0
        assert memory.set_size(2, 1000) is None

    def test_a_growing_answer_is_counted_once(self):
        memory = ResponseMemory(1000)
        for size in (100, 500, 1000):
            assert memory.set_size(1, size) is None
        assert memory.used_bytes == 1000

    def test_leaving_twice_changes_nothing(self):
        # Guards against a count that drifts when a connection ends in two ways.
        memory = ResponseMemory(1000)
        memory.set_size(1, 10)
        memory.release(1)
        memory.release(1)
        assert memory.used_bytes == 0
