from shallotspindle_core import hashing


class TestRankRendezvous:
    def test_removal_moves_only_keys_of_the_removed_candidate(self):
        # Guards against a hash that reshuffles every key when one instance leaves.
        names = [f"instance-{number}" for number in range(10)]
        for number in range(200):
            before = hashing.rank_rendezvous(f"key-{number}", names)
            after = hashing.rank_rendezvous(f"key-{number}", names[1:])
            assert after == [name for name in before if name != names[0]]


class TestPartition:
    def test_boundaries_between_parts_count(self):
        # Guards against ("ab", "c") and ("a", "bc") sharing one hash.
        assert hashing.hash_text("ab", "c") != hashing.hash_text("a", "bc")

    def test_partitions_span_the_whole_range(self):
        # Guards against partition numbers that are out of range.
        partitions = {
            hashing.find_partition("team", str(number)) for number in range(20_000)
        }
        assert min(partitions) == 0
        assert max(partitions) == hashing.PARTITION_COUNT - 1
