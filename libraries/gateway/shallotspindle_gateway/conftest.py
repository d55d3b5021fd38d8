"""A fleet of gateways in one process, with simulated store and upstreams."""

import asyncio
import itertools
import json
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web
from expression import Error, Ok

from shallotspindle_bundles.records import Bundle, Route, Team
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import (
    FailureDomain,
    ServiceName,
    TeamName,
    UpstreamName,
)
from shallotspindle_entry import caller_memory
from shallotspindle_entry.caller_memory import MemoryLimits
from shallotspindle_entry.response_limits import DEFAULT_LIMITS, ResponseLimits
from shallotspindle_environment.clock import SystemClock
from shallotspindle_environment.interface import Conflict, StoreFailure
from shallotspindle_gateway import forwarding, ownership
from shallotspindle_gateway.daemon import Daemon
from shallotspindle_gateway.records import (
    Bounds,
    CallerLimits,
    Configuration,
    Endpoint,
    HeaderNames,
    Settings,
)
from shallotspindle_gateway.storage import (
    NO_LEASE,
    Changes,
    Lease,
    LeaseEnded,
    Snapshot,
    StoredValue,
)
from shallotspindle_keys import digests
from shallotspindle_keys.directory import build_directory
from shallotspindle_lending.cold import ColdStart
from shallotspindle_registry.records import AnnouncedState, Announcement
from shallotspindle_routing.routes import build_route_table

NAMES = HeaderNames()
SERVICE = ServiceName("catalogue")
SALT = b"0123456789abcdef"
READY_SECONDS = 10.0
# More than the sockets between a gateway and its caller can buffer.
LARGE_BYTES = 16 * 1024 * 1024
BOUNDS = Bounds()
ANY_PORT = Endpoint("127.0.0.1", 0)


