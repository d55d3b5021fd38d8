from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from shallotspindle_routing.fairqueue import FairQueue, QueuedRequest, TeamWeights

CAPACITY = 6
TEAMS = st.sampled_from(["a", "b", "c"])


def build_request(number, team, deadline=100.0):
    return QueuedRequest(number, team, 0, frozenset(), deadline)


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a list of the waiting requests."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(CAPACITY)
        self.waiting = []
        self.number = 0
        self.now = 0.0

    def find_oldest(self, team):
        return next(item for item in self.waiting if item.team == team)

    @rule(team=TEAMS, seconds=st.integers(1, 5))
    def push(self, team, seconds):
        self.number += 1
        request = build_request(self.number, team, self.now + seconds)
        refused = self.queue.push(request)
        self.waiting.append(request)
        if len(self.waiting) <= CAPACITY:
            assert refused is None
            return
        counts = Counter(item.team for item in self.waiting)
        assert counts[refused.team] == max(counts.values())
        assert refused == [i for i in self.waiting if i.team == refused.team][-1]
        self.waiting.remove(refused)

    @precondition(lambda self: self.waiting)
    @rule(put_back=st.booleans())
    def pop(self, put_back):
        request = self.queue.pop()
        assert request == self.find_oldest(request.team)
        if put_back:
            self.queue.push_front(request)
        else:
            self.waiting.remove(request)

    @rule()
    def expire(self):
        self.now += 1.0
        expired = self.queue.expire(self.now)
        expected = [item for item in self.waiting if item.deadline <= self.now]
        assert sorted(item.number for item in expired) == [i.number for i in expected]
        self.waiting = [item for item in self.waiting if item not in expected]

    @precondition(lambda self: self.waiting)
    @rule()
    def remove(self):
        assert self.queue.remove(self.waiting[-1].number) == self.waiting.pop()

    @invariant()
    def matches_the_list(self):
        assert len(self.queue) == len(self.waiting)
        deadlines = [item.deadline for item in self.waiting]
        assert self.queue.find_earliest_deadline() == min(deadlines, default=None)


QueueMachine.TestCase.settings = settings(derandomize=True, max_examples=100)


class TestFairQueue(QueueMachine.TestCase):
    """Guards against lost, duplicated or reordered requests."""


class TestFairness:
    def test_excess_of_one_team_does_not_delay_others(self):
        # Guards against one team at eight times its rate starving the others.
        queue = FairQueue(100)
        for number in range(80):
            queue.push(build_request(number, "loud"))
        for number in range(80, 90):
            queue.push(build_request(number, "calm"))
        first = [queue.pop().team for _ in range(20)]
        assert first.count("calm") == 10

    def test_full_queue_refuses_a_request_of_the_longest_queue(self):
        # Guards against one team filling the queue and locking out the others.
        queue = FairQueue(10)
        for number in range(10):
            queue.push(build_request(number, "loud"))
        assert queue.push(build_request(10, "calm")).team == "loud"

    def test_teams_are_served_in_proportion_to_their_weights(self):
        # Guards against a queue that ignores the rates that teams are entitled to.
        queue = FairQueue(100, TeamWeights({"large": 3.0, "small": 1.0}))
        for number in range(80):
            queue.push(build_request(number, ("large", "small")[number % 2]))
        assert [queue.pop().team for _ in range(40)].count("large") == 30
