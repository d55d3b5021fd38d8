from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from shallotspindle_core.identifiers import Instance
from shallotspindle_idempotency import answers, ledger
from shallotspindle_idempotency.answers import Answers
from shallotspindle_idempotency.ledger import RETENTION_SECONDS, Ledger
from shallotspindle_idempotency.messages import (
    Abandon,
    Answer,
    Claim,
    Claimed,
    DifferentBody,
    Dropped,
    Outcome,
    Present,
    Quarantined,
    Running,
    Unknown,
)

RUNNERS = [Instance("a", "1:1", "d"), Instance("b", "2:2", "d")]
keys = st.sampled_from([b"k1", b"k2"])
bodies = st.sampled_from([b"x", b"y"])
runners = st.sampled_from(RUNNERS)


class LedgerMachine(RuleBasedStateMachine):
    """Compares a ledger that moves between holders with a list of all events."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.attempt = 0
        self.ledger = Ledger()
        self.quarantine = 0.0
        self.granted = {}

    @rule(seconds=st.sampled_from([0.5, 900.0, RETENTION_SECONDS]))
    def advance(self, seconds):
        self.now += seconds

    @rule(key=keys, body=bodies, runner=runners)
    def claim(self, key, body, runner):
        self.attempt += 1
        message = Claim(0, key, body, self.attempt)
        reply = self.ledger.claim(message, runner, self.now)
        old = self.granted.get(key)
        if old is None or self.now >= old["expires"]:
            if self.now < self.quarantine:
                assert reply == Quarantined()
                return
            assert reply == Claimed()
            self.granted[key] = {
                "body": body,
                "runner": runner,
                "attempt": self.attempt,
                "completed": False,
                "expires": self.now + RETENTION_SECONDS,
            }
        elif old["body"] != body:
            assert reply == DifferentBody()
        else:
            assert isinstance(reply, Present)
            assert reply.incarnation == old["runner"].incarnation
            assert (reply.attempt, reply.completed) == (
                old["attempt"],
                old["completed"],
            )

    @rule(key=keys, runner=runners, back=st.integers(0, 3), completed=st.booleans())
    def settle(self, key, runner, back, completed):
        attempt = self.attempt - back
        self.ledger.settle(Outcome(0, key, attempt, completed), runner, self.now)
        old = self.find(key, runner, attempt)
        if old:
            old["completed"] = completed
            old["expires"] = self.now + RETENTION_SECONDS

    @rule(key=keys, runner=runners, back=st.integers(0, 3))
    def abandon(self, key, runner, back):
        attempt = self.attempt - back
        self.ledger.abandon(Abandon(0, key, attempt), runner)
        if self.find(key, runner, attempt):
            del self.granted[key]

    @rule()
    def hand_over(self):
        self.ledger = ledger.restore(self.ledger.export(self.now), self.now)

    @rule()
    def take_over(self):
        self.quarantine = self.now + RETENTION_SECONDS
        self.ledger = Ledger(self.quarantine)
        self.granted = {}

    def find(self, key, runner, attempt):
        old = self.granted.get(key)
        if old is None or self.now >= old["expires"]:
            return None
        same = (old["runner"], old["attempt"]) == (runner, attempt)
        return old if same else None


LedgerMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200
)


class LedgerMachineTest(LedgerMachine.TestCase):
    pass


class AnswersMachine(RuleBasedStateMachine):
    """Compares bounded answers with all answers that were ever stored."""

    LIMIT = 3000

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.attempt = 0
        self.answers = Answers(self.LIMIT)
        self.runs = {}

    @rule(seconds=st.sampled_from([1.0, RETENTION_SECONDS]))
    def advance(self, seconds):
        self.now += seconds

    @rule(key=keys)
    def begin(self, key):
        self.attempt += 1
        self.answers.begin(key, self.attempt, self.now)
        self.runs[key] = (self.attempt, Running(), self.now)

    @rule(key=keys, size=st.sampled_from([0, 1500, 2600, 5000, None]))
    def finish(self, key, size):
        answer = None if size is None else Answer(201, (("a", "b"),), b"z" * size)
        attempt = self.answers.finish(key, answer, self.now)
        run = self.runs.get(key)
        alive = run and self.now < run[2] + RETENTION_SECONDS
        if not alive or run[1] != Running():
            assert attempt is None
            return
        assert attempt == run[0]
        self.runs[key] = (attempt, answer or Unknown(), self.now)

    @rule(key=keys)
    def find(self, key):
        found = self.answers.find(key, self.attempt, self.now)
        run = self.runs.get(key)
        if not run or run[0] != self.attempt or self.now >= run[2] + RETENTION_SECONDS:
            assert found == Unknown()
        else:
            assert found in (run[1], Dropped())
            assert found != Dropped() or isinstance(run[1], Answer)

    @invariant()
    def memory_is_bounded(self):
        assert 0 <= self.answers.stored_bytes <= self.LIMIT


AnswersMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200
)


class AnswersMachineTest(AnswersMachine.TestCase):
    pass


class TestLedger:
    def test_key_sent_to_two_instances_at_once_is_granted_to_one(self):
        book = Ledger()
        first = book.claim(Claim(0, b"k", b"x", 1), RUNNERS[0], 0.0)
        second = book.claim(Claim(0, b"k", b"x", 1), RUNNERS[1], 0.0)
        assert first == Claimed()
        assert second.incarnation == RUNNERS[0].incarnation

    def test_repeated_abandon_does_not_free_the_next_grant(self):
        # Guards against a duplicate message that frees a key whose request runs.
        book = Ledger()
        book.claim(Claim(0, b"k", b"x", 1), RUNNERS[0], 0.0)
        book.abandon(Abandon(0, b"k", 1), RUNNERS[0])
        book.claim(Claim(0, b"k", b"x", 2), RUNNERS[0], 0.0)
        book.abandon(Abandon(0, b"k", 1), RUNNERS[0])
        reply = book.claim(Claim(0, b"k", b"x", 3), RUNNERS[0], 0.0)
        assert isinstance(reply, Present)

    def test_digest_keeps_team_and_key_apart(self):
        assert ledger.digest_key("ab", "c") != ledger.digest_key("a", "bc")


class TestAnswers:
    def test_oldest_answer_is_dropped_and_stays_completed(self):
        kept = Answers()
        body = b"z" * answers.ANSWER_LIMIT_BYTES
        for number in range(200):
            key = number.to_bytes(2, "big")
            kept.begin(key, number, 0.0)
            kept.finish(key, Answer(200, (), body), 0.0)
        assert kept.stored_bytes <= answers.TOTAL_LIMIT_BYTES
        assert kept.find((0).to_bytes(2, "big"), 0, 0.0) == Dropped()
        assert isinstance(kept.find((199).to_bytes(2, "big"), 199, 0.0), Answer)

    def test_answer_above_the_limit_is_completed(self):
        kept = Answers()
        kept.begin(b"k", 1, 0.0)
        kept.finish(b"k", Answer(200, (), b"z" * 65537), 0.0)
        assert kept.find(b"k", 1, 0.0) == Dropped()
