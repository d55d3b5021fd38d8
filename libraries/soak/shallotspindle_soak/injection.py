"""Injects the drawn faults into a fleet."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from absl import logging

from shallotspindle_adapter.documents import ANNOUNCEMENT_PREFIX
from shallotspindle_gateway.stored_forms import MEMBER_PREFIX, PARTITION_KEYS
from shallotspindle_soak import promises
from shallotspindle_soak.cutting import RECEIVED, SENT
from shallotspindle_soak.faults import Fault, FaultEvent
from shallotspindle_soak.fleet import (
    OVERLOAD_SERVICE_TIME_SECONDS,
    Fleet,
    Gateway,
    ProxiedUpstream,
)
from shallotspindle_soak.records import Interval
from shallotspindle_soak.upstreams import SERVICE_TIME_SECONDS, UpstreamMode

RESTART_DELAY_SECONDS = 0.3
ROLLING_STOP_GAP_SECONDS = 1.2
REMOVAL_DELAY_SECONDS = 5.0
STORE_DELAY_SECONDS = 0.2
LINK_DELAY_SECONDS = 0.15
LOST_RESPONSE_RATIO = 0.3
MODES_BY_FAULT = {
    Fault.HANG: UpstreamMode.HANG,
    Fault.ERRORS: UpstreamMode.ERRORS,
    Fault.TRUNCATED_RESPONSE: UpstreamMode.TRUNCATED_RESPONSE,
    Fault.WRONG_RESPONSE: UpstreamMode.WRONG_RESPONSE,
    Fault.SHED: UpstreamMode.SHED,
    Fault.ENDLESS_HEAD: UpstreamMode.ENDLESS_HEAD,
    Fault.ENDLESS_BODY: UpstreamMode.ENDLESS_BODY,
    Fault.ASK_FOR_PAUSE: UpstreamMode.PAUSE,
}
# What another writer may leave under any key: see also the tests of the borders.
MALFORMED_VALUES = (
    b"5",
    b"[" * 100_000,
    b"\xff\xfe",
    b'["10.0.0.9:99999", "a", 1e999]',
    b'{"address": "10.0.0.9:99999", "info": {"slots": 1' + b"0" * 400 + b"}}",
)
FaultHandler = Callable[[FaultEvent], Awaitable[None]]


class FaultInjector:
    """Runs each fault as a task of its own, so that faults can overlap."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tasks: list[asyncio.Task[None]] = []
        self._active_overloads = 0
        self._handlers: dict[Fault, FaultHandler] = {
            Fault.PAUSE: self._pause,
            Fault.KILL: self._kill,
            Fault.STOP: self._stop,
            Fault.RELOAD: self._reload,
            Fault.STORE_UNAVAILABLE: self._disturb_store,
            Fault.STORE_SLOW: self._disturb_store,
            Fault.STORE_LOSES_RESPONSES: self._disturb_store,
            Fault.STORE_LOSES_HISTORY: self._drop_store_history,
            Fault.CUT_STORE: self._cut_store_link,
            Fault.CUT_UPSTREAM_ONE_WAY: self._cut_upstream_link,
            Fault.RESET_CONNECTIONS: self._reset_connections,
            Fault.DELAY_UPSTREAM: self._delay_upstream_link,
            Fault.CUT_PEERS: self._cut_peer_links,
            Fault.DRAIN: self._drain_upstream,
            Fault.LEAVE: self._leave,
            Fault.WITHDRAW_KEY: self._withdraw_key,
            Fault.CHANGE_CONFIGURATION: self._change_configuration,
            Fault.OVERLOAD: self._overload,
            Fault.STOP_ALL: self._stop_all,
            Fault.MALFORMED_ENTRIES: self._write_malformed_entries,
            **dict.fromkeys(MODES_BY_FAULT, self._degrade_upstream),
        }

    async def run(self, events: list[FaultEvent]) -> None:
        """Inject the events at their times and wait until all faults are over."""
        try:
            await self._start_handlers(events)
            await asyncio.gather(*self._tasks)
        finally:
            # A restart that is still in progress would leave a process behind.
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
        self._fleet.history.faults_ended_at = self._fleet.clock.boottime()

    async def _start_handlers(self, events: list[FaultEvent]) -> None:
        started_at = self._fleet.clock.boottime()
        for event in events:
            elapsed_seconds = self._fleet.clock.boottime() - started_at
            await asyncio.sleep(max(0.0, event.start_seconds - elapsed_seconds))
            logging.info("%s", event)
            coroutine = self._handlers[event.fault](event)
            self._tasks.append(asyncio.create_task(coroutine))

    def _find_gateway(self, event: FaultEvent) -> Gateway:
        gateways = self._fleet.gateways
        return gateways[event.target % len(gateways)]

    def _find_upstream(self, event: FaultEvent) -> ProxiedUpstream | None:
        drained_upstreams = self._fleet.history.drained_upstreams
        usable = [
            r for r in self._fleet.upstreams if r.upstream.name not in drained_upstreams
        ]
        return usable[event.target % len(usable)] if usable else None

    async def _pause(self, event: FaultEvent) -> None:
        gateway = self._find_gateway(event)
        with self._fleet.record_gateway_halt(gateway.name):
            gateway.send_signal(signal.SIGSTOP)
            await asyncio.sleep(event.duration_seconds)
            gateway.send_signal(signal.SIGCONT)

    async def _kill(self, event: FaultEvent) -> None:
        gateway = self._find_gateway(event)
        async with gateway.lock:
            with self._fleet.record_gateway_halt(gateway.name):
                gateway.send_signal(signal.SIGKILL)
                await gateway.process.wait()
                await asyncio.sleep(RESTART_DELAY_SECONDS)
                await self._fleet.start_gateway(gateway)
                await self._fleet.wait_until_ready(gateway)

    async def _stop(self, event: FaultEvent) -> None:
        await self._stop_gateway(self._find_gateway(event))

    async def _stop_gateway(self, gateway: Gateway) -> None:
        """Shut a gateway down gracefully and start it again.

        The process is killed if it exceeds the allowed time.
        """
        history = self._fleet.history
        async with gateway.lock:
            started_at = self._fleet.clock.boottime()
            history.stopping_gateways.add(gateway.name)
            gateway.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(promises.MAX_STOP_SECONDS):
                    await gateway.process.wait()
            except TimeoutError:
                gateway.send_signal(signal.SIGKILL)
                await gateway.process.wait()
            history.stopping_gateways.discard(gateway.name)
            interval = Interval(started_at, self._fleet.clock.boottime())
            history.shutdowns.setdefault(gateway.name, []).append(interval)
            await self._fleet.start_gateway(gateway)
            await self._fleet.wait_until_ready(gateway)

    async def _stop_all(self, event: FaultEvent) -> None:
        """Stop all gateways in turn; for odd targets the shutdowns overlap."""
        may_overlap = event.target % 2
        shutdown_tasks = []
        for gateway in self._fleet.gateways:
            shutdown_tasks.append(asyncio.create_task(self._stop_gateway(gateway)))
            self._tasks.append(shutdown_tasks[-1])
            if may_overlap:
                await asyncio.sleep(ROLLING_STOP_GAP_SECONDS)
            else:
                await shutdown_tasks[-1]
        await asyncio.gather(*shutdown_tasks)

    async def _overload(self, event: FaultEvent) -> None:
        """Send more requests than the slots can serve, with longer service times."""
        self._active_overloads += 1
        self._fleet.start_overload_callers(event.duration_seconds)
        self._set_service_time(OVERLOAD_SERVICE_TIME_SECONDS)
        await asyncio.sleep(event.duration_seconds)
        self._active_overloads -= 1
        if not self._active_overloads:
            self._set_service_time(SERVICE_TIME_SECONDS)

    def _set_service_time(self, seconds: float) -> None:
        for proxied in self._fleet.upstreams:
            proxied.upstream.service_time_seconds = seconds

    async def _reload(self, event: FaultEvent) -> None:
        self._find_gateway(event).send_signal(signal.SIGHUP)

    async def _disturb_store(self, event: FaultEvent) -> None:
        faults = self._fleet.store.faults
        with self._fleet.record_gateway_fault(""):
            faults.is_unavailable = (
                faults.is_unavailable or event.fault is Fault.STORE_UNAVAILABLE
            )
            if event.fault is Fault.STORE_SLOW:
                faults.delay_seconds = STORE_DELAY_SECONDS
            if event.fault is Fault.STORE_LOSES_RESPONSES:
                faults.lost_response_ratio = LOST_RESPONSE_RATIO
            await asyncio.sleep(event.duration_seconds)
            faults.is_unavailable = False
            faults.delay_seconds = faults.lost_response_ratio = 0.0

    async def _drop_store_history(self, event: FaultEvent) -> None:
        self._fleet.store.drop_history()

    async def _cut_store_link(self, event: FaultEvent) -> None:
        gateway = self._find_gateway(event)
        with self._fleet.record_gateway_fault(gateway.name):
            gateway.store_proxy.faults.drops_to_server = (
                gateway.store_proxy.faults.drops_to_client
            ) = True
            await asyncio.sleep(event.duration_seconds)
            gateway.store_proxy.faults.clear()
            gateway.store_proxy.reset()

    async def _cut_peer_links(self, event: FaultEvent) -> None:
        """Drop datagrams between a gateway and its peers, or only those it sends."""
        gateway = self._find_gateway(event)
        directions = (SENT, RECEIVED) if event.target // 4 % 2 else (SENT,)
        with self._fleet.record_gateway_fault(gateway.name):
            gateway.cut_file.write_text(" ".join(directions))
            await asyncio.sleep(event.duration_seconds)
            gateway.cut_file.unlink(missing_ok=True)

    async def _cut_upstream_link(self, event: FaultEvent) -> None:
        proxied = self._find_upstream(event)
        if proxied is None:
            return
        with self._fleet.record_upstream_link_fault():
            proxied.proxy.faults.drops_to_client = bool(event.target % 2)
            proxied.proxy.faults.drops_to_server = (
                not proxied.proxy.faults.drops_to_client
            )
            await asyncio.sleep(event.duration_seconds)
            proxied.proxy.faults.clear()
            proxied.proxy.reset()

    async def _reset_connections(self, event: FaultEvent) -> None:
        proxied = self._find_upstream(event)
        if event.target % 2 and proxied is not None:
            with self._fleet.record_upstream_link_fault():
                proxied.proxy.reset()
            return
        gateway = self._find_gateway(event)
        with self._fleet.record_gateway_fault(gateway.name):
            gateway.store_proxy.reset()

    async def _delay_upstream_link(self, event: FaultEvent) -> None:
        proxied = self._find_upstream(event)
        if proxied is None:
            return
        with self._fleet.record_upstream_link_fault():
            proxied.proxy.faults.delay_seconds = LINK_DELAY_SECONDS
            await asyncio.sleep(event.duration_seconds)
            proxied.proxy.faults.delay_seconds = 0.0

    async def _degrade_upstream(self, event: FaultEvent) -> None:
        proxied = self._find_upstream(event)
        if proxied is None:
            return
        proxied.upstream.mode = MODES_BY_FAULT[event.fault]
        await asyncio.sleep(event.duration_seconds)
        proxied.upstream.mode = UpstreamMode.NORMAL

    async def _drain_upstream(self, event: FaultEvent) -> None:
        proxied = self._find_upstream(event)
        if proxied is None:
            return
        await self._fleet.add_upstream()
        self._fleet.drain_upstream(proxied)
        await asyncio.sleep(REMOVAL_DELAY_SECONDS)
        self._fleet.remove_upstream(proxied)

    async def _leave(self, event: FaultEvent) -> None:
        """Let an upstream say that it leaves, while the store lists it as ready.

        For odd targets it then starts again under its name, else its entry is removed.
        """
        proxied = self._find_upstream(event)
        if proxied is None or proxied.upstream.is_leaving:
            return
        await self._fleet.add_upstream()
        proxied.upstream.is_leaving = True
        await asyncio.sleep(REMOVAL_DELAY_SECONDS)
        if event.target % 2:
            self._fleet.restart_upstream(proxied)
        else:
            self._fleet.drain_upstream(proxied)
            self._fleet.remove_upstream(proxied)

    async def _write_malformed_entries(self, event: FaultEvent) -> None:
        """Write malformed entries beside those of upstreams and gateways.

        For odd targets the holder of a partition is replaced too. That entry stays
        until a gateway acquires the partition.
        """
        value = MALFORMED_VALUES[event.target % len(MALFORMED_VALUES)]
        store = self._fleet.store
        added_keys = [
            f"{prefix}malformed-{event.target}"
            for prefix in (ANNOUNCEMENT_PREFIX, MEMBER_PREFIX)
        ]
        for key in added_keys:
            store.put(key, value)
        if event.target % 2:
            store.put(PARTITION_KEYS[event.target % len(PARTITION_KEYS)], value)
        await asyncio.sleep(event.duration_seconds)
        for key in added_keys:
            store.remove(key)

    async def _withdraw_key(self, event: FaultEvent) -> None:
        self._fleet.withdraw_key(event.target)

    async def _change_configuration(self, event: FaultEvent) -> None:
        self._fleet.publish_configuration()
