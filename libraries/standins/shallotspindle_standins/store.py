"""Stand-in for the platform's store with the JSON gateway API of etcd v3.

It keeps all values in memory, and ``Faults`` injects failures. Unlike etcd, a watch
reports only the last of several changes that happen before it can send them.
"""

import asyncio
import base64
import json
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any

from aiohttp import web

from shallotspindle_core.clock import Clock

CUT_DIRECTIONS = ("", "requests", "answers")


@dataclass
class Faults:
    """Injected faults of the store; the field names are keys of ``POST /faults``.

    :param down: reset the connection of every call and end every watch.
    :param delay: delay of each call, in seconds.
    :param lose_answers: number of writes that still take effect without a response;
        each such write decrements it.
    :param rate: maximum number of calls per second; others get 429; 0 for no limit.
    :param cut: blocked direction: with ``requests``, requests never arrive; with
        ``answers``, responses and watched changes are never sent; empty for none.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    rate: float = 0.0
    cut: str = ""

    def __post_init__(self) -> None:
        self._listener: Callable[[], None] | None = None

    def __setattr__(self, name: str, value: Any) -> None:
        object.__setattr__(self, name, value)
        listener = self.__dict__.get("_listener")
        if listener is not None:
            listener()

    def set_listener(self, listener: Callable[[], None]) -> None:
        """Set the function that is called after each change."""
        self.__dict__["_listener"] = listener


class RateLimiter:
    """Token bucket that limits the rate of calls."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = 0.0
        self._updated_at = clock.boottime()
        self._rate = 0.0

    def take_token(self, rate: float) -> bool:
        """Return whether one more call is allowed.

        :param rate: calls per second; the burst is the calls of 1 s. A changed rate
            starts with a full bucket.
        """
        now = self._clock.boottime()
        if rate != self._rate:
            self._rate, self._tokens = rate, rate
        self._tokens = min(rate, self._tokens + (now - self._updated_at) * rate)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(slots=True)
class StoredValue:
    """A stored value.

    :param data: the value in base64.
    :param lease_id: lease whose end removes the value; 0 for none.
    """

    data: str
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


@dataclass(slots=True)
class StoreState:
    """All values and leases of the store.

    :param leases: expiry in boot-time seconds and time to live in seconds, by lease
        identifier.
    :param removed: revision of the last removal, by key.
    """

    clock: Clock
    revision: int = 1
    values: dict[bytes, StoredValue] = field(default_factory=dict)
    leases: dict[int, tuple[float, int]] = field(default_factory=dict)
    removed: dict[bytes, int] = field(default_factory=dict)
    next_lease_id: int = 1

    def expire(self) -> None:
        """Remove expired leases and their values."""
        now = self.clock.boottime()
        expired = {
            lease_id for lease_id, (expiry, _) in self.leases.items() if expiry <= now
        }
        for lease_id in expired:
            del self.leases[lease_id]
        for key in [k for k, v in self.values.items() if v.lease_id in expired]:
            self.remove(key)

    def compute_seconds_to_next_expiry(self) -> float | None:
        """Return the seconds until the next lease expires; None without leases."""
        if not self.leases:
            return None
        next_expiry = min(expiry for expiry, _ in self.leases.values())
        return max(0.0, next_expiry - self.clock.boottime())

    def remove(self, key: bytes) -> None:
        """Remove a value and increment the revision."""
        if self.values.pop(key, None) is not None:
            self.revision += 1
            self.removed[key] = self.revision

    def put(self, key: bytes, data: str, lease_id: int) -> None:
        """Write a value and increment the revision."""
        self.revision += 1
        self.removed.pop(key, None)
        old = self.values.get(key)
        self.values[key] = StoredValue(
            data=data,
            create_revision=old.create_revision if old else self.revision,
            mod_revision=self.revision,
            version=old.version + 1 if old else 1,
            lease_id=lease_id,
        )

    def list_range(
        self, start: bytes, end: bytes | None
    ) -> list[tuple[bytes, StoredValue]]:
        """Return the value of a key, or the values of a range ordered by key.

        :param end: exclusive end of the range; None for a single key.
        """
        if end is None:
            value = self.values.get(start)
            return [(start, value)] if value else []
        matching = (item for item in self.values.items() if start <= item[0] < end)
        return sorted(matching, key=lambda item: item[0])


