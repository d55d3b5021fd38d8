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
async def start_claims_fleet(count=3):
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


async def claim(fleet, index, key="k", body=b"x"):
    deadline = fleet.clock.boottime() + 5
    result = await fleet.claims[index].claim("team", key, body, deadline)
    return result.state if result.response is None else result


async def deliver_reports(fleet):
    """Wait until all reports have reached the holder."""
    for task in fleet.claims:
        await asyncio.gather(*task._pending_reports)


def find_holder_index(fleet, key="k"):
    (holder,) = fleet.find_acting(find_partition("team", key))
    return fleet.members.index(holder)


class TestClaim:
    async def test_concurrent_claims_of_a_key_grant_exactly_one(self):
        # Guards against two instances that run the same request.
        async with start_claims_fleet() as fleet:
            states = await asyncio.gather(*(claim(fleet, n) for n in range(3)))
            assert states.count(ClaimState.GRANTED) == 1
            # The executing instance may be asked for the response before it has
            # recorded the grant.
            assert set(states) <= {"granted", "in-progress", "unknown"}

    async def test_response_is_replayed_by_all_instances(self):
        # Guards against a retried request without the recorded response.
        async with start_claims_fleet() as fleet:
            assert await claim(fleet, 0) == ClaimState.GRANTED
            assert await claim(fleet, 1) == ClaimState.IN_PROGRESS
            await fleet.claims[0].finish("team", "k", RESPONSE)
            for index in range(3):
                result = await claim(fleet, index)
                assert result.state == ClaimState.REPLAY
                assert result.response == RESPONSE
            assert await claim(fleet, 1, body=b"y") == ClaimState.DIFFERENT_BODY

    async def test_abandoned_key_can_be_claimed_again(self):
        # Guards against a key that stays blocked although its request was never sent.
        async with start_claims_fleet() as fleet:
            assert await claim(fleet, 0) == ClaimState.GRANTED
            await fleet.claims[0].abandon("team", "k")
            await deliver_reports(fleet)
            assert await claim(fleet, 1) == ClaimState.GRANTED

    async def test_unknown_outcome_is_reported_as_unknown(self):
        # Guards against a second run of a request whose outcome is not known.
        async with start_claims_fleet() as fleet:
            await claim(fleet, 0)
            await fleet.claims[0].finish("team", "k", None)
            assert await claim(fleet, 1) == ClaimState.UNKNOWN

    async def test_claim_past_its_deadline_leaves_the_key_unclaimed(self):
        # Guards against a key that stays claimed by a request that never runs.
        async with start_claims_fleet() as fleet:
            past = fleet.clock.boottime()
            for index in range(3):
                result = await fleet.claims[index].claim("team", "k", b"x", past)
                assert result.state == ClaimState.UNAVAILABLE
            await deliver_reports(fleet)
            assert await claim(fleet, 0) == ClaimState.GRANTED

    async def test_claim_without_a_response_from_the_holder_is_unavailable(self):
        # Guards against an execution without a grant.
        async with start_claims_fleet() as fleet:
            fleet.lost_message_types |= {ClaimRequest, AbandonReport, OutcomeReport}
            requester = (find_holder_index(fleet) + 1) % 3
            assert await claim(fleet, requester) == ClaimState.UNAVAILABLE

    async def test_new_keys_are_refused_at_the_claim_limit(self, monkeypatch):
        # Guards against evicting a claim, which would let its request run twice.
        monkeypatch.setattr(claims, "MAX_CLAIMS", 1)
        async with start_claims_fleet(1) as fleet:
            assert await claim(fleet, 0, "a") == ClaimState.GRANTED
            assert await claim(fleet, 0, "b") == ClaimState.UNAVAILABLE
            assert await claim(fleet, 0, "a") == ClaimState.IN_PROGRESS


class TestOwnershipChange:
    async def test_claims_survive_a_handover_through_the_store(self):
        # Guards against a new holder that grants a claimed key again.
        async with start_claims_fleet() as fleet:
            holder = find_holder_index(fleet)
            other = (holder + 1) % 3
            await claim(fleet, other)
            await fleet.tasks[fleet.members[holder]].hand_over_all()
            assert find_holder_index(fleet) != holder
            for index in {0, 1, 2} - {holder}:
                assert await claim(fleet, index) == ClaimState.IN_PROGRESS

    async def test_claims_survive_a_handover_without_the_store(self):
        # Guards against claims lost in a handover that bypasses the store.
        async with start_claims_fleet() as fleet:
            holder = find_holder_index(fleet)
            await claim(fleet, (holder + 1) % 3)
            fleet.store.is_available = False
            fleet.clock.advance(CONNECTED_SECONDS)
            await fleet.tasks[fleet.members[holder]].hand_over_all()
            assert find_holder_index(fleet) != holder
            assert await claim(fleet, (holder + 1) % 3) == ClaimState.IN_PROGRESS

    async def test_keys_have_an_unknown_outcome_after_the_state_is_lost(self):
        # Guards against a grant for a key that the lost state may contain.
        async with start_claims_fleet() as fleet:
            holder = find_holder_index(fleet)
            other = (holder + 1) % 3
            await claim(fleet, other)
            fleet.lost_message_types.add(Handover)
            await fleet.tasks[fleet.members[holder]].hand_over_all()
            await fleet.pass_time(2)
            assert await claim(fleet, other) == ClaimState.UNKNOWN

    async def test_key_of_a_killed_holder_is_unknown_and_later_claimable(self):
        # Guards against a second run after a crash of the holder that ran the request,
        # and against a key that stays blocked after the retention period.
        async with start_claims_fleet() as fleet:
            holder = find_holder_index(fleet)
            await claim(fleet, holder)
            await fleet.kill(fleet.members[holder])
            other = (holder + 1) % 3
            assert await claim(fleet, other) == ClaimState.UNAVAILABLE
            await fleet.pass_time(6)
            assert await claim(fleet, other) == ClaimState.UNKNOWN
            await fleet.pass_time(240)
            assert await claim(fleet, other) == ClaimState.GRANTED

    async def test_paused_holder_grants_nothing_after_its_session_timeout(self):
        # Guards against two holders that grant keys of one partition.
        async with start_claims_fleet() as fleet:
            holder = find_holder_index(fleet)
            fleet.clock.advance(SESSION_TIMEOUT_SECONDS)
            assert await claim(fleet, holder) == ClaimState.UNAVAILABLE

    async def test_claims_work_while_the_store_is_unavailable(self):
        # Guards against claims that depend on the store.
        async with start_claims_fleet() as fleet:
            fleet.store.is_available = False
            fleet.clock.advance(SESSION_TIMEOUT_SECONDS / 2)
            assert await claim(fleet, 0) == ClaimState.GRANTED
            assert await claim(fleet, 1) == ClaimState.IN_PROGRESS


class TestLedgerEpoch:
    async def test_ledger_of_an_older_epoch_grants_nothing(self):
        # Guards against a grant between the loss and the regain of a partition: the
        # restored state would not contain it.
        async with start_claims_fleet(1) as fleet:
            partition = find_partition("team", "k")
            epoch, ledger = fleet.claims[0]._ledgers[partition]
            fleet.claims[0]._ledgers[partition] = (epoch + 1, ledger)
            assert await claim(fleet, 0) == ClaimState.UNAVAILABLE
