"""Task that keeps this instance's lease, its membership and its rights.

A right is a key of the store under this instance's lease. The instance acts on it only
until the lease may have ended, counted from the sending of the last renewal on a clock
that runs through a suspension, so that two instances never act on one right.
"""

import asyncio
import json
from typing import Any

from absl import logging
from aiomisc import Service
from expression import Result

from shallotspindle_core import hashing
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import TeamName
from shallotspindle_environment.interface import Conflict, StoreFailure
from shallotspindle_gateway.election import rank_members
from shallotspindle_gateway.following import (
    MEMBER_PREFIX,
    PARTITION_PREFIX,
    StoreFollower,
)
from shallotspindle_gateway.records import Member
from shallotspindle_gateway.renewals import PeerRenewals
from shallotspindle_gateway.storage import Lease, LeaseEnded, Store, StoredValue

PARTITION_COUNT = 16
LEASE_SECONDS = 3.0
RENEWAL_INTERVAL_SECONDS = 1.2
# The first instances of a fleet that starts would otherwise take all rights.
STARTUP_DELAY_SECONDS = 2.0
RETRY_SECONDS = 0.3


def find_partition_key(team: TeamName) -> str:
    """Return the key of the right on a team's rate."""
    return f"{PARTITION_PREFIX}{hashing.hash_text('team', team) % PARTITION_COUNT}"


PARTITION_KEYS = tuple(
    f"{PARTITION_PREFIX}{number}" for number in range(PARTITION_COUNT)
)


