"""A spoiled answer without a signature reaches the caller as a success.

Two of four upstreams spoil one in thirty of their answers: the bytes that they hand out
are a page with status 200 that has neither the signature nor the id of the request.
Callers send orders and reads at a steady rate.
"""

import asyncio
import secrets

import fleet2
from fleet2 import Fleet, Message, Record, Upstream

SECONDS = 12.0
PER_SECOND = 50.0
SPOILED_SHARE = 2
SPOILED_EVERY = 30
KEY = "key-of-museum"
SIGNATURE = "shallotspindle-response-signature"
WRONG_BYTES = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 24\r\n\r\n"
    b"<html>It works!</html>\r\n"
)


def build_spoiler() -> fleet2.Serve:
    """Return how an upstream answers that spoils some of its answers."""
    count = 0

    async def serve(
        upstream: Upstream, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal count
        count += 1
        if not fleet2.HAS_TROUBLE or count % SPOILED_EVERY:
            await upstream.run(request, writer)
            return
        upstream.note(request)
        await asyncio.sleep(upstream.work_seconds)
        upstream.record.say(f"{upstream.name} spoils its answer")
        writer.write(WRONG_BYTES)

    return serve


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
    for number in range(4):
        serve = build_spoiler() if number < SPOILED_SHARE else None
        await fleet.add_upstream(serve=serve, slots=4)
    await fleet.start_gateways(2)
    tasks = []
    for number in range(int(SECONDS * PER_SECOND)):
        tasks.append(asyncio.create_task(call(fleet, record, number)))
        await asyncio.sleep(1 / PER_SECOND)
    unsigned = sum(await asyncio.gather(*tasks))
    record.say(f"{len(tasks)} requests, {unsigned} successes without a signature")
    return fleet2.BROKEN if unsigned else fleet2.HELD


if __name__ == "__main__":
    fleet2.play_case(__file__, play)
