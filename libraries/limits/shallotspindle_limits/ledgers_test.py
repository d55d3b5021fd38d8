import math
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from shallotspindle_core import hashing
from shallotspindle_core.identifiers import TeamName
from shallotspindle_limits import shares
from shallotspindle_limits.buckets import CHANGE_SECONDS, GRANT_SECONDS
from shallotspindle_limits.ledgers import Ledger
from shallotspindle_limits.records import Denied, Granted, Limit, NotActing
from shallotspindle_limits.wallets import Wallet

TEAM = TeamName("team")
TOLERANCE = 1e-6
INSTANCES = (0, 1, 2)
PARTITIONS = sorted({shares.find_share_partition(TEAM, i) for i in range(16)})
# The largest share is far above the smallest limit, so that a share that stays too
# large after a change passes the bound.
LIMITS = [
    Limit(1, 1),
    Limit(2, 3),
    Limit(20, 32),
    Limit(20, 256),
    Limit(1600, 640),
]
PAUSES = (0.05, 0.4, 0.9, 1.0, 2.0, 6.0, 20.0)


class Source:
    """Seeded random source without the system's module."""

    count = 0

    def random(self) -> float:
        self.count += 1
        return hashing.hash_text(str(self.count)) / 2**64

    def randrange(self, stop: int) -> int:
        return int(self.random() * stop)


class Table:
    def __init__(self, limit: Limit | None) -> None:
        self.limit = limit

    def find_limit(self, team: TeamName) -> Limit | None:
        return self.limit if team == TEAM else None


class NaiveLimiter:
    """Sees every admission of the fleet and every limit that may be in force."""

    def __init__(self, limit: Limit) -> None:
        self.admissions: list[float] = []
        self.steps = [(0.0, limit)]

    def set_limit(self, at: float, limit: Limit) -> None:
        self.steps.append((max(at, self.steps[-1][0]), limit))

    def find_bound(self, start: float, end: float) -> float:
        edges = [at for at, _ in self.steps[1:]] + [math.inf]
        spans = [
            (max(start, at), min(end, edge), limit)
            for (at, limit), edge in zip(self.steps, edges, strict=True)
            if at <= end and edge >= start
        ]
        added = sum(max(0.0, upto - since) * item.rate for since, upto, item in spans)
        return added + max(item.burst for _, _, item in spans)

    def find_excess(self) -> float:
        """Return the largest excess over the bound, in requests, in any window."""
        counts = sorted(Counter(self.admissions).items())
        worst = 0.0
        for first, (start, _) in enumerate(counts):
            total = 0
            for end, count in counts[first:]:
                total += count
                worst = max(worst, total - self.find_bound(start, end))
        return worst


