import heapq

import pytest

from shallotspindle_core import hashing
from shallotspindle_core.identifiers import FailureDomain, Incarnation, Instance
from shallotspindle_membership import gossip, heartbeats, neighbours
from shallotspindle_membership.freshness import MAX_FRESH_AGE_SECONDS, FreshnessTracker
from shallotspindle_membership.heartbeats import StateSummary
from shallotspindle_membership.views import (
    MAX_ACKNOWLEDGEMENT_AGE_SECONDS,
    MembershipView,
)

DELAY_SECONDS = 0.002


class SeededRandom:
    """Deterministic random source that is independent of the ``random`` module."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.count = 0

    def random(self) -> float:
        self.count += 1
        return hashing.hash_text(str(self.seed), str(self.count)) / 2**64

    def randrange(self, stop: int) -> int:
        return int(self.random() * stop)


class SimulatedFleet:
    """Instances that exchange heartbeats over delayed links, some of which are cut.

    :param count: number of instances.
    :param domains: number of failure domains.
    :ivar store_readers: names of the instances that reach the store.
    :ivar is_cut: whether messages from one instance to another are lost.
    """

    def __init__(self, count: int, domains: int, seed: int = 1) -> None:
        self.random = SeededRandom(seed)
        self.now = 0.0
        self.instances = [
            Instance(Incarnation(f"i{n}"), f"a{n}", FailureDomain(f"d{n % domains}"))
            for n in range(count)
        ]
        self.views = {
            peer.incarnation: MembershipView(
                peer, FreshnessTracker(peer.domain, ()), self.random.random()
            )
            for peer in self.instances
        }
        self.summaries = dict.fromkeys(self.views, StateSummary())
        self.store_readers: set[str] = set()
        self.is_cut = lambda sender, receiver: False
        self.sent_count = 0
        self.events: list = []
        for view in self.views.values():
            view.set_listed_instances(self.instances, ())
            self.schedule_timer(view.own_instance.incarnation, 0.0)

    def schedule_timer(self, name: str, delay: float) -> None:
        at = max(self.now + delay, self.views[name].next_heartbeat_at)
        heapq.heappush(self.events, (at, len(self.events), name, None, None))

    def run(self, seconds: float, check=None) -> None:
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, name, sender, heartbeat = heapq.heappop(self.events)
            self.process_event(name, sender, heartbeat)
            if check is not None:
                check(self)
        self.now = end

    def process_event(self, name: str, sender, heartbeat) -> None:
        view = self.views[name]
        if heartbeat is not None:
            scheduled_at = view.next_heartbeat_at
            view.receive_heartbeat(sender, heartbeat, self.summaries[name], self.now)
            if view.next_heartbeat_at < scheduled_at:
                self.schedule_timer(name, 0.0)
            return
        if self.now < view.next_heartbeat_at:
            return
        if name in self.store_readers:
            view.freshness.record_store_contact(self.now)
        for peer, message in view.create_heartbeats(self.summaries[name], self.now):
            self.sent_count += 1
            self.send(view.own_instance, peer.incarnation, message)
        self.schedule_timer(name, 0.0)

    def send(self, sender, receiver: str, heartbeat, delay=DELAY_SECONDS) -> None:
        if receiver in self.views and not self.is_cut(sender.incarnation, receiver):
            at = self.now + delay
            order = self.random.random()
            heapq.heappush(self.events, (at, order, receiver, sender, heartbeat))

    def count_fresh(self) -> int:
        return sum(view.is_fresh(self.now) for view in self.views.values())


def find_reachable(graph: dict[str, tuple[str, ...]]) -> set[str]:
    """Return the nodes that can be reached from the first one."""
    reachable, pending = set(), [next(iter(graph))]
    while pending:
        name = pending.pop()
        if name not in reachable:
            reachable.add(name)
            pending += graph[name]
    return reachable


class TestNeighbours:
    @pytest.mark.parametrize("count", [3, 4, 5, 8, 32, 44, 200])
    def test_graph_is_connected_symmetric_and_of_bounded_degree(self, count):
        # Guards against parts of a fleet that hear nothing of each other.
        names = [f"i{n}" for n in range(count)]
        graph = {name: neighbours.find_neighbours(name, names) for name in names}
        assert find_reachable(graph) == set(names)
        assert max(map(len, graph.values())) <= 2 * neighbours.RING_COUNT
        assert all(name in graph[peer] for name in names for peer in graph[name])

    def test_single_instance_has_no_neighbour(self):
        # Guards against an instance that sends heartbeats to itself.
        assert neighbours.find_neighbours("a", ()) == ()


class TestFreshness:
    def test_store_contact_crosses_the_largest_fleet_in_time(self):
        # Guards against chains of heartbeats whose ages add up to more than 4 s. With
        # 770 instances the chains are the longest that the target fleet has.
        fleet = SimulatedFleet(770, 8)
        fleet.store_readers = {f"i{n}" for n in range(0, 770, 97)}
        fleet.views["i0"].freshness.add_domains(
            [FailureDomain(f"x{n}") for n in range(9)]
        )
        fleet.run(15)
        fleet.sent_count = 0
        max_age = 0.0
        for _ in range(20):
            fleet.run(0.5)
            heard_at = min(
                view.freshness.store_contacted_at for view in fleet.views.values()
            )
            max_age = max(max_age, fleet.now - heard_at)
        assert max_age < MAX_FRESH_AGE_SECONDS
        # 10 s at one heartbeat per second to 4 neighbours, plus early relays.
        assert fleet.sent_count / 770 / 10 < 4 * 1.25

    def test_majority_of_domains_stays_fresh_and_minority_does_not(self):
        # Guards against a minority that misses a withdrawal and still serves.
        fleet = SimulatedFleet(40, 4)
        fleet.run(6)
        assert fleet.count_fresh() == 40
        inside = {f"i{n}" for n in range(40) if n % 4 == 0}
        fleet.is_cut = lambda sender, receiver: (
            (sender in inside) != (receiver in inside)
        )
        fleet.run(MAX_FRESH_AGE_SECONDS + 1)
        assert fleet.count_fresh() == 30
        fleet.is_cut = lambda sender, receiver: False
        fleet.run(6)
        assert fleet.count_fresh() == 40

    def test_peer_with_an_unknown_withdrawal_does_not_keep_an_instance_fresh(self):
        # Guards against accepting a key while a peer knows that it is withdrawn.
        fleet = SimulatedFleet(12, 3)
        fleet.run(6)
        for name in fleet.summaries:
            if name != "i0":
                fleet.summaries[name] = StateSummary(withdrawals=b"w")
        fleet.run(MAX_FRESH_AGE_SECONDS + 1)
        assert not fleet.views["i0"].is_fresh(fleet.now)
        assert fleet.count_fresh() == 11

    def test_heartbeat_that_waited_in_a_buffer_does_not_count_as_recent(self):
        # Guards against a resumed instance that takes buffered heartbeats for recent.
        fleet = SimulatedFleet(2, 2)
        fleet.store_readers = {"i1"}
        fleet.run(5)
        paused, peer = fleet.views["i0"], fleet.instances[1]
        buffered = fleet.views["i1"].create_heartbeats(StateSummary(), fleet.now)[0][1]
        fleet.now += 60
        paused.receive_heartbeat(peer, buffered, StateSummary(), fleet.now)
        assert not paused.is_fresh(fleet.now)

    def test_instance_without_the_platform_list_is_not_fresh(self):
        # Guards against a majority of its own domain alone.
        view = MembershipView(
            SimulatedFleet(1, 1).instances[0],
            FreshnessTracker(FailureDomain("d0"), ()),
            0.0,
        )
        assert not view.is_fresh(0.0)


class TestPeers:
    def test_one_way_cut_makes_the_peer_unusable_on_both_sides(self):
        # Guards against using a peer that receives nothing from this instance.
        fleet = SimulatedFleet(3, 3)
        fleet.run(5)
        fleet.is_cut = lambda sender, receiver: (sender, receiver) == ("i0", "i1")
        fleet.run(MAX_ACKNOWLEDGEMENT_AGE_SECONDS + 2)
        usable = {
            name: {peer.incarnation for peer in view.list_usable_peers(fleet.now)}
            for name, view in fleet.views.items()
        }
        assert usable == {"i0": {"i2"}, "i1": {"i2"}, "i2": {"i0", "i1"}}
        fleet.is_cut = lambda sender, receiver: False
        fleet.run(3)
        assert all(
            len(view.list_usable_peers(fleet.now)) == 2 for view in fleet.views.values()
        )

    def test_lost_domain_leaves_the_rest_connected(self):
        # Guards against an instance all of whose neighbours were in the lost domain.
        fleet = SimulatedFleet(96, 8)
        fleet.run(5)
        lost = {f"i{n}" for n in range(96) if n % 8 < 3}
        fleet.is_cut = lambda sender, receiver: sender in lost or receiver in lost
        fleet.run(15)
        alive = [view for name, view in fleet.views.items() if name not in lost]
        assert all(view.is_fresh(fleet.now) for view in alive)
        assert all(len(view.list_heartbeat_peers(fleet.now)) >= 2 for view in alive)

    def test_unlisted_peer_is_usable_for_a_while_after_its_message(self):
        # Guards against ignoring a new peer until the list shows it, and against
        # keeping one that has ended.
        fleet = SimulatedFleet(2, 2)
        new = Instance(Incarnation("new"), "a", FailureDomain("d0"))
        view = fleet.views["i0"]
        view.record_message(new, fleet.now)
        assert new in view.list_usable_peers(fleet.now)
        assert new not in view.list_usable_peers(fleet.now + 60)

    def test_failed_peer_is_unusable_for_a_while(self):
        # Guards against waiting again and again for a peer that does not respond.
        fleet = SimulatedFleet(40, 2)
        view, peer = fleet.views["i0"], fleet.instances[5]
        view.record_failure(peer, 0.0)
        assert peer not in view.list_usable_peers(1.0)
        assert peer in view.list_usable_peers(10.0)


class TestHeartbeats:
    def test_repeated_heartbeat_gives_no_transit_time(self):
        # Guards against an old heartbeat that counts as recent when received again.
        exchange = heartbeats.HeartbeatExchange(0.0)
        number = exchange.record_sent(0.0)
        heartbeat = heartbeats.Heartbeat(1, number, 0, StateSummary())
        assert exchange.receive(heartbeat, 0.5) == 0.5
        assert exchange.receive(heartbeat, 0.6) is None
        assert exchange.acked_at == 0.0


class TestGossip:
    def test_change_reaches_all_and_is_forwarded_once(self):
        # Guards against instances that miss a change, and against a broadcast storm.
        fleet = SimulatedFleet(200, 8)
        fleet.run(3)
        seen = {name: gossip.SeenChanges() for name in fleet.views}
        pending, copies, max_hops = [("i0", 0)], 0, 0
        while pending:
            name, hops = pending.pop(0)
            copies += 1
            if not seen[name].add(7, fleet.now):
                continue
            max_hops = max(max_hops, hops)
            view = fleet.views[name]
            peers = view.list_heartbeat_peers(fleet.now)
            receivers = gossip.choose_receivers(peers, (), fleet.random)
            pending += [(peer.incarnation, hops + 1) for peer in receivers]
        assert all(len(changes) == 1 for changes in seen.values())
        assert copies <= 200 * gossip.FAN_OUT + 1
        assert max_hops <= gossip.MAX_HOPS / 2

    def test_seen_changes_are_bounded_and_expire(self):
        # Guards against memory that grows with every change.
        seen = gossip.SeenChanges()
        for number in range(3 * gossip.MAX_SEEN_CHANGES):
            seen.add(number, 0.0)
        assert len(seen) <= gossip.MAX_SEEN_CHANGES
        assert seen.add(1, 0.0)
        assert seen.add(2, 60.0) and len(seen) == 1

    def test_few_neighbours_are_supplemented_by_other_peers(self):
        # Guards against a change that is lost with the only neighbour.
        receivers = gossip.choose_receivers(["a"], list("abcdefg"), SeededRandom(1))
        assert len(set(receivers)) == gossip.FAN_OUT
