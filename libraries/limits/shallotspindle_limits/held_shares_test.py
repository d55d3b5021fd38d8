import math
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from shallotspindle_core import hashing
from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits import shares
from shallotspindle_limits.buckets import (
    GRANT_LIFETIME_SECONDS,
    LIMIT_CHANGE_DELAY_SECONDS,
)
from shallotspindle_limits.held_shares import HeldShares
from shallotspindle_limits.records import Limit, NotHolder, TokenDenial, TokenGrant
from shallotspindle_limits.requesters import TokenRequester

TEAM = TeamName("team")
ROUNDING_TOLERANCE = 1e-6
INSTANCES = (0, 1, 2)
PARTITIONS = sorted({shares.find_share_partition(TEAM, i) for i in range(16)})
# The largest share is far above the smallest limit, so that a share that stays too
# large after a change exceeds the bound.
LIMITS = [
    Limit(1, 1),
    Limit(2, 3),
    Limit(20, 32),
    Limit(20, 256),
    Limit(1600, 640),
]
ADVANCE_SECONDS = (0.05, 0.4, 0.9, 1.0, 2.0, 6.0, 20.0)


class SeededRandom:
    """Repeatable source of random numbers."""

    count = 0

    def random(self) -> float:
        self.count += 1
        return hashing.hash_text(str(self.count)) / 2**64

    def randrange(self, stop: int) -> int:
        return int(self.random() * stop)


class OneTeamLimits:
    """Limits of a bundle with a single team."""

    def __init__(self, limit: Limit | None) -> None:
        self.limit = limit

    def find_limit(self, team: TeamName) -> Limit | None:
        return self.limit if team == TEAM else None


class ReferenceLimiter:
    """Records all admissions of the fleet and all limits that may be in force."""

    def __init__(self, limit: Limit) -> None:
        self.admissions: list[float] = []
        self.limit_changes = [(0.0, limit)]

    def set_limit(self, at: float, limit: Limit) -> None:
        self.limit_changes.append((max(at, self.limit_changes[-1][0]), limit))

    def find_bound(self, start: float, end: float) -> float:
        """Return the most requests that may be admitted in a window."""
        edges = [at for at, _ in self.limit_changes[1:]] + [math.inf]
        spans = [
            (max(start, at), min(end, edge), limit)
            for (at, limit), edge in zip(self.limit_changes, edges, strict=True)
            if at <= end and edge >= start
        ]
        accrued = sum(
            max(0.0, until - since) * limit.rate for since, until, limit in spans
        )
        return accrued + max(limit.burst for _, _, limit in spans)

    def find_excess(self) -> float:
        """Return the largest excess over the bound, in requests, in any window."""
        counts = sorted(Counter(self.admissions).items())
        largest_excess = 0.0
        for first, (start, _) in enumerate(counts):
            total = 0
            for end, count in counts[first:]:
                total += count
                largest_excess = max(
                    largest_excess, total - self.find_bound(start, end)
                )
        return largest_excess