class FleetMachine(RuleBasedStateMachine):
    """Three instances with lost and late messages, moves, crashes and changes."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.random = Source()
        self.tables = {n: Table(LIMITS[4]) for n in INSTANCES}
        self.ledgers = {n: Ledger() for n in INSTANCES}
        for number, ledger in self.ledgers.items():
            ledger.learn(self.tables[number], None, self.now - 60)
        self.wallets = {n: Wallet() for n in INSTANCES}
        self.holders: dict[int, int | None] = dict.fromkeys(PARTITIONS, 0)
        self.epochs = dict.fromkeys(PARTITIONS, 1)
        self.waiting: list = []
        self.replies: list = []
        self.moving: list = []
        self.naive = NaiveLimiter(LIMITS[4])
        self.changed_at = -math.inf
        self.limit = LIMITS[4]
        for partition in PARTITIONS:
            self.ledgers[0].gain(partition, 1, None, self.now - 50)

    @rule(
        seconds=st.sampled_from(PAUSES) | st.floats(0.0, 4.0),
        numbers=st.lists(st.sampled_from(INSTANCES), max_size=3),
    )
    def advance(self, seconds: float, numbers: list[int]) -> None:
        if self.now + seconds >= self.changed_at + CHANGE_SECONDS - 1:
            self.learn_all()
        self.now += seconds
        for number in numbers:
            self.flood(number)

    def learn_all(self) -> None:
        for number in INSTANCES:
            self.learn(number)

    @rule(number=st.sampled_from(INSTANCES))
    def learn(self, number: int) -> None:
        if self.tables[number].limit == self.limit:
            return
        before = self.tables[number].limit
        self.tables[number] = Table(self.limit)
        self.ledgers[number].learn(self.tables[number], {TEAM}, self.now)
        if all(table.limit == self.limit for table in self.tables.values()):
            rate = min(before.rate, self.limit.rate)
            burst = min(before.burst, self.limit.burst)
            self.naive.set_limit(self.now, Limit(rate, burst))
            self.naive.set_limit(self.changed_at + CHANGE_SECONDS, self.limit)

    @rule(limit=st.sampled_from(LIMITS), number=st.sampled_from(INSTANCES))
    def change(self, limit: Limit, number: int) -> None:
        # Changes are further apart than the time that each takes to be in force.
        if self.now < self.changed_at + CHANGE_SECONDS or limit == self.limit:
            return
        self.limit, self.changed_at = limit, self.now
        self.learn(number)

    @rule(number=st.sampled_from(INSTANCES), count=st.integers(1, 40))
    def request(self, number: int, count: int) -> None:
        for _ in range(count):
            self.request_once(number)

    def request_once(self, number: int) -> None:
        wallet = self.wallets[number]
        if wallet.begin(TEAM, self.now):
            self.naive.admissions.append(self.now)
            return
        total = shares.count_shares(self.tables[number].limit)
        plan = wallet.plan(TEAM, total, lambda i: 0, self.random, self.now)
        self.waiting += [(number, index, self.now) for index in plan[:1]]

    def flood(self, number: int) -> None:
        asked = None
        for _ in range(400):
            if asked == []:
                return
            self.waiting, kept = [], self.waiting
            before = len(self.naive.admissions)
            self.request_once(number)
            asked, self.waiting = self.waiting, kept
            for item in asked:
                self.answer_one(*item, False)
            self.deliver()
            if len(self.naive.admissions) > before:
                asked = None

    @rule(data=st.data(), lost=st.booleans())
    def answer(self, data, lost: bool) -> None:
        for _ in range(min(8, len(self.waiting))):
            place = data.draw(st.integers(0, len(self.waiting) - 1))
            number, index, sent_at = self.waiting.pop(place)
            self.answer_one(number, index, sent_at, lost)

    def answer_one(self, number: int, index: int, sent_at: float, lost: bool) -> None:
        holder = self.holders[shares.find_share_partition(TEAM, index)]
        if holder is None:
            return
        demand = self.wallets[number].estimate_demand(TEAM)
        answer = self.ledgers[holder].take(TEAM, index, demand, True, self.now)
        if isinstance(answer, Granted):
            # The holder's take counts, also if its answer is lost.
            self.naive.admissions.append(self.now)
            if not lost:
                self.replies.append((number, answer, sent_at))
        elif isinstance(answer, Denied):
            self.wallets[number].note_denied(TEAM, index, answer, sent_at)

    @rule()
    def deliver(self) -> None:
        for number, answer, sent_at in self.replies:
            self.wallets[number].note_granted(TEAM, answer, sent_at, self.now)
        self.replies = []

    @rule(partition=st.sampled_from(PARTITIONS), successor=st.sampled_from(INSTANCES))
    def hand_over(self, partition: int, successor: int) -> None:
        holder = self.holders[partition]
        if holder is None or holder == successor:
            return
        state = self.ledgers[holder].lose(partition, self.now)
        self.holders[partition] = None
        self.moving.append((partition, successor, state))

    @rule(lost=st.booleans())
    def finish_moves(self, lost: bool) -> None:
        for partition, successor, state in self.moving:
            self.gain(partition, successor, None if lost else state)
        self.moving = []

    @rule(partition=st.sampled_from(PARTITIONS), successor=st.sampled_from(INSTANCES))
    def crash(self, partition: int, successor: int) -> None:
        holder = self.holders[partition]
        if holder is None or holder == successor:
            return
        self.ledgers[holder].lose(partition, self.now)
        self.gain(partition, successor, None)

    def gain(self, partition: int, successor: int, state) -> None:
        self.holders[partition] = successor
        self.epochs[partition] += 1
        epoch = self.epochs[partition]
        self.ledgers[successor].gain(partition, epoch, state, self.now)

    def teardown(self) -> None:
        assert self.naive.find_excess() <= TOLERANCE


FleetMachineTest = FleetMachine.TestCase
FleetMachineTest.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=40, deadline=None
)


def make_ledger(limit: Limit, now: float = 100.0) -> tuple[Ledger, Table]:
    table = Table(limit)
    ledger = Ledger()
    ledger.learn(table, None, now - 10)
    for partition in PARTITIONS:
        ledger.gain(partition, 1, None, now)
    return ledger, table


def drain(ledger: Ledger, index: int, now: float, limit: int = 1000) -> int:
    for count in range(limit):
        if not isinstance(ledger.take(TEAM, index, 0, False, now), Granted):
            return count
    return limit


class TestLedger:
    def test_takeover_starts_empty_after_the_longest_grant(self):
        # Guards against a burst from the former holder and one from its successor.
        ledger, _ = make_ledger(Limit(4, 39))
        assert drain(ledger, 0, 100.0 + GRANT_SECONDS) == 0
        assert drain(ledger, 0, 101.0 + GRANT_SECONDS) == 1
        assert drain(ledger, 0, 160.0) == 7

    def test_handed_over_state_goes_on(self):
        ledger, table = make_ledger(Limit(4, 39))
        assert drain(ledger, 0, 130.0, 3) == 3
        successor = Ledger()
        successor.learn(table, None, 100.0)
        partition = shares.find_share_partition(TEAM, 0)
        successor.gain(partition, 2, ledger.lose(partition, 130.0), 130.0)
        assert isinstance(ledger.take(TEAM, 0, 0, False, 130.0), NotActing)
        assert drain(successor, 0, 130.0) == 4

    def test_old_epoch_does_not_refill_a_bucket(self):
        ledger, _ = make_ledger(Limit(4, 39))
        drain(ledger, 0, 150.0)
        ledger.gain(shares.find_share_partition(TEAM, 0), 1, None, 90.0)
        assert drain(ledger, 0, 150.0) == 0

    def test_smaller_limit_applies_at_once(self):
        ledger, _ = make_ledger(Limit(16, 256))
        drain(ledger, 0, 150.0, 1)
        ledger.learn(Table(Limit(16, 128)), {TEAM}, 150.0)
        assert drain(ledger, 0, 150.0) == 6

    def test_larger_limit_waits_for_stale_instances(self):
        ledger, _ = make_ledger(Limit(4, 32))
        assert drain(ledger, 0, 150.0) == 6
        ledger.learn(Table(Limit(400, 32)), {TEAM}, 150.0)
        assert drain(ledger, 0, 154.0) == 4
        assert drain(ledger, 0, 154.5) == 0
        assert drain(ledger, 0, 155.0 + 0.025) == 3

    def test_smaller_limit_counts_that_no_request_saw(self):
        # Guards against a raise without delay of a bucket that was idle meanwhile.
        ledger, _ = make_ledger(Limit(4, 39))
        drain(ledger, 0, 150.0, 1)
        ledger.learn(Table(Limit(1, 1)), {TEAM}, 150.0)
        ledger.learn(Table(Limit(2, 3)), {TEAM}, 160.0)
        assert drain(ledger, 0, 160.1) == 1

    def test_unused_share_of_a_changed_team_starts_empty(self):
        ledger, table = make_ledger(Limit(4, 32))
        ledger.learn(table, {TEAM}, 200.0)
        assert drain(ledger, 1, 200.0 + CHANGE_SECONDS) == 0
        assert drain(ledger, 1, 202.0 + CHANGE_SECONDS) == 2

    def test_unknown_share_and_team_are_not_answered(self):
        ledger, _ = make_ledger(Limit(4, 2))
        assert isinstance(ledger.take(TEAM, 1, 0, False, 150.0), NotActing)
        assert isinstance(ledger.take(TEAM, -1, 0, False, 150.0), NotActing)
        other = ledger.take(TeamName("other"), 0, 0, False, 150.0)
        assert isinstance(other, NotActing)

    def test_waiting_demand_raises_the_expected_time(self):
        ledger, _ = make_ledger(Limit(4, 16))
        drain(ledger, 0, 150.0)
        waits = [ledger.take(TEAM, 0, 0, False, 150.0).retry_after for _ in range(9)]
        assert waits == sorted(waits)
        assert waits[-1] > 4 * waits[0] > 0


class TestGrants:
    def test_prepaid_is_bounded_and_follows_demand(self):
        ledger, _ = make_ledger(Limit(1600, 1600))
        small = ledger.take(TEAM, 0, 8, True, 150.0).prepaid
        assert small == 2
        rest = sum(ledger.take(TEAM, 0, 1e9, True, 150.0).prepaid for _ in range(9))
        assert small + rest <= 25

    def test_paused_asker_cannot_use_an_old_grant(self):
        # Guards against a pause between the grant and its use.
        wallet = Wallet()
        wallet.begin(TEAM, 10.0)
        assert not wallet.note_granted(TEAM, Granted(5), 10.0, 10.0 + GRANT_SECONDS)
        assert wallet.note_granted(TEAM, Granted(5), 10.0, 10.5)
        assert wallet.begin(TEAM, 10.9)
        assert not wallet.begin(TEAM, 10.0 + GRANT_SECONDS)

    def test_outstanding_grants_count_in_the_burst(self):
        # Guards against a full bucket beside prepaid tokens that are still in use,
        # also when their answer was lost or the share was handed over.
        ledger, table = make_ledger(Limit(1600, 640))
        first = ledger.take(TEAM, 0, 1e9, True, 150.0).prepaid
        assert first == 9
        partition = shares.find_share_partition(TEAM, 0)
        successor = Ledger()
        successor.learn(table, None, 100.0)
        successor.gain(partition, 2, ledger.lose(partition, 150.5), 150.5)
        second = successor.take(TEAM, 0, 1e9, True, 150.9).prepaid
        assert second <= 1
        assert first + second + 1 + drain(successor, 0, 150.9) <= 40


class TestWallet:
    def test_shares_without_token_are_asked_again_in_time(self):
        wallet, source = Wallet(), Source()
        wallet.begin(TEAM, 10.0)
        wallet.note_denied(TEAM, 2, Denied(0.5, 2.0), 10.0)
        early = wallet.plan(TEAM, 4, lambda i: i != 3, source, 10.4)
        assert early[0] == 3 and sorted(early) == [0, 1, 3]
        assert wallet.find_retry(TEAM, 4, 10.4) == 12.0 - 10.4
        late = {
            i for _ in range(9) for i in wallet.plan(TEAM, 4, lambda i: 0, source, 10.5)
        }
        assert 2 in late

    def test_idle_teams_are_forgotten(self):
        wallet = Wallet()
        for number in range(5_000):
            wallet.begin(TeamName(f"t{number}"), number * 0.1)
        assert wallet.count_accounts() <= 700


class TestShares:
    def test_sum_never_passes_the_limit(self):
        for number in range(1, 3_000):
            limit = Limit(number / 7, number / 11)
            count = shares.count_shares(limit)
            found = [shares.find_share(limit, index) for index in range(count)]
            assert count * found[0].rate <= limit.rate
            assert count * found[0].burst <= limit.burst
            assert shares.find_share(limit, count) == shares.NO_SHARE
