import asyncio
import contextlib

from shallotspindle_core.hashing import find_partition
from shallotspindle_entry import claims
from shallotspindle_entry.claims import ClaimsTask
from shallotspindle_entry.interfaces import ClaimState, StoredResponse
from shallotspindle_entry.ownership_test import start_fleet
from shallotspindle_idempotency.messages import (
    AbandonReport,
    ClaimRequest,
    OutcomeReport,
)
from shallotspindle_ownership.messages import Handover
from shallotspindle_ownership.sessions import CONNECTED_SECONDS, SESSION_TIMEOUT_SECONDS

RESPONSE = StoredResponse(201, (("Location", "/7"),), b"done")


@contextlib.asynccontextmanager
async def start_claims(count=3):
    async with start_fleet(count, rounds=0) as fleet:
        fleet.claims = []
        for member in fleet.members:
            ownership = fleet.tasks[member]
            task = ClaimsTask(
                member,
                ownership,
                ownership.peers,
                fleet.clock,
                ownership.random,
                fleet.sleep,
            )
            ownership.subscribe(claims.STATE_NAME, task)
            fleet.run(task)
            fleet.claims.append(task)
        await fleet.pass_time(6)
        yield fleet


async def claim(fleet, number, key="k", body=b"x"):
    deadline = fleet.clock.boottime() + 5
    answer = await fleet.claims[number].claim("team", key, body, deadline)
    return answer.state if answer.response is None else answer


async def settle(fleet):
    """Let reports reach the holder."""
    for task in fleet.claims:
        await asyncio.gather(*task._reports)


def find_index(fleet, key="k"):
    (holder,) = fleet.find_acting(find_partition("team", key))
    return fleet.members.index(holder)


class TestClaim:
    async def test_key_sent_to_all_instances_at_once_is_granted_to_one(self):
        async with start_claims() as fleet:
            states = await asyncio.gather(*(claim(fleet, n) for n in range(3)))
            assert states.count(ClaimState.GRANTED) == 1
            # The runner may not have noted its grant when it is asked for the answer.
            assert set(states) <= {"granted", "in-progress", "unknown"}

    async def test_answer_is_replayed_to_other_instances(self):
        async with start_claims() as fleet:
            assert await claim(fleet, 0) == ClaimState.GRANTED
            assert await claim(fleet, 1) == ClaimState.IN_PROGRESS
            await fleet.claims[0].finish("team", "k", RESPONSE)
            for number in range(3):
                answer = await claim(fleet, number)
                assert answer.state == ClaimState.REPLAY
                assert answer.response == RESPONSE
            assert await claim(fleet, 1, body=b"y") == ClaimState.DIFFERENT_BODY

    async def test_abandoned_key_is_free_again(self):
        async with start_claims() as fleet:
            assert await claim(fleet, 0) == ClaimState.GRANTED
            await fleet.claims[0].abandon("team", "k")
            await settle(fleet)
            assert await claim(fleet, 1) == ClaimState.GRANTED

    async def test_unknown_end_is_unknown(self):
        async with start_claims() as fleet:
            await claim(fleet, 0)
            await fleet.claims[0].finish("team", "k", None)
            assert await claim(fleet, 1) == ClaimState.UNKNOWN

    async def test_grant_after_the_deadline_is_given_back(self):
        async with start_claims() as fleet:
            past = fleet.clock.boottime()
            for number in range(3):
                answer = await fleet.claims[number].claim("team", "k", b"x", past)
                assert answer.state == ClaimState.UNAVAILABLE
            await settle(fleet)
            assert await claim(fleet, 0) == ClaimState.GRANTED

    async def test_lost_messages_to_the_holder_grant_nothing(self):
        async with start_claims() as fleet:
            fleet.lost_message_types |= {ClaimRequest, AbandonReport, OutcomeReport}
            asker = (find_index(fleet) + 1) % 3
            assert await claim(fleet, asker) == ClaimState.UNAVAILABLE

    async def test_memory_is_bounded_without_forgetting(self, monkeypatch):
        # Guards against dropping a claim, which would let its request run twice.
        monkeypatch.setattr(claims, "CLAIM_LIMIT", 1)
        async with start_claims(1) as fleet:
            assert await claim(fleet, 0, "a") == ClaimState.GRANTED
            assert await claim(fleet, 0, "b") == ClaimState.UNAVAILABLE
            assert await claim(fleet, 0, "a") == ClaimState.IN_PROGRESS


class TestMoves:
    async def test_claims_survive_a_hand_over_through_the_store(self):
        async with start_claims() as fleet:
            holder = find_index(fleet)
            runner = (holder + 1) % 3
            await claim(fleet, runner)
            await fleet.tasks[fleet.members[holder]].hand_over_all()
            assert find_index(fleet) != holder
            for number in {0, 1, 2} - {holder}:
                assert await claim(fleet, number) == ClaimState.IN_PROGRESS

    async def test_claims_survive_a_hand_over_without_the_store(self):
        async with start_claims() as fleet:
            holder = find_index(fleet)
            await claim(fleet, (holder + 1) % 3)
            fleet.store.is_available = False
            fleet.clock.advance(CONNECTED_SECONDS)
            await fleet.tasks[fleet.members[holder]].hand_over_all()
            assert find_index(fleet) != holder
            assert await claim(fleet, (holder + 1) % 3) == ClaimState.IN_PROGRESS

    async def test_lost_state_makes_unknown_keys_unknown(self):
        async with start_claims() as fleet:
            holder = find_index(fleet)
            other = (holder + 1) % 3
            await claim(fleet, other)
            fleet.lost_message_types.add(Handover)
            await fleet.tasks[fleet.members[holder]].hand_over_all()
            await fleet.pass_time(2)
            assert await claim(fleet, other) == ClaimState.UNKNOWN

    async def test_killed_holder_and_runner(self):
        async with start_claims() as fleet:
            holder = find_index(fleet)
            await claim(fleet, holder)
            await fleet.kill(fleet.members[holder])
            other = (holder + 1) % 3
            assert await claim(fleet, other) == ClaimState.UNAVAILABLE
            await fleet.pass_time(6)
            assert await claim(fleet, other) == ClaimState.UNKNOWN
            await fleet.pass_time(240)
            assert await claim(fleet, other) == ClaimState.GRANTED

    async def test_paused_holder_grants_nothing_past_its_horizon(self):
        async with start_claims() as fleet:
            holder = find_index(fleet)
            fleet.clock.advance(SESSION_TIMEOUT_SECONDS)
            assert await claim(fleet, holder) == ClaimState.UNAVAILABLE

    async def test_store_away_changes_nothing(self):
        async with start_claims() as fleet:
            fleet.store.is_available = False
            fleet.clock.advance(SESSION_TIMEOUT_SECONDS / 2)
            assert await claim(fleet, 0) == ClaimState.GRANTED
            assert await claim(fleet, 1) == ClaimState.IN_PROGRESS


class TestLedgerEpoch:
    async def test_ledger_of_an_older_epoch_grants_nothing(self):
        # Guards against a grant between the loss and the return of a partition, which
        # the restored state would not contain.
        async with start_claims(1) as fleet:
            partition = find_partition("team", "k")
            epoch, ledger = fleet.claims[0]._ledgers[partition]
            fleet.claims[0]._ledgers[partition] = (epoch + 1, ledger)
            assert await claim(fleet, 0) == ClaimState.UNAVAILABLE
