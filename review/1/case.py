"""A slot grant for a killed process reaches the process that replaced it."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import common

from shallotspindle_gateway.election import rank_lenders
from shallotspindle_gateway.records import Member

SERVICES = ("ledger", "intake")
ROUTES = {
    "orders": {"prefix": "/orders/", "service": "ledger"},
    "scans": {"prefix": "/scans/", "service": "intake"},
}
# Requests that arrive at once: through other gateways, then through the one that is
# killed. Each service has 4 slots.
OTHERS = 12
BURST = 8
# Work and deadline are within those of order-booking in the site file of vds-poort.
WORK_SECONDS = 1.2
DEADLINE_MS = 5000


def build_configuration() -> dict:
    """Return the only configuration: each route goes to one service."""
    return {
        "routes": {
            name: {
                "host": common.HOST,
                "kind": "non_idempotent",
                "timeout": "5s",
                "targetLatency": "800ms",
                "maxAttempts": 3,
                **route,
            }
            for name, route in ROUTES.items()
        },
        "services": {name: {"healthPath": "/health"} for name in SERVICES},
        "tenants": {"butchers": {"apiKeys": ["key-1"], "ratePerS": 0, "burst": 0}},
    }


def choose_requester(fleet: common.Fleet) -> tuple[common.Gateway, common.Gateway]:
    """Return a gateway that lends no slots, and another one."""
    members = [Member(f"{g.ip}:7360", g.zone) for g in fleet.gateways]
    lenders = {rank_lenders(s, "zone-a", members)[0] for s in SERVICES}
    requester = next(g for g in fleet.gateways if f"{g.ip}:7360" not in lenders)
    return requester, next(g for g in fleet.gateways if g is not requester)


async def play(fleet: common.Fleet) -> int:
    """Play the case and return the exit status."""
    fleet.configure(1, build_configuration())
    for service in SERVICES:
        for number in (1, 2):
            await fleet.add_endpoint(
                f"{service}-{number}", service, "zone-a", work_seconds=WORK_SECONDS
            )
    if not await fleet.start_gateways(["zone-a"] * 4):
        return 2
    await asyncio.sleep(3.5)
    requester, other = choose_requester(fleet)

    def send(gateway: common.Gateway, path: str) -> asyncio.Task:
        return asyncio.create_task(
            fleet.client.send(gateway, path, "key-1", deadline_ms=DEADLINE_MS)
        )

    # More orders arrive than the ledger has slots; the last ones are those of the
    # gateway that is killed.
    answers = [send(other, f"/orders/{n}") for n in range(OTHERS)]
    await asyncio.sleep(0.1)
    answers += [send(requester, f"/orders/{n + 50}") for n in range(BURST)]
    await asyncio.sleep(0.2)
    if common.has_trouble():
        fleet.record.write("SIGKILL, then started again", gateway=requester.name)
        await requester.kill()
        await requester.start()
        if not await requester.wait_until_ready():
            return 2
    # The same happens at the intake.
    answers += [send(other, f"/scans/{n}") for n in range(OTHERS)]
    await asyncio.sleep(0.1)
    answers += [send(requester, f"/scans/{n + 50}") for n in range(BURST)]
    await asyncio.gather(*answers)
    wrong = [
        run
        for run in fleet.runs
        if not run.path.startswith(
            next(r["prefix"] for r in ROUTES.values() if r["service"] == run.service)
        )
    ]
    for run in wrong:
        fleet.record.write(
            "ROUTE broken", service=run.service, path=run.path, id=run.request_id
        )
    print(f"{len(fleet.runs)} runs, {len(wrong)} of them by the wrong service")
    return 1 if wrong else 0


common.run_case(play, Path(__file__).resolve().parent)
