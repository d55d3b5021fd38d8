from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from shallotspindle_health.crashes import CrashTracker
from shallotspindle_health.messages import CrashNotice

FINGERPRINTS = st.integers(1, 4)
UPSTREAMS = st.sampled_from(["u1", "u2", "u3"])


class CrashTrackerMachine(RuleBasedStateMachine):
    """Compares the tracker with a full history of crashes."""

    def __init__(self):
        super().__init__()
        self.tracker = CrashTracker(window_seconds=60.0, quarantine_seconds=600.0)
        self.now = 0.0
        self.history = {}

    def find_crashed(self, fingerprint):
        crashes = self.history.get(fingerprint, [])
        upstreams = {upstream for upstream, _ in crashes}
        lifetime = 600.0 if len(upstreams) >= 2 else 60.0
        if crashes and self.now - max(time for _, time in crashes) > lifetime:
            del self.history[fingerprint]
            return set()
        return upstreams

    @rule(fingerprint=FINGERPRINTS, upstream=UPSTREAMS)
    def crash(self, fingerprint, upstream):
        before = self.find_crashed(fingerprint)
        not_at_fault = self.tracker.record(fingerprint, upstream, self.now)
        self.history.setdefault(fingerprint, []).append((upstream, self.now))
        after = before | {upstream}
        returned = before if len(before) >= 2 else set()
        assert not_at_fault == (after - returned if len(after) >= 2 else set())

    @rule(fingerprint=FINGERPRINTS)
    def complete(self, fingerprint):
        self.tracker.clear(fingerprint, self.now)
        if len(self.find_crashed(fingerprint)) < 2:
            self.history.pop(fingerprint, None)

    @rule(seconds=st.sampled_from([1.0, 50.0, 70.0, 700.0]))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def quarantines_the_same_requests(self):
        for fingerprint in range(1, 5):
            expected = len(self.find_crashed(fingerprint)) >= 2
            assert self.tracker.is_quarantined(fingerprint, self.now) == expected


CrashTrackerMachine.TestCase.settings = settings(derandomize=True, max_examples=100)


class TestCrashTracker(CrashTrackerMachine.TestCase):
    """Guards against requests that are quarantined for one crash, or never."""


class TestCrashNotices:
    def test_crashes_seen_by_two_instances_add_up(self):
        # Guards against a request that crashes one upstream through each instance.
        first, second = CrashTracker(), CrashTracker()
        first.record(7, "u1", 0.0)
        second.record(7, "u2", 0.0)
        notice = first.build_notice(7, 1.0)
        assert second.merge(notice, 1.0) == {"u1", "u2"}
        assert second.is_quarantined(7, 1.0)

    def test_memory_is_bounded(self):
        # Guards against callers that fill the memory with new fingerprints.
        tracker = CrashTracker(capacity=10)
        for number in range(1000):
            tracker.merge(CrashNotice(number, ("u1", "u2"), 0.0), 0.0)
        assert len(tracker) == 10
