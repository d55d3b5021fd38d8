from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from shallotspindle_core.identifiers import Instance
from shallotspindle_idempotency import ledger, response_cache
from shallotspindle_idempotency.ledger import RETENTION_SECONDS, ClaimLedger
from shallotspindle_idempotency.messages import (
    AbandonReport,
    AlreadyClaimed,
    ClaimGrant,
    ClaimRequest,
    DifferentBody,
    OutcomeReport,
    Quarantined,
    RecordedResponse,
    RequestInProgress,
    ResponseDiscarded,
    UnknownOutcome,
)
from shallotspindle_idempotency.response_cache import ResponseCache

RUNNERS = [Instance("a", "1:1", "d"), Instance("b", "2:2", "d")]
key_digests = st.sampled_from([b"k1", b"k2"])
request_digests = st.sampled_from([b"x", b"y"])
runners = st.sampled_from(RUNNERS)


class LedgerMachine(RuleBasedStateMachine):
    """Compares a ledger that moves between holders with a dict of granted keys."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.attempt_id = 0
        self.ledger = ClaimLedger()
        self.quarantined_until = 0.0
        self.grants = {}

    @rule(seconds=st.sampled_from([0.5, 900.0, RETENTION_SECONDS]))
    def advance(self, seconds):
        self.now += seconds

    @rule(key_digest=key_digests, request_digest=request_digests, runner=runners)
    def claim(self, key_digest, request_digest, runner):
        self.attempt_id += 1
        request = ClaimRequest(0, key_digest, request_digest, self.attempt_id)
        response = self.ledger.claim(request, runner, self.now)
        grant = self.grants.get(key_digest)
        if grant is None or self.now >= grant["expires_at"]:
            if self.now < self.quarantined_until:
                assert response == Quarantined()
                return
            assert response == ClaimGrant()
            self.grants[key_digest] = {
                "request_digest": request_digest,
                "runner": runner,
                "attempt_id": self.attempt_id,
                "is_completed": False,
                "expires_at": self.now + RETENTION_SECONDS,
            }
        elif grant["request_digest"] != request_digest:
            assert response == DifferentBody()
        else:
            assert isinstance(response, AlreadyClaimed)
            assert response.incarnation == grant["runner"].incarnation
            assert (response.attempt_id, response.is_completed) == (
                grant["attempt_id"],
                grant["is_completed"],
            )

    @rule(
        key_digest=key_digests,
        runner=runners,
        age=st.integers(0, 3),
        is_completed=st.booleans(),
    )
    def record_outcome(self, key_digest, runner, age, is_completed):
        attempt_id = self.attempt_id - age
        self.ledger.record_outcome(
            OutcomeReport(0, key_digest, attempt_id, is_completed), runner, self.now
        )
        grant = self.find_grant(key_digest, runner, attempt_id)
        if grant:
            grant["is_completed"] = is_completed
            grant["expires_at"] = self.now + RETENTION_SECONDS

    @rule(key_digest=key_digests, runner=runners, age=st.integers(0, 3))
    def abandon(self, key_digest, runner, age):
        attempt_id = self.attempt_id - age
        self.ledger.abandon(AbandonReport(0, key_digest, attempt_id), runner)
        if self.find_grant(key_digest, runner, attempt_id):
            del self.grants[key_digest]

    @rule()
    def hand_over(self):
        self.ledger = ledger.restore(self.ledger.export(self.now), self.now)

    @rule()
    def take_over(self):
        self.quarantined_until = self.now + RETENTION_SECONDS
        self.ledger = ClaimLedger(self.quarantined_until)
        self.grants = {}

    def find_grant(self, key_digest, runner, attempt_id):
        grant = self.grants.get(key_digest)
        if grant is None or self.now >= grant["expires_at"]:
            return None
        is_same = (grant["runner"], grant["attempt_id"]) == (runner, attempt_id)
        return grant if is_same else None


LedgerMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200
)


class LedgerMachineTest(LedgerMachine.TestCase):
    """Guards against a key that is granted twice within its retention."""


class ResponseCacheMachine(RuleBasedStateMachine):
    """Compares the bounded cache with a dict of all responses."""

    MAX_BYTES = 3000

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.attempt_id = 0
        self.cache = ResponseCache(self.MAX_BYTES)
        # Attempt ID, expected response and time of the last change by key digest.
        self.runs = {}

    @rule(seconds=st.sampled_from([1.0, RETENTION_SECONDS]))
    def advance(self, seconds):
        self.now += seconds

    @rule(key_digest=key_digests)
    def begin(self, key_digest):
        self.attempt_id += 1
        self.cache.begin(key_digest, self.attempt_id, self.now)
        self.runs[key_digest] = (self.attempt_id, RequestInProgress(), self.now)

    @rule(key_digest=key_digests, size=st.sampled_from([0, 1500, 2600, 5000, None]))
    def finish(self, key_digest, size):
        response = (
            None if size is None else RecordedResponse(201, (("a", "b"),), b"z" * size)
        )
        attempt_id = self.cache.finish(key_digest, response, self.now)
        run = self.runs.get(key_digest)
        is_retained = run and self.now < run[2] + RETENTION_SECONDS
        if not is_retained or run[1] != RequestInProgress():
            assert attempt_id is None
            return
        assert attempt_id == run[0]
        self.runs[key_digest] = (attempt_id, response or UnknownOutcome(), self.now)

    @rule(key_digest=key_digests)
    def find(self, key_digest):
        found = self.cache.find(key_digest, self.attempt_id, self.now)
        run = self.runs.get(key_digest)
        if (
            not run
            or run[0] != self.attempt_id
            or self.now >= run[2] + RETENTION_SECONDS
        ):
            assert found == UnknownOutcome()
        else:
            assert found in (run[1], ResponseDiscarded())
            assert found != ResponseDiscarded() or isinstance(run[1], RecordedResponse)

    @invariant()
    def memory_is_bounded(self):
        assert 0 <= self.cache.stored_bytes <= self.MAX_BYTES


ResponseCacheMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200
)


class ResponseCacheMachineTest(ResponseCacheMachine.TestCase):
    """Guards against a replay of the wrong response and against unbounded memory."""


class TestClaimLedger:
    def test_key_sent_to_two_instances_at_once_is_granted_to_one(self):
        # Guards against a request that two instances run at the same time.
        claims = ClaimLedger()
        first = claims.claim(ClaimRequest(0, b"k", b"x", 1), RUNNERS[0], 0.0)
        second = claims.claim(ClaimRequest(0, b"k", b"x", 1), RUNNERS[1], 0.0)
        assert first == ClaimGrant()
        assert second.incarnation == RUNNERS[0].incarnation

    def test_repeated_abandon_report_does_not_release_the_next_grant(self):
        # Guards against a duplicate message that releases a key whose request runs.
        claims = ClaimLedger()
        claims.claim(ClaimRequest(0, b"k", b"x", 1), RUNNERS[0], 0.0)
        claims.abandon(AbandonReport(0, b"k", 1), RUNNERS[0])
        claims.claim(ClaimRequest(0, b"k", b"x", 2), RUNNERS[0], 0.0)
        claims.abandon(AbandonReport(0, b"k", 1), RUNNERS[0])
        response = claims.claim(ClaimRequest(0, b"k", b"x", 3), RUNNERS[0], 0.0)
        assert isinstance(response, AlreadyClaimed)

    def test_digest_separates_team_and_key(self):
        # Guards against two teams that share a claim since their names and keys
        # concatenate to the same text.
        assert ledger.digest_idempotency_key(
            "ab", "c"
        ) != ledger.digest_idempotency_key("a", "bc")


class TestResponseCache:
    def test_oldest_response_is_evicted_and_its_key_stays_completed(self):
        # Guards against unbounded memory, and against an evicted response that makes
        # a completed request look unknown.
        cache = ResponseCache()
        body = b"z" * response_cache.MAX_BODY_BYTES
        for number in range(200):
            key_digest = number.to_bytes(2, "big")
            cache.begin(key_digest, number, 0.0)
            cache.finish(key_digest, RecordedResponse(200, (), body), 0.0)
        assert cache.stored_bytes <= response_cache.MAX_CACHE_BYTES
        assert cache.find((0).to_bytes(2, "big"), 0, 0.0) == ResponseDiscarded()
        assert isinstance(
            cache.find((199).to_bytes(2, "big"), 199, 0.0), RecordedResponse
        )

    def test_key_of_a_response_that_is_too_large_is_completed(self):
        # Guards against a large response that makes a completed request look unknown.
        cache = ResponseCache()
        cache.begin(b"k", 1, 0.0)
        cache.finish(b"k", RecordedResponse(200, (), b"z" * 65537), 0.0)
        assert cache.find(b"k", 1, 0.0) == ResponseDiscarded()
