"""A fleet of gateways in one process, with simulated store and upstreams."""

import asyncio
import itertools
import json
import socket
from collections.abc import AsyncIterator

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web

from shallotspindle_core.identifiers import (
    FailureDomain,
)
from shallotspindle_entry import caller_memory
from shallotspindle_entry.caller_memory import MemoryLimits
from shallotspindle_entry.response_limits import DEFAULT_LIMITS, ResponseLimits
from shallotspindle_environment.clock import SystemClock
from shallotspindle_gateway import forwarding, ownership
from shallotspindle_gateway.daemon import Daemon
from shallotspindle_gateway.fakes import (
    LIMITS,
    NAMES,
    DocumentDecoder,
    FakeUpstream,
    MemoryStore,
    UpstreamServers,
)
from shallotspindle_gateway.forwarding import Forwarder
from shallotspindle_gateway.records import (
    Bounds,
    Endpoint,
    Settings,
)
from shallotspindle_telemetry.unexpected import UnexpectedErrors

READY_SECONDS = 10.0
BOUNDS = Bounds()
ANY_PORT = Endpoint("127.0.0.1", 0)


class Fleet:
    """Gateways, a store and upstreams on loopback."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.upstreams: dict[str, FakeUpstream] = {}
        self.daemons: list[Daemon] = []
        self.session = aiohttp.ClientSession()
        self._start_tasks: dict[Daemon, list[asyncio.Task]] = {}
        self._servers: list = []
        self._request_numbers = itertools.count()

    def configure(
        self, version=1, keys=("k1",), rate=1000.0, limits=None, cold_start=(0.0, 0.0)
    ) -> None:
        document = {"version": version, "keys": list(keys), "rate": rate}
        document["cold_start"] = cold_start
        document["limits"] = limits or {}
        self.store.put("configuration", json.dumps(document).encode())

    async def add_upstream(
        self, mode: str = "complete", domain: str = "a"
    ) -> FakeUpstream:
        upstream = FakeUpstream(f"u{len(self.upstreams)}", mode)
        server = web.Server(upstream.serve, handler_cancellation=True, access_log=None)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, "127.0.0.1", 0)
        self._servers.append((listener, server))
        host, port = listener.sockets[0].getsockname()
        value = json.dumps([f"{host}:{port}", domain]).encode()
        self.store.put(f"upstreams/{upstream.name}", value)
        self.upstreams[upstream.name] = upstream
        return upstream

    async def add_gateway(
        self,
        domain: str = "a",
        bounds: Bounds = BOUNDS,
        response_limits: ResponseLimits = DEFAULT_LIMITS,
        peers: Endpoint = ANY_PORT,
        memory_limits: MemoryLimits = caller_memory.DEFAULT_LIMITS,
    ) -> Daemon:
        """Start a gateway and return when it is ready.

        :param peers: address for other gateways; that of a former one for a restart.
        """
        settings = Settings(
            f"gateway-{len(self.daemons)}",
            FailureDomain(domain),
            ANY_PORT,
            ANY_PORT,
            peers,
            ANY_PORT,
            bounds=bounds,
            response_limits=response_limits,
            memory_limits=memory_limits,
        )
        daemon = Daemon(settings, self.store, DocumentDecoder(), SystemClock())
        self.daemons.append(daemon)
        loop = asyncio.get_running_loop()
        self._start_tasks[daemon] = []
        for service in daemon.services:
            service.set_loop(loop)
            task = asyncio.create_task(service.start())
            self._start_tasks[daemon].append(task)
        await self.await_true(daemon.is_ready)
        return daemon

    async def await_true(self, condition, seconds: float = READY_SECONDS) -> None:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def send(self, daemon, path="/reads/1", key="k1", method="GET", body=None):
        """Send one request and return status, headers and body of the response."""
        fields = {
            NAMES.request_id: f"r{next(self._request_numbers)}",
            NAMES.deadline: "2000",
            "Authorization": f"{NAMES.key_scheme} {key}",
        }
        url = f"http://127.0.0.1:{daemon.callers_port}{path}"
        async with self.session.request(
            method, url, headers=fields, data=body
        ) as response:
            return response.status, response.headers.copy(), await response.read()

    async def kill(self, daemon: Daemon) -> None:
        """End a gateway without a graceful shutdown."""
        self.daemons.remove(daemon)
        for service in reversed(daemon.services):
            await service.stop()
        start_tasks = self._start_tasks.pop(daemon)
        for start_task in start_tasks:
            start_task.cancel()
        await asyncio.gather(*start_tasks, return_exceptions=True)

    async def close(self) -> None:
        await self.session.close()
        for daemon in list(self.daemons):
            await self.kill(daemon)
        for listener, server in self._servers:
            listener.close()
            await server.shutdown(0)


async def start_gateway(fleet, *modes, bounds=BOUNDS):
    """Start upstreams and one gateway that holds all partitions."""
    for mode in modes:
        await fleet.add_upstream(mode)
    daemon = await fleet.add_gateway(bounds=bounds)
    await fleet.await_true(
        lambda: len(daemon.follower.partitions) == ownership.PARTITION_COUNT
    )
    return daemon


class RawCaller:
    """Caller that controls when it writes and reads."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, daemon, receive_bytes=65536):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", daemon.callers_port))
        return cls(*await asyncio.open_connection(sock=sock, limit=receive_bytes))

    def write(self, data):
        self._writer.write(data)

    def close(self):
        self._writer.close()

    def abort(self):
        self._writer.transport.abort()

    async def read_head(self):
        """Return the head of the next response."""
        return await self._reader.readuntil(b"\r\n\r\n")

    async def read_body(self, size):
        """Read the body of the next response."""
        await self._reader.readexactly(size)

    async def read(self):
        """Return all bytes until the connection is closed."""
        try:
            return await self._reader.read()
        finally:
            self._writer.close()


def build_order(body, *extra_lines):
    """Return the bytes of a non-idempotent request.

    :param extra_lines: further header lines.
    """
    lines = (
        "POST /orders/1 HTTP/1.1",
        "Host: soak.example",
        f"{NAMES.request_id}: raw",
        f"{NAMES.deadline}: 5000",
        f"Authorization: {NAMES.key_scheme} k1",
        f"Content-Length: {len(body)}",
        *extra_lines,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@pytest.fixture
def no_startup_delay(monkeypatch):
    monkeypatch.setattr(ownership, "STARTUP_DELAY_SECONDS", 0.0)
    monkeypatch.setattr(ownership, "RENEWAL_INTERVAL_SECONDS", 0.1)


@pytest.fixture(autouse=True)
def long_connect_timeout(monkeypatch):
    """Avoid connect timeouts on a busy machine."""
    monkeypatch.setattr(forwarding, "CONNECT_TIMEOUT_SECONDS", 5.0)


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[Fleet]:
    created = Fleet()
    created.configure()
    yield created
    await created.close()


@pytest.fixture
def upstreams():
    servers = UpstreamServers()
    yield servers
    servers.close()


def build_forwarder(
    limits, errors, record_notice=lambda upstream, notice: None, header_names=NAMES
):
    return Forwarder(header_names, SystemClock(), limits, errors, record_notice)


@pytest_asyncio.fixture
async def forwarder() -> AsyncIterator[Forwarder]:
    created = build_forwarder(LIMITS, UnexpectedErrors())
    await created.start()
    yield created
    await created.stop()
