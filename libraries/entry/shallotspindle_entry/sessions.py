"""Renewal of an instance's session record in the store."""

from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import Instance
from shallotspindle_entry import ownership_records as records
from shallotspindle_environment.interface import Conflict, OutcomeUnknown, Store
from shallotspindle_ownership.sessions import RECORD_LEASE_SECONDS, Session

LEASE_RENEWAL_INTERVAL_SECONDS = 3600.0


class SessionWriter:
    """Writes renewal counters and reads the record back after a lost response.

    :param acknowledge: called with a counter that took effect and the boot-time in
        seconds at which it was first sent.
    """

    def __init__(
        self,
        own_instance: Instance,
        store: Store,
        clock: Clock,
        acknowledge: Callable[[int, float], Awaitable[None]],
    ) -> None:
        self._own_instance = own_instance
        self._store = store
        self._clock = clock
        self._acknowledge = acknowledge
        self._key = records.build_session_key(own_instance.incarnation)
        self._revision = 0
        self._lease_id = 0
        self._lease_renewed_at = 0.0
        # Counter being written, with the time at which it was first sent.
        self._pending_renewal = (0, 0.0)

    async def renew(self, session: Session) -> bool:
        """Write the next counter and return whether it is known to be stored."""
        lease_id = await self._ensure_lease()
        if lease_id.is_error():
            return False
        counter = session.counter + 1
        if self._pending_renewal[0] != counter:
            self._pending_renewal = (counter, self._clock.boottime())
        data = records.encode_session(self._own_instance, counter)
        written = await self._store.replace(
            self._key, data, self._revision, lease_id.ok
        )
        if written.is_ok():
            self._revision = written.ok
            await self._acknowledge(*self._pending_renewal)
            return True
        self._lease_renewed_at = 0.0
        if isinstance(written.error, Conflict | OutcomeUnknown):
            return await self._read_back(counter)
        return False

    async def _read_back(self, counter: int) -> bool:
        entry = await self._store.get(self._key)
        if entry.is_error():
            return False
        self._revision = entry.ok.revision
        if records.decode_counter(entry.ok.data) != counter:
            return False
        await self._acknowledge(*self._pending_renewal)
        return True

    async def _ensure_lease(self) -> Result[int, object]:
        now = self._clock.boottime()
        if (
            self._lease_id
            and now < self._lease_renewed_at + LEASE_RENEWAL_INTERVAL_SECONDS
        ):
            return Ok(self._lease_id)
        if self._lease_id:
            remaining = await self._store.renew_lease(self._lease_id)
            if remaining.is_error():
                return Error(remaining.error)
            if remaining.ok > 0:
                self._lease_renewed_at = now
                return Ok(self._lease_id)
        granted = await self._store.grant_lease(RECORD_LEASE_SECONDS)
        if granted.is_ok():
            self._lease_id, self._lease_renewed_at = granted.ok, now
        return granted