def decode_base64(text: str) -> bytes:
    return base64.b64decode(text)


def format_key_value(key: bytes, value: StoredValue) -> dict[str, str]:
    """Return the key-value object of the gateway API."""
    return {
        "key": base64.b64encode(key).decode(),
        "value": value.data,
        "create_revision": str(value.create_revision),
        "mod_revision": str(value.mod_revision),
        "version": str(value.version),
        "lease": str(value.lease_id),
    }


class StoreStandin:
    """HTTP server of the stand-in.

    :ivar calls: number of calls by kind, as ``GET /calls`` returns it.
    """

    def __init__(self, clock: Clock) -> None:
        self.state = StoreState(clock)
        self.faults = Faults()
        self.faults.set_listener(self._notify_waiters)
        self.calls = {"read": 0, "write": 0, "watch": 0, "refused": 0}
        self._rate_limiter = RateLimiter(clock)
        self._changed = asyncio.Event()

    def _notify_waiters(self) -> None:
        """Wake all tasks that wait for a change of a value or of the faults."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def build_application(self) -> web.Application:
        application = web.Application(
            middlewares=[self._apply_faults], client_max_size=8_000_000
        )
        for path, handler in (
            ("/v3/kv/range", self.handle_range),
            ("/v3/kv/txn", self.handle_txn),
            ("/v3/kv/put", self.handle_put),
            ("/v3/lease/grant", self.handle_grant),
            ("/v3/lease/keepalive", self.handle_keepalive),
            ("/v3/watch", self.handle_watch),
            ("/faults", self.handle_faults),
        ):
            application.router.add_post(path, handler)
        application.router.add_get("/calls", self.handle_calls)
        application.on_shutdown.append(self._end_watches)
        return application

    async def _end_watches(self, application: web.Application) -> None:
        self.faults.down = True

    @staticmethod
    def _abort(request: web.Request) -> web.Response:
        """Reset the connection without a response."""
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    async def _wait_while_cut(self, direction: str) -> None:
        """Wait while a direction is blocked."""
        while self.faults.cut == direction and not self.faults.down:
            await self._changed.wait()

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Any) -> Any:
        if not request.path.startswith("/v3/"):
            return await handler(request)
        if self.faults.cut == "requests":
            await self._wait_while_cut("requests")
            return self._abort(request)
        if self.faults.down:
            return self._abort(request)
        if self.faults.rate and not self._rate_limiter.take_token(self.faults.rate):
            self.calls["refused"] += 1
            return web.json_response({"error": "too many requests"}, status=429)
        return await self._handle_call(request, handler)

    async def _handle_call(self, request: web.Request, handler: Any) -> Any:
        """Execute a call; the response may be delayed or lost."""
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        self.state.expire()
        response = await handler(request)
        if self.faults.cut == "answers":
            await self._wait_while_cut("answers")
            return self._abort(request)
        if request.path == "/v3/kv/txn" and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return self._abort(request)
        return response

    def _respond(self, **fields: Any) -> web.Response:
        header = {"revision": str(self.state.revision)}
        return web.json_response({"header": header, **fields})

    async def handle_range(self, request: web.Request) -> web.Response:
        self.calls["read"] += 1
        body = await request.json()
        end = decode_base64(body["range_end"]) if body.get("range_end") else None
        values = self.state.list_range(decode_base64(body["key"]), end)
        items = [format_key_value(key, value) for key, value in values]
        return self._respond(kvs=items, count=str(len(items)))

    async def handle_put(self, request: web.Request) -> web.Response:
        self.calls["write"] += 1
        body = await request.json()
        lease_id = int(body.get("lease", 0))
        self.state.put(decode_base64(body["key"]), body.get("value", ""), lease_id)
        self._notify_waiters()
        return self._respond()

    async def handle_txn(self, request: web.Request) -> web.Response:
        self.calls["write"] += 1
        body = await request.json()
        comparisons_hold = all(
            self._is_revision_unchanged(item) for item in body.get("compare", [])
        )
        for operation in body.get("success" if comparisons_hold else "failure", []):
            if not self._execute(operation):
                return web.json_response({"error": "lease not found"}, status=404)
        self._notify_waiters()
        return self._respond(succeeded=comparisons_hold)

    def _execute(self, operation: dict[str, Any]) -> bool:
        """Execute one operation of a transaction; return whether its lease exists."""
        delete = operation.get("requestDeleteRange")
        if delete:
            self.state.remove(decode_base64(delete["key"]))
        put = operation.get("requestPut") or operation.get("request_put")
        if put:
            lease_id = int(put.get("lease", 0))
            if lease_id and lease_id not in self.state.leases:
                return False
            self.state.put(decode_base64(put["key"]), put.get("value", ""), lease_id)
        return True

    def _is_revision_unchanged(self, item: dict[str, str]) -> bool:
        value = self.state.values.get(decode_base64(item["key"]))
        actual = value.mod_revision if value else 0
        return actual == int(item.get("mod_revision", 0))

    async def handle_grant(self, request: web.Request) -> web.Response:
        self.calls["write"] += 1
        ttl_seconds = int((await request.json())["TTL"])
        lease_id = self.state.next_lease_id
        self.state.next_lease_id += 1
        expiry = self.state.clock.boottime() + ttl_seconds
        self.state.leases[lease_id] = (expiry, ttl_seconds)
        return self._respond(ID=str(lease_id), TTL=str(ttl_seconds))

    async def handle_keepalive(self, request: web.Request) -> web.Response:
        self.calls["write"] += 1
        lease_id = int((await request.json())["ID"])
        _, ttl_seconds = self.state.leases.get(lease_id, (0.0, 0))
        if ttl_seconds:
            expiry = self.state.clock.boottime() + ttl_seconds
            self.state.leases[lease_id] = (expiry, ttl_seconds)
        return web.json_response(
            {"result": {"ID": str(lease_id), "TTL": str(ttl_seconds)}}
        )

    async def handle_watch(self, request: web.Request) -> web.StreamResponse:
        self.calls["watch"] += 1
        watch_request = (await request.json())["create_request"]
        key = decode_base64(watch_request["key"])
        revision = int(watch_request.get("start_revision", 0))
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b'{"result":{"created":true}}\n')
        while not self.faults.down:
            changed = self._changed
            self.state.expire()
            event = self._find_event(key, revision)
            if event is None or self.faults.cut == "answers":
                await self._wait_for_change(changed)
                continue
            revision = int(event["kv"]["mod_revision"]) + 1
            line = json.dumps({"result": {"events": [event]}})
            await response.write(line.encode() + b"\n")
        return response

    def _find_event(self, key: bytes, revision: int) -> dict[str, Any] | None:
        """Return the last change of a key if it is not older than a revision."""
        value = self.state.values.get(key)
        if value and value.mod_revision >= revision:
            return {"type": "PUT", "kv": format_key_value(key, value)}
        removed = self.state.removed.get(key, 0)
        if removed < max(revision, 1):
            return None
        encoded_key = base64.b64encode(key).decode()
        return {
            "type": "DELETE",
            "kv": {"key": encoded_key, "mod_revision": str(removed)},
        }

    async def _wait_for_change(self, changed: asyncio.Event) -> None:
        """Wait for the next change or for the expiry of the next lease."""
        try:
            async with asyncio.timeout(self.state.compute_seconds_to_next_expiry()):
                await changed.wait()
        except TimeoutError:
            return

    async def handle_faults(self, request: web.Request) -> web.Response:
        """Set faults from a JSON object with the fields of ``Faults``."""
        new_faults = await request.json()
        unknown = sorted(set(new_faults) - {item.name for item in fields(Faults)})
        if unknown or new_faults.get("cut", "") not in CUT_DIRECTIONS:
            return web.json_response({"error": f"unknown: {unknown}"}, status=400)
        for name, value in new_faults.items():
            setattr(self.faults, name, value)
        return web.json_response({})

    async def handle_calls(self, request: web.Request) -> web.Response:
        return web.json_response(self.calls)
