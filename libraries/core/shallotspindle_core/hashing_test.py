from shallotspindle_core import hashing


class TestRendezvous:
    def test_removal_moves_only_the_keys_of_the_removed_candidate(self):
        # Guards against a hash that reshuffles every key when one instance leaves.
        names = [f"instance-{n}" for n in range(10)]
        for n in range(200):
            before = hashing.rank_rendezvous(f"key-{n}", names)
            after = hashing.rank_rendezvous(f"key-{n}", names[1:])
            assert after == [name for name in before if name != names[0]]


class TestPartition:
    def test_parts_are_kept_apart(self):
        # Guards against ("ab", "c") and ("a", "bc") sharing one hash.
        assert hashing.hash_text("ab", "c") != hashing.hash_text("a", "bc")

    def test_partition_is_in_range(self):
        found = {hashing.find_partition("team", str(n)) for n in range(20_000)}
        assert min(found) == 0
        assert max(found) == hashing.PARTITION_COUNT - 1
