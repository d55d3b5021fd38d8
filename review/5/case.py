"""A request that crashes endpoints is let through again after each rolling restart."""

import asyncio
import itertools
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import common

STABLE_SECONDS = 3.0
MAX_RETRIES = 3
ROLLS = 2
ROLL_GAP_SECONDS = 2.0
RETRIES_PER_PHASE = 7
RETRY_INTERVAL_SECONDS = 1.2
POISON_PATH = "/orders/poison"


def build_configuration() -> dict:
    """Return the only configuration."""
    route = {
        "host": common.HOST,
        "prefix": "/orders/",
        "service": "ledger",
        "kind": "non_idempotent",
        "timeout": "1s",
        "targetLatency": "500ms",
        "maxAttempts": 2,
    }
    return {
        "routes": {"orders": route},
        "services": {"ledger": {"healthPath": "/health"}},
        "tenants": {"butchers": {"apiKeys": ["key-1"], "ratePerS": 0, "burst": 0}},
    }


async def send_orders(fleet: common.Fleet) -> None:
    """Send ordinary orders to all gateways in turn."""
    for number in itertools.count():
        gateway = fleet.gateways[number % len(fleet.gateways)]
        await fleet.client.send(gateway, f"/orders/{number}", "key-1")
        await asyncio.sleep(0.15)


async def send_poison(fleet: common.Fleet) -> None:
    """Send the request again and again, at all gateways in turn."""
    for number in range(RETRIES_PER_PHASE):
        gateway = fleet.gateways[number % len(fleet.gateways)]
        await fleet.client.send(gateway, POISON_PATH, "key-1")
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)


async def roll(fleet: common.Fleet) -> bool:
    """Stop and start all gateways in turn, as planned work does."""

    async def restart(gateway: common.Gateway) -> bool:
        fleet.record.write("SIGTERM", gateway=gateway.name)
        await gateway.kill(signal.SIGTERM)
        fleet.record.write("started again", gateway=gateway.name)
        await gateway.start()
        return await gateway.wait_until_ready()

    restarts = []
    for gateway in fleet.gateways:
        restarts.append(asyncio.create_task(restart(gateway)))
        await asyncio.sleep(ROLL_GAP_SECONDS)
    return all(await asyncio.gather(*restarts))


async def play(fleet: common.Fleet) -> int:
    """Play the case and return the exit status."""
    fleet.configure(1, build_configuration())
    for number in range(5):
        await fleet.add_endpoint(
            f"ledger-{number}", "ledger", "zone-a", poison="poison"
        )
    if not await fleet.start_gateways(["zone-a"] * 3):
        return 2
    await asyncio.sleep(STABLE_SECONDS + 0.5)
    orders = asyncio.create_task(send_orders(fleet))
    await send_poison(fleet)
    for _ in range(ROLLS if common.has_trouble() else 0):
        if not await roll(fleet):
            return 2
        # The machines are in touch again.
        await asyncio.sleep(STABLE_SECONDS + 0.5)
        await send_poison(fleet)
    orders.cancel()
    poison = [run for run in fleet.runs if run.path == POISON_PATH]
    if len(poison) < 3:
        return 2
    counted_from = poison[2].at + STABLE_SECONDS
    late = {run.request_id for run in poison if run.at > counted_from}
    for request_id in sorted(late):
        fleet.record.write("retry reached an endpoint", id=request_id)
    crashes = sum(endpoint.crashes for endpoint in fleet.endpoints)
    print(f"{crashes} crashes; {len(late)} retries ran after the third and stable")
    return 1 if len(late) > MAX_RETRIES else 0


common.run_case(play, Path(__file__).resolve().parent)
