"""The processes, stand-ins and proxies of one soak."""

import asyncio
import itertools
import math
import os
import signal
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import aiohttp

from shallotspindle_adapter.documents import ANNOUNCEMENT_PREFIX
from shallotspindle_adapter.main import SETTINGS_VARIABLE
from shallotspindle_adapter.settings import HEADERS, READINESS_PATH
from shallotspindle_core.clock import Clock
from shallotspindle_core.failures import Failure, FailureError
from shallotspindle_gateway.records import Bounds
from shallotspindle_soak import promises
from shallotspindle_soak.callers import (
    CROWDING,
    LARGE,
    LONG_ANSWERS,
    SLOW,
    SLOW_VISITOR,
    STEADY,
    VISITOR,
    Caller,
    Habit,
    Identity,
    Target,
)
from shallotspindle_soak.cutting import CUTS_VARIABLE
from shallotspindle_soak.proxies import Proxy
from shallotspindle_soak.records import History, Span
from shallotspindle_soak.upstreams import Upstream
from shallotspindle_standin import documents
from shallotspindle_standin.documents import RouteSettings, TeamSettings
from shallotspindle_standin.store import StoreStandin

PROGRAM = "shallotspindle_soak.cutting"
HOST = "soak.example"
SERVICE = "catalogue"
DOMAINS = ("a", "b")
CALLERS_PORT = 8689
READINESS_PORT = 8687
# What the gateways are told is what the checks hold them to.
BOUNDS = Bounds(
    key_withdrawal_seconds=promises.KEY_SECONDS,
    max_stop_seconds=promises.STOP_SECONDS,
    retry_ratio=promises.REPEAT_RATIO,
    extra_retries=promises.REPEAT_SLACK,
    retry_window_seconds=promises.REPEAT_WINDOW_SECONDS,
    rate_window_seconds=promises.WINDOW_SECONDS,
)
READY_SECONDS = 30.0
POLL_SECONDS = 0.05
WITHDRAWN_PART = 0.15
TIMEOUT_STEP_SECONDS = 0.1
# Callers with more than small requests; their team has no limit.
SPECIAL_HABITS = (
    *(LARGE, LARGE),
    *(SLOW, SLOW, SLOW_VISITOR),
    *(VISITOR, VISITOR, VISITOR),
    *(LONG_ANSWERS, LONG_ANSWERS),
)
SPECIAL_TEAM = "guild"
CROWD = 40
# With this work the slots of eight upstreams carry 40 requests a second.
CROWDED_WORK_SECONDS = 0.4
TEAMS = (
    TeamSettings("harbour", ("harbour-0",), 60.0, 60.0),
    TeamSettings("museum", ("museum-0",), 60.0, 60.0),
    # So little that its callers pass it on a slow machine as well.
    TeamSettings("kiosk", ("kiosk-0",), 1.0, 2.0),
    # Without a limit, so that only the age of the configuration stops its keys.
    TeamSettings("guild", ("guild-0",), 0.0, 0.0),
)


class NotStarted(Failure):
    """The fleet did not start; the soak would show nothing."""


@dataclass(slots=True)
class Gateway:
    """One gateway process with its own way to the store.

    :param cuts: file with the directions in which it is cut from the others.
    :param lock: held while the process is replaced.
    """

    name: str
    ip: str
    settings: Path
    log: Path
    cuts: Path
    store: Proxy
    process: asyncio.subprocess.Process | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def is_running(self) -> bool:
        """Whether the process exists and was not killed."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this soak started."""
        if self.is_running:
            self.process.send_signal(number)


@dataclass(slots=True)
class Reached:
    """An upstream with the proxy that leads to it."""

    upstream: Upstream
    proxy: Proxy
    domain: str
    address: str


