"""Task that keeps this instance's lease, its membership and its partitions.

The teams' rate limits are divided into partitions. The holder of a partition is the
instance under whose lease the partition's key is written in the store. It acts on the
partition only until the lease may have ended, counted from the sending of the last
renewal on a clock that keeps running while the machine is suspended. Two instances
therefore never act on one partition.

A new era of the store ends the lease for its holder, since the store may have lost it
and granted its id again. Holders that have not seen the era act until their leases end,
so a partition that is acquired shortly after a new era is not used for that time.
"""

import asyncio
from typing import Any

from absl import logging
from aiomisc import Service
from expression import Error, Result

from shallotspindle_core import hashing
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import TeamName
from shallotspindle_environment.interface import Conflict, StoreFailure
from shallotspindle_gateway import stored_forms
from shallotspindle_gateway.election import rank_members
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.peer_responses import MAX_STORE_RESPONSE_AGE_SECONDS
from shallotspindle_gateway.records import (
    Member,
    PartitionHolder,
    UnreadableHolder,
)
from shallotspindle_gateway.renewals import PeerRenewals
from shallotspindle_gateway.storage import Lease, LeaseEnded, Store
from shallotspindle_gateway.stored_forms import (
    PARTITION_COUNT,
    PARTITION_KEYS,
    PARTITION_PREFIX,
)
from shallotspindle_retries.pauses import GrowingPause
from shallotspindle_telemetry.unexpected import UnexpectedErrors

LEASE_SECONDS = 3.0
RENEWAL_INTERVAL_SECONDS = 1.2
# Without this delay the first instances of a starting fleet would acquire all
# partitions.
STARTUP_DELAY_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.3
# While the store responds to nobody, calls to join the fleet are repeated less often.
MAX_JOIN_DELAY_SECONDS = 2.0
# Without this delay the first instance that joins again in a new era would acquire all
# partitions that the store has lost.
REJOIN_DELAY_SECONDS = 1.0


def find_partition_key(team: TeamName) -> str:
    """Return the key of the partition to which a team's rate limit belongs."""
    return f"{PARTITION_PREFIX}{hashing.hash_text('team', team) % PARTITION_COUNT}"