class MemoryStore:
    """In-memory implementation of the store.

    ``is_unavailable`` makes every call fail; ``hides_changes`` leaves changes out of
    the history.
    """

    def __init__(self) -> None:
        self.values: dict[str, tuple[StoredValue, int]] = {}
        self.events: list[tuple[int, StoredValue | str]] = []
        self.leases: set[int] = set()
        self.era = 0
        self.revision = 1
        self.is_unavailable = False
        self.hides_changes = False
        self.calls = 0
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        stored = StoredValue(key, value, self.revision)
        self.values[key] = (stored, lease)
        self._publish(stored)

    def remove(self, key: str) -> None:
        self.revision += 1
        del self.values[key]
        self._publish(key)

    def copy(self) -> tuple:
        """Return what the store holds, for ``restore``."""
        return dict(self.values), list(self.events), set(self.leases), self.revision

    def restore(self, copy: tuple) -> None:
        """Come back from a copy, in the next era."""
        self.values, self.events, self.leases, self.revision = copy
        self.era += 1

    def _publish(self, event: StoredValue | str) -> None:
        if self.hides_changes:
            return
        self.events.append((self.revision, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _check_available(self):
        self.calls += 1
        return (
            Error(StoreFailure("store", "unavailable")) if self.is_unavailable else None
        )

    async def read_all(self):
        values = tuple(stored for stored, _ in self.values.values())
        return self._check_available() or Ok(Snapshot(values, self.revision, self.era))

    async def watch(self, revision, seconds):
        if failed := self._check_available():
            return failed
        if self.revision <= revision:
            try:
                await asyncio.wait_for(self._changed.wait(), seconds)
            except TimeoutError:
                return Ok(Changes((), self.revision, self.era))
        events = tuple(event for at, event in self.events if at > revision)
        return Ok(Changes(events, self.revision, self.era))

    async def write_if_unchanged(self, values, expected, lease):
        if failed := self._check_available():
            return failed
        if lease not in {NO_LEASE, *self.leases}:
            return Error(LeaseEnded("store", "ended"))
        for key, revision in expected.items():
            current = self.values.get(key)
            if (current[0].revision if current else 0) != revision:
                return Error(Conflict("store", "changed"))
        for key, value in values.items():
            self.put(key, value, lease)
        return Ok(self.revision)

    async def grant_lease(self, seconds):
        number = len(self.events) + len(self.leases) + 1000
        self.leases.add(number)
        return self._check_available() or Ok(Lease(number, seconds))

    async def renew_lease(self, lease):
        if failed := self._check_available():
            return failed
        return Ok(None) if lease in self.leases else Error(LeaseEnded("s", "ended"))

    async def end_lease(self, lease):
        self.leases.discard(lease)
        for key in [key for key, (_, owner) in self.values.items() if owner == lease]:
            self.remove(key)
        return self._check_available() or Ok(None)


class RejectingStore(MemoryStore):
    """Store that rejects all calls of the instance that uses this object."""

    async def renew_lease(self, lease):
        return Error(StoreFailure("store", "refused"))

    async def watch(self, revision, seconds):
        return Error(StoreFailure("store", "refused"))

    async def read_all(self):
        return await self.watch(0, 1.0)


class DocumentDecoder:
    """Decodes the documents that this module writes into the store."""

    def is_configuration(self, key):
        return key == "configuration"

    def is_announcement(self, key):
        return key.startswith("upstreams/")

    def get_upstream_name(self, key):
        return UpstreamName(key.removeprefix("upstreams/"))

    def decode_evacuation(self, key):
        prefix, _, domain = key.partition("/")
        if prefix != "evacuations":
            return None
        return Ok(FailureDomain(domain)) if domain else Error(Failure(key, "no name"))

    def decode_configuration(self, data):
        document = json.loads(data)
        team = Team(
            TeamName("museum"),
            document["rate"],
            document["rate"],
            tuple(digests.digest_key(SALT, key) for key in document["keys"]),
        )
        routes = (
            Route("reads", "/reads/", SERVICE, timeout=2.0, attempts=3),
            Route(
                "orders",
                "/orders/",
                SERVICE,
                timeout=2.0,
                idempotent_methods=frozenset(),
            ),
        )
        limits = CallerLimits(**document.get("limits", {}))
        bundle = Bundle(document["version"], SALT, {team.name: team}, routes=routes)
        keys = build_directory(SALT, [(team.name, team.key_digests)])
        cold_starts = {SERVICE: ColdStart(*document.get("cold_start", (0.0, 0.0)))}
        table = build_route_table(routes)
        return Ok(Configuration(bundle, keys, table, limits, cold_starts=cold_starts))

    def decode_announcement(self, key, data):
        address, domain, *started_at_ms = json.loads(data)
        return Ok(
            Announcement(
                self.get_upstream_name(key),
                SERVICE,
                address,
                FailureDomain(domain),
                AnnouncedState.READY,
                slots=2,
                started_at_ms=sum(started_at_ms),
            )
        )


# Statuses of the modes in which a fake upstream reports a failure.
FAKE_FAILURES = {"error": 500, "unnamed refusal": 503}


@dataclass
class FakeUpstream:
    """Fake upstream that behaves according to ``mode``.

    :param executed: ids of the requests that it ran.
    :param requests: the requests that it ran.
    :param extra_headers: added to all responses.
    :param release: lets the modes ``slow`` and ``shed late`` respond.
    """

    name: str
    mode: str = "complete"
    executed: list[str] = field(default_factory=list)
    requests: list[web.BaseRequest] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    cancelled: int = 0
    finished: int = 0
    extra_headers: dict[str, str] = field(default_factory=dict)
    release: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.content.read()
        request_id = request.headers.get(NAMES.request_id, "")
        if self.mode == "shed late":
            await self.release.wait()
        if self.mode.startswith("shed"):
            fields = {
                NAMES.request_id: request_id,
                NAMES.not_run: "1",
                **self.extra_headers,
            }
            return web.Response(status=503, headers=fields)
        self.executed.append(request_id)
        self.requests.append(request)
        self.bodies.append(body)
        fields = self._build_headers(request_id)
        if self.mode == "hang":
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        if self.mode == "slow":
            await self.release.wait()
            self.finished += 1
        if self.mode == "reset":
            request.transport.abort()
        if self.mode == "truncated":
            response = web.StreamResponse(headers={"Content-Length": "100", **fields})
            await response.prepare(request)
            await response.write(b"half")
            request.transport.close()
            return response
        if self.mode == "large":
            return web.Response(body=bytes(LARGE_BYTES), headers=fields)
        status = FAKE_FAILURES.get(self.mode, 200)
        return web.Response(status=status, body=b"answer " + body, headers=fields)

    def _build_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of the response to a request that was run."""
        fields = {
            NAMES.request_id: request_id,
            NAMES.signature: "s",
            **self.extra_headers,
        }
        if self.mode == "mismatched":
            fields[NAMES.request_id] = "another"
        if self.mode == "unsigned":
            del fields[NAMES.signature]
        if self.mode.startswith("unnamed"):
            del fields[NAMES.request_id]
        if self.mode == "unnamed refusal":
            fields[NAMES.not_run] = "1"
        return fields


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
