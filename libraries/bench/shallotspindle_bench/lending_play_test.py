from dataclasses import replace
from random import Random

from shallotspindle_bench.lending_play import (
    Kind,
    Play,
    Tally,
    World,
    build_default,
)
from shallotspindle_lending.scheduler import SlotScheduler
from shallotspindle_lending.upstreams import TrustTier

# Rates and times of one failure domain of the deployments of today.
READS = Kind("reads", True, 12.4, 0.12, 0.5, 0.8, priority=2)
ORDERS = Kind("orders", False, 21.7, 0.16, 0.5, 1.0, priority=1)
SEEDS = range(4)


class ArrivalDesk(SlotScheduler):
    """Naive desk: any upstream with a free slot, whatever its runs showed."""

    def _choose_upstream(self, item, now):
        tiers = self._group_by_tier(item.request, now)
        free = [standing for tier in TrustTier for standing in tiers[tier]]
        return min(free, key=lambda s: (len(s.leases), s.last_granted_at), default=None)


def play(world: World, kind: type[SlotScheduler] = SlotScheduler) -> dict[str, Tally]:
    """Return the tallies of all seeds together."""
    total = {kind.name: Tally() for kind in world.kinds}

    def build(random: Random) -> SlotScheduler:
        desk = build_default(random)
        desk.__class__ = kind
        return desk

    for seed in SEEDS:
        for name, tally in Play(world, seed, build).run().items():
            for part in ("sent", "on_time", "late", "refused", "lost"):
                summed = getattr(total[name], part) + getattr(tally, part)
                setattr(total[name], part, summed)
    return total


class TestGrayUpstreams:
    """The load of an ordinary day; three upstreams in ten turn gray every 9 s."""

    WORLD = World((READS, ORDERS))

    def test_orders_are_lost_about_as_often_as_upstreams_fail(self):
        # Guards against orders that find out which upstreams turned gray. One in
        # eighty runs ends with a server error wherever it is sent.
        orders = play(self.WORLD)["orders"]
        assert orders.lost_part < 0.03
        assert orders.served_part > 0.96

    def test_reads_survive_the_upstreams_that_they_prove(self):
        reads = play(self.WORLD)["reads"]
        assert reads.served_part > 0.96

    def test_the_naive_desk_loses_several_times_as_many(self):
        # Shows that the world can tell a good desk from a bad one.
        orders = play(self.WORLD, ArrivalDesk)["orders"]
        assert orders.lost_part > 2 * play(self.WORLD)["orders"].lost_part


class TestOverload:
    """More requests than the slots can serve, and no gray upstreams."""

    WORLD = World(
        (replace(READS, rate=60.0), replace(ORDERS, rate=80.0)),
        gray_part=0.0,
        seconds=12.0,
    )

    def test_orders_go_first_and_what_is_served_is_on_time(self):
        # Guards against a queue in which everything is served too late.
        tallies = play(self.WORLD)
        reads, orders = tallies["reads"], tallies["orders"]
        assert orders.served_part > reads.served_part
        assert orders.on_time > 5 * orders.late

    def test_nothing_that_was_refused_had_run(self):
        # Guards against a refusal that says not run after a send.
        tallies = play(replace(self.WORLD, error_part=0.0))
        assert tallies["orders"].lost_part < 0.02
