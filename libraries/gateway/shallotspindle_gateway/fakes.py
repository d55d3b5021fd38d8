"""Fakes of the store, of its documents and of upstreams, for the tests of a gateway.

``FakeUpstream`` speaks HTTP; the raw upstreams send bytes that need not be HTTP.
"""

import asyncio
import json
import socket
from dataclasses import dataclass, field

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
from shallotspindle_entry.response_limits import ResponseLimits
from shallotspindle_environment.interface import Conflict, StoreFailure
from shallotspindle_gateway.forwarding import UpstreamRequest
from shallotspindle_gateway.records import (
    CallerLimits,
    Configuration,
    HeaderNames,
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
# More than the sockets between a gateway and its caller can buffer.
LARGE_BYTES = 16 * 1024 * 1024
MEBIBYTE = 1024 * 1024
LIMITS = ResponseLimits(max_body_bytes=MEBIBYTE, max_total_bytes=4 * MEBIBYTE)
# What two sockets and two event loops may buffer beyond the limit on loopback.
MAX_SOCKET_BYTES = 16 * MEBIBYTE
# Longer than any test runs, so that the limits end a response and not the timeout.
TIMEOUT_SECONDS = 20.0
CHUNK_BYTES = 64 * 1024
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
SIGNATURE = f"{NAMES.signature}: s\r\n".encode()
OK = STATUS_LINE + SIGNATURE
COMPLETE_RESPONSE = OK + b"Content-Length: 5\r\n\r\nwhole"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


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


@dataclass
class EndlessUpstream:
    """Sends a beginning and then repeats a unit until its peer closes the connection.

    :param reads_request: whether it reads the request first.
    :param sent_bytes: bytes that the socket accepted.
    """

    start: bytes
    unit: bytes
    reads_request: bool = True
    sent_bytes: int = 0
    opened_connections: int = 0
    closed_connections: int = 0
    requests: list[bytes] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened_connections += 1
        try:
            if self.reads_request:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            chunk = self.unit * (CHUNK_BYTES // len(self.unit))
            writer.write(self.start + chunk)
            while True:
                await writer.drain()
                self.sent_bytes += len(chunk)
                writer.write(chunk)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed_connections += 1
            writer.transport.abort()


class UpstreamServers:
    """Servers of endless upstreams on loopback."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []

    async def add(self, upstream: EndlessUpstream) -> str:
        """Start a server for an upstream and return its address."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, CHUNK_BYTES)
        server = await asyncio.start_server(upstream.serve, sock=listener)
        self._servers.append(server)
        host, port = listener.getsockname()
        return f"{host}:{port}"

    async def announce(self, fleet, upstream: EndlessUpstream, name: str) -> None:
        """Start a server for an upstream and announce it in the store of a fleet."""
        value = json.dumps([await self.add(upstream), "a"]).encode()
        fleet.store.put(f"upstreams/{name}", value)

    def close(self) -> None:
        for server in self._servers:
            server.close()


@dataclass
class CutUpstream(EndlessUpstream):
    """Sends only the start and closes or resets the connection then."""

    resets: bool = False

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.start)
        await writer.drain()
        if self.resets:
            writer.transport.abort()
        writer.close()


def build_request(address, method="GET", body=None):
    return UpstreamRequest(address, method, "/1", {}, body, TIMEOUT_SECONDS)


async def wait_until_closed(upstream):
    """Wait until all connections of the upstream are closed."""
    async with asyncio.timeout(10):
        while (
            upstream.closed_connections < upstream.opened_connections
            or not upstream.opened_connections
        ):
            await asyncio.sleep(0.01)
