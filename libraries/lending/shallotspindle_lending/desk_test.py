import itertools
from dataclasses import replace

import pytest

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_lending.crashes import Crashes
from shallotspindle_lending.desk import Desk
from shallotspindle_lending.records import (
    Outcome,
    Reason,
    SlotAsked,
    SlotLent,
    SlotRefused,
    SlotReturned,
)
from shallotspindle_lending.standing import Tier
from shallotspindle_registry.directory import Known
from shallotspindle_registry.records import Announcement, State
from shallotspindle_retries.budget import Budget

SERVICE = ServiceName("catalogue")
DOMAIN = FailureDomain("a")


def announce(name: str, born: int = 1) -> Known:
    item = Announcement(
        UpstreamName(name),
        SERVICE,
        f"{name}:80",
        DOMAIN,
        State.READY,
        slots=2,
        born=born,
    )
    return Known(item, 0.0)


def ask(number: int, **changes) -> SlotAsked:
    asked = SlotAsked(
        number, "me", SERVICE, DOMAIN, False, False, 1, 1.0, 0.5, 0.5, number
    )
    return replace(asked, **changes)


class Alternating:
    """Source of random numbers that runs through the interval in steps."""

    def __init__(self) -> None:
        self._last = 0.0

    def random(self) -> float:
        self._last = (self._last + 0.381966) % 1.0
        return self._last

    def randrange(self, stop: int) -> int:
        return int(self.random() * stop)


class Fixture:
    def __init__(self, count: int = 3, retries: int = 3) -> None:
        self.crashes = Crashes()
        self.desk = Desk(SERVICE, self.crashes, Alternating(), Budget(0.18, retries))
        self.known = {UpstreamName(f"u{n}"): announce(f"u{n}") for n in range(count)}
        self.desk.update(self.known)

    def decide(self, asked: SlotAsked, now: float):
        return [item.decision for item in self.desk.ask(asked, now)]

    def lend(self, asked: SlotAsked, now: float) -> SlotLent:
        (decision,) = self.decide(asked, now)
        assert isinstance(decision, SlotLent)
        return decision

    def give_back(self, asked, lent, outcome, now, seconds=0.1):
        returned = SlotReturned(
            asked.number,
            asked.asker,
            SERVICE,
            DOMAIN,
            lent.upstream,
            outcome,
            seconds,
        )
        return [item.decision for item in self.desk.give_back(returned, now)]

    def fail(self, name: str, now: float) -> None:
        self.desk.standings[UpstreamName(name)].note(Outcome.RESET, "me", now, now)

    def prove(self, name: str, now: float) -> None:
        self.desk.standings[UpstreamName(name)].note(Outcome.WHOLE, "me", now, now)


@pytest.fixture
def fixture():
    return Fixture()


class TestChoice:
    def test_work_with_an_effect_follows_the_latest_proof(self, fixture):
        # Guards against the loss of a deposit at an upstream of which nothing is known.
        fixture.prove("u1", 1.0)
        assert fixture.lend(ask(1), 1.1).upstream == "u1"
        assert fixture.lend(ask(2), 1.1).upstream == "u1"

    def test_reads_look_for_upstreams_without_a_proof(self, fixture):
        fixture.prove("u1", 1.0)
        names = {
            fixture.lend(ask(n, repeatable=True), 1.1).upstream for n in range(1, 6)
        }
        assert names > {"u1"}

    def test_a_hanging_upstream_gets_nothing_more(self, fixture):
        fixture.prove("u1", 1.0)
        fixture.lend(ask(1), 1.0)
        fixture.prove("u1", 1.05)
        assert fixture.lend(ask(2), 1.9).upstream != "u1"

    def test_upstreams_that_the_request_was_sent_to_are_left_out(self, fixture):
        avoid = (UpstreamName("u0"), UpstreamName("u1"))
        assert fixture.lend(ask(1, avoid=avoid), 0.0).upstream == "u2"
        (refused,) = fixture.decide(ask(2, avoid=tuple(fixture.known)), 0.0)
        assert refused.reason is Reason.NO_UPSTREAM