class PartitionOwnership(Service):
    """Owns the lease; knows the holders and whether this instance may act.

    :param own_instance: this instance.
    :param incarnation: distinguishes this process from earlier ones at its address.
    :param errors: counts unexpected errors; the lease must be renewed after one.
    """

    def __init__(
        self,
        own_instance: Member,
        incarnation: str,
        store: Store,
        follower: StoreFollower,
        renewals: PeerRenewals,
        clock: Clock,
        errors: UnexpectedErrors,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own_instance = own_instance
        self._incarnation = incarnation
        self._member_key = stored_forms.MEMBER_PREFIX + incarnation
        self._errors = errors
        self._store = store
        self._follower = follower
        self._renewals = renewals
        self._clock = clock
        self._lease: Lease | None = None
        self._valid_until = float("-inf")
        self._is_leaving = False
        # When a leaving instance gives up its partitions, as boot-time in seconds.
        self._gives_up_at = float("inf")
        # Revision of the write of this instance's member key.
        self._member_revision = 0
        self._started_at = clock.boottime()
        # Latest known era of the store, and when this instance saw that it had begun.
        self._era = 0
        self._era_seen_at = float("-inf")
        # Partitions that this instance could act on when it saw the era, with the time
        # since when it held them, and until when it may continue.
        self._resumable: dict[str, float] = {}
        self._resumable_until = float("-inf")
        # Whether other instances held partitions, so that the fleet started earlier.
        self._is_fleet_running = False
        self._wakeup = asyncio.Event()
        self._join_pause = GrowingPause(RETRY_DELAY_SECONDS, MAX_JOIN_DELAY_SECONDS)
        # When the next call to join is due while the store responds to nobody.
        self._next_join_at = float("-inf")
        # When this instance acquired each partition, as boot-time in seconds.
        self._held_since: dict[str, float] = {}
        # Writes of this instance that the view of the store does not show yet.
        self._pending_writes: dict[str, PartitionHolder] = {}
        follower.subscribe(self._handle_store_change)

    @property
    def acts_until(self) -> float:
        """Until when this instance may act on its partitions, as boot-time."""
        return min(self._valid_until, self._gives_up_at)

    def find_held_since(self, partition: str, now: float) -> float | None:
        """Return since when this instance holds a partition, or None if it may not act.

        :param partition: key of the partition.
        :returns: as boot-time in seconds.
        """
        if now >= self.acts_until or self._find_known_era() > self._era:
            return None
        since = self._held_since.get(partition)
        return since if since is not None and since <= now else None

    def find_holder(self, partition: str) -> str | None:
        """Return the address of a partition's holder, or None if none is known.

        :param partition: key of the partition.
        """
        holder = self._find_registered(partition)
        return holder.address if isinstance(holder, PartitionHolder) else None

    def _find_registered(
        self, partition: str
    ) -> PartitionHolder | UnreadableHolder | None:
        """Return what is registered for a partition, as last read or written."""
        written = self._pending_writes.get(partition)
        if written is not None and written.revision > self._follower.revision:
            return written
        return self._follower.partitions.get(partition)

    async def start(self) -> None:
        self.start_event.set()
        while not self._is_leaving:
            delay = RETRY_DELAY_SECONDS
            with self._errors.absorb("lease of this instance"):
                delay = await self._maintain()
            self._wakeup.clear()
            try:
                await asyncio.wait_for(self._wakeup.wait(), delay)
            except TimeoutError:
                continue

    async def leave(self, reserved_until: float = float("-inf")) -> None:
        """Give up membership and partitions; this instance no longer acts on them.

        :param reserved_until: when the last reserved token is due, as boot-time in
            seconds. The successor starts after it.
        """
        self._is_leaving = True
        now = self._clock.boottime()
        self._gives_up_at = max(now, min(reserved_until, self._valid_until))
        await asyncio.sleep(self._gives_up_at - now)
        self._drop_partitions()
        self._adopt_era()
        if self._lease is None:
            return
        ended = await self._store.end_lease(self._lease.lease_id)
        if ended.is_error():
            logging.warning("could not end the lease: %s", ended.error)

    def _handle_store_change(self) -> None:
        """Update the held partitions, and wake the task if any has no holder."""
        now = self._clock.boottime()
        self._adopt_era()
        self._is_fleet_running = self._is_fleet_running or bool(
            self._follower.partitions
        )
        for key in PARTITION_KEYS:
            if self._is_own(self._find_registered(key)):
                self._begin_holding(key, now)
            else:
                self._held_since.pop(key, None)
        if self._list_free_partitions():
            self._wakeup.set()

    async def _maintain(self) -> float:
        """Renew the lease and acquire free partitions.

        :returns: seconds until the next call.
        """
        self._adopt_era()
        if self._lease is None:
            if not self._may_join() or not await self._join_fleet():
                return RETRY_DELAY_SECONDS
        elif (
            self._valid_until - self._clock.boottime()
            < (LEASE_SECONDS - RENEWAL_INTERVAL_SECONDS / 2)
            and not await self._renew()
        ):
            return RETRY_DELAY_SECONDS
        elif self._is_membership_replaced():
            await self._write_membership()
        return (
            RENEWAL_INTERVAL_SECONDS
            if await self._acquire_free_partitions()
            else RETRY_DELAY_SECONDS
        )

    def _find_known_era(self) -> int:
        return max(self._store.era, self._follower.era)

    def _is_current(self, lease: Lease, reported_era: int = 0) -> bool:
        """Return whether a lease is still that of this instance after a call.

        :param reported_era: era of which a peer told.
        """
        self._adopt_era(reported_era)
        return self._lease is lease

    def _adopt_era(self, reported_era: int = 0) -> None:
        """Treat the lease and the partitions as lost if a new era has begun."""
        era = max(self._find_known_era(), reported_era)
        if era <= self._era:
            return
        now = self._clock.boottime()
        self._resumable_until = self.acts_until
        self._resumable = {
            key: since for key, since in self._held_since.items() if since <= now
        }
        self._era, self._era_seen_at = era, now
        if self._lease is not None:
            logging.warning("era %d of the store ends the lease; joining again", era)
        self._lease = None
        self._drop_partitions()
        self._wakeup.set()

    def _begin_holding(self, partition: str, now: float) -> None:
        """Record that a partition is held, unless that is known.

        In a new era another instance may act on it until a lease of the earlier era
        ends.
        """
        if self._is_resumable(partition, now):
            since = self._resumable[partition]
        elif now - self._era_seen_at < self._lease_seconds:
            since = now + self._lease_seconds
        else:
            since = now
        self._held_since.setdefault(partition, since)

    @property
    def _lease_seconds(self) -> float:
        """How long leases last; the store may grant more than was asked for."""
        return max(LEASE_SECONDS, self._lease.seconds if self._lease else 0.0)

    def _is_resumable(self, partition: str, now: float) -> bool:
        """Return whether this instance goes on with a partition if it acquires it.

        It held the partition when it saw the era, so nobody else held it in the era
        before. Whoever acquires it in this era does not act before that lease ends.
        """
        return partition in self._resumable and now < self._resumable_until

    @property
    def _holder_name(self) -> str:
        """Incarnation under which this process holds partitions in this era.

        Entries from before the era are not under the present lease, so they must count
        as those of a former process.
        """
        return f"{self._incarnation}-{self._era}" if self._era else self._incarnation

    def _may_join(self) -> bool:
        """Return whether the store may respond to a call to join the fleet.

        It may if it responded to this instance or to a peer a moment ago.
        """
        now = self._clock.boottime()
        is_responsive = (
            self._follower.compute_response_age(now) <= MAX_STORE_RESPONSE_AGE_SECONDS
        )
        return is_responsive or now >= self._next_join_at

    async def _join_fleet(self) -> bool:
        """Get a lease and register this instance; return whether both succeeded."""
        if await self._register():
            self._join_pause.record_success()
            return True
        delay = self._join_pause.record_failure()
        self._next_join_at = self._clock.boottime() + delay
        return False

    async def _register(self) -> bool:
        sent_at = self._clock.boottime()
        match await self._store.grant_lease(LEASE_SECONDS):
            case Result(tag="ok", ok=Lease() as lease):
                self._adopt_era()
                self._lease = lease
            case Result(tag="error", error=failure):
                logging.warning("the store granted no lease: %s", failure)
                return False
        if self._store.era < self._era:
            logging.warning("the store granted a lease of an earlier era")
            self._lease = None
            return False
        if not await self._write_membership():
            self._lease = None
            return False
        self._valid_until = sent_at + lease.seconds
        return True

    async def _write_membership(self) -> bool:
        """Write this instance's member key; return whether it is known to be stored."""
        lease = self._lease
        value = stored_forms.encode_member(self._own_instance)
        written = await self._store.write_if_unchanged(
            {self._member_key: value}, {}, lease.lease_id
        )
        if written.is_error():
            logging.warning("could not write the membership: %s", written.error)
            return False
        if not self._is_current(lease):
            return False
        self._member_revision = written.ok
        return True

    def _is_membership_replaced(self) -> bool:
        """Return whether another writer removed or replaced the member key."""
        return (
            self._follower.era == self._era
            and self._follower.revision > self._member_revision
            and self._member_key not in self._follower.members
        )

    async def _renew(self) -> bool:
        sent_at = self._clock.boottime()
        lease = self._lease
        renewed = await self._store.renew_lease(lease.lease_id)
        if not self._is_current(lease):
            # The lease that was renewed may be that of another instance.
            return False
        match renewed:
            case Result(tag="ok"):
                self._extend_validity(sent_at)
                return True
            case Result(tag="error", error=LeaseEnded() as failure):
                self._drop_lease(failure)
                return False
            case Result(tag="error", error=failure):
                logging.warning("could not renew the lease: %s", failure)
        return await self._renew_through_peer()

    async def _renew_through_peer(self) -> bool:
        sent_at = self._clock.boottime()
        lease = self._lease
        response = await self._renewals.request_renewal(lease.lease_id, self._era)
        if response is None:
            return False
        era = response.era or 0
        if not self._is_current(lease, era) or era < self._era:
            # What the peer renewed may be the lease of another instance.
            return False
        if response.has_ended:
            self._drop_lease(LeaseEnded("store", "reported by a peer"))
            return False
        self._extend_validity(sent_at)
        return True

    def _extend_validity(self, sent_at: float) -> None:
        self._valid_until = max(self._valid_until, sent_at + self._lease.seconds)

    def _drop_lease(self, failure: LeaseEnded) -> None:
        logging.warning("the lease has ended: %s", failure)
        self._lease = None
        self._drop_partitions()

    def _drop_partitions(self) -> None:
        self._valid_until = float("-inf")
        self._held_since.clear()
        self._pending_writes.clear()

    def _list_free_partitions(self) -> dict[str, int]:
        """Return the partitions to acquire, each with its expected revision."""
        now = self._clock.boottime()
        if self._is_leaving or self._follower.era != self._era:
            return {}
        free = {}
        for key in PARTITION_KEYS:
            holder = self._find_registered(key)
            if self._is_held_by_former_process(holder):
                free[key] = holder.revision
            elif holder is None and self._is_resumable(key, now):
                free[key] = 0
            elif self._is_unheld(holder, now) and self._is_preferred_holder(key):
                free[key] = holder.revision if holder else 0
        return free

    def _is_unheld(
        self, holder: PartitionHolder | UnreadableHolder | None, now: float
    ) -> bool:
        """Return whether no instance acts on a partition, so that it may be acquired.

        The holder of an entry that another writer replaced keeps its lease. It acts
        until it sees the change, which takes less time than a lease lasts.
        """
        if isinstance(holder, UnreadableHolder):
            return now - holder.seen_at >= LEASE_SECONDS
        return holder is None and self._may_acquire_unheld(now)

    def _may_acquire_unheld(self, now: float) -> bool:
        """Return whether partitions that have no holder may be acquired."""
        if now - self._era_seen_at < REJOIN_DELAY_SECONDS:
            return False
        return self._is_fleet_running or now - self._started_at >= STARTUP_DELAY_SECONDS

    def _is_preferred_holder(self, key: str) -> bool:
        ranked = rank_members(
            key, [*self._follower.members.values(), self._own_instance]
        )
        return ranked[0] == self._own_instance.address

    def _is_held_by_former_process(
        self, holder: PartitionHolder | UnreadableHolder | None
    ) -> bool:
        """Return whether the holder is an earlier process at this address."""
        return (
            isinstance(holder, PartitionHolder)
            and holder.address == self._own_instance.address
            and holder.incarnation != self._holder_name
        )

    def _is_own(self, holder: PartitionHolder | UnreadableHolder | None) -> bool:
        """Return whether the holder is this process."""
        return (
            isinstance(holder, PartitionHolder)
            and holder.address == self._own_instance.address
            and holder.incarnation == self._holder_name
        )

    async def _acquire_free_partitions(self) -> bool:
        """Acquire free partitions; return whether none needs another attempt."""
        expected = self._list_free_partitions()
        if not expected or self._lease is None:
            return True
        written = await self._acquire(expected)
        if written.is_ok() or not isinstance(written.error, Conflict):
            return written.is_ok()
        # Another instance acquired at least one of them; the others are still free.
        single = [await self._acquire({key: at}) for key, at in expected.items()]
        return all(written.is_ok() for written in single)

    async def _acquire(self, expected: dict[str, int]) -> Result[int, StoreFailure]:
        """Acquire all of the expected partitions, or none of them.

        :param expected: revision that each partition's key must have.
        """
        lease = self._lease
        if lease is None:
            return Error(LeaseEnded("store", "a new era has begun"))
        address = self._own_instance.address
        name = self._holder_name
        value = stored_forms.encode_holder(address, name)
        values = dict.fromkeys(expected, value)
        written = await self._store.write_if_unchanged(values, expected, lease.lease_id)
        if written.is_error():
            logging.warning("could not acquire partitions: %s", written.error)
            return written
        if not self._is_current(lease):
            return Error(LeaseEnded("store", "a new era has begun"))
        now = self._clock.boottime()
        for key in expected:
            self._held_since.pop(key, None)
            self._begin_holding(key, now)
            self._pending_writes[key] = PartitionHolder(address, name, written.ok)
        logging.info("acquired %d partitions", len(expected))
        return written
