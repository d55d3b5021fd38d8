import asyncio
from dataclasses import replace

from shallotspindle_audit.records import Change
from shallotspindle_environment.memory import MemoryStore
from shallotspindle_operations import auditing
from shallotspindle_settings import audit


def build_change(n):
    return Change(f"attempt-{n}", "2026-12-04", "astrid", "bundle", n)


async def append_changes(store, count):
    for n in range(count):
        assert (await auditing.append_record(store, build_change(n))).is_ok()


class TestAuditing:
    async def test_concurrent_writers_get_different_numbers(self):
        # Guards against a record that overwrites another one.
        store = MemoryStore()
        await asyncio.gather(
            *(auditing.append_record(store, build_change(n)) for n in range(8))
        )
        trail, failures = (await auditing.verify_trail(store, None)).ok
        assert sorted(r.change.version for r in trail) == list(range(8))
        assert failures == ()

    async def test_lost_response_writes_one_record(self):
        # Guards against a change that is recorded twice.
        store = MemoryStore()
        for losses in (1, 2, 5):
            store.lost_response_count = losses
            assert (await auditing.append_record(store, build_change(losses))).is_ok()
        store.lost_response_count = 0
        assert len((await auditing.read_trail(store)).ok) == 3

    async def test_writer_that_loses_a_race_takes_the_next_number(self):
        # Guards against a writer that gives up, or breaks the digest chain, when
        # another writer takes its sequence number between the read and the write.
        store = MemoryStore()
        await append_changes(store, 1)
        first = (await auditing.read_last_record(store)).ok
        other = replace(first, sequence=2, change=build_change(9))
        other = replace(other, previous=auditing.records.compute_digest(first))
        data = audit.format_record(other)
        store.before_next_write = lambda _: store.put(audit.build_key(2), data)
        written = await auditing.append_record(store, build_change(2))
        assert written.ok.sequence == 3
        assert (await auditing.verify_trail(store, None)).ok[1] == ()

    async def test_tampering_in_the_store_is_detected(self):
        # Guards against a changed or removed record that goes unnoticed.
        store = MemoryStore()
        await append_changes(store, 4)
        trail = (await auditing.read_trail(store)).ok
        forged = replace(trail[1], change=build_change(7))
        store.put(audit.build_key(2), audit.format_record(forged))
        assert (await auditing.verify_trail(store, None)).ok[1]
        store.put(audit.build_key(2), audit.format_record(trail[1]))
        assert not (await auditing.verify_trail(store, None)).ok[1]
        entry = (await store.get(audit.build_key(2))).ok
        await store.remove(entry.key, entry.revision)
        assert (await auditing.verify_trail(store, None)).ok[1]

    async def test_wrong_hint_does_not_change_the_result(self):
        # Guards against lost records when the stored hint points past the end.
        store = MemoryStore()
        await append_changes(store, 3)
        store.put(audit.AUDIT_HINT_KEY, b"99")
        assert (await auditing.read_last_record(store)).ok.sequence == 3
        assert len((await auditing.read_last_records(store, 2)).ok) == 2
