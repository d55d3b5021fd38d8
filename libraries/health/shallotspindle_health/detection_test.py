from shallotspindle_core.identifiers import Instance
from shallotspindle_health.detection import HealthState
from shallotspindle_health.messages import Suspicion, SuspicionReport
from shallotspindle_health.monitor import HealthMonitor, ServiceUpstreams
from shallotspindle_health.scoring import Outcome

UPSTREAMS = frozenset(f"u{number}" for number in range(6))
SERVICE = "stock"


class LinearCongruentialGenerator:
    """Random source for tests; decision libraries import no random source."""

    def __init__(self, seed):
        self.state = seed

    def random(self):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 11) / 2**53

    def randrange(self, stop):
        return int(self.random() * stop)


def build_monitor(number=0, floor=4, upstreams=UPSTREAMS):
    own = Instance(f"i{number}", f"10.0.0.{number}:1", f"d{number % 3}")
    monitor = HealthMonitor(own, LinearCongruentialGenerator(number))
    monitor.update([ServiceUpstreams(SERVICE, upstreams, floor)], 0.0)
    return monitor


def record_attempts(monitor, upstream, outcome, count=1, seconds=0.02, now=0.0):
    for _ in range(count):
        monitor.get(SERVICE).record(upstream, outcome, seconds, None, now)


def record_complete(monitor, upstreams=UPSTREAMS, count=16, now=0.0):
    for _ in range(count):
        for upstream in sorted(upstreams):
            record_attempts(monitor, upstream, Outcome.COMPLETE, now=now)


def find_states(monitor, now=0.0):
    return {item.name: item.state for item in monitor.describe(now)[SERVICE]}


def build_report(
    number, upstreams, sequence=1, score=1.0, suspects_itself=False, domain=None
):
    suspicions = tuple(
        Suspicion(SERVICE, upstream, score, True, "error") for upstream in upstreams
    )
    domain = domain or f"d{number % 3}"
    return SuspicionReport(f"i{number}", domain, sequence, suspects_itself, suspicions)


class TestOwnEvidence:
    def test_truncated_responses_eject(self):
        # Guards against an upstream that stays in use although it cuts responses.
        monitor = build_monitor()
        record_complete(monitor)
        record_attempts(monitor, "u0", Outcome.TRUNCATED, 8)
        assert find_states(monitor)["u0"] is HealthState.EJECTED
        assert "u0" not in monitor.get(SERVICE).find_weights(0.0)

    def test_slow_upstream_is_ejected_with_mixed_request_kinds(self):
        # Guards against slow request kinds at other upstreams that hide a slow one.
        monitor = build_monitor()
        for step in range(40):
            seconds = 0.15 if step % 10 == 0 else 0.02
            for upstream in sorted(UPSTREAMS):
                factor = 8 if upstream == "u3" and step > 15 else 1
                record_attempts(
                    monitor, upstream, Outcome.COMPLETE, seconds=seconds * factor
                )
        states = find_states(monitor)
        assert states.pop("u3") is HealthState.EJECTED
        assert set(states.values()) == {HealthState.ACTIVE}

    def test_shed_requests_are_no_evidence(self):
        # Guards against an ejection that takes capacity away under overload.
        monitor = build_monitor()
        record_complete(monitor)
        record_attempts(monitor, "u0", Outcome.SHED, 50)
        described = {item.name: item for item in monitor.describe(0.0)[SERVICE]}
        assert (described["u0"].state, described["u0"].shed_count) == (
            HealthState.ACTIVE,
            50,
        )

    def test_timeout_of_a_request_sent_late_is_no_evidence(self):
        # Guards against blaming upstreams for time that requests waited in the queue
        # of this instance.
        monitor = build_monitor()
        record_complete(monitor)
        record_attempts(monitor, "u0", Outcome.TIMED_OUT, 20, seconds=0.02)
        assert find_states(monitor)["u0"] is HealthState.ACTIVE
        record_attempts(monitor, "u0", Outcome.TIMED_OUT, 20, seconds=1.0)
        assert find_states(monitor)["u0"] is HealthState.EJECTED

    def test_no_upstream_is_ejected_when_all_fail_alike(self):
        # Guards against blaming upstreams for a cause that they share.
        monitor = build_monitor(floor=0)
        for _ in range(30):
            record_attempts(monitor, "u0", Outcome.ERROR)
            for upstream in sorted(UPSTREAMS - {"u0"}):
                record_attempts(monitor, upstream, Outcome.ERROR)
        assert HealthState.EJECTED not in find_states(monitor).values()

    def test_recovery_needs_successful_trials_and_ramps_up(self):
        # Guards against the full load for an upstream that has just recovered.
        monitor = build_monitor()
        record_complete(monitor)
        record_attempts(monitor, "u0", Outcome.ERROR, 8)
        health = monitor.get(SERVICE)
        now = 0.0
        for _ in range(3):
            assert health.start_trial(now) is None
            now += 20.0
            assert health.start_trial(now) == "u0"
            record_attempts(monitor, "u0", Outcome.COMPLETE, now=now)
        assert find_states(monitor)["u0"] is HealthState.RAMPING
        assert (
            health.find_weights(now)["u0"] < health.find_weights(now + 5.0)["u0"] < 1.0
        )
        monitor.tick(now + 11.0)
        assert find_states(monitor)["u0"] is HealthState.ACTIVE

    def test_flapping_upstream_waits_longer_after_each_ejection(self):
        # Guards against an upstream that passes trials and fails under load.
        monitor = build_monitor()
        record_complete(monitor)
        health, waits, now = monitor.get(SERVICE), [], 0.0
        for _ in range(3):
            record_attempts(monitor, "u0", Outcome.ERROR, 8, now=now)
            ejected_at = now
            for trial in range(3):
                while health.start_trial(now) is None:
                    now += 0.5
                if trial == 0:
                    waits.append(now - ejected_at)
                record_attempts(monitor, "u0", Outcome.COMPLETE, now=now)
            assert find_states(monitor)["u0"] is HealthState.RAMPING
        assert waits[2] > 1.5 * waits[0]


