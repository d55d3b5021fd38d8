"""Stand-in of the platform's store: the JSON gateway shape of etcd v3.

It keeps all values in memory. ``Faults`` makes it fail on purpose. Unlike etcd, a
watch sends the last change only when several came before it was answered.
"""

import asyncio
import base64
import json
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any

from aiohttp import web

from shallotspindle_core.clock import Clock

CUTS = ("", "requests", "answers")


@dataclass
class Faults:
    """Failures that the store shows on purpose.

    :param down: refuse every call and end every watch.
    :param delay: time added to each call, in seconds.
    :param lose_answers: writes that take effect without an answer, counted down.
    :param rate: calls a second that are carried out, others get 429; 0 for no limit.
    :param cut: direction that nothing passes: ``requests`` never arrive, ``answers``
        and watched changes never leave; empty for none.
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

    def listen(self, listener: Callable[[], None]) -> None:
        """Set the function that is called after each change."""
        self.__dict__["_listener"] = listener


class RateLimit:
    """Counts calls of the last moments against a rate."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = 0.0
        self._updated = clock.boottime()
        self._rate = 0.0

    def take(self, rate: float) -> bool:
        """Return whether one more call is within the rate, with a burst of 1 s."""
        now = self._clock.boottime()
        if rate != self._rate:
            self._rate, self._tokens = rate, rate
        self._tokens = min(rate, self._tokens + (now - self._updated) * rate)
        self._updated = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(slots=True)
class Value:
    """A stored value; ``lease`` 0 means that it stays."""

    data: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclass(slots=True)
class StoreState:
    """All values and leases of the store.

    :param leases: expiry in boot-time seconds and granted time, by lease number.
    :param removed: revision of the last removal, by key.
    """

    clock: Clock
    revision: int = 1
    values: dict[bytes, Value] = field(default_factory=dict)
    leases: dict[int, tuple[float, int]] = field(default_factory=dict)
    removed: dict[bytes, int] = field(default_factory=dict)
    next_lease: int = 1

    def expire(self) -> None:
        """Remove lapsed leases and their values."""
        now = self.clock.boottime()
        lapsed = {n for n, (expiry, _) in self.leases.items() if expiry <= now}
        for number in lapsed:
            del self.leases[number]
        for key in [k for k, v in self.values.items() if v.lease in lapsed]:
            self.remove(key)

    def find_next_expiry(self) -> float | None:
        """Return the time until the next lease lapses, in seconds."""
        if not self.leases:
            return None
        first = min(expiry for expiry, _ in self.leases.values())
        return max(0.0, first - self.clock.boottime())

    def remove(self, key: bytes) -> None:
        """Remove a value at the next revision."""
        if self.values.pop(key, None) is not None:
            self.revision += 1
            self.removed[key] = self.revision

    def put(self, key: bytes, data: str, lease: int) -> None:
        """Write a value at the next revision."""
        self.revision += 1
        self.removed.pop(key, None)
        old = self.values.get(key)
        self.values[key] = Value(
            data=data,
            create_revision=old.create_revision if old else self.revision,
            mod_revision=self.revision,
            version=old.version + 1 if old else 1,
            lease=lease,
        )

    def find(self, start: bytes, end: bytes | None) -> list[tuple[bytes, Value]]:
        """Return the values of a key or of a range, ordered by key."""
        if end is None:
            value = self.values.get(start)
            return [(start, value)] if value else []
        found = (item for item in self.values.items() if start <= item[0] < end)
        return sorted(found, key=lambda item: item[0])


def decode(text: str) -> bytes:
    return base64.b64decode(text)


def describe(key: bytes, value: Value) -> dict[str, str]:
    """Return the key-value object of the gateway."""
    return {
        "key": base64.b64encode(key).decode(),
        "value": value.data,
        "create_revision": str(value.create_revision),
        "mod_revision": str(value.mod_revision),
        "version": str(value.version),
        "lease": str(value.lease),
    }


