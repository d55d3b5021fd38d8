from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from shallotspindle_routing.fairqueue import FairQueue, Waiting, Weights

CAPACITY = 6
TEAMS = st.sampled_from(["a", "b", "c"])


def build(number, team, deadline=100.0):
    return Waiting(number, team, 0, frozenset(), deadline)


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a plain list."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(CAPACITY)
        self.items = []
        self.number = 0
        self.now = 0.0

    def find_first(self, team):
        return next(item for item in self.items if item.team == team)

    @rule(team=TEAMS, life=st.integers(1, 5))
    def push(self, team, life):
        self.number += 1
        item = build(self.number, team, self.now + life)
        refused = self.queue.push(item)
        self.items.append(item)
        if len(self.items) <= CAPACITY:
            assert refused is None
            return
        counts = Counter(item.team for item in self.items)
        assert counts[refused.team] == max(counts.values())
        assert refused == [i for i in self.items if i.team == refused.team][-1]
        self.items.remove(refused)

    @precondition(lambda self: self.items)
    @rule(back=st.booleans())
    def pop(self, back):
        item = self.queue.pop()
        assert item == self.find_first(item.team)
        if back:
            self.queue.push_front(item)
        else:
            self.items.remove(item)

    @rule()
    def expire(self):
        self.now += 1.0
        expired = self.queue.expire(self.now)
        late = [item for item in self.items if item.deadline <= self.now]
        assert sorted(item.number for item in expired) == [i.number for i in late]
        self.items = [item for item in self.items if item not in late]

    @precondition(lambda self: self.items)
    @rule()
    def remove(self):
        assert self.queue.remove(self.items[-1].number) == self.items.pop()

    @invariant()
    def agrees(self):
        assert len(self.queue) == len(self.items)
        deadlines = [item.deadline for item in self.items]
        assert self.queue.find_deadline() == min(deadlines, default=None)


QueueMachine.TestCase.settings = settings(derandomize=True, max_examples=100)


class TestFairQueue(QueueMachine.TestCase):
    """Guards against lost, doubled or reordered requests."""


class TestFairness:
    def test_excess_of_one_team_delays_no_other(self):
        # Guards against one team at eight times its rate starving the others.
        queue = FairQueue(100)
        for number in range(80):
            queue.push(build(number, "loud"))
        for number in range(80, 90):
            queue.push(build(number, "calm"))
        first = [queue.pop().team for _ in range(20)]
        assert first.count("calm") == 10

    def test_full_queue_refuses_the_loud_team(self):
        queue = FairQueue(10)
        for number in range(10):
            queue.push(build(number, "loud"))
        assert queue.push(build(10, "calm")).team == "loud"

    def test_turns_follow_the_weights(self):
        queue = FairQueue(100, Weights({"large": 3.0, "small": 1.0}))
        for number in range(80):
            queue.push(build(number, ("large", "small")[number % 2]))
        assert [queue.pop().team for _ in range(40)].count("large") == 30
