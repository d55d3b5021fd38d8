from shallotspindle_core.identifiers import FailureDomain, ServiceName
from shallotspindle_gateway.election import rank_lenders, rank_members
from shallotspindle_gateway.records import Member


def build(count: int, capacity: float, first: int = 0) -> list[Member]:
    domain = FailureDomain("a")
    names = range(first, first + count)
    return [Member(f"10.0.0.{n}:1", domain, capacity) for n in names]


class TestRank:
    def test_strong_members_come_first(self):
        # Guards against a small link that carries the changes for a whole domain.
        members = build(20, 10.0) + build(2, 200.0, first=50)
        ranked = rank_members("watcher", members)
        assert set(ranked[:2]) == {"10.0.0.50:1", "10.0.0.51:1"}
        assert len(ranked) == 22

    def test_roles_are_spread_over_equals(self):
        members = build(12, 1000.0)
        firsts = {rank_members(f"role {n}", members)[0] for n in range(60)}
        assert len(firsts) > 8

    def test_all_members_agree_whatever_the_order(self):
        members = build(12, 10.0) + build(3, 100.0, first=50)
        assert rank_members("r", members) == rank_members("r", members[::-1])


class TestLenders:
    SERVICE = ServiceName("catalogue")

    def test_the_members_of_a_domain_lend_its_slots(self):
        far = [Member(f"10.1.0.{n}:1", FailureDomain("b"), 500.0) for n in range(4)]
        near = build(4, 10.0)
        ranked = rank_lenders(self.SERVICE, FailureDomain("a"), near + far)
        assert set(ranked) == {member.address for member in near}

    def test_others_lend_for_a_domain_without_members(self):
        # Guards against upstreams that nobody lends after the loss of their neighbours.
        members = build(12, 10.0)
        ranked = rank_lenders(self.SERVICE, FailureDomain("c"), members)
        assert set(ranked) == {member.address for member in members}
        assert ranked == rank_lenders(self.SERVICE, FailureDomain("c"), members[::-1])
