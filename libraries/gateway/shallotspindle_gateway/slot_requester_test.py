import asyncio
from dataclasses import dataclass, field
from random import Random

import pytest

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_environment.clock import SystemClock
from shallotspindle_gateway.records import Member
from shallotspindle_gateway.slot_requester import (
    AcquiredSlot,
    SlotRequester,
    SlotRequirements,
    draw_domain,
)
from shallotspindle_lending.records import (
    Outcome,
    RefusalReason,
    SlotGrant,
    SlotQueued,
    SlotRefusal,
    SlotReturned,
)

A, B, C = (FailureDomain(name) for name in "abc")
DRAWS = 4000
SERVICE = ServiceName("catalogue")
OWN = Member("10.0.0.1:1", A, 100.0)
LENDER = Member("10.0.0.2:1", A, 500.0)


FAR_LENDER = Member("10.0.1.2:1", B, 500.0)


class FakeUpstreamDirectory:
    def __init__(self, *domains, left=()):
        self._domains = domains
        self._left = left

    def count_usable_by_domain(self, service):
        return dict.fromkeys(self._domains, 3)

    def has_left(self, name):
        return name in self._left


class StoreFollower:
    def __init__(self, *others, left=()):
        members = (OWN, *others)
        domains = sorted({member.domain for member in members})
        self.members = {member.address: member for member in members}
        self.upstreams = FakeUpstreamDirectory(*domains, left=left)


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


def build_want(seconds: float) -> SlotRequirements:
    now = SystemClock().boottime()
    return SlotRequirements(
        SERVICE, False, False, 1, False, now + seconds, now + seconds, 1, 1
    )


class TestLateDecisions:
    async def test_a_question_that_is_given_up_is_cancelled(self):
        # Guards against slots that are lent to nobody: their upstream looked gray for
        # the 5 s of an upload, and a service of 15 upstreams lost a third of them.
        peers = SlowLender()
        slot_requester = SlotRequester(
            OWN, StoreFollower(LENDER), peers, SystemClock(), Random(1)
        )
        refused = await slot_requester.acquire_slot(build_want(0.2))
        assert isinstance(refused, SlotRefusal)
        assert refused.reason is RefusalReason.BUSY
        cancelled = [message for _, message in peers.sent]
        assert cancelled
        assert all(isinstance(message, SlotReturned) for message in cancelled)
        assert {message.outcome for message in cancelled} == {Outcome.CANCELLED}


@dataclass
class BusyLenders(SlowLender):
    """Peers whose near lender queues all questions; the far one has slots later.

    :param busy_answers: questions that the far lender refuses first.
    :param near_decides: whether the near lender decides while the far one answers.
    """

    busy_answers: int = 1
    near_decides: bool = False
    handlers: dict = field(default_factory=dict)

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    async def request(self, address, message, timeout):
        if address != FAR_LENDER.address:
            return SlotQueued(message.number)
        self.busy_answers -= 1
        if self.busy_answers >= 0:
            return SlotRefusal(message.number, RefusalReason.BUSY, 0.3)
        if self.near_decides:
            near = UpstreamName("near")
            lent = SlotGrant(message.number - 1, near, "10.0.0.9:80", 0.3)
            self.handlers[SlotGrant](LENDER.address, lent)
            await asyncio.sleep(0.01)
        return SlotGrant(message.number, UpstreamName("far"), "10.0.1.9:80", 0.3)


class TestOtherDomains:
    async def acquire_slot(self, peers, seconds):
        follower = StoreFollower(LENDER, FAR_LENDER)
        slot_requester = SlotRequester(OWN, follower, peers, SystemClock(), Random(1))
        return await slot_requester.acquire_slot(build_want(seconds))

    async def test_they_are_asked_again_while_the_own_one_has_no_slot(self):
        # Guards against uploads that wait for ten seconds in a domain whose upstreams
        # all hang, while those of other domains are free.
        peers = BusyLenders()
        found = await asyncio.wait_for(self.acquire_slot(peers, 5.0), 2.0)
        assert isinstance(found, AcquiredSlot)
        assert found.upstream == "far"
        last = peers.sent[-1][1]
        assert isinstance(last, SlotReturned)
        assert (last.domain, last.outcome) == (A, Outcome.CANCELLED)

    async def test_a_second_slot_goes_back(self):
        # Guards against a slot that is lent to nobody when two lenders decide at once.
        peers = BusyLenders(near_decides=True)
        found = await asyncio.wait_for(self.acquire_slot(peers, 5.0), 2.0)
        assert isinstance(found, AcquiredSlot)
        returned = [m for _, m in peers.sent if isinstance(m, SlotReturned)]
        names = {"near": A, "far": B}
        other = ({"near", "far"} - {found.upstream}).pop()
        assert (other, names[other]) in {(m.upstream, m.domain) for m in returned}

    async def test_a_request_without_any_slot_is_refused_at_its_end(self):
        peers = BusyLenders(busy_answers=100)
        refused = await asyncio.wait_for(self.acquire_slot(peers, 0.8), 2.0)
        assert isinstance(refused, SlotRefusal)
        assert refused.reason is RefusalReason.BUSY

    async def test_a_caller_that_leaves_takes_its_questions_back(self):
        peers = BusyLenders(busy_answers=100)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(self.acquire_slot(peers, 5.0), 0.5)
        await asyncio.sleep(0)
        last = peers.sent[-1][1]
        assert (last.domain, last.outcome) == (A, Outcome.CANCELLED)


@dataclass
class LateLender(SlowLender):
    """Peers whose lender lends the first of its upstreams that may be lent."""

    upstreams: tuple[str, ...] = ("u1", "u2")
    asked: list = field(default_factory=list)

    async def request(self, address, message, timeout):
        self.asked.append(message)
        for name in self.upstreams:
            if name not in message.excluded_upstreams:
                return SlotGrant(message.number, UpstreamName(name), "10.9.0.1:80", 0.5)
        return SlotRefusal(message.number, RefusalReason.NO_UPSTREAM, 1.0)


class TestLeftUpstreams:
    async def test_a_slot_of_an_upstream_that_left_goes_back(self):
        # Guards against work for an upstream that left 2.2 s ago: the instance had
        # heard of it and the lender had not.
        peers = LateLender()
        follower = StoreFollower(LENDER, left=("u1",))
        slot_requester = SlotRequester(OWN, follower, peers, SystemClock(), Random(1))
        found = await slot_requester.acquire_slot(build_want(1.0))
        assert isinstance(found, AcquiredSlot)
        assert found.upstream == "u2"
        (returned,) = [message for _, message in peers.sent]
        assert (returned.upstream, returned.outcome) == ("u1", Outcome.CANCELLED)
        assert returned.number == peers.asked[0].number

    async def test_no_slot_is_used_when_all_upstreams_left(self):
        peers = LateLender()
        follower = StoreFollower(LENDER, left=("u1", "u2"))
        slot_requester = SlotRequester(OWN, follower, peers, SystemClock(), Random(1))
        found = await slot_requester.acquire_slot(build_want(1.0))
        assert isinstance(found, SlotRefusal)
        assert found.reason is RefusalReason.NO_UPSTREAM


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
