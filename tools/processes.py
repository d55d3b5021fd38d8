"""Starts and stops the processes of a fleet on loopback."""

import asyncio
import json
import os
import re
import resource
import secrets
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import sizes
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

LISTENING = re.compile(
    r"callers (\d+), administration (\d+), peers (\S+), incarnation (\w+)"
)
READY_SECONDS = 60.0
POLL_SECONDS = 0.05
STOP_SECONDS = 20.0
SIGNER = "astrid"


@dataclass(slots=True)
class Entry:
    """One daemon and the ports that it keeps over a replacement."""

    name: str
    settings: Path
    process: asyncio.subprocess.Process
    callers: int = 0
    administration: int = 0
    peers: str = ""
    incarnation: str = ""
    log: list[str] = field(default_factory=list)
    reader: asyncio.Task | None = None

    @property
    def administrator(self) -> str:
        """Address of the administration socket."""
        return f"127.0.0.1:{self.administration}"

    def describe(self) -> dict:
        return {
            "name": self.name,
            "callers": f"127.0.0.1:{self.callers}",
            "administration": f"127.0.0.1:{self.administration}",
            "pid": self.process.pid,
        }


async def start_module(
    name: str, *arguments: str, **options: int
) -> asyncio.subprocess.Process:
    """Start a module; a cancelled start leaves no process behind."""
    command = (sys.executable, "-m", name, *arguments)
    start = asyncio.create_task(
        asyncio.create_subprocess_exec(
            *command, stdin=asyncio.subprocess.DEVNULL, **options
        )
    )
    try:
        return await asyncio.shield(start)
    except asyncio.CancelledError:
        await stop(await start)
        raise


async def stop(process: asyncio.subprocess.Process) -> None:
    """Ask a process to stop, and kill it when it does not."""
    if process.returncode is not None:
        return
    process.terminate()
    try:
        await asyncio.wait_for(process.wait(), STOP_SECONDS)
    except TimeoutError:
        process.kill()
        await process.wait()