class FleetMachine(RuleBasedStateMachine):
    """Three instances that request tokens of one team from each other.

    Guards against admissions above the limit in any window, under lost and late
    messages, handovers, crashes of holders and changes of the limit.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.random = SeededRandom()
        self.limits_seen = {n: OneTeamLimits(LIMITS[4]) for n in INSTANCES}
        self.held_shares = {n: HeldShares() for n in INSTANCES}
        for number, held_shares in self.held_shares.items():
            held_shares.set_limits(self.limits_seen[number], None, self.now - 60)
        self.requesters = {n: TokenRequester() for n in INSTANCES}
        self.holders: dict[int, int | None] = dict.fromkeys(PARTITIONS, 0)
        self.epochs = dict.fromkeys(PARTITIONS, 1)
        self.requests_in_flight: list = []
        self.grants_in_flight: list = []
        self.handovers: list = []
        self.reference = ReferenceLimiter(LIMITS[4])
        self.changed_at = -math.inf
        self.limit = LIMITS[4]
        for partition in PARTITIONS:
            self.held_shares[0].add_partition(partition, 1, None, self.now - 50)

    @rule(
        seconds=st.sampled_from(ADVANCE_SECONDS) | st.floats(0.0, 4.0),
        numbers=st.lists(st.sampled_from(INSTANCES), max_size=3),
    )
    def advance(self, seconds: float, numbers: list[int]) -> None:
        if self.now + seconds >= self.changed_at + LIMIT_CHANGE_DELAY_SECONDS - 1:
            self.set_latest_limit_everywhere()
        self.now += seconds
        for number in numbers:
            self.request_until_denied(number)

    def set_latest_limit_everywhere(self) -> None:
        for number in INSTANCES:
            self.receive_latest_limit(number)

    @rule(number=st.sampled_from(INSTANCES))
    def receive_latest_limit(self, number: int) -> None:
        if self.limits_seen[number].limit == self.limit:
            return
        before = self.limits_seen[number].limit
        self.limits_seen[number] = OneTeamLimits(self.limit)
        self.held_shares[number].set_limits(self.limits_seen[number], {TEAM}, self.now)
        if all(limits.limit == self.limit for limits in self.limits_seen.values()):
            rate = min(before.rate, self.limit.rate)
            burst = min(before.burst, self.limit.burst)
            self.reference.set_limit(self.now, Limit(rate, burst))
            self.reference.set_limit(
                self.changed_at + LIMIT_CHANGE_DELAY_SECONDS, self.limit
            )

    @rule(limit=st.sampled_from(LIMITS), number=st.sampled_from(INSTANCES))
    def change_limit(self, limit: Limit, number: int) -> None:
        # The next change starts only after the last one has taken effect everywhere.
        if (
            self.now < self.changed_at + LIMIT_CHANGE_DELAY_SECONDS
            or limit == self.limit
        ):
            return
        self.limit, self.changed_at = limit, self.now
        self.receive_latest_limit(number)

    @rule(number=st.sampled_from(INSTANCES), count=st.integers(1, 40))
    def request(self, number: int, count: int) -> None:
        for _ in range(count):
            self.send_request(number)

    def send_request(self, number: int) -> None:
        requester = self.requesters[number]
        if requester.admit_prefetched(TEAM, self.now):
            self.reference.admissions.append(self.now)
            return
        total = shares.count_shares(self.limits_seen[number].limit)
        chosen = requester.choose_shares(
            TEAM, total, lambda i: 0, self.random, self.now
        )
        self.requests_in_flight += [(number, index, self.now) for index in chosen[:1]]

    def request_until_denied(self, number: int) -> None:
        """Send requests that are processed at once until no share grants a token."""
        sent_requests = None
        for _ in range(400):
            if sent_requests == []:
                return
            self.requests_in_flight, kept = [], self.requests_in_flight
            before = len(self.reference.admissions)
            self.send_request(number)
            sent_requests, self.requests_in_flight = self.requests_in_flight, kept
            for item in sent_requests:
                self.respond_to_request(*item, False)
            self.deliver_grants()
            if len(self.reference.admissions) > before:
                sent_requests = None

    @rule(data=st.data(), is_lost=st.booleans())
    def respond_to_requests(self, data, is_lost: bool) -> None:
        for _ in range(min(8, len(self.requests_in_flight))):
            position = data.draw(st.integers(0, len(self.requests_in_flight) - 1))
            number, index, sent_at = self.requests_in_flight.pop(position)
            self.respond_to_request(number, index, sent_at, is_lost)

    def respond_to_request(
        self, number: int, index: int, sent_at: float, is_lost: bool
    ) -> None:
        holder = self.holders[shares.find_share_partition(TEAM, index)]
        if holder is None:
            return
        demand = self.requesters[number].estimate_demand(TEAM)
        response = self.held_shares[holder].take(TEAM, index, demand, True, self.now)
        if isinstance(response, TokenGrant):
            # The token is used up even if the response is lost.
            self.reference.admissions.append(self.now)
            if not is_lost:
                self.grants_in_flight.append((number, response, sent_at))
        elif isinstance(response, TokenDenial):
            self.requesters[number].record_denial(TEAM, index, response, sent_at)

    @rule()
    def deliver_grants(self) -> None:
        for number, response, sent_at in self.grants_in_flight:
            self.requesters[number].record_grant(TEAM, response, sent_at, self.now)
        self.grants_in_flight = []

    @rule(partition=st.sampled_from(PARTITIONS), successor=st.sampled_from(INSTANCES))
    def hand_over(self, partition: int, successor: int) -> None:
        holder = self.holders[partition]
        if holder is None or holder == successor:
            return
        state = self.held_shares[holder].remove_partition(partition, self.now)
        self.holders[partition] = None
        self.handovers.append((partition, successor, state))

    @rule(is_lost=st.booleans())
    def finish_handovers(self, is_lost: bool) -> None:
        for partition, successor, state in self.handovers:
            self.give_partition(partition, successor, None if is_lost else state)
        self.handovers = []

    @rule(partition=st.sampled_from(PARTITIONS), successor=st.sampled_from(INSTANCES))
    def crash(self, partition: int, successor: int) -> None:
        holder = self.holders[partition]
        if holder is None or holder == successor:
            return
        self.held_shares[holder].remove_partition(partition, self.now)
        self.give_partition(partition, successor, None)

    def give_partition(self, partition: int, successor: int, state) -> None:
        self.holders[partition] = successor
        self.epochs[partition] += 1
        epoch = self.epochs[partition]
        self.held_shares[successor].add_partition(partition, epoch, state, self.now)

    def teardown(self) -> None:
        assert self.reference.find_excess() <= ROUNDING_TOLERANCE


FleetMachineTest = FleetMachine.TestCase
FleetMachineTest.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=40, deadline=None
)


def make_held_shares(
    limit: Limit, now: float = 100.0
) -> tuple[HeldShares, OneTeamLimits]:
    limits = OneTeamLimits(limit)
    held_shares = HeldShares()
    held_shares.set_limits(limits, None, now - 10)
    for partition in PARTITIONS:
        held_shares.add_partition(partition, 1, None, now)
    return held_shares, limits


def take_until_denied(
    held_shares: HeldShares, index: int, now: float, limit: int = 1000
) -> int:
    for count in range(limit):
        if not isinstance(held_shares.take(TEAM, index, 0, False, now), TokenGrant):
            return count
    return limit


class TestHeldShares:
    def test_lost_state_leaves_buckets_empty_until_all_grants_expired(self):
        # Guards against one burst from the former holder and another from its
        # successor.
        held_shares, _ = make_held_shares(Limit(4, 39))
        assert take_until_denied(held_shares, 0, 100.0 + GRANT_LIFETIME_SECONDS) == 0
        assert take_until_denied(held_shares, 0, 101.0 + GRANT_LIFETIME_SECONDS) == 1
        assert take_until_denied(held_shares, 0, 160.0) == 7

    def test_successor_continues_with_the_handed_over_tokens(self):
        # Guards against tokens that are lost or granted twice in a handover.
        held_shares, limits = make_held_shares(Limit(4, 39))
        assert take_until_denied(held_shares, 0, 130.0, 3) == 3
        successor = HeldShares()
        successor.set_limits(limits, None, 100.0)
        partition = shares.find_share_partition(TEAM, 0)
        successor.add_partition(
            partition, 2, held_shares.remove_partition(partition, 130.0), 130.0
        )
        assert isinstance(held_shares.take(TEAM, 0, 0, False, 130.0), NotHolder)
        assert take_until_denied(successor, 0, 130.0) == 4

    def test_older_epoch_does_not_reset_a_bucket(self):
        # Guards against a late message that replaces the buckets by fuller ones.
        held_shares, _ = make_held_shares(Limit(4, 39))
        take_until_denied(held_shares, 0, 150.0)
        held_shares.add_partition(shares.find_share_partition(TEAM, 0), 1, None, 90.0)
        assert take_until_denied(held_shares, 0, 150.0) == 0

    def test_smaller_limit_applies_at_once(self):
        # Guards against tokens above the burst of a limit that was lowered.
        held_shares, _ = make_held_shares(Limit(16, 256))
        take_until_denied(held_shares, 0, 150.0, 1)
        held_shares.set_limits(OneTeamLimits(Limit(16, 128)), {TEAM}, 150.0)
        assert take_until_denied(held_shares, 0, 150.0) == 6

    def test_larger_limit_applies_after_the_change_delay(self):
        # Guards against shares that add up to more than the limit while some instances
        # still use the older bundle.
        held_shares, _ = make_held_shares(Limit(4, 32))
        assert take_until_denied(held_shares, 0, 150.0) == 6
        held_shares.set_limits(OneTeamLimits(Limit(400, 32)), {TEAM}, 150.0)
        assert take_until_denied(held_shares, 0, 154.0) == 4
        assert take_until_denied(held_shares, 0, 154.5) == 0
        assert take_until_denied(held_shares, 0, 155.0 + 0.025) == 3

    def test_smaller_limit_applies_without_a_request(self):
        # Guards against an increase without the delay, in a bucket that was idle while
        # the smaller limit was in force.
        held_shares, _ = make_held_shares(Limit(4, 39))
        take_until_denied(held_shares, 0, 150.0, 1)
        held_shares.set_limits(OneTeamLimits(Limit(1, 1)), {TEAM}, 150.0)
        held_shares.set_limits(OneTeamLimits(Limit(2, 3)), {TEAM}, 160.0)
        assert take_until_denied(held_shares, 0, 160.1) == 1

    def test_new_bucket_of_a_changed_team_starts_empty(self):
        # Guards against tokens that accrued at the rate of the new limit before it was
        # in force.
        held_shares, limits = make_held_shares(Limit(4, 32))
        held_shares.set_limits(limits, {TEAM}, 200.0)
        assert (
            take_until_denied(held_shares, 1, 200.0 + LIMIT_CHANGE_DELAY_SECONDS) == 0
        )
        assert (
            take_until_denied(held_shares, 1, 202.0 + LIMIT_CHANGE_DELAY_SECONDS) == 2
        )

    def test_unknown_share_or_team_gets_no_token(self):
        # Guards against grants of shares that the limit does not have.
        held_shares, _ = make_held_shares(Limit(4, 2))
        assert isinstance(held_shares.take(TEAM, 1, 0, False, 150.0), NotHolder)
        assert isinstance(held_shares.take(TEAM, -1, 0, False, 150.0), NotHolder)
        other = held_shares.take(TeamName("other"), 0, 0, False, 150.0)
        assert isinstance(other, NotHolder)

    def test_retry_after_grows_with_recent_denials(self):
        # Guards against denied requests that all retry for the same token.
        held_shares, _ = make_held_shares(Limit(4, 16))
        take_until_denied(held_shares, 0, 150.0)
        waits = [
            held_shares.take(TEAM, 0, 0, False, 150.0).retry_after for _ in range(9)
        ]
        assert waits == sorted(waits)
        assert waits[-1] > 4 * waits[0] > 0


class TestPrefetchedTokens:
    def test_prefetched_tokens_follow_demand_up_to_the_bound(self):
        # Guards against a requester that prefetches all tokens of a share.
        held_shares, _ = make_held_shares(Limit(1600, 1600))
        small = held_shares.take(TEAM, 0, 8, True, 150.0).prefetched
        assert small == 2
        rest = sum(
            held_shares.take(TEAM, 0, 1e9, True, 150.0).prefetched for _ in range(9)
        )
        assert small + rest <= 25

    def test_paused_requester_cannot_use_an_expired_grant(self):
        # Guards against tokens that are used after the holder counts them as expired,
        # because the requester was paused in between.
        requester = TokenRequester()
        requester.admit_prefetched(TEAM, 10.0)
        assert not requester.record_grant(
            TEAM, TokenGrant(5), 10.0, 10.0 + GRANT_LIFETIME_SECONDS
        )
        assert requester.record_grant(TEAM, TokenGrant(5), 10.0, 10.5)
        assert requester.admit_prefetched(TEAM, 10.9)
        assert not requester.admit_prefetched(TEAM, 10.0 + GRANT_LIFETIME_SECONDS)

    def test_outstanding_grants_count_in_the_burst(self):
        # Guards against a full bucket beside prefetched tokens that may still be used,
        # also if their response was lost or the share was handed over.
        held_shares, limits = make_held_shares(Limit(1600, 640))
        first = held_shares.take(TEAM, 0, 1e9, True, 150.0).prefetched
        assert first == 9
        partition = shares.find_share_partition(TEAM, 0)
        successor = HeldShares()
        successor.set_limits(limits, None, 100.0)
        successor.add_partition(
            partition, 2, held_shares.remove_partition(partition, 150.5), 150.5
        )
        second = successor.take(TEAM, 0, 1e9, True, 150.9).prefetched
        assert second <= 1
        assert first + second + 1 + take_until_denied(successor, 0, 150.9) <= 40


class TestTokenRequester:
    def test_blocked_share_is_asked_again_when_it_may_have_a_token(self):
        # Guards against requests to a share without tokens, and against a share that
        # is never asked again.
        requester, source = TokenRequester(), SeededRandom()
        requester.admit_prefetched(TEAM, 10.0)
        requester.record_denial(TEAM, 2, TokenDenial(0.5, 2.0), 10.0)
        early = requester.choose_shares(TEAM, 4, lambda i: i != 3, source, 10.4)
        assert early[0] == 3 and sorted(early) == [0, 1, 3]
        assert requester.find_retry_after(TEAM, 4, 10.4) == 12.0 - 10.4
        late = {
            i
            for _ in range(9)
            for i in requester.choose_shares(TEAM, 4, lambda i: 0, source, 10.5)
        }
        assert 2 in late

    def test_idle_teams_are_removed(self):
        # Guards against memory that grows with every team that ever sent a request.
        requester = TokenRequester()
        for number in range(5_000):
            requester.admit_prefetched(TeamName(f"t{number}"), number * 0.1)
        assert requester.count_teams() <= 700


class TestShares:
    def test_sum_of_shares_never_exceeds_the_limit(self):
        # Guards against rounding errors in the division of a limit.
        for number in range(1, 3_000):
            limit = Limit(number / 7, number / 11)
            count = shares.count_shares(limit)
            found = [shares.find_share(limit, index) for index in range(count)]
            assert count * found[0].rate <= limit.rate
            assert count * found[0].burst <= limit.burst
            assert shares.find_share(limit, count) == shares.ZERO_SHARE