class StoreStandin:
    """HTTP handlers of the stand-in."""

    def __init__(self, clock: Clock) -> None:
        self.state = StoreState(clock)
        self.faults = Faults()
        self.faults.listen(self._notify)
        self.calls = {"read": 0, "write": 0, "watch": 0, "refused": 0}
        self._limit = RateLimit(clock)
        self._changed = asyncio.Event()

    def _notify(self) -> None:
        """Wake all that wait for a change of a value or of the faults."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def build_application(self) -> web.Application:
        application = web.Application(
            middlewares=[self._apply_faults], client_max_size=8_000_000
        )
        for path, handler in (
            ("/v3/kv/range", self.answer_range),
            ("/v3/kv/txn", self.answer_txn),
            ("/v3/kv/put", self.answer_put),
            ("/v3/lease/grant", self.answer_grant),
            ("/v3/lease/keepalive", self.answer_keepalive),
            ("/v3/watch", self.answer_watch),
            ("/faults", self.set_faults),
        ):
            application.router.add_post(path, handler)
        application.router.add_get("/calls", self.answer_calls)
        application.on_shutdown.append(self._end_watches)
        return application

    async def _end_watches(self, application: web.Application) -> None:
        self.faults.down = True

    @staticmethod
    def _abort(request: web.Request) -> web.Response:
        """Close the connection without an answer."""
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    async def _hold(self, direction: str) -> None:
        """Wait while a direction is cut."""
        while self.faults.cut == direction and not self.faults.down:
            await self._changed.wait()

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Any) -> Any:
        if not request.path.startswith("/v3/"):
            return await handler(request)
        if self.faults.cut == "requests":
            await self._hold("requests")
            return self._abort(request)
        if self.faults.down:
            return self._abort(request)
        if self.faults.rate and not self._limit.take(self.faults.rate):
            self.calls["refused"] += 1
            return web.json_response({"error": "too many requests"}, status=429)
        return await self._serve(request, handler)

    async def _serve(self, request: web.Request, handler: Any) -> Any:
        """Carry a call out; its answer may be late or lost."""
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        self.state.expire()
        response = await handler(request)
        if self.faults.cut == "answers":
            await self._hold("answers")
            return self._abort(request)
        if request.path == "/v3/kv/txn" and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return self._abort(request)
        return response

    def _answer(self, **fields: Any) -> web.Response:
        header = {"revision": str(self.state.revision)}
        return web.json_response({"header": header, **fields})

    async def answer_range(self, request: web.Request) -> web.Response:
        self.calls["read"] += 1
        body = await request.json()
        end = decode(body["range_end"]) if body.get("range_end") else None
        found = self.state.find(decode(body["key"]), end)
        items = [describe(key, value) for key, value in found]
        return self._answer(kvs=items, count=str(len(items)))

    async def answer_put(self, request: web.Request) -> web.Response:
        self.calls["write"] += 1
        body = await request.json()
        lease = int(body.get("lease", 0))
        self.state.put(decode(body["key"]), body.get("value", ""), lease)
        self._notify()
        return self._answer()

    async def answer_txn(self, request: web.Request) -> web.Response:
        self.calls["write"] += 1
        body = await request.json()
        succeeded = all(self._compare(item) for item in body.get("compare", []))
        for operation in body.get("success" if succeeded else "failure", []):
            if not self._carry_out(operation):
                return web.json_response({"error": "lease not found"}, status=404)
        self._notify()
        return self._answer(succeeded=succeeded)

    def _carry_out(self, operation: dict[str, Any]) -> bool:
        """Carry out one operation; return whether its lease exists."""
        delete = operation.get("requestDeleteRange")
        if delete:
            self.state.remove(decode(delete["key"]))
        put = operation.get("requestPut") or operation.get("request_put")
        if put:
            lease = int(put.get("lease", 0))
            if lease and lease not in self.state.leases:
                return False
            self.state.put(decode(put["key"]), put.get("value", ""), lease)
        return True

    def _compare(self, item: dict[str, str]) -> bool:
        value = self.state.values.get(decode(item["key"]))
        actual = value.mod_revision if value else 0
        return actual == int(item.get("mod_revision", 0))

    async def answer_grant(self, request: web.Request) -> web.Response:
        self.calls["write"] += 1
        seconds = int((await request.json())["TTL"])
        number = self.state.next_lease
        self.state.next_lease += 1
        expiry = self.state.clock.boottime() + seconds
        self.state.leases[number] = (expiry, seconds)
        return self._answer(ID=str(number), TTL=str(seconds))

    async def answer_keepalive(self, request: web.Request) -> web.Response:
        self.calls["write"] += 1
        number = int((await request.json())["ID"])
        _, seconds = self.state.leases.get(number, (0.0, 0))
        if seconds:
            expiry = self.state.clock.boottime() + seconds
            self.state.leases[number] = (expiry, seconds)
        return web.json_response({"result": {"ID": str(number), "TTL": str(seconds)}})

    async def answer_watch(self, request: web.Request) -> web.StreamResponse:
        self.calls["watch"] += 1
        created = (await request.json())["create_request"]
        key = decode(created["key"])
        revision = int(created.get("start_revision", 0))
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
        """Return the last change of a key from a revision on."""
        value = self.state.values.get(key)
        if value and value.mod_revision >= revision:
            return {"type": "PUT", "kv": describe(key, value)}
        removed = self.state.removed.get(key, 0)
        if removed < max(revision, 1):
            return None
        name = base64.b64encode(key).decode()
        return {"type": "DELETE", "kv": {"key": name, "mod_revision": str(removed)}}

    async def _wait_for_change(self, changed: asyncio.Event) -> None:
        """Wait for the next change or the next lapse of a lease."""
        try:
            async with asyncio.timeout(self.state.find_next_expiry()):
                await changed.wait()
        except TimeoutError:
            return

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set faults from a JSON object with the fields of ``Faults``."""
        given = await request.json()
        unknown = sorted(set(given) - {item.name for item in fields(Faults)})
        if unknown or given.get("cut", "") not in CUTS:
            return web.json_response({"error": f"unknown: {unknown}"}, status=400)
        for name, value in given.items():
            setattr(self.faults, name, value)
        return web.json_response({})

    async def answer_calls(self, request: web.Request) -> web.Response:
        return web.json_response(self.calls)
