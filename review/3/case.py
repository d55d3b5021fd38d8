"""A withdrawn key works again for a moment when a machine reaches the store again."""

import asyncio
import contextlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import common

CUT_SECONDS = 5.5
REVOKE_SECONDS = 5.0
# The traffic of the site, 113 requests a second, with the largest burst, 1.7 times.
REQUESTS_PER_S = 190
# The configuration has 0.9 MB of the 1 MB that a value may have.
TENANTS, KEY_CHARACTERS = 1_600, 500
PLAY_SECONDS = 7.0


class StoreLink:
    """The machine's path to the store; a partition holds back all bytes silently."""

    def __init__(self, target: str) -> None:
        self._host, port = target.split(":")
        self._port = int(port)
        self._open = asyncio.Event()
        self._open.set()
        self._connections: list[asyncio.StreamWriter] = []

    async def start(self) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def cut(self) -> None:
        """Begin the partition."""
        self._open.clear()

    def heal(self) -> None:
        """End it; bytes of connections that their sender gave up are lost."""
        self._open.set()

    async def _serve(self, reader, writer) -> None:
        await self._open.wait()
        with contextlib.suppress(OSError):
            near = await asyncio.open_connection(self._host, self._port)
            await asyncio.gather(
                self._copy(reader, near[1]), self._copy(near[0], writer)
            )

    async def _copy(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        writer.close()


def build_configuration(keys: list[str]) -> dict:
    """Return a configuration in which the tenant has the given keys."""
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
        "tenants": {
            "butchers": {"apiKeys": keys, "ratePerS": 0, "burst": 0},
            **common.build_other_tenants(TENANTS, KEY_CHARACTERS),
        },
    }


async def press(fleet: common.Fleet, until: float) -> None:
    """Send requests with the withdrawn key at random times, each once."""
    requests = []
    while fleet.record.now() < until:
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        request = fleet.client.send(
            fleet.gateways[0], "/orders/1", "old-key", deadline_ms=1000
        )
        requests.append(asyncio.create_task(request))
    await asyncio.gather(*requests)


async def play(fleet: common.Fleet) -> int:
    """Play the case and return the exit status."""
    fleet.configure(1, build_configuration(["old-key", "new-key"]))
    await fleet.add_endpoint("ledger-1", "ledger", "zone-a", slots=8)
    link = StoreLink(fleet.store_address)
    if not await fleet.start_gateways(["zone-a"], await link.start()):
        return 2
    before = await fleet.client.send(fleet.gateways[0], "/orders/0", "old-key")
    if before.status != 200:
        return 2
    if common.has_trouble():
        link.cut()
        fleet.record.write("the machine is cut off")
    await asyncio.sleep(0.2)
    fleet.configure(2, build_configuration(["new-key"]))
    revoked_at = fleet.record.now()
    until = revoked_at + PLAY_SECONDS
    await asyncio.sleep(REVOKE_SECONDS + 0.1)
    pressing = asyncio.create_task(press(fleet, until))
    await asyncio.sleep(CUT_SECONDS - 0.2 - REVOKE_SECONDS - 0.1)
    link.heal()
    fleet.record.write("the cut has healed")
    await pressing
    after = await fleet.client.send(fleet.gateways[0], "/orders/2", "new-key")
    sent = {}
    for line in (fleet.folder / "record.txt").read_text().splitlines():
        event = common.json.loads(line)
        if event["event"] == "sent" and event["key"] == "old-key":
            sent[event["id"]] = event["t"]
    late = [
        run
        for run in fleet.runs
        if sent.get(run.request_id, 0) > revoked_at + REVOKE_SECONDS
    ]
    for run in late:
        fleet.record.write("CONFIG broken", id=run.request_id, run_at=run.at)
    print(f"{len(sent)} requests with the withdrawn key, {len(late)} run too late")
    if after.status != 200:
        return 2
    return 1 if late else 0


common.run_case(play, Path(__file__).resolve().parent, common.PagedStore)
