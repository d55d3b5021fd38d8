from shallotspindle_entry.answers import (
    FRAMING_BYTES,
    LARGEST_HEADS,
    AnswerLimits,
    Fault,
    Progress,
    Room,
)

LIMITS = AnswerLimits(head_bytes=100, body_bytes=1000, room_bytes=2000)


class TestProgress:
    def test_a_head_may_not_reach_its_limit(self):
        assert Progress(LIMITS, received=99).find_head_fault() is None
        fault = Progress(LIMITS, received=100).find_head_fault()
        assert fault is Fault.HEAD_TOO_LONG

    def test_a_body_may_reach_its_limit(self):
        assert Progress(LIMITS, received=1050, body=1000).find_body_fault() is None
        fault = Progress(LIMITS, received=1051, body=1001).find_body_fault()
        assert fault is Fault.BODY_TOO_LONG

    def test_informational_answers_are_counted(self):
        # Guards against heads without end that are small enough for the limit.
        progress = Progress(LIMITS, received=50, heads=LARGEST_HEADS)
        assert progress.find_head_fault() is Fault.HEAD_TOO_LONG

    def test_a_body_in_chunks_of_one_byte_is_taken(self):
        # Guards against a limit on framing that breaks off proper answers.
        assert Progress(LIMITS, received=90 + 600, body=100).find_body_fault() is None

    def test_framing_without_a_body_is_broken_off(self):
        # Guards against chunk extensions and trailers without end.
        framing = LIMITS.head_bytes + FRAMING_BYTES
        assert Progress(LIMITS, received=framing).find_body_fault() is None
        fault = Progress(LIMITS, received=framing + 1).find_body_fault()
        assert fault is Fault.FRAMING_TOO_LONG

    def test_framing_is_not_judged_before_the_body_is_known(self):
        # Guards against a body that is kept by the parser and counted as framing.
        progress = Progress(LIMITS, received=LIMITS.head_bytes + FRAMING_BYTES + 1)
        assert progress.find_body_fault(is_partial=True) is None


class TestRoom:
    def test_the_largest_answer_is_broken_off(self):
        # Guards against an ordinary answer that pays for one without end beside it.
        room = Room(1000)
        assert room.hold(1, 900) is None
        assert room.hold(2, 100) is None
        assert room.hold(2, 101) == 1

    def test_an_answer_that_left_takes_no_room(self):
        room = Room(1000)
        room.hold(1, 900)
        room.leave(1)
        assert room.used == 0
        assert room.hold(2, 1000) is None

    def test_a_growing_answer_is_counted_once(self):
        room = Room(1000)
        for size in (100, 500, 1000):
            assert room.hold(1, size) is None
        assert room.used == 1000

    def test_leaving_twice_changes_nothing(self):
        # Guards against a count that drifts when a connection ends in two ways.
        room = Room(1000)
        room.hold(1, 10)
        room.leave(1)
        room.leave(1)
        assert room.used == 0
