from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from shallotspindle_health.crashes import CrashLedger
from shallotspindle_health.messages import CrashNotice

FINGERPRINTS = st.integers(1, 4)
UPSTREAMS = st.sampled_from(["u1", "u2", "u3"])


class LedgerMachine(RuleBasedStateMachine):
    """Compares the ledger with a full history of crashes."""

    def __init__(self):
        super().__init__()
        self.ledger = CrashLedger(window=60.0, hold=600.0)
        self.now = 0.0
        self.history = {}

    def find(self, fingerprint):
        entries = self.history.get(fingerprint, [])
        names = {name for name, _ in entries}
        life = 600.0 if len(names) >= 2 else 60.0
        if entries and self.now - max(time for _, time in entries) > life:
            del self.history[fingerprint]
            return set()
        return names

    @rule(fingerprint=FINGERPRINTS, upstream=UPSTREAMS)
    def crash(self, fingerprint, upstream):
        before = self.find(fingerprint)
        acquitted = self.ledger.record(fingerprint, upstream, self.now)
        self.history.setdefault(fingerprint, []).append((upstream, self.now))
        after = before | {upstream}
        known = before if len(before) >= 2 else set()
        assert acquitted == (after - known if len(after) >= 2 else set())

    @rule(fingerprint=FINGERPRINTS)
    def succeed(self, fingerprint):
        self.ledger.clear(fingerprint, self.now)
        if len(self.find(fingerprint)) < 2:
            self.history.pop(fingerprint, None)

    @rule(seconds=st.sampled_from([1.0, 50.0, 70.0, 700.0]))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def holds_the_same_requests(self):
        for fingerprint in range(1, 5):
            held = len(self.find(fingerprint)) >= 2
            assert self.ledger.is_held(fingerprint, self.now) == held


LedgerMachine.TestCase.settings = settings(derandomize=True, max_examples=100)


class TestCrashLedger(LedgerMachine.TestCase):
    """Guards against requests that are held back for one crash, or never."""


class TestCrashNotices:
    def test_crashes_of_two_instances_add_up(self):
        # Guards against a request that crashes one upstream through each instance.
        first, second = CrashLedger(), CrashLedger()
        first.record(7, "u1", 0.0)
        second.record(7, "u2", 0.0)
        notice = first.describe(7, 1.0)
        assert second.merge(notice, 1.0) == {"u1", "u2"}
        assert second.is_held(7, 1.0)

    def test_memory_is_bounded(self):
        # Guards against callers that fill the memory with new fingerprints.
        ledger = CrashLedger(capacity=10)
        for number in range(1000):
            ledger.merge(CrashNotice(number, ("u1", "u2"), 0.0), 0.0)
        assert len(ledger) == 10