class Fleet:
    """Owns everything that a soak starts.

    :param folder: for settings and logs.
    :param program: module that a gateway process runs, with its arguments.
    """

    # Fleets of one process must not share addresses.
    networks = itertools.count()

    def __init__(
        self,
        folder: Path,
        clock: Clock,
        random: Random,
        program: tuple[str, ...] = (PROGRAM,),
    ) -> None:
        self.history = History()
        self.clock = clock
        self.random = random
        self.store = StoreStandin(clock)
        self.gateways: list[Gateway] = []
        self.upstreams: list[Reached] = []
        self._folder = folder
        self._program = program
        self._teams = {team.name: team for team in TEAMS}
        self._withdrawn: list[Identity] = []
        self._version = 0
        self._callers: list[asyncio.Task[None]] = []
        self._links: list[Proxy] = []
        self._targets: list[Target] = []
        self.history.limits = {t.name: (t.rate, t.burst) for t in TEAMS if t.rate}

    async def start(self, gateways: int, upstreams: int, callers: int) -> None:
        """Start everything and wait until all gateways are ready."""
        self._store_address = await self.store.start()
        self.configure()
        for _ in range(upstreams):
            await self.add_upstream()
        network = f"127.{60 + next(self.networks) % 190}.{os.getpid() % 250}"
        for number in range(gateways):
            self.gateways.append(await self._build_gateway(network, number))
        await asyncio.gather(*(self.start_gateway(item) for item in self.gateways))
        ready = await asyncio.gather(*map(self.await_ready, self.gateways))
        if not all(ready):
            logs = str(self._folder)
            raise FailureError(NotStarted("soak", "a gateway did not get ready", logs))
        self._targets = [
            Target(g.name, f"{g.ip}:{CALLERS_PORT}") for g in self.gateways
        ]
        for number in range(callers):
            self._start_caller(self._targets, TEAMS[number % len(TEAMS)].name)

    async def start_special_callers(self) -> None:
        """Start callers with large requests, slow links and many connections."""
        for habit in SPECIAL_HABITS:
            rate = habit.link_rate
            targets = await self._build_links(rate) if rate else self._targets
            self._start_caller(targets, SPECIAL_TEAM, habit)

    async def _build_links(self, rate: float) -> list[Target]:
        """Return the gateways as reached over slow links of one caller.

        :param rate: limit of each link, in bytes a second.
        """
        targets = []
        for gateway in self.gateways:
            link = Proxy(gateway.ip, CALLERS_PORT, rate, self.clock)
            self._links.append(link)
            targets.append(Target(gateway.name, await link.start(), link))
        return targets

    def start_crowd(self, seconds: float) -> None:
        """Start callers that together send more than the slots carry."""
        until = self.clock.boottime() + seconds
        for _ in range(CROWD):
            self._start_caller(self._targets, SPECIAL_TEAM, CROWDING, until)

    def _start_caller(
        self,
        targets: list[Target],
        team: str,
        habit: Habit = STEADY,
        until: float = math.inf,
    ) -> None:
        caller = Caller(
            targets,
            lambda: self._identify(team),
            habit,
            HEADERS,
            self.history,
            self.clock,
            Random(self.random.random()),
            until,
        )
        self._callers.append(asyncio.create_task(caller.run()))

    def _identify(self, team: str) -> Identity:
        own = [item for item in self._withdrawn if item.team == team]
        if own and self.random.random() < WITHDRAWN_PART:
            return self.random.choice(own)
        return Identity(team, self._teams[team].keys[-1])

    async def _build_gateway(self, network: str, number: int) -> Gateway:
        name, ip = f"gateway-{number}", f"{network}.{number + 1}"
        proxy = Proxy(*self._store_address)
        address = await proxy.start()
        ports = (CALLERS_PORT, READINESS_PORT)
        domain = DOMAINS[number % len(DOMAINS)]
        settings = self._folder / f"{name}.json"
        document = documents.build_settings(name, domain, ip, ports, address, BOUNDS)
        settings.write_bytes(document)
        log, cuts = (self._folder / f"{name}.{end}" for end in ("log", "cuts"))
        return Gateway(name, ip, settings, log, cuts, proxy)

    async def start_gateway(self, gateway: Gateway) -> None:
        """Start the process of a gateway."""
        environment = {
            **os.environ,
            SETTINGS_VARIABLE: str(gateway.settings),
            CUTS_VARIABLE: str(gateway.cuts),
        }
        with gateway.log.open("ab") as log:
            gateway.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self._program,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def await_ready(self, gateway: Gateway) -> bool:
        """Wait until a gateway says that it is ready; return whether it did."""
        url = f"http://{gateway.ip}:{READINESS_PORT}{READINESS_PATH}"
        until = self.clock.boottime() + READY_SECONDS
        async with aiohttp.ClientSession() as session:
            while self.clock.boottime() < until and gateway.is_running:
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return True
                except aiohttp.ClientError:
                    # The process is still starting.
                    await asyncio.sleep(POLL_SECONDS)
                await asyncio.sleep(POLL_SECONDS)
        return False

    async def add_upstream(self) -> Reached:
        """Start an upstream and announce it."""
        number = len(self.upstreams)
        upstream = Upstream(f"u{number}", HEADERS, self.history, self.clock)
        proxy = Proxy(*await upstream.start())
        address = await proxy.start()
        reached = Reached(upstream, proxy, DOMAINS[number % len(DOMAINS)], address)
        self.upstreams.append(reached)
        self.announce(reached, "ready")
        return reached

    def announce(self, reached: Reached, state: str) -> None:
        """Write the entry of an upstream."""
        key, value = documents.build_announcement(
            reached.upstream.name, SERVICE, reached.address, reached.domain, state
        )
        self.store.put(key, value)

    def drain(self, reached: Reached) -> None:
        """Announce that an upstream leaves."""
        self.announce(reached, "draining")
        self.history.drained[reached.upstream.name] = self.clock.boottime()

    def remove(self, reached: Reached) -> None:
        """Remove the entry of an upstream that has left."""
        self.store.remove(ANNOUNCEMENT_PREFIX + reached.upstream.name)

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        timeout = promises.LEAST_TIMEOUT_SECONDS
        timeout += TIMEOUT_STEP_SECONDS * (self._version % 3)
        routes = (
            RouteSettings("reads", "/reads/", SERVICE, True, timeout),
            RouteSettings("orders", "/orders/", SERVICE, False, timeout),
        )
        teams = tuple(self._teams.values())
        key, value = documents.build_configuration(self._version, routes, teams, HOST)
        self.store.put(key, value)

    def withdraw(self, target: int) -> None:
        """Replace the key of a team."""
        name = TEAMS[target % len(TEAMS)].name
        team = self._teams[name]
        old = team.keys[-1]
        new = f"{name}-{self._version + 1}"
        self._teams[name] = TeamSettings(name, (new,), team.rate, team.burst)
        self.configure()
        self.history.withdrawn[old] = self.clock.boottime()
        self._withdrawn.append(Identity(name, old))

    @contextmanager
    def disturbing(self, gateway: str) -> Iterator[None]:
        """Record the time of a fault at a gateway, or with an empty name at all."""
        started = self.clock.boottime()
        yield
        span = Span(started, self.clock.boottime())
        self.history.disturbed.setdefault(gateway, []).append(span)

    @contextmanager
    def harming_way(self) -> Iterator[None]:
        """Record the time in which a way to an upstream is harmed."""
        started = self.clock.boottime()
        yield
        self.history.harmed_ways.append(Span(started, self.clock.boottime()))

    async def stop_callers(self) -> None:
        """End the callers between two requests or in one."""
        left_at = min(self.history.callers_left_at, self.clock.boottime())
        self.history.callers_left_at = left_at
        for task in self._callers:
            task.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)

    async def stop(self) -> None:
        """End every process and socket of the soak."""
        await self.stop_callers()
        for gateway in self.gateways:
            if gateway.is_running:
                gateway.send_signal(signal.SIGCONT)
                gateway.send_signal(signal.SIGKILL)
                await gateway.process.wait()
            await gateway.store.stop()
        for link in self._links:
            await link.stop()
        for reached in self.upstreams:
            await reached.proxy.stop()
            await reached.upstream.stop()
        await self.store.stop()