class TestFloor:
    def test_while_requests_fail_most_upstreams_get_work(self):
        # Guards against healthy upstreams that get nothing because others are proven
        # and no reads come to prove them.
        fixture = Fixture(count=5)
        now, used = 0.0, {}
        for number in range(1, 200):
            lent = fixture.lend(ask(number), now)
            used[lent.upstream] = now
            outcome = Outcome.SHED if number % 8 == 0 else Outcome.WHOLE
            fixture.give_back(ask(number), lent, outcome, now + 0.02, 0.02)
            now += 0.03
        assert sum(at > now - 2.0 for at in used.values()) >= 4

    @pytest.mark.parametrize("count", [5, 26])
    def test_most_upstreams_get_work_while_nothing_fails(self, count):
        # Guards against healthy upstreams that are idle when all requests in flight
        # are lost at once: nothing fails before that shows that work must be spread.
        fixture = Fixture(count=count)
        now, used, lent_at = 0.0, {}, []
        for number in range(1, 60 * count):
            lent = fixture.lend(ask(number), now)
            used[lent.upstream] = now
            fixture.give_back(ask(number), lent, Outcome.WHOLE, now + 0.01, 0.01)
            now += 0.5 / count
            lent_at.append(sum(at > now - 2.0 for at in used.values()))
        assert min(lent_at[6 * count :]) >= 0.7 * count

    def test_an_upstream_with_a_hung_upload_gets_work_again(self):
        # Guards against sound upstreams that get nothing while others refuse requests:
        # one run that hung kept its upstream out for the ten seconds of its deadline.
        fixture = Fixture(count=3)
        hung = ask(1, seconds=10.0)
        name = fixture.lend(hung, 0.0).upstream
        now, used = 0.05, []
        for number in range(2, 300):
            asked = ask(number, seconds=10.0)
            lent = fixture.lend(asked, now)
            used += [now] if lent.upstream == name else []
            fixture.give_back(asked, lent, Outcome.WHOLE, now + 0.01, 0.01)
            now += 0.05
        later = [at for at in used if at > 1.0]
        assert min(later) < 6.5
        gaps = [b - a for a, b in itertools.pairwise(later)]
        assert max(gaps) < 2.0

    def test_a_read_goes_to_an_upstream_that_was_suspended_long_ago(self):
        fixture = Fixture(count=2)
        fixture.fail("u0", 0.0)
        now = 0.1
        while now < 3.0:
            fixture.prove("u1", now)
            now += 0.1
        assert fixture.lend(ask(900, repeatable=True), now).upstream == "u0"


class TestSlowRoutes:
    def test_a_route_that_always_times_out_suspends_nobody(self):
        # Guards against one slow route that takes every sound upstream out of use.
        fixture = Fixture(count=1)
        now = 0.0
        for number in range(1, 12):
            asked = ask(number, route=5)
            lent = fixture.lend(asked, now)
            fixture.give_back(asked, lent, Outcome.TIMED_OUT, now + 0.4, 0.4)
            now += 5.0
        other = ask(100, route=6)
        for _ in range(3):
            lent = fixture.lend(other, now)
            fixture.give_back(other, lent, Outcome.WHOLE, now + 0.1)
            now += 0.1
        asked = ask(101, route=5)
        lent = fixture.lend(asked, now)
        fixture.give_back(asked, lent, Outcome.TIMED_OUT, now + 0.4, 0.4)
        standing = fixture.desk.standings[UpstreamName("u0")]
        assert standing.rank(0.3, now + 0.4) is Tier.PROVEN

    def test_time_outs_of_other_routes_still_count(self):
        fixture = Fixture(count=1)
        for number in range(1, 4):
            fixture.prove("u0", 0.0)
            asked = ask(number, route=number)
            lent = fixture.lend(asked, 0.1)
            fixture.give_back(asked, lent, Outcome.WHOLE, 0.2)
        asked = ask(9, route=1)
        lent = fixture.lend(asked, 0.3)
        fixture.give_back(asked, lent, Outcome.TIMED_OUT, 1.3, 1.0)
        standing = fixture.desk.standings[UpstreamName("u0")]
        assert standing.rank(0.3, 1.3) is Tier.SUSPENDED


