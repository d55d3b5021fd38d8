"""Does to a fleet what the drawn faults say."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from absl import logging

from shallotspindle_soak import promises
from shallotspindle_soak.cutting import RECEIVED, SENT
from shallotspindle_soak.faults import Event, Fault
from shallotspindle_soak.fleet import CROWDED_WORK_SECONDS, Fleet, Gateway, Reached
from shallotspindle_soak.records import Span
from shallotspindle_soak.upstreams import WORK_SECONDS, Mode

RESTART_SECONDS = 0.3
ROLL_GAP_SECONDS = 1.2
DRAINED_SECONDS = 5.0
SLOW_STORE_SECONDS = 0.2
DELAY_SECONDS = 0.15
LOST_PART = 0.3
MODES = {
    Fault.HANG: Mode.HANG,
    Fault.ERRORS: Mode.ERRORS,
    Fault.BREAK: Mode.BREAK,
    Fault.CROSS: Mode.CROSS,
    Fault.SHED: Mode.SHED,
    Fault.ENDLESS_HEAD: Mode.ENDLESS_HEAD,
    Fault.ENDLESS_BODY: Mode.ENDLESS_BODY,
}
Injector = Callable[[Event], Awaitable[None]]


class Injection:
    """Runs each fault as a task of its own, so that faults overlap."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tasks: list[asyncio.Task[None]] = []
        self._crowds = 0
        self._injectors: dict[Fault, Injector] = {
            Fault.PAUSE: self._pause,
            Fault.KILL: self._kill,
            Fault.STOP: self._stop,
            Fault.HANGUP: self._hang_up,
            Fault.STORE_AWAY: self._harm_store,
            Fault.STORE_SLOW: self._harm_store,
            Fault.STORE_LOSES: self._harm_store,
            Fault.STORE_FORGETS: self._forget,
            Fault.CUT: self._cut,
            Fault.CUT_ONE_WAY: self._cut_upstream,
            Fault.RESET: self._reset,
            Fault.DELAY: self._delay,
            Fault.CUT_PEERS: self._cut_peers,
            Fault.DRAIN: self._drain,
            Fault.WITHDRAW: self._withdraw,
            Fault.CHANGE: self._change,
            Fault.CROWD: self._crowd,
            Fault.ROLL: self._roll,
            **dict.fromkeys(MODES, self._turn_gray),
        }

    async def play(self, events: list[Event]) -> None:
        """Inject the events at their times and wait until all are over."""
        try:
            await self._inject(events)
            await asyncio.gather(*self._tasks)
        finally:
            # A restart that went on would leave a process behind.
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
        self._fleet.history.quiet_from = self._fleet.clock.boottime()

    async def _inject(self, events: list[Event]) -> None:
        started = self._fleet.clock.boottime()
        for event in events:
            passed = self._fleet.clock.boottime() - started
            await asyncio.sleep(max(0.0, event.at - passed))
            logging.info("%s", event)
            injected = self._injectors[event.fault](event)
            self._tasks.append(asyncio.create_task(injected))

    def _find_gateway(self, event: Event) -> Gateway:
        gateways = self._fleet.gateways
        return gateways[event.target % len(gateways)]

    def _find_upstream(self, event: Event) -> Reached | None:
        drained = self._fleet.history.drained
        live = [r for r in self._fleet.upstreams if r.upstream.name not in drained]
        return live[event.target % len(live)] if live else None

    async def _pause(self, event: Event) -> None:
        gateway = self._find_gateway(event)
        with self._fleet.disturbing(gateway.name):
            gateway.send_signal(signal.SIGSTOP)
            await asyncio.sleep(event.seconds)
            gateway.send_signal(signal.SIGCONT)

    async def _kill(self, event: Event) -> None:
        gateway = self._find_gateway(event)
        async with gateway.lock:
            with self._fleet.disturbing(gateway.name):
                gateway.send_signal(signal.SIGKILL)
                await gateway.process.wait()
                await asyncio.sleep(RESTART_SECONDS)
                await self._fleet.start_gateway(gateway)
                await self._fleet.await_ready(gateway)

    async def _stop(self, event: Event) -> None:
        await self._stop_gateway(self._find_gateway(event))

    async def _stop_gateway(self, gateway: Gateway) -> None:
        """Stop a gateway as planned, end it by force after its time, start it again."""
        history = self._fleet.history
        async with gateway.lock:
            started = self._fleet.clock.boottime()
            history.stopping.add(gateway.name)
            gateway.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(promises.STOP_SECONDS):
                    await gateway.process.wait()
            except TimeoutError:
                gateway.send_signal(signal.SIGKILL)
                await gateway.process.wait()
            history.stopping.discard(gateway.name)
            span = Span(started, self._fleet.clock.boottime())
            history.stopped.setdefault(gateway.name, []).append(span)
            await self._fleet.start_gateway(gateway)
            await self._fleet.await_ready(gateway)

    async def _roll(self, event: Event) -> None:
        """Stop all gateways; every second time each begins before the last is back."""
        overlaps = event.target % 2
        stops = []
        for gateway in self._fleet.gateways:
            stops.append(asyncio.create_task(self._stop_gateway(gateway)))
            self._tasks.append(stops[-1])
            if overlaps:
                await asyncio.sleep(ROLL_GAP_SECONDS)
            else:
                await stops[-1]
        await asyncio.gather(*stops)

    async def _crowd(self, event: Event) -> None:
        """Ask for more than the slots carry, with work that takes longer."""
        self._crowds += 1
        self._fleet.start_crowd(event.seconds)
        self._set_work(CROWDED_WORK_SECONDS)
        await asyncio.sleep(event.seconds)
        self._crowds -= 1
        if not self._crowds:
            self._set_work(WORK_SECONDS)

    def _set_work(self, seconds: float) -> None:
        for reached in self._fleet.upstreams:
            reached.upstream.work_seconds = seconds

    async def _hang_up(self, event: Event) -> None:
        self._find_gateway(event).send_signal(signal.SIGHUP)

    async def _harm_store(self, event: Event) -> None:
        faults = self._fleet.store.faults
        with self._fleet.disturbing(""):
            faults.is_unavailable = (
                faults.is_unavailable or event.fault is Fault.STORE_AWAY
            )
            if event.fault is Fault.STORE_SLOW:
                faults.delay_seconds = SLOW_STORE_SECONDS
            if event.fault is Fault.STORE_LOSES:
                faults.lost_response_ratio = LOST_PART
            await asyncio.sleep(event.seconds)
            faults.is_unavailable = False
            faults.delay_seconds = faults.lost_response_ratio = 0.0

    async def _forget(self, event: Event) -> None:
        self._fleet.store.drop_history()

    async def _cut(self, event: Event) -> None:
        gateway = self._find_gateway(event)
        with self._fleet.disturbing(gateway.name):
            gateway.store.harm.cuts_up = gateway.store.harm.cuts_down = True
            await asyncio.sleep(event.seconds)
            gateway.store.harm.clear()
            gateway.store.reset()

    async def _cut_peers(self, event: Event) -> None:
        """Cut a gateway from the others; every second time only what it sends."""
        gateway = self._find_gateway(event)
        cuts = (SENT, RECEIVED) if event.target // 4 % 2 else (SENT,)
        with self._fleet.disturbing(gateway.name):
            gateway.cuts.write_text(" ".join(cuts))
            await asyncio.sleep(event.seconds)
            gateway.cuts.unlink(missing_ok=True)

    async def _cut_upstream(self, event: Event) -> None:
        reached = self._find_upstream(event)
        if reached is None:
            return
        with self._fleet.harming_way():
            reached.proxy.harm.cuts_down = bool(event.target % 2)
            reached.proxy.harm.cuts_up = not reached.proxy.harm.cuts_down
            await asyncio.sleep(event.seconds)
            reached.proxy.harm.clear()
            reached.proxy.reset()

    async def _reset(self, event: Event) -> None:
        reached = self._find_upstream(event)
        if event.target % 2 and reached is not None:
            with self._fleet.harming_way():
                reached.proxy.reset()
            return
        gateway = self._find_gateway(event)
        with self._fleet.disturbing(gateway.name):
            gateway.store.reset()

    async def _delay(self, event: Event) -> None:
        reached = self._find_upstream(event)
        if reached is None:
            return
        with self._fleet.harming_way():
            reached.proxy.harm.delay = DELAY_SECONDS
            await asyncio.sleep(event.seconds)
            reached.proxy.harm.delay = 0.0

    async def _turn_gray(self, event: Event) -> None:
        reached = self._find_upstream(event)
        if reached is None:
            return
        reached.upstream.mode = MODES[event.fault]
        await asyncio.sleep(event.seconds)
        reached.upstream.mode = Mode.WHOLE

    async def _drain(self, event: Event) -> None:
        reached = self._find_upstream(event)
        if reached is None:
            return
        await self._fleet.add_upstream()
        self._fleet.drain(reached)
        await asyncio.sleep(DRAINED_SECONDS)
        self._fleet.remove(reached)

    async def _withdraw(self, event: Event) -> None:
        self._fleet.withdraw(event.target)

    async def _change(self, event: Event) -> None:
        self._fleet.configure()
