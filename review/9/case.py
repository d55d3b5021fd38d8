"""A spoiled answer without a signature reaches the caller as a success.

In three spells of 5.5 seconds, three of ten upstreams spoil one in 55 of their answers:
the bytes that they hand out are a page with status 200 that has neither the signature
nor the id of the request. Callers send orders and reads at the rate of the site.
"""

import asyncio
import secrets
import time

import fleet2
from fleet2 import Fleet, Message, Record, Upstream

UPSTREAMS, SPOILING_UPSTREAMS = 10, 3
SPOILED_EVERY = 55
SPELLS = 3
CALM_SECONDS = 3.0
SPOILING_SECONDS = 5.5
PER_SECOND = 110.0
KEY = "key-of-museum"
SIGNATURE = "shallotspindle-response-signature"
WRONG_BYTES = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 24\r\n\r\n"
    b"<html>It works!</html>\r\n"
)


class Spoiler:
    """Spoils some answers of the upstreams that use it, for a while."""

    def __init__(self) -> None:
        self.begins_at = self.ends_at = float("inf")
        self._count = 0

    def begin(self) -> None:
        """Spoil answers from now on."""
        self.begins_at = time.monotonic()
        self.ends_at = self.begins_at + SPOILING_SECONDS

    async def serve(
        self, upstream: Upstream, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, and spoil its answer if it is one of those."""
        if not self.begins_at <= time.monotonic() < self.ends_at:
            await upstream.run(request, writer)
            return
        self._count += 1
        if self._count % SPOILED_EVERY:
            await upstream.run(request, writer)
            return
        upstream.note(request)
        await asyncio.sleep(upstream.work_seconds)
        upstream.record.say(f"{upstream.name} spoils its answer")
        writer.write(WRONG_BYTES)


async def call(fleet: Fleet, record: Record, number: int) -> bool:
    """Send a request; return whether its answer is a success without a signature."""
    gateway = fleet.gateways[number % len(fleet.gateways)]
    method, path = ("POST", "/orders/1") if number % 2 else ("GET", "/browse/1")
    request_id = secrets.token_hex(8)
    try:
        response = await fleet2.ask(
            gateway.front,
            method,
            path,
            request_id=request_id,
            key=KEY,
            body=b"order" if method == "POST" else b"",
        )
    except (OSError, EOFError, TimeoutError) as error:
        record.say(f"{request_id} ended: {error!r}")
        return False
    is_unsigned = 200 <= response.status < 300 and SIGNATURE not in response.headers
    record.say(
        f"{method} {request_id}: {response.status}, "
        f"{'no signature' if SIGNATURE not in response.headers else 'signed'}, "
        f"{response.body[:40]!r}"
    )
    return is_unsigned


async def play(fleet: Fleet, record: Record) -> int:
    """Play the case and return its exit code."""
    routes = {
        "orders": fleet2.build_route("/orders/", "non_idempotent"),
        "browse": fleet2.build_route("/browse/", "idempotent"),
    }
    tenant = {"apiKeys": [KEY], "priority": 1, "ratePerS": 0, "burst": 0}
    fleet.configure(routes, {"museum": tenant})
    spoiler = Spoiler()
    for number in range(UPSTREAMS):
        serve = spoiler.serve if number < SPOILING_UPSTREAMS else None
        await fleet.add_upstream(serve=serve)
    await fleet.start_gateways(2)
    started_at = time.monotonic()
    tasks: list[asyncio.Task[bool]] = []
    spell_seconds = CALM_SECONDS + SPOILING_SECONDS
    begun = 0
    while time.monotonic() < started_at + SPELLS * spell_seconds + CALM_SECONDS:
        spell_at = started_at + begun * spell_seconds + CALM_SECONDS
        if fleet2.HAS_TROUBLE and begun < SPELLS and time.monotonic() >= spell_at:
            record.say(f"{SPOILING_UPSTREAMS} upstreams begin to spoil answers")
            spoiler.begin()
            begun += 1
        tasks.append(asyncio.create_task(call(fleet, record, len(tasks))))
        due_at = started_at + len(tasks) / PER_SECOND
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
    unsigned = sum(await asyncio.gather(*tasks))
    record.say(f"{len(tasks)} requests, {unsigned} successes without a signature")
    return fleet2.BROKEN if unsigned else fleet2.HELD


if __name__ == "__main__":
    fleet2.play_case(__file__, play)