class TestQueue:
    def test_a_returned_slot_goes_to_the_most_urgent_question(self):
        # Guards against serving in order of arrival while an urgent request waits.
        fixture = Fixture(count=1)
        first = ask(1)
        lent = fixture.lend(first, 0.0)
        fixture.lend(ask(2), 0.0)
        assert fixture.decide(ask(3, priority=2), 0.0) == []
        assert fixture.decide(ask(4, priority=0), 0.01) == []
        (decision,) = fixture.give_back(first, lent, Outcome.WHOLE, 0.05)
        assert decision.number == 4

    def test_what_can_be_on_time_goes_before_what_is_late(self):
        # Guards against an overload in which every answer comes a little too late.
        fixture = Fixture(count=1)
        first = ask(1)
        lent = fixture.lend(first, 0.0)
        fixture.lend(ask(2), 0.0)
        assert fixture.decide(ask(3, objective_seconds=0.2), 0.0) == []
        assert fixture.decide(ask(4), 0.08) == []
        (decision,) = fixture.give_back(first, lent, Outcome.WHOLE, 0.1)
        assert decision.number == 4

    def test_what_the_queue_cannot_reach_is_refused_at_once(self):
        # Guards against requests that are held until their deadline for nothing.
        fixture = Fixture(count=1)
        decided = [fixture.decide(ask(number), 0.0) for number in range(1, 40)]
        refused = [d[0] for d in decided if d and isinstance(d[0], SlotRefused)]
        assert {item.reason for item in refused} == {Reason.BUSY}
        assert fixture.desk.queued < 12

    def test_upstreams_that_shed_do_not_promise_their_slots(self):
        # Guards against requests that are held because idle slots look like capacity.
        fixture = Fixture(count=8)
        refused = 0
        for number in range(1, 120):
            now = number * 0.02
            for standing in fixture.desk.standings.values():
                standing.avoid_until = now + 1.0
            decided = fixture.decide(ask(number), now)
            refused += any(isinstance(item, SlotRefused) for item in decided)
            fixture.desk.advance(now)
        assert refused > 60
        assert fixture.desk.queued < 10

    def test_a_queue_without_a_free_slot_is_not_tried(self, monkeypatch):
        # Guards against a lender whose time for a question grows with the product of
        # its queue and its upstreams: 2.2 ms with 40 upstreams under overload.
        fixture = Fixture(count=20)
        for number in range(60):
            fixture.decide(ask(number), 0.0)
        assert fixture.desk.queued == 20
        tried = []
        choose = Desk._choose
        monkeypatch.setattr(
            Desk, "_choose", lambda *args: tried.append(args) or choose(*args)
        )
        fixture.desk.advance(0.01)
        assert not tried

    def test_a_question_that_may_not_wait_is_refused_at_once(self):
        fixture = Fixture(count=1)
        fixture.lend(ask(1), 0.0)
        fixture.lend(ask(2), 0.0)
        (refused,) = fixture.decide(ask(3, wait_seconds=0.0), 0.0)
        assert isinstance(refused, SlotRefused)
        assert refused.reason is Reason.BUSY
        assert 0 < refused.retry_after <= 1

    def test_a_question_is_refused_when_its_wait_is_over(self):
        fixture = Fixture(count=1)
        fixture.lend(ask(1), 0.0)
        fixture.lend(ask(2), 0.0)
        assert fixture.decide(ask(3, wait_seconds=0.2), 0.0) == []
        assert fixture.desk.advance(0.1) == []
        (refused,) = fixture.desk.advance(0.2)
        assert refused.decision.reason is Reason.BUSY

    def test_a_question_that_is_sent_twice_gets_one_slot(self, fixture):
        # Guards against lost datagrams that would take two slots for one request.
        lent = fixture.lend(ask(1), 0.0)
        assert fixture.lend(ask(1), 0.05) == lent
        loans = [len(s.loans) for s in fixture.desk.standings.values()]
        assert sum(loans) == 1

    def test_a_slot_whose_asker_never_heard_of_it_is_taken_back(self, fixture):
        asked = ask(1)
        fixture.lend(asked, 0.0)
        nobody = SlotLent(1, UpstreamName(""), "", 0.0)
        fixture.give_back(asked, nobody, Outcome.CANCELLED, 0.2)
        assert not any(s.loans for s in fixture.desk.standings.values())


