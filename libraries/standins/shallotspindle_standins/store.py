"""Stand-in of the platform's store: the JSON gateway shape of etcd v3.

It keeps all values in memory. ``Faults`` makes it fail on purpose.
"""

import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from shallotspindle_core.clock import Clock

WATCH_POLL_SECONDS = 0.05


@dataclass(slots=True)
class Faults:
    """Failures that the store shows on purpose.

    :param down: refuse every call.
    :param delay: time added to each call, in seconds.
    :param lose_answers: writes that take effect without an answer, counted down.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0


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
    """

    clock: Clock
    revision: int = 1
    values: dict[bytes, Value] = field(default_factory=dict)
    leases: dict[int, tuple[float, int]] = field(default_factory=dict)
    next_lease: int = 1

    def expire(self) -> None:
        """Remove lapsed leases and their values."""
        now = self.clock.boottime()
        lapsed = {n for n, (expiry, _) in self.leases.items() if expiry <= now}
        for number in lapsed:
            del self.leases[number]
        for key in [k for k, v in self.values.items() if v.lease in lapsed]:
            del self.values[key]
            self.revision += 1

    def put(self, key: bytes, data: str, lease: int) -> None:
        """Write a value at the next revision."""
        self.revision += 1
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
        self.calls = {"read": 0, "write": 0, "watch": 0}

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
        return application

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Any) -> Any:
        if not request.path.startswith("/v3/"):
            return await handler(request)
        if self.faults.down:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        self.state.expire()
        response = await handler(request)
        if request.path == "/v3/kv/txn" and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            if request.transport is not None:
                request.transport.abort()
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
        return self._answer()

    async def answer_txn(self, request: web.Request) -> web.Response:
        self.calls["write"] += 1
        body = await request.json()
        succeeded = all(self._compare(item) for item in body.get("compare", []))
        for operation in body.get("success" if succeeded else "failure", []):
            put = operation.get("requestPut") or operation.get("request_put")
            if put:
                lease = int(put.get("lease", 0))
                if lease and lease not in self.state.leases:
                    return web.json_response({"error": "lease not found"}, status=404)
                self.state.put(decode(put["key"]), put.get("value", ""), lease)
        return self._answer(succeeded=succeeded)

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
            value = self.state.values.get(key)
            if value and value.mod_revision >= revision:
                revision = value.mod_revision + 1
                event = {"type": "PUT", "kv": describe(key, value)}
                line = json.dumps({"result": {"events": [event]}})
                await response.write(line.encode() + b"\n")
            await asyncio.sleep(WATCH_POLL_SECONDS)
        return response

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set faults from a JSON object with the fields of ``Faults``."""
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response({})

    async def answer_calls(self, request: web.Request) -> web.Response:
        return web.json_response(self.calls)