class PartitionOwnership(Service):
    """Owns the lease; tells who holds a right and whether this instance may act.

    :param own: this instance.
    :param incarnation: what tells this process from earlier ones at its address.
    """

    def __init__(
        self,
        own: Member,
        incarnation: str,
        store: Store,
        follower: StoreFollower,
        renewals: PeerRenewals,
        clock: Clock,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own = own
        self._value = json.dumps([own.address, incarnation]).encode()
        self._member_key = MEMBER_PREFIX + incarnation
        self._store = store
        self._follower = follower
        self._renewals = renewals
        self._clock = clock
        self._lease: Lease | None = None
        self._valid_until = float("-inf")
        self._leaving = False
        self._started = clock.boottime()
        # Whether others held rights, so that the fleet started earlier.
        self._fleet_runs = False
        self._wake = asyncio.Event()
        # When each right was gained, in seconds.
        self._gained: dict[str, float] = {}
        # Own writes that the view of the store does not show yet.
        self._written: dict[str, StoredValue] = {}
        follower.subscribe(self._handle_store_change)

    def find_held_since(self, right: str, now: float) -> float | None:
        """Return since when this instance acts on a right, or None if it may not."""
        if self._leaving or now >= self._valid_until:
            return None
        return self._gained.get(right)

    def find_holder(self, right: str) -> str | None:
        """Return the address of the instance that holds a right, as far as known."""
        item = self._find(right)
        if item is None:
            return None
        return json.loads(item.value)[0]

    def _find(self, right: str) -> StoredValue | None:
        """Return the value of a right, as the store last told or took it."""
        written = self._written.get(right)
        if written is not None and written.revision > self._follower.revision:
            return written
        return self._follower.partitions.get(right)

    async def start(self) -> None:
        self.start_event.set()
        while not self._leaving:
            pause = await self._keep()
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), pause)
            except TimeoutError:
                continue

    async def leave(self) -> None:
        """Give up membership and rights; this instance no longer acts on them."""
        self._leaving = True
        self._drop_rights()
        if self._lease is None:
            return
        ended = await self._store.end_lease(self._lease.number)
        if ended.is_error():
            logging.warning("the lease was not ended: %s", ended.error)

    def _handle_store_change(self) -> None:
        """Look for rights without a holder at once."""
        now = self._clock.boottime()
        self._fleet_runs = self._fleet_runs or bool(self._follower.partitions)
        for key in PARTITION_KEYS:
            item = self._find(key)
            if item is None or item.value != self._value:
                self._gained.pop(key, None)
            else:
                self._gained.setdefault(key, now)
        if self._list_vacant():
            self._wake.set()

    async def _keep(self) -> float:
        """Renew the lease and take vacant rights; return the pause in seconds."""
        if self._lease is None:
            if not await self._join():
                return RETRY_SECONDS
        elif (
            self._valid_until - self._clock.boottime()
            < (LEASE_SECONDS - RENEWAL_INTERVAL_SECONDS / 2)
            and not await self._renew()
        ):
            return RETRY_SECONDS
        return RENEWAL_INTERVAL_SECONDS if await self._take_vacant() else RETRY_SECONDS

    async def _join(self) -> bool:
        sent_at = self._clock.boottime()
        match await self._store.grant_lease(LEASE_SECONDS):
            case Result(tag="ok", ok=Lease() as lease):
                self._lease = lease
            case Result(tag="error", error=failure):
                logging.warning("no lease: %s", failure)
                return False
        own = self._own
        value = json.dumps([own.address, own.domain, own.capacity]).encode()
        written = await self._store.write_if_unchanged(
            {self._member_key: value}, {}, self._lease.number
        )
        if written.is_error():
            logging.warning("the membership was not written: %s", written.error)
            self._lease = None
            return False
        self._valid_until = sent_at + lease.seconds
        return True

    async def _renew(self) -> bool:
        sent_at = self._clock.boottime()
        match await self._store.renew_lease(self._lease.number):
            case Result(tag="ok"):
                self._extend(sent_at)
                return True
            case Result(tag="error", error=LeaseEnded() as failure):
                self._lose_lease(failure)
                return False
            case Result(tag="error", error=failure):
                logging.warning("the lease was not renewed: %s", failure)
        return await self._renew_by_neighbour()

    async def _renew_by_neighbour(self) -> bool:
        sent_at = self._clock.boottime()
        told = await self._renewals.ask(self._lease.number)
        if told is None:
            return False
        if told.has_ended:
            self._lose_lease(LeaseEnded("store", "told by a neighbour"))
            return False
        self._extend(sent_at)
        return True

    def _extend(self, sent_at: float) -> None:
        self._valid_until = max(self._valid_until, sent_at + self._lease.seconds)

    def _lose_lease(self, failure: LeaseEnded) -> None:
        logging.warning("the lease has ended: %s", failure)
        self._lease = None
        self._drop_rights()

    def _drop_rights(self) -> None:
        self._valid_until = float("-inf")
        self._gained.clear()
        self._written.clear()

    def _list_vacant(self) -> dict[str, int]:
        """Return the rights to take, with the revision that they must still have."""
        now = self._clock.boottime()
        if self._leaving:
            return {}
        vacant = {}
        for key in PARTITION_KEYS:
            item = self._find(key)
            if item is None:
                if self._is_settled(now) and self._is_first(key):
                    vacant[key] = 0
            elif self._is_own_former(item):
                vacant[key] = item.revision
        return vacant

    def _is_settled(self, now: float) -> bool:
        """Return whether rights without a holder may be taken."""
        return self._fleet_runs or now - self._started >= STARTUP_DELAY_SECONDS

    def _is_first(self, key: str) -> bool:
        ranked = rank_members(key, [*self._follower.members.values(), self._own])
        return ranked[0] == self._own.address

    def _is_own_former(self, item: StoredValue) -> bool:
        """Return whether a process that ended at this address holds a right."""
        return item.value != self._value and (
            json.loads(item.value)[0] == self._own.address
        )

    async def _take_vacant(self) -> bool:
        """Take rights without a holder; return whether none is left to try again."""
        expected = self._list_vacant()
        if not expected or self._lease is None:
            return True
        written = await self._take(expected)
        if written.is_ok() or not isinstance(written.error, Conflict):
            return written.is_ok()
        # Somebody else took one of them; the others are still without a holder.
        single = [await self._take({key: at}) for key, at in expected.items()]
        return all(written.is_ok() for written in single)

    async def _take(self, expected: dict[str, int]) -> Result[int, StoreFailure]:
        """Take rights that have certain revisions, all or none of them."""
        values = dict.fromkeys(expected, self._value)
        written = await self._store.write_if_unchanged(
            values, expected, self._lease.number
        )
        if written.is_error():
            logging.warning("rights were not taken: %s", written.error)
            return written
        now = self._clock.boottime()
        for key in expected:
            self._gained[key] = now
            self._written[key] = StoredValue(key, self._value, written.ok)
        logging.info("took %d rights", len(expected))
        return written