class TestRetries:
    def test_repeats_are_bounded_by_the_requests(self):
        # Guards against repeats that multiply the load of a failing service.
        fixture = Fixture(count=40, retries=2)
        granted = 0
        for number in range(1, 41):
            fixture.lend(ask(number), 0.0)
            answer = fixture.decide(ask(1000 + number, repeat=True), 0.0)
            granted += isinstance(answer[0], SlotLent)
        # The fleet may send a fifth of the requests once more.
        assert 0 < granted <= 0.2 * 40

    def test_a_repeat_that_gets_no_slot_takes_nothing_from_the_budget(self):
        # Guards against hedges that are refused under load and leave nothing for the
        # repeats that would find a slot.
        fixture = Fixture(count=2, retries=1)
        avoid = (UpstreamName("u0"),)
        first = ask(1, avoid=avoid)
        lent = fixture.lend(first, 0.0)
        fixture.lend(ask(2, avoid=avoid), 0.0)
        hedge = ask(3, avoid=avoid, repeat=True, wait_seconds=0.0)
        (refused,) = fixture.decide(hedge, 0.1)
        assert refused.reason is Reason.BUSY
        fixture.give_back(first, lent, Outcome.WHOLE, 0.2)
        fixture.lend(ask(4, avoid=avoid, repeat=True), 0.2)
        fixture.give_back(ask(4), lent, Outcome.WHOLE, 0.3)
        (refused,) = fixture.decide(ask(5, avoid=avoid, repeat=True), 0.3)
        assert refused.reason is Reason.NO_BUDGET

    def test_queued_repeats_share_what_is_left_of_the_budget(self):
        # Guards against a queue of repeats that were all counted against one retry.
        fixture = Fixture(count=1, retries=1)
        first, second = ask(1), ask(2)
        lent = fixture.lend(first, 0.0)
        fixture.lend(second, 0.0)
        for number in (3, 4):
            assert fixture.decide(ask(number, repeat=True), 0.0) == []
        decided = fixture.give_back(first, lent, Outcome.WHOLE, 0.05)
        assert [type(decision) for decision in decided] == [SlotLent, SlotRefused]
        assert decided[1].reason is Reason.NO_BUDGET

    def test_a_request_that_crashes_upstreams_is_held_back(self, fixture):
        # Guards against one request that takes down every upstream in turn.
        for name in ("u0", "u1", "u2"):
            fixture.crashes.note(77, UpstreamName(name), 1.0)
        (refused,) = fixture.decide(ask(1, fingerprint=77), 1.1)
        assert refused.reason is Reason.HELD
        assert isinstance(fixture.decide(ask(2, fingerprint=78), 1.1)[0], SlotLent)

    def test_upstreams_are_not_blamed_for_a_request_that_crashes_them(self, fixture):
        for name in ("u0", "u1", "u2"):
            standing = fixture.desk.standings[UpstreamName(name)]
            standing.note(Outcome.RESET, "me", 0.9, 1.0)
            fixture.crashes.note(77, UpstreamName(name), 1.0)
        fixture.desk.note_crash(77, 1.0)
        assert isinstance(fixture.decide(ask(1), 1.0)[0], SlotLent)


class TestUpdate:
    def test_a_new_run_under_an_old_name_starts_without_a_past(self, fixture):
        fixture.prove("u0", 1.0)
        again = {**fixture.known, UpstreamName("u0"): announce("u0", born=2)}
        fixture.desk.update(again)
        assert fixture.desk.standings[UpstreamName("u0")].proven_at < 0

    def test_a_draining_upstream_gets_nothing_more(self, fixture):
        fixture.desk.update({UpstreamName("u2"): fixture.known[UpstreamName("u2")]})
        assert fixture.lend(ask(1), 0.0).upstream == "u2"