class Fleet:
    """Stand-ins, daemons and the operators' key, in one temporary folder.

    :param folder: for settings, bundles and the key.
    """

    def __init__(self, folder: Path, size: sizes.Size) -> None:
        self.folder = folder
        self.size = size
        self.entries: list[Entry] = []
        self.version = 0
        self.standins: asyncio.subprocess.Process | None = None
        self.upstreams: dict[str, str] = {}
        self.ports: dict[str, int] = {}
        self._secret = secrets.token_hex(32)
        self._key = Ed25519PrivateKey.generate()

    async def start_standins(self, live: int, slots: int, service_time: float) -> None:
        """Start the store, the instance list and some of the upstreams.

        :param live: upstreams that run; the others of the bundle share their sockets.
        """
        self.standins = await start_module(
            "shallotspindle_standins.main",
            *sizes.list_upstreams(self.size)[:live],
            f"--slots={slots}",
            f"--service-time={service_time}",
            stdout=asyncio.subprocess.PIPE,
        )
        self.ports = json.loads(await self.standins.stdout.readline())
        self.upstreams = {
            name: f"127.0.0.1:{port}"
            for name, port in self.ports.items()
            if name not in ("store", "list")
        }

    async def publish(self) -> resource.struct_rusage:
        """Sign off the next version of the bundle.

        :returns: what the operators' command used.
        """
        self.version += 1
        bundle = sizes.build_bundle(self.size, self.upstreams, self.version)
        path = self.folder / "bundle.json"
        path.write_text(json.dumps(bundle))
        return await self.operate("publish", str(path))

    async def operate(self, *arguments: str) -> resource.struct_rusage:
        """Run the operators' command with the store and the signer's key.

        :returns: what the command used.
        :raises RuntimeError: if the command fails.
        """
        key = self.folder / "signing-key"
        key.write_text(self._key.private_bytes_raw().hex())
        store = f"http://127.0.0.1:{self.ports['store']}"
        command = (sys.executable, "-m", "shallotspindle_operations.main", *arguments)
        options = ("--store", store, "--signer", SIGNER, "--key", str(key))
        process = subprocess.Popen((*command, *options), stdout=subprocess.DEVNULL)
        _, status, used = await asyncio.to_thread(os.wait4, process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
        if process.returncode:
            raise RuntimeError(f"{arguments} ended with {process.returncode}")
        return used

    async def withdraw(self, key: str, entry: Entry) -> None:
        """Withdraw a key with the help of one instance, with or without the store."""
        digest = sizes.digest_key(key).hex()
        arguments = ("--reason", "lost", "--instance", entry.administrator)
        await self.operate("key", "withdraw", "--digest", digest, *arguments)

    async def restart(self, entry: Entry) -> None:
        """Stop a daemon as planned and start its replacement on the same ports."""
        entry.process.terminate()
        await entry.process.wait()
        await self.remove(entry)
        await self.replace_entry(entry)

    async def forget(self, entry: Entry) -> None:
        """Take an ended daemon out of the list and out of the fleet."""
        await self.remove(entry)
        self.entries.remove(entry)

    async def kill(self) -> None:
        """End all processes at once."""
        running = [entry.process for entry in self.entries]
        if self.standins is not None:
            running.append(self.standins)
        for process in running:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in running))

    async def await_partitions(self, count: int) -> None:
        """Wait until the daemons hold all partitions together."""
        while True:
            places = [f"{entry.administration}/state" for entry in self.entries]
            states = await asyncio.gather(*(self.call("GET", p) for p in places))
            if sum(state["partitions"] for state in states) >= count:
                return
            await asyncio.sleep(POLL_SECONDS)

    async def start_entry(
        self, number: int, stop_wait: float = 0.5, stop_limit: float = 60.0
    ) -> Entry:
        """Start a daemon and wait until it is ready.

        :param stop_wait: time at a planned stop until it closes its socket, in seconds.
        :param stop_limit: time after that until it ends requests, in seconds.
        """
        settings = {
            "name": f"entry-{number}",
            "failure_domain": sizes.DOMAINS[number % 3],
            "failure_domains": list(sizes.DOMAINS[:3]),
            "store_url": f"http://127.0.0.1:{self.ports['store']}",
            "instance_list_url": f"http://127.0.0.1:{self.ports['list']}/instances",
            "signers": {SIGNER: self._key.public_key().public_bytes_raw().hex()},
            "fleet_secret": self._secret,
            "stop_wait_seconds": stop_wait,
            "stop_limit_seconds": stop_limit,
        }
        path = self.folder / f"entry-{number}.json"
        path.write_text(json.dumps(settings))
        entry = Entry(settings["name"], path, await self._spawn(path))
        self.entries.append(entry)
        await self._await_ready(entry)
        return entry

    async def replace_entry(self, entry: Entry) -> None:
        """Start a daemon again on the ports that it had."""
        settings = json.loads(entry.settings.read_text())
        settings["callers"] = {"port": entry.callers}
        settings["administration"] = {"port": entry.administration}
        entry.settings.write_text(json.dumps(settings))
        entry.process = await self._spawn(entry.settings)
        await self._await_ready(entry)

    async def start_entries(self, count: int, **stop: float) -> None:
        """Start daemons side by side; see ``start_entry``."""
        first = len(self.entries)
        numbers = range(first, first + count)
        await asyncio.gather(*(self.start_entry(n, **stop) for n in numbers))

    async def _spawn(self, path: Path) -> asyncio.subprocess.Process:
        return await start_module(
            "shallotspindle_entry.main",
            f"--settings={path}",
            stderr=asyncio.subprocess.PIPE,
        )

    async def _await_ready(self, entry: Entry) -> None:
        async for line in entry.process.stderr:
            entry.log.append(line.decode())
            found = LISTENING.search(entry.log[-1])
            if found:
                entry.callers, entry.administration = map(int, found.groups()[:2])
                entry.peers, entry.incarnation = found.groups()[2:]
                break
        else:
            raise RuntimeError(f"{entry.name} ended: {''.join(entry.log)}")
        await self._list(entry)
        # An undrained pipe would block the daemon once it is full.
        entry.reader = asyncio.create_task(self._drain(entry))
        async with asyncio.timeout(READY_SECONDS):
            while not await ask_ready(entry.administration):
                await asyncio.sleep(POLL_SECONDS)

    async def _list(self, entry: Entry) -> None:
        """Put a daemon into the platform's list of instances."""
        domain = json.loads(entry.settings.read_text())["failure_domain"]
        labels = {"incarnation": entry.incarnation, "failure_domain": domain}
        group = {"targets": [entry.peers], "labels": labels}
        await self.call("POST", f"{self.ports['list']}/instances", group)

    async def remove(self, entry: Entry) -> None:
        """Take a daemon out of the platform's list of instances."""
        path = f"{self.ports['list']}/instances/{entry.incarnation}"
        await self.call("DELETE", path)

    async def set_behaviour(self, **fields: object) -> None:
        """Change how all upstreams behave."""
        for address in self.upstreams.values():
            await self.call("POST", f"{address.split(':')[1]}/_behaviour", fields)

    async def set_store_faults(self, **faults: object) -> None:
        await self.call("POST", f"{self.ports['store']}/faults", faults)

    async def count_runs(self, marker: str) -> int:
        """Return how often upstreams ran the requests with a marker."""
        runs = 0
        for address in self.upstreams.values():
            answer = await self.call("GET", f"{address.split(':')[1]}/_runs")
            runs += answer["runs"].get(marker, 0)
        return runs

    @staticmethod
    async def call(method: str, place: str, body: object = None) -> object:
        """Call a control path; the place is a port and a path."""
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, f"http://127.0.0.1:{place}", json=body) as answer,
        ):
            answer.raise_for_status()
            return await answer.json(content_type=None)

    async def _drain(self, entry: Entry) -> None:
        async for line in entry.process.stderr:
            entry.log.append(line.decode())
            del entry.log[:-100]

    def describe(self) -> dict:
        """Return the addresses as shallotspindle-bench reads them."""
        return {
            "name": "fleet",
            "instances": [entry.describe() for entry in self.entries],
            "upstreams": self.upstreams,
            "store": f"127.0.0.1:{self.ports['store']}",
        }

    async def stop(self) -> None:
        """Stop all processes, the daemons first."""
        await asyncio.gather(*(stop(entry.process) for entry in self.entries))
        if self.standins is not None:
            await stop(self.standins)


async def ask_ready(port: int) -> bool:
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://127.0.0.1:{port}/ready") as response,
        ):
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def ask_status(port: int, key: str) -> int:
    """Return the status of a read with a key."""
    headers = {"Authorization": f"Bearer {key}"}
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://127.0.0.1:{port}/catalogue/1", headers=headers) as answer,
    ):
        return answer.status
