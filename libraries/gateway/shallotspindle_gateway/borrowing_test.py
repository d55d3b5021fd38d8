from random import Random

from shallotspindle_core.identifiers import FailureDomain
from shallotspindle_gateway.borrowing import draw_domain

A, B, C = (FailureDomain(name) for name in "abc")
DRAWS = 4000


def count_draws(counts, own, populated) -> dict[FailureDomain | None, float]:
    random = Random(1)
    drawn = [draw_domain(counts, own, populated, random) for _ in range(DRAWS)]
    return {name: drawn.count(name) / DRAWS for name in set(drawn)}


class TestDesertedDomains:
    def test_nothing_leaves_the_own_domain_while_all_have_instances(self):
        # Guards against bytes between domains that nobody needs.
        assert count_draws({A: 10, B: 10}, A, {A, B}) == {None: 1.0}

    def test_two_domains_share_the_upstreams_of_a_third(self):
        parts = count_draws({A: 10, B: 10, C: 10}, A, {A, B})
        assert abs(parts[C] - 1 / 3) < 0.05
        assert abs(parts[None] - 2 / 3) < 0.05

    def test_an_instance_without_near_upstreams_asks_a_deserted_domain(self):
        assert count_draws({C: 10}, A, {A, B}) == {C: 1.0}

    def test_without_upstreams_nothing_is_drawn(self):
        assert count_draws({}, A, {A}) == {None: 1.0}
