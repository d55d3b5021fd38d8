"""The processes, stand-ins and proxies of one soak test."""

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
    LARGE_BODIES,
    LONG_RESPONSES,
    OVERLOAD,
    RECONNECTING,
    SLOW_LINK,
    SLOW_RECONNECTING,
    STEADY,
    Caller,
    CallerProfile,
    Credentials,
    Target,
)
from shallotspindle_soak.cutting import CUT_FILE_VARIABLE
from shallotspindle_soak.proxies import FaultProxy
from shallotspindle_soak.records import History, Interval
from shallotspindle_soak.upstreams import FakeUpstream
from shallotspindle_standin import documents
from shallotspindle_standin.documents import (
    MachineSettings,
    RouteSettings,
    TeamSettings,
)
from shallotspindle_standin.store import StoreStandin

PROGRAM = "shallotspindle_soak.cutting"
NO_MACHINE_LIMITS = MachineSettings()
HOST_NAME = "soak.example"
SERVICE = "catalogue"
FAILURE_DOMAINS = ("a", "b")
CALLER_PORT = 8689
READINESS_PORT = 8687
# The gateways are configured with the bounds that the checks enforce.
BOUNDS = Bounds(
    key_withdrawal_seconds=promises.KEY_WITHDRAWAL_SECONDS,
    max_stop_seconds=promises.MAX_STOP_SECONDS,
    retry_ratio=promises.RETRY_RATIO,
    extra_retries=promises.EXTRA_RETRIES,
    retry_window_seconds=promises.RETRY_WINDOW_SECONDS,
    rate_window_seconds=promises.RATE_WINDOW_SECONDS,
)
READY_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05
WITHDRAWN_KEY_FRACTION = 0.15
TIMEOUT_STEP_SECONDS = 0.1
# Callers with large requests, slow links or frequent new connections. Their team has no
# rate limit.
SPECIAL_PROFILES = (
    *(LARGE_BODIES, LARGE_BODIES),
    *(SLOW_LINK, SLOW_LINK, SLOW_RECONNECTING),
    *(RECONNECTING, RECONNECTING, RECONNECTING),
    *(LONG_RESPONSES, LONG_RESPONSES),
)
SPECIAL_TEAM = "guild"
OVERLOAD_CALLER_COUNT = 40
# With this service time the slots of eight upstreams serve 40 requests per second.
OVERLOAD_SERVICE_TIME_SECONDS = 0.4
TEAMS = (
    TeamSettings("harbour", ("harbour-0",), 60.0, 60.0),
    TeamSettings("museum", ("museum-0",), 60.0, 60.0),
    # Low enough that its callers exceed the limit on a slow machine too.
    TeamSettings("kiosk", ("kiosk-0",), 1.0, 2.0),
    # Unlimited, so that only the age of the configuration stops its withdrawn keys.
    TeamSettings("guild", ("guild-0",), 0.0, 0.0),
)


class NotStarted(Failure):
    """The fleet did not start, so the soak test would prove nothing."""


@dataclass(slots=True)
class Gateway:
    """One gateway process with its own proxy to the store.

    :param cut_file: names the directions in which datagrams between this gateway and
        its peers are dropped.
    :param lock: held while the process is replaced.
    """

    name: str
    ip_address: str
    settings_path: Path
    log_path: Path
    cut_file: Path
    store_proxy: FaultProxy
    process: asyncio.subprocess.Process | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.process.send_signal(number)


@dataclass(slots=True)
class ProxiedUpstream:
    """An upstream and the proxy through which gateways reach it."""

    upstream: FakeUpstream
    proxy: FaultProxy
    domain: str
    address: str