class TestFloor:
    def test_simultaneous_ejections_by_two_instances_keep_the_floor(self):
        # Guards against two ejections that together leave less than the floor.
        first, second = build_monitor(1, floor=5), build_monitor(2, floor=5)
        for monitor, upstream in ((first, "u0"), (second, "u1")):
            record_complete(monitor)
            record_attempts(monitor, upstream, Outcome.ERROR, 12)
        assert find_states(first)["u0"] is HealthState.EJECTED
        assert find_states(second)["u1"] is HealthState.EJECTED
        sent = [(monitor, monitor.tick(0.3)) for monitor in (first, second)]
        for monitor, messages in sent:
            other = second if monitor is first else first
            for message in messages:
                other.receive(message, 0.4)
        ejected = [
            {
                upstream
                for upstream, state in find_states(monitor).items()
                if state is HealthState.EJECTED
            }
            for monitor in (first, second)
        ]
        assert len(ejected[0] | ejected[1]) <= 1

    def test_draining_upstreams_do_not_count_towards_the_floor(self):
        # Guards against an ejection while drains have used up the spare capacity.
        monitor = build_monitor(floor=5)
        record_complete(monitor)
        monitor.get(SERVICE).set_leaving("u5", True, 0.0)
        record_attempts(monitor, "u0", Outcome.ERROR, 10)
        assert find_states(monitor)["u0"] is HealthState.EJECTION_BLOCKED

    def test_lost_failure_domain_leaves_the_floor_in_use(self):
        # Guards against ejecting every upstream of a lost domain below the floor.
        monitor = build_monitor(floor=5)
        record_complete(monitor)
        for _ in range(30):
            for upstream in ("u0", "u1", "u2"):
                record_attempts(monitor, upstream, Outcome.NOT_CONNECTED)
            record_complete(monitor, UPSTREAMS - {"u0", "u1", "u2"}, count=1)
        states = list(find_states(monitor).values())
        assert states.count(HealthState.EJECTED) <= 1
        assert len(monitor.get(SERVICE).find_weights(0.0)) >= 5


