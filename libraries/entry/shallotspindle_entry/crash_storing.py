"""Task that keeps quarantined requests in the store, for instances that start later.

Peers tell each other of crashes only when they happen. An instance that saw one writes
the request to the store once it is quarantined; the key is removed with the lease under
which it is written, when the quarantine ends. All instances may therefore be replaced
without a request that crashes upstreams being let through again.
"""

import asyncio
import math
from typing import Any

from absl import logging
from aiomisc import Service

from shallotspindle_core.clock import Clock
from shallotspindle_entry.balancing import BalancingTask
from shallotspindle_entry.balancing_messages import (
    CrashStored,
    HealthMessageReceived,
    UnstoredCrashesRequest,
)
from shallotspindle_environment.interface import Conflict, Store
from shallotspindle_health.crashes import QUARANTINE_SECONDS
from shallotspindle_health.messages import CrashNotice
from shallotspindle_settings import crash
from shallotspindle_telemetry.unexpected import UnexpectedErrors

CHECK_INTERVAL_SECONDS = 0.2
# Many upstreams that end at once may put many requests in quarantine; their writes must
# not use up the calls of the store.
WRITE_INTERVAL_SECONDS = 1.0


class CrashStoring(Service):
    """Reads the quarantined requests once and writes those that are new.

    :param balancing: owns what is known of crashes.
    """

    def __init__(
        self, store: Store, balancing: BalancingTask, clock: Clock, **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self.errors = UnexpectedErrors()
        self._store = store
        self._balancing = balancing
        self._clock = clock
        self._attempts = 0

    async def start(self) -> None:
        self.start_event.set()
        has_read = False
        while True:
            delay = WRITE_INTERVAL_SECONDS
            with self.errors.absorb("requests that crash upstreams"):
                has_read = has_read or await self.read()
                if has_read and not await self.write_next():
                    delay = CHECK_INTERVAL_SECONDS
            await asyncio.sleep(delay)

    async def read(self) -> bool:
        """Take over the stored requests; return whether the store responded."""
        entries = await self._store.list(crash.CRASH_PREFIX)
        if entries.is_error():
            return False
        for entry in entries.ok:
            parsed = crash.parse_crash(entry.key, entry.data)
            if parsed.is_error():
                logging.warning("ignored a crashing request: %s", parsed.error[0])
                continue
            self._balancing.tell(HealthMessageReceived(self._build_notice(parsed.ok)))
        return True

    def _build_notice(self, model: crash.CrashModel) -> CrashNotice:
        age_seconds = max(0.0, self._clock.now().timestamp() - model.crashed_at)
        return CrashNotice(int(model.fingerprint, 16), model.upstreams, age_seconds)

    async def write_next(self) -> bool:
        """Store a request that is new; return whether there was one.

        A request that cannot be stored does not hold up the others.
        """
        notices = await self._balancing.ask(UnstoredCrashesRequest())
        if not notices:
            return False
        self._attempts += 1
        await self._write(notices[self._attempts % len(notices)])
        return True

    async def _write(self, notice: CrashNotice) -> None:
        """Store a request, unless the store fails.

        The key names the request, so an existing entry means that it is stored.
        """
        crashed_at = int(self._clock.now().timestamp() - notice.age_seconds)
        data = crash.format_crash(notice.fingerprint, notice.upstreams, crashed_at)
        remaining = math.ceil(QUARANTINE_SECONDS - notice.age_seconds)
        lease = await self._store.grant_lease(max(1, remaining))
        if lease.is_error():
            return
        key = crash.build_key(notice.fingerprint)
        written = await self._store.replace(key, data, 0, lease.ok)
        if written.is_error() and not isinstance(written.error, Conflict):
            logging.warning("could not store a crashing request: %s", written.error)
            return
        self._balancing.tell(CrashStored(notice.fingerprint))
