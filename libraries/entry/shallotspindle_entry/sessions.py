"""Renewal of an instance's session record in the store."""

from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import Instance
from shallotspindle_entry import ownership_records as records
from shallotspindle_environment.interface import Conflict, OutcomeUnknown, Store
from shallotspindle_ownership.sessions import RECORD_LEASE_SECONDS, Session

LEASE_RENEWAL_SECONDS = 3600.0


class SessionWriter:
    """Writes the next renewal counter and reads a lost answer back.

    :param acknowledge: gets the counter that took effect and when it was first sent.
    """

    def __init__(
        self,
        me: Instance,
        store: Store,
        clock: Clock,
        acknowledge: Callable[[int, float], Awaitable[None]],
    ) -> None:
        self._me = me
        self._store = store
        self._clock = clock
        self._acknowledge = acknowledge
        self._key = records.name_session(me.incarnation)
        self._revision = 0
        self._lease = 0
        self._lease_renewed = 0.0
        # The counter on its way with the time at which it was first sent.
        self._attempt = (0, 0.0)

    async def renew(self, session: Session) -> bool:
        """Write the next counter and return whether it is known to be stored."""
        lease = await self._keep_lease()
        if lease.is_error():
            return False
        counter = session.counter + 1
        if self._attempt[0] != counter:
            self._attempt = (counter, self._clock.boottime())
        data = records.encode_session(self._me, counter)
        written = await self._store.replace(self._key, data, self._revision, lease.ok)
        if written.is_ok():
            self._revision = written.ok
            await self._acknowledge(*self._attempt)
            return True
        self._lease_renewed = 0.0
        if isinstance(written.error, Conflict | OutcomeUnknown):
            return await self._read_back(counter)
        return False

    async def _read_back(self, counter: int) -> bool:
        found = await self._store.get(self._key)
        if found.is_error():
            return False
        self._revision = found.ok.revision
        if records.decode_counter(found.ok.data) != counter:
            return False
        await self._acknowledge(*self._attempt)
        return True

    async def _keep_lease(self) -> Result[int, object]:
        now = self._clock.boottime()
        if self._lease and now < self._lease_renewed + LEASE_RENEWAL_SECONDS:
            return Ok(self._lease)
        if self._lease:
            left = await self._store.renew_lease(self._lease)
            if left.is_error():
                return Error(left.error)
            if left.ok > 0:
                self._lease_renewed = now
                return Ok(self._lease)
        granted = await self._store.grant_lease(RECORD_LEASE_SECONDS)
        if granted.is_ok():
            self._lease, self._lease_renewed = granted.ok, now
        return granted
