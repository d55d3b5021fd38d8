"""Starts the stand-ins and four instances, sends requests and checks the promises."""

import asyncio
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tools"))

import aiohttp
import processes
import sizes

EXAMPLES = Path(__file__).parents[1] / "examples"
INSTANCES = 4
READS = 200
# More than the shares of a team, over all instances.
ADMITTED_IN_A_ROW = 100
WAIT_SECONDS = 20.0
SIZE = sizes.Size(teams=3, services=(("catalogue", 4), ("deposits", 2)))


class Report:
    """Counts outcomes and failed checks."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.failed: list[str] = []

    def check(self, text: str, holds: bool) -> None:
        """Note whether a promise held."""
        print(f"{'held  ' if holds else 'BROKEN'} {text}")
        if not holds:
            self.failed.append(text)


class Demo:
    """The fleet, an HTTP client and the report."""

    def __init__(
        self, fleet: processes.Fleet, session: aiohttp.ClientSession, report: Report
    ) -> None:
        self.fleet = fleet
        self.session = session
        self.report = report

    async def send(
        self, entry: int, method: str, path: str, key: str, **fields: str
    ) -> tuple[int, str]:
        """Send a request to an instance; return the status and the body."""
        port = self.fleet.entries[entry % len(self.fleet.entries)].callers
        headers = {"Authorization": f"Bearer {key}", **fields}
        body = b"50 EUR" if method == "POST" else None
        async with self.session.request(
            method, f"http://127.0.0.1:{port}{path}", headers=headers, data=body
        ) as answer:
            self.report.outcomes[str(answer.status)] += 1
            return answer.status, await answer.text()

    async def show_examples(self) -> None:
        """The bundles and settings of both example deployments are valid."""
        for bundle in sorted(EXAMPLES.glob("*/bundle.json")):
            settings = bundle.with_name("entry.json")
            for arguments in (("bundle", "validate", bundle), ("check", settings)):
                process = await processes.start_module(
                    "shallotspindle_operations.main",
                    *map(str, arguments),
                    stdout=asyncio.subprocess.DEVNULL,
                )
                text = f"valid: {arguments[-1].relative_to(EXAMPLES)}"
                self.report.check(text, await process.wait() == 0)

    async def await_limits(self) -> None:
        """Wait until the shares of all teams have tokens: new buckets start empty."""
        for key in ("key-team-1", "key-team-2", "key-team-3"):
            admitted = 0
            while admitted < ADMITTED_IN_A_ROW:
                status, _ = await self.send(admitted, "GET", "/catalogue/1", key)
                admitted = admitted + 1 if status == 200 else 0
                await asyncio.sleep(0.0 if admitted else 0.2)
        self.report.outcomes.clear()

    async def show_reads(self) -> None:
        """Catalogue reads get their own answers."""
        paths = [f"/catalogue/record-{n}" for n in range(READS)]
        answers = await asyncio.gather(
            *(self.send(n, "GET", p, "key-team-1") for n, p in enumerate(paths))
        )
        own = all(
            status == 200 and f" {path} " in text
            for path, (status, text) in zip(paths, answers, strict=True)
        )
        self.report.check(f"{READS} reads through {INSTANCES} instances", own)

    async def show_booking(self) -> None:
        """A deposit that is sent to two instances at once runs once."""
        fields = {"Idempotency-Key": "deposit-1", "X-Request-Marker": "deposit-1"}
        answers = await asyncio.gather(
            *(
                self.send(n, "POST", "/deposits/1", "key-team-2", **fields)
                for n in (0, 1)
            )
        )
        statuses = sorted(status for status, _ in answers)
        runs = await self.fleet.count_runs("deposit-1")
        text = f"one deposit at two instances: answers {statuses}, runs {runs}"
        self.report.check(text, runs == 1 and 200 in statuses)

    async def show_withdrawal(self) -> None:
        """A withdrawn key stops working at every instance, on open connections."""
        await self.fleet.withdraw("key-team-3", self.fleet.entries[0])
        started = time.monotonic()
        refused: set[int] = set()
        while len(refused) < INSTANCES and time.monotonic() - started < WAIT_SECONDS:
            for n in range(INSTANCES):
                status, _ = await self.send(n, "GET", "/catalogue/1", "key-team-3")
                refused |= {n} if status == 401 else set()
        seconds = time.monotonic() - started
        text = f"withdrawn key refused by {len(refused)} instances in {seconds:.1f} s"
        self.report.check(text, len(refused) == INSTANCES and seconds < 5)

    async def show_gray_upstream(self) -> None:
        """Half answers of one upstream do not reach callers as whole ones."""
        address = self.fleet.upstreams["catalogue-1"]
        place = f"{address.split(':')[1]}/_behaviour"
        await self.fleet.call("POST", place, {"truncate": True})
        whole = cut = wrong = 0
        for n in range(READS):
            path = f"/catalogue/gray-{n}"
            try:
                status, text = await self.send(n, "GET", path, "key-team-1")
            except aiohttp.ClientError:
                cut += 1
                continue
            good = status >= 400 or f" {path} " in text
            whole, wrong = whole + good, wrong + (not good)
        text = f"gray upstream: {whole} whole or refused, {cut} cut, {wrong} wrong"
        self.report.check(text, wrong == 0)


async def run(folder: Path) -> int:
    report = Report()
    fleet = processes.Fleet(folder, SIZE)
    try:
        await fleet.start_standins(SIZE.upstreams, 2, 0.002)
        await fleet.publish()
        await fleet.start_entries(INSTANCES, stop_wait=0.0)
        await fleet.await_partitions(sizes.PARTITIONS)
        async with aiohttp.ClientSession() as session:
            demo = Demo(fleet, session, report)
            await demo.show_examples()
            await demo.await_limits()
            await demo.show_reads()
            await demo.show_booking()
            await demo.show_withdrawal()
            await demo.show_gray_upstream()
    finally:
        await fleet.kill()
    print("answers by status:", dict(sorted(report.outcomes.items())))
    return 1 if report.failed else 0


def main() -> int:
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        status = asyncio.run(run(Path(folder)))
    print(f"{time.monotonic() - started:.1f} s")
    return status


if __name__ == "__main__":
    sys.exit(main())
