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

# Matches the log line of a daemon whose sockets are open.
LISTENING_PATTERN = re.compile(
    r"callers (\d+), administration (\d+), peers (\S+), incarnation (\w+)"
)
READY_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 20.0
SIGNER = "astrid"


@dataclass(slots=True)
class Entry:
    """A daemon and its ports, which its replacement keeps.

    :param callers: port for callers; 0 until the daemon has started.
    :param administration: port of the administration endpoints.
    :param peers: address for peers.
    :param log: last lines of the daemon's log.
    :param log_reader: task that reads the log.
    """

    name: str
    settings: Path
    process: asyncio.subprocess.Process
    callers: int = 0
    administration: int = 0
    peers: str = ""
    incarnation: str = ""
    log: list[str] = field(default_factory=list)
    log_reader: asyncio.Task | None = None

    @property
    def administration_address(self) -> str:
        """Address of the administration endpoints."""
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
    """Run a module as a process; if the start is cancelled, stop the process."""
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
    """Terminate a process; kill it if it does not exit in time."""
    if process.returncode is not None:
        return
    process.terminate()
    try:
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_SECONDS)
    except TimeoutError:
        process.kill()
        await process.wait()


class Fleet:
    """Stand-ins and daemons with the signing key of the bundles.

    :param folder: temporary folder for settings, bundles and the key.
    """

    def __init__(self, folder: Path, size: sizes.Size) -> None:
        self.folder = folder
        self.size = size
        self.entries: list[Entry] = []
        self.version = 0
        self.standins: asyncio.subprocess.Process | None = None
        self.upstreams: dict[str, str] = {}
        self.ports: dict[str, int] = {}
        self._fleet_secret = secrets.token_hex(32)
        self._signing_key = Ed25519PrivateKey.generate()

    async def start_standins(self, live: int, slots: int, service_time: float) -> None:
        """Start the stand-ins of the store, the instance list and some upstreams.

        :param live: number of upstreams that run; nothing listens on the addresses of
            the others.
        :param slots: number of requests that an upstream runs concurrently.
        :param service_time: processing time of a request, in seconds.
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
        """Publish the next version of the bundle.

        :returns: resources that the operators' command used.
        """
        self.version += 1
        bundle = sizes.build_bundle(self.size, self.upstreams, self.version)
        path = self.folder / "bundle.json"
        path.write_text(json.dumps(bundle))
        return await self.run_operator_command("publish", str(path))

    async def run_operator_command(self, *arguments: str) -> resource.struct_rusage:
        """Run the operators' command with the store and the signing key.

        :returns: resources that the command used.
        :raises RuntimeError: if the command fails.
        """
        key = self.folder / "signing-key"
        key.write_text(self._signing_key.private_bytes_raw().hex())
        store = f"http://127.0.0.1:{self.ports['store']}"
        command = (sys.executable, "-m", "shallotspindle_operations.main", *arguments)
        options = ("--store", store, "--signer", SIGNER, "--key", str(key))
        process = subprocess.Popen((*command, *options), stdout=subprocess.DEVNULL)
        _, status, resource_usage = await asyncio.to_thread(os.wait4, process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
        if process.returncode:
            raise RuntimeError(f"{arguments} exited with status {process.returncode}")
        return resource_usage

    async def withdraw(self, key: str, entry: Entry) -> None:
        """Withdraw a key through one instance; works without the store too."""
        digest = sizes.digest_key(key).hex()
        arguments = ("--reason", "lost", "--instance", entry.administration_address)
        await self.run_operator_command(
            "key", "withdraw", "--digest", digest, *arguments
        )

    async def restart(self, entry: Entry) -> None:
        """Shut a daemon down gracefully and start its replacement on the same ports."""
        entry.process.terminate()
        await entry.process.wait()
        await self.unregister(entry)
        await self.replace_entry(entry)

    async def remove(self, entry: Entry) -> None:
        """Remove an exited daemon from the platform's instance list and the fleet."""
        await self.unregister(entry)
        self.entries.remove(entry)

    async def kill(self) -> None:
        """Kill all processes at once."""
        running = [entry.process for entry in self.entries]
        if self.standins is not None:
            running.append(self.standins)
        for process in running:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in running))

    async def wait_for_partitions(self, count: int) -> None:
        """Wait until the daemons together own a number of partitions."""
        while True:
            state_paths = [f"{entry.administration}/state" for entry in self.entries]
            states = await asyncio.gather(*(self.call("GET", p) for p in state_paths))
            if sum(state["partitions"] for state in states) >= count:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def start_entry(
        self,
        number: int,
        stop_wait: float = 0.5,
        stop_limit: float = 60.0,
        memory_mb: float = 0.0,
        max_descriptors: int = 0,
    ) -> Entry:
        """Start a daemon and wait until it is ready.

        :param stop_wait: time from the start of a graceful shutdown until the listening
            socket is closed, in seconds.
        :param stop_limit: time after that until running requests are cancelled, in
            seconds.
        :param memory_mb: memory of the machine; 0 to state none.
        :param max_descriptors: descriptors of the machine; 0 to state none.
        """
        settings = {
            "name": f"entry-{number}",
            "failure_domain": sizes.FAILURE_DOMAINS[number % 3],
            "failure_domains": list(sizes.FAILURE_DOMAINS[:3]),
            "store_url": f"http://127.0.0.1:{self.ports['store']}",
            "instance_list_url": f"http://127.0.0.1:{self.ports['list']}/instances",
            "signers": {
                SIGNER: self._signing_key.public_key().public_bytes_raw().hex()
            },
            "fleet_secret": self._fleet_secret,
            "stop_wait_seconds": stop_wait,
            "stop_limit_seconds": stop_limit,
            "memory_mb": memory_mb,
            "max_descriptors": max_descriptors,
        }
        path = self.folder / f"entry-{number}.json"
        path.write_text(json.dumps(settings))
        entry = Entry(settings["name"], path, await self._spawn(path))
        self.entries.append(entry)
        await self._wait_until_ready(entry)
        return entry

    async def replace_entry(self, entry: Entry) -> None:
        """Start a replacement of a daemon on the same ports."""
        settings = json.loads(entry.settings.read_text())
        settings["callers"] = {"port": entry.callers}
        settings["administration"] = {"port": entry.administration}
        entry.settings.write_text(json.dumps(settings))
        entry.process = await self._spawn(entry.settings)
        await self._wait_until_ready(entry)

    async def start_entries(self, count: int, **stop_options: float) -> None:
        """Start daemons concurrently; the options are those of ``start_entry``."""
        first = len(self.entries)
        numbers = range(first, first + count)
        await asyncio.gather(*(self.start_entry(n, **stop_options) for n in numbers))

    async def _spawn(self, path: Path) -> asyncio.subprocess.Process:
        return await start_module(
            "shallotspindle_entry.main",
            f"--settings={path}",
            stderr=asyncio.subprocess.PIPE,
        )

    async def _wait_until_ready(self, entry: Entry) -> None:
        async for line in entry.process.stderr:
            entry.log.append(line.decode())
            match = LISTENING_PATTERN.search(entry.log[-1])
            if match:
                entry.callers, entry.administration = map(int, match.groups()[:2])
                entry.peers, entry.incarnation = match.groups()[2:]
                break
        else:
            raise RuntimeError(f"{entry.name} exited: {''.join(entry.log)}")
        await self._register(entry)
        # The log must be read all the time, because a full pipe would block the daemon.
        entry.log_reader = asyncio.create_task(self._read_log(entry))
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while not await ask_ready(entry.administration):
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _register(self, entry: Entry) -> None:
        """Add a daemon to the platform's instance list."""
        domain = json.loads(entry.settings.read_text())["failure_domain"]
        labels = {"incarnation": entry.incarnation, "failure_domain": domain}
        group = {"targets": [entry.peers], "labels": labels}
        await self.call("POST", f"{self.ports['list']}/instances", group)

    async def unregister(self, entry: Entry) -> None:
        """Remove a daemon from the platform's instance list."""
        path = f"{self.ports['list']}/instances/{entry.incarnation}"
        await self.call("DELETE", path)

    async def set_behaviour(self, **fields: object) -> None:
        """Change the behaviour of all upstreams."""
        for address in self.upstreams.values():
            await self.call("POST", f"{address.split(':')[1]}/_behaviour", fields)

    async def set_store_faults(self, **faults: object) -> None:
        await self.call("POST", f"{self.ports['store']}/faults", faults)

    async def count_runs(self, marker: str) -> int:
        """Return how often upstreams executed the requests with a marker."""
        runs = 0
        for address in self.upstreams.values():
            response = await self.call("GET", f"{address.split(':')[1]}/_runs")
            runs += response["runs"].get(marker, 0)
        return runs

    @staticmethod
    async def call(method: str, port_and_path: str, body: object = None) -> object:
        """Send a request to a control endpoint and return the JSON of the response.

        :param port_and_path: such as ``8080/state``.
        """
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method, f"http://127.0.0.1:{port_and_path}", json=body
            ) as response,
        ):
            response.raise_for_status()
            return await response.json(content_type=None)

    async def _read_log(self, entry: Entry) -> None:
        async for line in entry.process.stderr:
            entry.log.append(line.decode())
            del entry.log[:-100]

    def describe(self) -> dict:
        """Return the addresses in the format that shallotspindle-bench reads."""
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
    """Send a GET request with a key; return the status of the response."""
    headers = {"Authorization": f"Bearer {key}"}
    async with (
        aiohttp.ClientSession() as session,
        session.get(
            f"http://127.0.0.1:{port}/catalogue/1", headers=headers
        ) as response,
    ):
        return response.status
