"""A change of the configuration never reaches the machines that ask a watcher."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import common

REVOKE_SECONDS = 5.0
# The watcher reads all values every 10 s.
FULL_READ_SECONDS = 14.0
WATCH_OVER_SECONDS = 20.0
# Tenants with one key each, which is as long as a signed token: 0.9 MB of the 1 MB that
# a value may have.
TENANTS, KEY_CHARACTERS = 1_600, 500


def build_configuration(keys: list[str]) -> dict:
    """Return a configuration in which the first tenant has the given keys."""
    route = {
        "host": common.HOST,
        "prefix": "/orders/",
        "service": "ledger",
        "kind": "non_idempotent",
        "timeout": "1s",
        "targetLatency": "500ms",
        "maxAttempts": 2,
    }
    others = common.build_other_tenants(TENANTS, KEY_CHARACTERS)
    return {
        "routes": {"orders": route},
        "services": {"ledger": {"healthPath": "/health"}},
        "tenants": {"butchers": {"apiKeys": keys, "ratePerS": 0, "burst": 0}, **others},
    }


async def play(fleet: common.Fleet) -> int:
    """Play the case and return the exit status."""
    fleet.configure(1, build_configuration(["old-key", "new-key"]))
    size = len(fleet.store._items["op/config"].value)
    await fleet.add_endpoint("ledger-1", "ledger", "zone-a", slots=8)
    if not await fleet.start_gateways(["zone-a"] * 5):
        return 2
    await asyncio.sleep(4.0)
    # The operator takes the key away. The order of events that does harm is that the
    # write comes after the first page of a full read and before the page with it.
    fleet.store.first_page_of_full_read.clear()
    async with asyncio.timeout(FULL_READ_SECONDS):
        await fleet.store.first_page_of_full_read.wait()
    if not common.has_trouble():
        await asyncio.sleep(2.0)
    fleet.configure(2, build_configuration(["new-key"]))
    revoked_at = fleet.record.now()
    await asyncio.sleep(REVOKE_SECONDS + 0.2)
    late, sent = 0, 0
    while fleet.record.now() < revoked_at + WATCH_OVER_SECONDS:
        for gateway in fleet.gateways:
            answer = await fleet.client.send(gateway, "/orders/1", "old-key")
            sent += 1
            if any(run.request_id == answer.request_id for run in fleet.runs):
                late += 1
                fleet.record.write("CONFIG broken", id=answer.request_id)
        await asyncio.sleep(0.2)
    answers = [
        await fleet.client.send(gateway, "/orders/2", "new-key")
        for gateway in fleet.gateways
    ]
    print(f"{size} bytes; {sent} with the withdrawn key, {late} run too late")
    if any(answer.status != 200 for answer in answers):
        return 2
    return 1 if late else 0


common.run_case(play, Path(__file__).resolve().parent, common.PagedStore)
