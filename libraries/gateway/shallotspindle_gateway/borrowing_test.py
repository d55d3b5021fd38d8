from dataclasses import dataclass, field
from random import Random

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_environment.clock import SystemClock
from shallotspindle_gateway.borrowing import Borrowed, Borrower, Want, draw_domain
from shallotspindle_gateway.records import Member
from shallotspindle_lending.records import (
    Outcome,
    Reason,
    SlotLent,
    SlotQueued,
    SlotRefused,
    SlotReturned,
)

A, B, C = (FailureDomain(name) for name in "abc")
DRAWS = 4000
SERVICE = ServiceName("catalogue")
OWN = Member("10.0.0.1:1", A, 100.0)
LENDER = Member("10.0.0.2:1", A, 500.0)


class Directory:
    def list_domains(self, service):
        return {A: 3}


class Follower:
    members = {"own": OWN, "lender": LENDER}
    upstreams = Directory()


@dataclass
class SlowLender:
    """Peers whose lender queues every question and never decides in time."""

    sent: list = field(default_factory=list)

    def register(self, message_type, handler):
        """Take no handler: nothing is told."""

    async def request(self, address, message, timeout):
        return SlotQueued(message.number)

    def send(self, address, message):
        self.sent.append((address, message))


def build_want(seconds: float) -> Want:
    now = SystemClock().boottime()
    return Want(SERVICE, False, False, 1, False, now + seconds, now + seconds, 1, 1)


class TestLateDecisions:
    async def test_a_question_that_is_given_up_is_cancelled(self):
        # Guards against slots that are lent to nobody: their upstream looked gray for
        # the 5 s of an upload, and a service of 15 upstreams lost a third of them.
        peers = SlowLender()
        borrower = Borrower(OWN, Follower(), peers, SystemClock(), Random(1))
        refused = await borrower.borrow(build_want(0.2))
        assert isinstance(refused, SlotRefused)
        assert refused.reason is Reason.BUSY
        cancelled = [message for _, message in peers.sent]
        assert cancelled
        assert all(isinstance(message, SlotReturned) for message in cancelled)
        assert {message.outcome for message in cancelled} == {Outcome.CANCELLED}


@dataclass
class LateLender(SlowLender):
    """Peers whose lender lends the first of its upstreams that may be lent."""

    upstreams: tuple[str, ...] = ("u1", "u2")
    asked: list = field(default_factory=list)

    async def request(self, address, message, timeout):
        self.asked.append(message)
        for name in self.upstreams:
            if name not in message.avoid:
                return SlotLent(message.number, UpstreamName(name), "10.9.0.1:80", 0.5)
        return SlotRefused(message.number, Reason.NO_UPSTREAM, 1.0)


class LeavingDirectory(Directory):
    """Knows that some upstreams left."""

    def __init__(self, *left: str) -> None:
        self._left = left

    def has_left(self, name):
        return name in self._left


class InformedFollower(Follower):
    """Follower that heard which upstreams left."""

    def __init__(self, *left: str) -> None:
        self.upstreams = LeavingDirectory(*left)


class TestLeftUpstreams:
    async def test_a_slot_of_an_upstream_that_left_goes_back(self):
        # Guards against work for an upstream that left 2.2 s ago: the instance had
        # heard of it and the lender had not.
        peers = LateLender()
        follower = InformedFollower("u1")
        borrower = Borrower(OWN, follower, peers, SystemClock(), Random(1))
        found = await borrower.borrow(build_want(1.0))
        assert isinstance(found, Borrowed)
        assert found.upstream == "u2"
        (returned,) = [message for _, message in peers.sent]
        assert (returned.upstream, returned.outcome) == ("u1", Outcome.CANCELLED)
        assert returned.number == peers.asked[0].number

    async def test_no_slot_is_used_when_all_upstreams_left(self):
        peers = LateLender()
        follower = InformedFollower("u1", "u2")
        borrower = Borrower(OWN, follower, peers, SystemClock(), Random(1))
        found = await borrower.borrow(build_want(1.0))
        assert isinstance(found, SlotRefused)
        assert found.reason is Reason.NO_UPSTREAM


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