class Fleet:
    """Owns every process and socket that a soak test starts.

    :param folder: receives the settings and logs of the gateways.
    :param program: module that a gateway process runs, with its arguments.
    :param machine: limits of the machine of each gateway.
    """

    # Fleets in one process must not share IP addresses.
    network_numbers = itertools.count()

    def __init__(
        self,
        folder: Path,
        clock: Clock,
        random: Random,
        program: tuple[str, ...] = (PROGRAM,),
        machine: MachineSettings = NO_MACHINE_LIMITS,
    ) -> None:
        self.history = History()
        self.clock = clock
        self.random = random
        self.store = StoreStandin(clock)
        self.gateways: list[Gateway] = []
        self.upstreams: list[ProxiedUpstream] = []
        self._folder = folder
        self._program = program
        self._machine = machine
        self._teams = {team.name: team for team in TEAMS}
        self._withdrawn_credentials: list[Credentials] = []
        self._version = 0
        self._callers: list[asyncio.Task[None]] = []
        self._slow_links: list[FaultProxy] = []
        self._targets: list[Target] = []
        self.history.rate_limits = {t.name: (t.rate, t.burst) for t in TEAMS if t.rate}

    async def start(self, gateways: int, upstreams: int, callers: int) -> None:
        """Start everything and wait until all gateways are ready.

        :raises FailureError: a gateway did not become ready.
        """
        self._store_address = await self.store.start()
        self.publish_configuration()
        for _ in range(upstreams):
            await self.add_upstream()
        network = f"127.{60 + next(self.network_numbers) % 190}.{os.getpid() % 250}"
        for number in range(gateways):
            self.gateways.append(await self._build_gateway(network, number))
        await asyncio.gather(*(self.start_gateway(item) for item in self.gateways))
        ready = await asyncio.gather(*map(self.wait_until_ready, self.gateways))
        if not all(ready):
            logs = str(self._folder)
            raise FailureError(
                NotStarted("soak", "a gateway did not become ready", logs)
            )
        self._targets = [
            Target(g.name, f"{g.ip_address}:{CALLER_PORT}") for g in self.gateways
        ]
        for number in range(callers):
            self._start_caller(self._targets, TEAMS[number % len(TEAMS)].name)

    async def start_special_callers(self) -> None:
        """Start callers with large requests, slow links or frequent reconnects."""
        for profile in SPECIAL_PROFILES:
            bytes_per_second = profile.link_bytes_per_second
            targets = (
                await self._start_slow_links(bytes_per_second)
                if bytes_per_second
                else self._targets
            )
            self._start_caller(targets, SPECIAL_TEAM, profile)

    async def _start_slow_links(self, bytes_per_second: float) -> list[Target]:
        """Start a slow link to each gateway for one caller and return the targets."""
        targets = []
        for gateway in self.gateways:
            link = FaultProxy(
                gateway.ip_address, CALLER_PORT, bytes_per_second, self.clock
            )
            self._slow_links.append(link)
            targets.append(Target(gateway.name, await link.start(), link))
        return targets

    def start_overload_callers(self, seconds: float) -> None:
        """Start callers that together send more than the slots can serve."""
        stop_at = self.clock.boottime() + seconds
        for _ in range(OVERLOAD_CALLER_COUNT):
            self._start_caller(self._targets, SPECIAL_TEAM, OVERLOAD, stop_at)

    def _start_caller(
        self,
        targets: list[Target],
        team: str,
        profile: CallerProfile = STEADY,
        stop_at: float = math.inf,
    ) -> None:
        caller = Caller(
            targets,
            lambda: self._choose_credentials(team),
            profile,
            HEADERS,
            self.history,
            self.clock,
            Random(self.random.random()),
            stop_at,
        )
        self._callers.append(asyncio.create_task(caller.run()))

    def _choose_credentials(self, team: str) -> Credentials:
        withdrawn = [item for item in self._withdrawn_credentials if item.team == team]
        if withdrawn and self.random.random() < WITHDRAWN_KEY_FRACTION:
            return self.random.choice(withdrawn)
        return Credentials(team, self._teams[team].keys[-1])

    async def _build_gateway(self, network: str, number: int) -> Gateway:
        name, ip_address = f"gateway-{number}", f"{network}.{number + 1}"
        proxy = FaultProxy(*self._store_address)
        address = await proxy.start()
        ports = (CALLER_PORT, READINESS_PORT)
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        settings_path = self._folder / f"{name}.json"
        document = documents.build_settings(
            name, domain, ip_address, ports, address, BOUNDS, self._machine
        )
        settings_path.write_bytes(document)
        log_path, cut_file = (
            self._folder / f"{name}.{suffix}" for suffix in ("log", "cuts")
        )
        return Gateway(name, ip_address, settings_path, log_path, cut_file, proxy)

    async def start_gateway(self, gateway: Gateway) -> None:
        """Start the process of a gateway without waiting until it is ready."""
        environment = {
            **os.environ,
            SETTINGS_VARIABLE: str(gateway.settings_path),
            CUT_FILE_VARIABLE: str(gateway.cut_file),
        }
        with gateway.log_path.open("ab") as log:
            gateway.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self._program,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, gateway: Gateway) -> bool:
        """Wait until a gateway is ready; return False after a timeout or an exit."""
        url = f"http://{gateway.ip_address}:{READINESS_PORT}{READINESS_PATH}"
        deadline = self.clock.boottime() + READY_TIMEOUT_SECONDS
        async with aiohttp.ClientSession() as session:
            while self.clock.boottime() < deadline and gateway.is_running:
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return True
                except aiohttp.ClientError:
                    # The process is still starting.
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return False

    async def add_upstream(self) -> ProxiedUpstream:
        """Start an upstream and announce it."""
        number = len(self.upstreams)
        upstream = FakeUpstream(f"u{number}", HEADERS, self.history, self.clock)
        proxy = FaultProxy(*await upstream.start())
        address = await proxy.start()
        proxied = ProxiedUpstream(
            upstream, proxy, FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)], address
        )
        self.upstreams.append(proxied)
        self.announce_upstream(proxied, "ready")
        return proxied

    def announce_upstream(self, proxied: ProxiedUpstream, state: str) -> None:
        """Write the announcement of an upstream to the store."""
        key, value = documents.build_announcement(
            proxied.upstream.name,
            SERVICE,
            proxied.address,
            proxied.domain,
            state,
            started_at_ms=proxied.upstream.incarnation + 1,
        )
        self.store.put(key, value)

    def drain_upstream(self, proxied: ProxiedUpstream) -> None:
        """Announce that an upstream is draining."""
        self.announce_upstream(proxied, "draining")
        self.history.drained_upstreams[proxied.upstream.name] = self.clock.boottime()

    def restart_upstream(self, proxied: ProxiedUpstream) -> None:
        """Begin another incarnation of an upstream at its address."""
        proxied.upstream.incarnation += 1
        proxied.upstream.is_leaving = False
        self.announce_upstream(proxied, "ready")

    def remove_upstream(self, proxied: ProxiedUpstream) -> None:
        """Remove the announcement of a drained upstream."""
        self.store.remove(ANNOUNCEMENT_PREFIX + proxied.upstream.name)

    def publish_configuration(self) -> None:
        """Write the next version of the configuration, with another route timeout."""
        self._version += 1
        timeout = promises.MIN_ROUTE_TIMEOUT_SECONDS
        timeout += TIMEOUT_STEP_SECONDS * (self._version % 3)
        routes = (
            RouteSettings("reads", "/reads/", SERVICE, True, timeout),
            RouteSettings("orders", "/orders/", SERVICE, False, timeout),
        )
        teams = tuple(self._teams.values())
        key, value = documents.build_configuration(
            self._version, routes, teams, HOST_NAME
        )
        self.store.put(key, value)

    def withdraw_key(self, target: int) -> None:
        """Withdraw the key of a team and issue a new one.

        :param target: index of the team; wraps around.
        """
        name = TEAMS[target % len(TEAMS)].name
        team = self._teams[name]
        old = team.keys[-1]
        new = f"{name}-{self._version + 1}"
        self._teams[name] = TeamSettings(name, (new,), team.rate, team.burst)
        self.publish_configuration()
        self.history.withdrawn_keys[old] = self.clock.boottime()
        self._withdrawn_credentials.append(Credentials(name, old))

    @contextmanager
    def record_gateway_fault(self, gateway: str) -> Iterator[None]:
        """Record how long the enclosed fault of a gateway lasts.

        :param gateway: its name; empty for a fault that affects all gateways.
        """
        started_at = self.clock.boottime()
        yield
        interval = Interval(started_at, self.clock.boottime())
        self.history.gateway_faults.setdefault(gateway, []).append(interval)

    @contextmanager
    def record_gateway_halt(self, gateway: str) -> Iterator[None]:
        """Record how long a gateway process is paused or down."""
        started_at = self.clock.boottime()
        with self.record_gateway_fault(gateway):
            yield
        interval = Interval(started_at, self.clock.boottime())
        self.history.gateway_halts.setdefault(gateway, []).append(interval)

    @contextmanager
    def record_upstream_link_fault(self) -> Iterator[None]:
        """Record how long the enclosed fault of a link to an upstream lasts."""
        started_at = self.clock.boottime()
        yield
        self.history.upstream_link_faults.append(
            Interval(started_at, self.clock.boottime())
        )

    async def stop_callers(self) -> None:
        """Cancel all callers, including those with an open request."""
        stopped_at = min(self.history.callers_stopped_at, self.clock.boottime())
        self.history.callers_stopped_at = stopped_at
        for task in self._callers:
            task.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)

    async def stop(self) -> None:
        """End every process and close every socket of the soak test."""
        await self.stop_callers()
        for gateway in self.gateways:
            if gateway.is_running:
                gateway.send_signal(signal.SIGCONT)
                gateway.send_signal(signal.SIGKILL)
                await gateway.process.wait()
            await gateway.store_proxy.stop()
        for link in self._slow_links:
            await link.stop()
        for proxied in self.upstreams:
            await proxied.proxy.stop()
            await proxied.upstream.stop()
        await self.store.stop()
