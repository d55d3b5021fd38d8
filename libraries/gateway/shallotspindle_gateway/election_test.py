from shallotspindle_core.identifiers import FailureDomain, ServiceName
from shallotspindle_gateway.election import rank_lenders, rank_members
from shallotspindle_gateway.records import Member


def build_members(count: int, capacity: float, first: int = 0) -> list[Member]:
    domain = FailureDomain("a")
    numbers = range(first, first + count)
    return [Member(f"10.0.0.{n}:1", domain, capacity) for n in numbers]


class TestRoles:
    def test_members_with_high_capacity_come_first(self):
        # Guards against a slow link that carries the changes for a whole domain.
        members = build_members(20, 10.0) + build_members(2, 200.0, first=50)
        ranked = rank_members("watcher", members)
        assert set(ranked[:2]) == {"10.0.0.50:1", "10.0.0.51:1"}
        assert len(ranked) == 22

    def test_roles_are_spread_over_members_of_equal_capacity(self):
        # Guards against one member that takes most roles.
        members = build_members(12, 1000.0)
        firsts = {rank_members(f"role {n}", members)[0] for n in range(60)}
        assert len(firsts) > 8

    def test_the_ranking_does_not_depend_on_the_order_of_the_members(self):
        # Guards against instances that choose different holders.
        members = build_members(12, 10.0) + build_members(3, 100.0, first=50)
        assert rank_members("r", members) == rank_members("r", members[::-1])


class TestLenders:
    SERVICE = ServiceName("catalogue")

    def test_the_members_of_a_domain_lend_its_slots(self):
        # Guards against slots that another domain lends needlessly.
        remote = [Member(f"10.1.0.{n}:1", FailureDomain("b"), 500.0) for n in range(4)]
        local = build_members(4, 10.0)
        ranked = rank_lenders(self.SERVICE, FailureDomain("a"), local + remote)
        assert set(ranked) == {member.address for member in local}

    def test_other_domains_lend_for_a_domain_without_members(self):
        # Guards against upstreams that nobody lends after the instances of their
        # failure domain are lost.
        members = build_members(12, 10.0)
        ranked = rank_lenders(self.SERVICE, FailureDomain("c"), members)
        assert set(ranked) == {member.address for member in members}
        assert ranked == rank_lenders(self.SERVICE, FailureDomain("c"), members[::-1])
