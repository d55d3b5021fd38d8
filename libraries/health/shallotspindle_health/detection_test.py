from shallotspindle_core.identifiers import Instance
from shallotspindle_health.detection import State
from shallotspindle_health.messages import Suspicion, SuspicionReport
from shallotspindle_health.overview import Members, Overview
from shallotspindle_health.samples import Outcome

NAMES = frozenset(f"u{number}" for number in range(6))
SERVICE = "stock"


class Sequence:
    """Linear congruential generator; decision libraries import no random source."""

    def __init__(self, seed):
        self.state = seed

    def random(self):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 11) / 2**53

    def randrange(self, stop):
        return int(self.random() * stop)


def build(number=0, floor=4, names=NAMES):
    own = Instance(f"i{number}", f"10.0.0.{number}:1", f"d{number % 3}")
    overview = Overview(own, Sequence(number))
    overview.update([Members(SERVICE, names, floor)], 0.0)
    return overview


def feed(overview, name, outcome, count=1, seconds=0.02, now=0.0):
    for _ in range(count):
        overview.get(SERVICE).record(name, outcome, seconds, None, now)


def feed_well(overview, names=NAMES, count=16, now=0.0):
    for _ in range(count):
        for name in sorted(names):
            feed(overview, name, Outcome.WHOLE, now=now)


def find_states(overview, now=0.0):
    return {item.name: item.state for item in overview.describe(now)[SERVICE]}


def report(number, names, sequence=1, score=1.0, doubtful=False, domain=None):
    found = tuple(Suspicion(SERVICE, name, score, True, "lie") for name in names)
    domain = domain or f"d{number % 3}"
    return SuspicionReport(f"i{number}", domain, sequence, doubtful, found)


class TestOwnEvidence:
    def test_truncated_answers_eject(self):
        overview = build()
        feed_well(overview)
        feed(overview, "u0", Outcome.TRUNCATED, 8)
        assert find_states(overview)["u0"] is State.EJECTED
        assert "u0" not in overview.get(SERVICE).weigh(0.0)

    def test_slow_upstream_is_ejected_with_mixed_kinds(self):
        # Guards against the slow kinds of the others hiding a slow upstream.
        overview = build()
        for step in range(40):
            kind = 0.15 if step % 10 == 0 else 0.02
            for name in sorted(NAMES):
                slow = 8 if name == "u3" and step > 15 else 1
                feed(overview, name, Outcome.WHOLE, seconds=kind * slow)
        states = find_states(overview)
        assert states.pop("u3") is State.EJECTED
        assert set(states.values()) == {State.ACTIVE}

    def test_shed_answers_are_load(self):
        # Guards against an ejection that takes capacity away under overload.
        overview = build()
        feed_well(overview)
        feed(overview, "u0", Outcome.SHED, 50)
        described = {item.name: item for item in overview.describe(0.0)[SERVICE]}
        assert (described["u0"].state, described["u0"].shed) == (State.ACTIVE, 50)

    def test_timeout_of_a_request_sent_late_says_nothing(self):
        # Guards against blaming upstreams for the time that requests queued here.
        overview = build()
        feed_well(overview)
        feed(overview, "u0", Outcome.TIMED_OUT, 20, seconds=0.02)
        assert find_states(overview)["u0"] is State.ACTIVE
        feed(overview, "u0", Outcome.TIMED_OUT, 20, seconds=1.0)
        assert find_states(overview)["u0"] is State.EJECTED

    def test_nobody_is_ejected_when_all_fail_alike(self):
        # Guards against blaming upstreams for a cause that they share.
        overview = build(floor=0)
        for _ in range(30):
            feed(overview, "u0", Outcome.ERROR)
            for name in sorted(NAMES - {"u0"}):
                feed(overview, name, Outcome.ERROR)
        assert State.EJECTED not in find_states(overview).values()

    def test_recovery_needs_good_trials_and_ramps(self):
        overview = build()
        feed_well(overview)
        feed(overview, "u0", Outcome.ERROR, 8)
        health = overview.get(SERVICE)
        now = 0.0
        for _ in range(3):
            assert health.take_trial(now) is None
            now += 20.0
            assert health.take_trial(now) == "u0"
            feed(overview, "u0", Outcome.WHOLE, now=now)
        assert find_states(overview)["u0"] is State.RAMPING
        assert health.weigh(now)["u0"] < health.weigh(now + 5.0)["u0"] < 1.0
        overview.tick(now + 11.0)
        assert find_states(overview)["u0"] is State.ACTIVE

    def test_flapping_upstream_waits_longer_each_time(self):
        # Guards against an upstream that passes trials and fails under load.
        overview = build()
        feed_well(overview)
        health, waits, now = overview.get(SERVICE), [], 0.0
        for _ in range(3):
            feed(overview, "u0", Outcome.ERROR, 8, now=now)
            start = now
            for trial in range(3):
                while health.take_trial(now) is None:
                    now += 0.5
                if trial == 0:
                    waits.append(now - start)
                feed(overview, "u0", Outcome.WHOLE, now=now)
            assert find_states(overview)["u0"] is State.RAMPING
        assert waits[2] > 1.5 * waits[0]