class TestSuspicions:
    def test_one_faulty_reporter_ejects_nothing(self):
        # Guards against ejections on the word of a single instance, however often and
        # with whatever score it reports.
        monitor = build_monitor()
        for sequence in range(1, 30):
            monitor.receive(build_report(4, UPSTREAMS, sequence, score=1e9), 0.0)
        assert set(find_states(monitor).values()) == {HealthState.ACTIVE}

    def test_reports_of_one_failure_domain_are_no_quorum(self):
        # Guards against a domain that is cut off and reports all other upstreams.
        monitor = build_monitor()
        for number in range(1, 20):
            monitor.receive(build_report(number, ["u0"], domain="d1"), 0.0)
        assert find_states(monitor)["u0"] is HealthState.ACTIVE

    def test_quorum_ejects_until_the_reports_expire(self):
        # Guards against an ejection that outlives the reports that caused it.
        monitor = build_monitor()
        for number in (1, 2, 4):
            monitor.receive(build_report(number, ["u0"]), 0.0)
        assert find_states(monitor)["u0"] is HealthState.EJECTED
        monitor.tick(16.0)
        assert find_states(monitor)["u0"] is HealthState.RAMPING

    def test_partitioned_instance_suspects_itself(self):
        # Guards against one instance, cut off from a domain in one direction, that
        # ejects all upstreams of that domain.
        monitor = build_monitor(floor=2)
        record_complete(monitor)
        for _ in range(20):
            for upstream in ("u0", "u1", "u2"):
                record_attempts(monitor, upstream, Outcome.NOT_CONNECTED)
            record_complete(monitor, UPSTREAMS - {"u0", "u1", "u2"}, count=1)
        message = monitor.tick(1.0)[0]
        assert message.suspects_itself
        assert HealthState.EJECTED not in find_states(monitor).values()
        other = build_monitor(5)
        other.receive(message, 1.0)
        assert set(find_states(other).values()) == {HealthState.ACTIVE}

    def test_instance_does_not_suspect_itself_when_others_report_the_same(self):
        # Guards against a lost domain that no instance ejects, since each one takes
        # itself for the cause.
        monitor = build_monitor(floor=2)
        for number in (1, 2, 4):
            monitor.receive(
                build_report(number, ["u0", "u1", "u2"], suspects_itself=True), 0.0
            )
        record_complete(monitor)
        for upstream in ("u0", "u1", "u2"):
            record_attempts(monitor, upstream, Outcome.NOT_CONNECTED, 12)
        monitor.tick(1.0)
        assert not monitor.suspects_itself


class TestCrashAttribution:
    def test_crashing_request_is_quarantined_and_its_failures_are_taken_back(self):
        # Guards against one request that crashes and ejects every upstream.
        monitor = build_monitor()
        record_complete(monitor)
        for upstream in ("u0", "u1"):
            record_attempts(monitor, upstream, Outcome.RESET, 1)
            monitor.record_outcome(77, upstream, Outcome.RESET, 0.0)
        assert monitor.is_quarantined(77, 0.0)
        scores = {item.name: item.score for item in monitor.describe(0.0)[SERVICE]}
        assert scores["u0"] == scores["u1"] == 0.0

    def test_common_request_on_a_flapping_upstream_is_not_quarantined(self):
        # Guards against the quarantine of a request that works on other upstreams.
        monitor = build_monitor()
        monitor.record_outcome(77, "u0", Outcome.RESET, 0.0)
        monitor.record_outcome(77, "u2", Outcome.COMPLETE, 1.0)
        monitor.record_outcome(77, "u1", Outcome.RESET, 2.0)
        assert not monitor.is_quarantined(77, 2.0)


class TestReports:
    def test_relayed_reports_are_limited_when_everything_is_suspected(self):
        # Guards against reports that exceed the budget for control traffic: a burst of
        # 10, then one a second for 60 seconds.
        monitor = build_monitor()
        relayed = 0
        for step in range(1000):
            now = step * 0.06
            message = build_report(step, [f"u{step % 6}"], domain=f"d{step % 3}")
            relayed += len(monitor.receive(message, now))
        assert relayed <= 10 + 60
