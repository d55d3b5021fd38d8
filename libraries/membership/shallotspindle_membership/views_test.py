import heapq

import pytest

from shallotspindle_core import hashing
from shallotspindle_core.identifiers import FailureDomain, Incarnation, Instance
from shallotspindle_membership import heartbeats, neighbours, spreading
from shallotspindle_membership.freshness import FRESH_SECONDS, Horizon
from shallotspindle_membership.heartbeats import Progress
from shallotspindle_membership.views import ACKNOWLEDGED_SECONDS, View

DELAY_SECONDS = 0.002


class Source:
    """Seeded random source without the system's module."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.count = 0

    def random(self) -> float:
        self.count += 1
        return hashing.hash_text(str(self.seed), str(self.count)) / 2**64

    def randrange(self, stop: int) -> int:
        return int(self.random() * stop)


class Fleet:
    """Instances that exchange heartbeats over links with a delay and cuts."""

    def __init__(self, count: int, domains: int, seed: int = 1) -> None:
        self.random = Source(seed)
        self.now = 0.0
        self.instances = [
            Instance(Incarnation(f"i{n}"), f"a{n}", FailureDomain(f"d{n % domains}"))
            for n in range(count)
        ]
        self.views = {
            peer.incarnation: View(peer, Horizon(peer.domain, ()), self.random.random())
            for peer in self.instances
        }
        self.progress = dict.fromkeys(self.views, Progress())
        self.watchers: set[str] = set()
        self.cut = lambda sender, receiver: False
        self.sent = 0
        self.events: list = []
        for view in self.views.values():
            view.update_list(self.instances, ())
            self.schedule(view.own.incarnation, 0.0)

    def schedule(self, name: str, delay: float) -> None:
        at = max(self.now + delay, self.views[name].next_beat)
        heapq.heappush(self.events, (at, len(self.events), name, None, None))

    def run(self, seconds: float, check=None) -> None:
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, name, sender, beat = heapq.heappop(self.events)
            self.step(name, sender, beat)
            if check is not None:
                check(self)
        self.now = end

    def step(self, name: str, sender, beat) -> None:
        view = self.views[name]
        if beat is not None:
            before = view.next_beat
            view.receive(sender, beat, self.progress[name], self.now)
            if view.next_beat < before:
                self.schedule(name, 0.0)
            return
        if self.now < view.next_beat:
            return
        if name in self.watchers:
            view.horizon.note_store(self.now)
        for peer, message in view.beat(self.progress[name], self.now):
            self.sent += 1
            self.deliver(view.own, peer.incarnation, message)
        self.schedule(name, 0.0)

    def deliver(self, sender, receiver: str, beat, delay=DELAY_SECONDS) -> None:
        if receiver in self.views and not self.cut(sender.incarnation, receiver):
            at = self.now + delay
            order = self.random.random()
            heapq.heappush(self.events, (at, order, receiver, sender, beat))

    def count_fresh(self) -> int:
        return sum(view.is_fresh(self.now) for view in self.views.values())


def list_reached(graph: dict[str, tuple[str, ...]]) -> set[str]:
    reached, waiting = set(), [next(iter(graph))]
    while waiting:
        name = waiting.pop()
        if name not in reached:
            reached.add(name)
            waiting += graph[name]
    return reached


class TestNeighbours:
    @pytest.mark.parametrize("count", [3, 4, 5, 8, 32, 44, 200])
    def test_graph_is_connected_symmetric_and_bounded(self, count):
        names = [f"i{n}" for n in range(count)]
        graph = {name: neighbours.find_neighbours(name, names) for name in names}
        assert list_reached(graph) == set(names)
        assert max(map(len, graph.values())) <= 2 * neighbours.RING_COUNT
        assert all(name in graph[peer] for name in names for peer in graph[name])

    def test_alone_has_no_neighbour(self):
        assert neighbours.find_neighbours("a", ()) == ()


class TestFreshness:
    def test_store_is_heard_through_the_fleet_of_the_target(self):
        # Guards against chains of heartbeats whose ages add up to more than 4 s.
        fleet = Fleet(770, 8)
        fleet.watchers = {f"i{n}" for n in range(0, 770, 97)}
        fleet.views["i0"].horizon.add_domains(
            [FailureDomain(f"x{n}") for n in range(9)]
        )
        fleet.run(15)
        fleet.sent = 0
        worst = 0.0
        for _ in range(20):
            fleet.run(0.5)
            heard = min(view.horizon.store_heard for view in fleet.views.values())
            worst = max(worst, fleet.now - heard)
        assert worst < FRESH_SECONDS
        # 10 s at one heartbeat a second to 4 neighbours, and what news adds.
        assert fleet.sent / 770 / 10 < 4 * 1.25

    def test_majority_of_domains_keeps_fresh_and_minority_does_not(self):
        fleet = Fleet(40, 4)
        fleet.run(6)
        assert fleet.count_fresh() == 40
        inside = {f"i{n}" for n in range(40) if n % 4 == 0}
        fleet.cut = lambda a, b: (a in inside) != (b in inside)
        fleet.run(FRESH_SECONDS + 1)
        assert fleet.count_fresh() == 30
        fleet.cut = lambda a, b: False
        fleet.run(6)
        assert fleet.count_fresh() == 40

    def test_peer_with_an_unknown_withdrawal_makes_nothing_fresh(self):
        # Guards against acting on a key while a peer knows that it is withdrawn.
        fleet = Fleet(12, 3)
        fleet.run(6)
        for name in fleet.progress:
            if name != "i0":
                fleet.progress[name] = Progress(withdrawals=b"w")
        fleet.run(FRESH_SECONDS + 1)
        assert not fleet.views["i0"].is_fresh(fleet.now)
        assert fleet.count_fresh() == 11

    def test_heartbeat_that_waited_in_a_buffer_is_old(self):
        # Guards against a resumed instance that takes buffered heartbeats for news.
        fleet = Fleet(2, 2)
        fleet.watchers = {"i1"}
        fleet.run(5)
        paused, peer = fleet.views["i0"], fleet.instances[1]
        late = fleet.views["i1"].beat(Progress(), fleet.now)[0][1]
        fleet.now += 60
        paused.receive(peer, late, Progress(), fleet.now)
        assert not paused.is_fresh(fleet.now)

    def test_instance_without_a_list_is_not_fresh(self):
        view = View(Fleet(1, 1).instances[0], Horizon(FailureDomain("d0"), ()), 0.0)
        assert not view.is_fresh(0.0)


class TestPeers:
    def test_one_way_cut_makes_the_peer_unusable_on_both_sides(self):
        # Guards against using a peer that hears nothing of this instance.
        fleet = Fleet(3, 3)
        fleet.run(5)
        fleet.cut = lambda a, b: (a, b) == ("i0", "i1")
        fleet.run(ACKNOWLEDGED_SECONDS + 2)
        usable = {
            name: {peer.incarnation for peer in view.list_usable(fleet.now)}
            for name, view in fleet.views.items()
        }
        assert usable == {"i0": {"i2"}, "i1": {"i2"}, "i2": {"i0", "i1"}}
        fleet.cut = lambda a, b: False
        fleet.run(3)
        assert all(len(v.list_usable(fleet.now)) == 2 for v in fleet.views.values())

    def test_lost_domain_leaves_the_rest_connected(self):
        # Guards against an instance all of whose neighbours were in the lost domain.
        fleet = Fleet(96, 8)
        fleet.run(5)
        lost = {f"i{n}" for n in range(96) if n % 8 < 3}
        fleet.cut = lambda a, b: a in lost or b in lost
        fleet.run(15)
        alive = [v for name, v in fleet.views.items() if name not in lost]
        assert all(view.is_fresh(fleet.now) for view in alive)
        assert all(len(view.list_neighbours(fleet.now)) >= 2 for view in alive)

    def test_unlisted_peer_counts_after_its_message(self):
        fleet = Fleet(2, 2)
        new = Instance(Incarnation("new"), "a", FailureDomain("d0"))
        view = fleet.views["i0"]
        view.note_heard(new, fleet.now)
        assert new in view.list_usable(fleet.now)
        assert new not in view.list_usable(fleet.now + 60)

    def test_failed_peer_is_avoided_for_a_while(self):
        fleet = Fleet(40, 2)
        view, peer = fleet.views["i0"], fleet.instances[5]
        view.note_failed(peer, 0.0)
        assert peer not in view.list_usable(1.0)
        assert peer in view.list_usable(10.0)


class TestHeartbeats:
    def test_replayed_heartbeat_acknowledges_nothing(self):
        exchange = heartbeats.Exchange(0.0)
        number = exchange.note_sent(0.0)
        beat = heartbeats.Heartbeat(1, number, 0, Progress())
        assert exchange.receive(beat, 0.5) == 0.5
        assert exchange.receive(beat, 0.6) is None
        assert exchange.acked_at == 0.0


class TestSpreading:
    def test_change_reaches_all_and_is_sent_on_once(self):
        fleet = Fleet(200, 8)
        fleet.run(3)
        seen = {name: spreading.SeenChanges() for name in fleet.views}
        waiting, copies, longest = [("i0", 0)], 0, 0
        while waiting:
            name, hops = waiting.pop(0)
            copies += 1
            if not seen[name].add(7, fleet.now):
                continue
            longest = max(longest, hops)
            view = fleet.views[name]
            near = view.list_neighbours(fleet.now)
            chosen = spreading.choose_receivers(near, (), fleet.random)
            waiting += [(peer.incarnation, hops + 1) for peer in chosen]
        assert all(len(changes) == 1 for changes in seen.values())
        assert copies <= 200 * spreading.FAN_OUT + 1
        assert longest <= spreading.HOP_LIMIT / 2

    def test_memory_is_bounded(self):
        seen = spreading.SeenChanges()
        for number in range(3 * spreading.REMEMBERED_CHANGES):
            seen.add(number, 0.0)
        assert len(seen) <= spreading.REMEMBERED_CHANGES
        assert seen.add(1, 0.0)
        assert seen.add(2, 60.0) and len(seen) == 1

    def test_few_neighbours_are_filled_up(self):
        chosen = spreading.choose_receivers(["a"], list("abcdefg"), Source(1))
        assert len(set(chosen)) == spreading.FAN_OUT