class TestFloor:
    def test_two_instances_that_eject_at_the_same_moment(self):
        # Guards against two ejections that together leave less than the floor.
        first, second = build(1, floor=5), build(2, floor=5)
        for overview, name in ((first, "u0"), (second, "u1")):
            feed_well(overview)
            feed(overview, name, Outcome.ERROR, 12)
        assert find_states(first)["u0"] is State.EJECTED
        assert find_states(second)["u1"] is State.EJECTED
        sent = [(overview, overview.tick(0.3)) for overview in (first, second)]
        for overview, messages in sent:
            other = second if overview is first else first
            for message in messages:
                other.receive(message, 0.4)
        out = [
            {
                name
                for name, state in find_states(item).items()
                if state is State.EJECTED
            }
            for item in (first, second)
        ]
        assert len(out[0] | out[1]) <= 1

    def test_draining_counts_as_absent(self):
        overview = build(floor=5)
        feed_well(overview)
        overview.get(SERVICE).mark_leaving("u5", True, 0.0)
        feed(overview, "u0", Outcome.ERROR, 10)
        assert find_states(overview)["u0"] is State.KEPT

    def test_lost_failure_domain_leaves_the_floor_in_use(self):
        # Guards against ejecting every upstream of a lost domain below the floor.
        overview = build(floor=5)
        feed_well(overview)
        for _ in range(30):
            for name in ("u0", "u1", "u2"):
                feed(overview, name, Outcome.NOT_CONNECTED)
            feed_well(overview, NAMES - {"u0", "u1", "u2"}, count=1)
        states = list(find_states(overview).values())
        assert states.count(State.EJECTED) <= 1
        assert len(overview.get(SERVICE).weigh(0.0)) >= 5


class TestSuspicions:
    def test_one_lying_instance_ejects_nothing(self):
        overview = build()
        for sequence in range(1, 30):
            overview.receive(report(4, NAMES, sequence, score=1e9), 0.0)
        assert set(find_states(overview).values()) == {State.ACTIVE}

    def test_one_failure_domain_is_not_enough(self):
        overview = build()
        for number in range(1, 20):
            overview.receive(report(number, ["u0"], domain="d1"), 0.0)
        assert find_states(overview)["u0"] is State.ACTIVE

    def test_agreement_ejects_until_the_suspicions_expire(self):
        overview = build()
        for number in (1, 2, 4):
            overview.receive(report(number, ["u0"]), 0.0)
        assert find_states(overview)["u0"] is State.EJECTED
        overview.tick(16.0)
        assert find_states(overview)["u0"] is State.RAMPING

    def test_instance_cut_off_suspects_itself(self):
        # Guards against a one-way cut of one instance that ejects a whole domain.
        overview = build(floor=2)
        feed_well(overview)
        for _ in range(20):
            for name in ("u0", "u1", "u2"):
                feed(overview, name, Outcome.NOT_CONNECTED)
            feed_well(overview, NAMES - {"u0", "u1", "u2"}, count=1)
        message = overview.tick(1.0)[0]
        assert message.doubtful
        assert State.EJECTED not in find_states(overview).values()
        others = build(5)
        others.receive(message, 1.0)
        assert set(find_states(others).values()) == {State.ACTIVE}

    def test_lost_domain_that_all_see_is_no_doubt(self):
        overview = build(floor=2)
        for number in (1, 2, 4):
            overview.receive(report(number, ["u0", "u1", "u2"], doubtful=True), 0.0)
        feed_well(overview)
        for name in ("u0", "u1", "u2"):
            feed(overview, name, Outcome.NOT_CONNECTED, 12)
        overview.tick(1.0)
        assert not overview.doubtful


class TestCrashAttribution:
    def test_request_that_crashes_upstreams_is_held_and_they_are_acquitted(self):
        overview = build()
        feed_well(overview)
        for name in ("u0", "u1"):
            feed(overview, name, Outcome.RESET, 1)
            overview.attribute(77, name, Outcome.RESET, 0.0)
        assert overview.is_held(77, 0.0)
        scores = {item.name: item.score for item in overview.describe(0.0)[SERVICE]}
        assert scores["u0"] == scores["u1"] == 0.0

    def test_common_request_on_a_flapping_upstream_is_not_held(self):
        # Guards against holding back a request that works on other upstreams.
        overview = build()
        overview.attribute(77, "u0", Outcome.RESET, 0.0)
        overview.attribute(77, "u2", Outcome.WHOLE, 1.0)
        overview.attribute(77, "u1", Outcome.RESET, 2.0)
        assert not overview.is_held(77, 2.0)


class TestReports:
    def test_traffic_is_bounded_when_everything_is_suspected(self):
        # Guards against suspicions that use up the traffic that control may cost.
        overview = build()
        relayed = 0
        for step in range(1000):
            now = step * 0.06
            message = report(step, [f"u{step % 6}"], domain=f"d{step % 3}")
            relayed += len(overview.receive(message, now))
        assert relayed <= 10 + 60
