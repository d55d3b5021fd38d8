from datetime import UTC, datetime

import pytest

from shallotspindle_core.clock import ManualClock
from shallotspindle_core.identifiers import Incarnation
from shallotspindle_entry import bundle_messages as messages
from shallotspindle_entry.bundle_following import StoreFollower
from shallotspindle_environment.memory import MemoryStore
from shallotspindle_settings import manifest
from shallotspindle_telemetry.unexpected import UnexpectedErrors

NEVER = float("-inf")


class FakeOwner:
    """Owner of a bundle that loads it, fails to read it or rejects it.

    :ivar messages: what it was asked.
    :ivar contacts_during_load: last contact that was known while bundles were loaded.
    """

    is_ready = True
    version = 1
    withdrawal_summary = b""

    def __init__(self, can_load: bool, is_rejected: bool) -> None:
        self.is_bundle_rejected = is_rejected
        self._can_load = can_load
        self.contacts_during_load: list[float] = []
        self.messages: list[object] = []
        self.follower: StoreFollower | None = None

    def list_withdrawals(self):
        return ()

    async def load(self, source, data, pushed_delta=b""):
        self.contacts_during_load.append(self.follower.last_contact_at)
        return self._can_load

    async def confirm(self):
        """Accept the confirmation."""

    async def ask(self, message):
        self.messages.append(message)


class TestStoreContacts:
    @pytest.mark.parametrize(
        ("can_load", "is_rejected", "contact"),
        [(True, False, 100.0), (False, True, 100.0), (False, False, NEVER)],
    )
    async def test_a_contact_counts_after_the_newest_bundle_is_loaded(
        self, can_load, is_rejected, contact
    ):
        # Guards against a withdrawn key that works on: an instance that knew of a newer
        # bundle, but could not read it yet, called its older one fresh.
        store, owner = MemoryStore(), FakeOwner(can_load, is_rejected)
        store.put(manifest.MANIFEST_KEY, b"newer")
        clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC), 100.0)
        owner.follower = StoreFollower(
            store, owner, clock, Incarnation("one"), tuple, UnexpectedErrors()
        )
        await owner.follower.poll()
        assert owner.contacts_during_load == [NEVER]
        assert owner.follower.last_contact_at == contact

    async def test_a_store_without_a_bundle_counts(self):
        # Guards against a fleet that never becomes fresh before its first bundle.
        store, owner = MemoryStore(), FakeOwner(True, False)
        clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC), 100.0)
        follower = StoreFollower(
            store, owner, clock, Incarnation("one"), tuple, UnexpectedErrors()
        )
        await follower.poll()
        assert follower.last_contact_at == 100.0


class TestWithdrawals:
    @pytest.mark.parametrize(("peers", "count"), [((), 2), ((Incarnation("two"),), 1)])
    async def test_an_instance_without_peers_reads_them_at_each_poll(
        self, peers, count
    ):
        # Guards against a withdrawn key that works on at an instance that is cut off
        # from its peers: the contact with the store kept its keys fresh.
        store, owner = MemoryStore(), FakeOwner(True, False)
        clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC), 100.0)
        follower = StoreFollower(
            store, owner, clock, Incarnation("one"), lambda: peers, UnexpectedErrors()
        )
        await follower.poll()
        await follower.poll()
        notices = [
            item
            for item in owner.messages
            if isinstance(item, messages.WithdrawalsNotice)
        ]
        assert len(notices) == count
