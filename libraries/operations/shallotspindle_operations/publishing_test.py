from dataclasses import replace

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from shallotspindle_bundles import teams
from shallotspindle_bundles.records import Bundle, Team
from shallotspindle_environment.interface import OutcomeUnknown
from shallotspindle_environment.memory import MemoryStore
from shallotspindle_operations import publishing
from shallotspindle_operations.publishing import VersionConflict
from shallotspindle_settings import manifest

KEY = Ed25519PrivateKey.from_private_bytes(b"k" * 32)
FIRST = Bundle(1, b"s" * 16, teams.build_teams([Team("dealer", 1.0, 1.0)]))


async def prepare(store, bundle, attempt):
    accepted = (await publishing.read_accepted(store)).ok
    proposal = publishing.propose(accepted, bundle, "astrid", KEY, attempt).ok
    return accepted, proposal


class TestPublishing:
    async def test_accepted_bundle_reads_back_equal(self):
        # Guards against an encoding that changes the bundle.
        store = MemoryStore()
        published = await publishing.publish(store, *await prepare(store, FIRST, "a"))
        assert published.is_ok()
        accepted = (await publishing.read_accepted(store)).ok
        assert accepted.bundle == FIRST

    async def test_only_one_of_two_concurrent_operators_succeeds(self):
        # Guards against a second operator who silently replaces the first one's bundle.
        store = MemoryStore()
        one, two = await prepare(store, FIRST, "a"), await prepare(store, FIRST, "b")
        assert (await publishing.publish(store, *one)).is_ok()
        rejected = await publishing.publish(store, *two)
        assert isinstance(rejected.error, VersionConflict)
        later_accepted = (await publishing.read_accepted(store)).ok
        proposal = publishing.propose(later_accepted, FIRST, "astrid", KEY, "c")
        assert isinstance(proposal.error, VersionConflict)

    async def test_lost_responses_are_resolved_by_reading_back(self):
        # Guards against a second publication after a lost response.
        store = MemoryStore()
        prepared = await prepare(store, FIRST, "a")
        store.lost_response_count = 100
        assert (await publishing.publish(store, *prepared)).is_ok()
        store.lost_response_count = 0
        assert (await publishing.read_version(store)).ok == 1

    async def test_lost_response_of_a_rejected_write_is_a_conflict(self):
        # Guards against an unknown outcome when another attempt has stored the version.
        store = MemoryStore()
        one, two = await prepare(store, FIRST, "a"), await prepare(store, FIRST, "b")
        await publishing.publish(store, *one)
        unknown = OutcomeUnknown("store", "lost")
        data = manifest.format_manifest(two[1].manifest)
        result = await publishing.confirm_write(store, two[1].manifest, data, unknown)
        assert isinstance(result, VersionConflict)

    async def test_outcome_is_unknown_while_the_store_does_not_report_it(self):
        # Guards against a delayed write that takes effect after it was reported as
        # failed.
        store = MemoryStore()
        _, proposal = await prepare(store, FIRST, "a")
        unknown = OutcomeUnknown("store", "lost")
        data = manifest.format_manifest(proposal.manifest)
        result = await publishing.confirm_write(store, proposal.manifest, data, unknown)
        assert result is unknown
        store.is_unavailable = True
        result = await publishing.confirm_write(store, proposal.manifest, data, unknown)
        assert result is unknown

    async def test_change_of_one_team_writes_two_chunks(self):
        # Guards against a small change that rewrites the whole bundle.
        store = MemoryStore()
        large_bundle = replace(
            FIRST, teams=teams.build_teams(Team(f"t{n}", 1.0, 1.0) for n in range(999))
        )
        await publishing.publish(store, *await prepare(store, large_bundle, "a"))
        table = teams.replace_teams(large_bundle.teams, {"t7": Team("t7", 2.0, 1.0)})
        changed = replace(large_bundle, version=2, teams=table)
        _, proposal = await prepare(store, changed, "b")
        assert len(proposal.chunks) == 2
        assert len(proposal.delta) < 300

    async def test_chunks_of_old_versions_are_removed(self, monkeypatch):
        # Guards against a store that grows with every change, and against the removal
        # of chunks that an older bundle shares with the accepted one.
        monkeypatch.setattr(publishing.deltas, "MAX_STORED_DELTAS", 3)
        store, rates = MemoryStore(), [1.0, 2.0, 3.0, 1.0, 4.0, 5.0, 4.0, 6.0]
        for n, rate in enumerate(rates, start=1):
            table = teams.build_teams([Team("dealer", rate, 1.0)])
            bundle = replace(FIRST, version=n, teams=table)
            await publishing.publish(store, *await prepare(store, bundle, str(n)))
            read = await publishing.read_accepted(store)
            assert read.ok.bundle == bundle
        stored = (await store.list(manifest.CHUNK_PREFIX)).ok
        assert len(stored) <= 10

    async def test_signed_manifest_belongs_to_one_bundle(self):
        # Guards against a signature that is used for another bundle.
        store = MemoryStore()
        accepted, proposal = await prepare(store, FIRST, "a")
        other = replace(FIRST, salt=b"t" * 16)
        same = publishing.propose_signed(accepted, FIRST, proposal.manifest)
        assert same.ok == proposal
        assert publishing.propose_signed(accepted, other, proposal.manifest).is_error()
