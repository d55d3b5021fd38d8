from shallotspindle_gateway.changelog import LARGEST_BYTES, ChangeLog, ViewFreshness
from shallotspindle_gateway.storage import Changes, Snapshot, StoredValue

AT = ViewFreshness(0.5, 0.1)


def store(key: str, revision: int, value: bytes = b"x") -> StoredValue:
    return StoredValue(key, value, revision)


def build_log() -> ChangeLog:
    log = ChangeLog()
    snapshot = Snapshot((store("a", 1), store("b", 2)), 5)
    log.add(log.compare(snapshot))
    return log


class TestTell:
    def test_only_what_is_news_to_the_asker_is_told(self):
        log = build_log()
        log.add(Changes((store("c", 6), "a"), 7))
        told = log.tell(5, AT)
        assert told.events == (("c", b"x", 6, False), ("a", b"", 0, True))
        assert (told.revision, told.is_complete) == (7, True)
        assert log.tell(7, AT).events == ()

    def test_an_asker_from_before_the_log_must_read_the_store(self):
        # Guards against a neighbour that misses the changes before the log began.
        assert build_log().tell(4, AT).is_history_missing

    def test_an_asker_that_is_ahead_keeps_its_revision(self):
        assert build_log().tell(9, AT).revision == 9

    def test_many_changes_are_told_in_parts_that_confirm_nothing(self):
        # Guards against a confirmation of a version whose changes are still missing.
        log = build_log()
        half = b"x" * (LARGEST_BYTES // 2 + 1)
        log.add(Changes((store("c", 6, half),), 6))
        log.add(Changes((store("d", 7, half),), 7))
        first = log.tell(5, AT)
        assert (first.revision, first.is_complete) == (6, False)
        second = log.tell(first.revision, AT)
        assert (second.revision, second.is_complete) == (7, True)


class TestCompare:
    def test_a_snapshot_is_told_as_its_differences(self):
        # Guards against neighbours that all read the store after a lost history.
        log = build_log()
        log.add(log.compare(Snapshot((store("a", 1), store("c", 8)), 9)))
        told = log.tell(5, AT)
        assert {event[0] for event in told.events} == {"c", "b"}
        assert not told.is_history_missing

    def test_an_old_event_changes_nothing(self):
        log = build_log()
        assert log.add(Changes((store("b", 1, b"old"),), 6)) == []
