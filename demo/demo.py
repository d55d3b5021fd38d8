"""Starts the stand-ins and four instances, sends requests and checks the guarantees."""

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
INSTANCE_COUNT = 4
READ_COUNT = 200
# More than the tokens of a team in the shares of all instances together.
MIN_CONSECUTIVE_ADMISSIONS = 100
MAX_WITHDRAWAL_WAIT_SECONDS = 20.0
SIZE = sizes.Size(teams=3, services=(("catalogue", 4), ("deposits", 2)))


class Report:
    """Counts response statuses and collects failed checks."""

    def __init__(self) -> None:
        self.status_counts: Counter[str] = Counter()
        self.failed_checks: list[str] = []

    def record_check(self, text: str, has_passed: bool) -> None:
        """Print and record the result of a check."""
        print(f"{'held  ' if has_passed else 'BROKEN'} {text}")
        if not has_passed:
            self.failed_checks.append(text)


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
        ) as response:
            self.report.status_counts[str(response.status)] += 1
            return response.status, await response.text()

    async def check_examples(self) -> None:
        """Check that the bundles and settings of all example deployments are valid."""
        for bundle in sorted(EXAMPLES.glob("*/bundle.json")):
            settings = bundle.with_name("entry.json")
            for arguments in (("bundle", "validate", bundle), ("check", settings)):
                process = await processes.start_module(
                    "shallotspindle_operations.main",
                    *map(str, arguments),
                    stdout=asyncio.subprocess.DEVNULL,
                )
                text = f"valid: {arguments[-1].relative_to(EXAMPLES)}"
                self.report.record_check(text, await process.wait() == 0)

    async def wait_for_tokens(self) -> None:
        """Wait until all teams have tokens, because new buckets start empty."""
        for key in ("key-team-1", "key-team-2", "key-team-3"):
            admitted = 0
            while admitted < MIN_CONSECUTIVE_ADMISSIONS:
                status, _ = await self.send(admitted, "GET", "/catalogue/1", key)
                admitted = admitted + 1 if status == 200 else 0
                await asyncio.sleep(0.0 if admitted else 0.2)
        self.report.status_counts.clear()

    async def check_reads(self) -> None:
        """Check that each catalogue read gets the response to its own request."""
        paths = [f"/catalogue/record-{n}" for n in range(READ_COUNT)]
        responses = await asyncio.gather(
            *(self.send(n, "GET", p, "key-team-1") for n, p in enumerate(paths))
        )
        all_match = all(
            status == 200 and f" {path} " in text
            for path, (status, text) in zip(paths, responses, strict=True)
        )
        self.report.record_check(
            f"{READ_COUNT} reads through {INSTANCE_COUNT} instances", all_match
        )

    async def check_single_execution(self) -> None:
        """Check that a deposit sent to two instances concurrently runs once."""
        fields = {"Idempotency-Key": "deposit-1", "X-Request-Marker": "deposit-1"}
        responses = await asyncio.gather(
            *(
                self.send(n, "POST", "/deposits/1", "key-team-2", **fields)
                for n in (0, 1)
            )
        )
        statuses = sorted(status for status, _ in responses)
        runs = await self.fleet.count_runs("deposit-1")
        text = f"one deposit at two instances: answers {statuses}, runs {runs}"
        self.report.record_check(text, runs == 1 and 200 in statuses)

    async def check_withdrawal(self) -> None:
        """Check that all instances reject a withdrawn key, also on open connections."""
        await self.fleet.withdraw("key-team-3", self.fleet.entries[0])
        started = time.monotonic()
        rejecting: set[int] = set()
        while (
            len(rejecting) < INSTANCE_COUNT
            and time.monotonic() - started < MAX_WITHDRAWAL_WAIT_SECONDS
        ):
            for n in range(INSTANCE_COUNT):
                status, _ = await self.send(n, "GET", "/catalogue/1", "key-team-3")
                rejecting |= {n} if status == 401 else set()
        seconds = time.monotonic() - started
        text = f"withdrawn key refused by {len(rejecting)} instances in {seconds:.1f} s"
        self.report.record_check(text, len(rejecting) == INSTANCE_COUNT and seconds < 5)

    async def check_gray_upstream(self) -> None:
        """Check that truncated responses do not reach callers as complete ones."""
        address = self.fleet.upstreams["catalogue-1"]
        behaviour_path = f"{address.split(':')[1]}/_behaviour"
        await self.fleet.call("POST", behaviour_path, {"truncate": True})
        valid = aborted = wrong = 0
        for n in range(READ_COUNT):
            path = f"/catalogue/gray-{n}"
            try:
                status, text = await self.send(n, "GET", path, "key-team-1")
            except aiohttp.ClientError:
                aborted += 1
                continue
            is_correct = status >= 400 or f" {path} " in text
            valid, wrong = valid + is_correct, wrong + (not is_correct)
        text = f"gray upstream: {valid} whole or refused, {aborted} cut, {wrong} wrong"
        self.report.record_check(text, wrong == 0)


async def run(folder: Path) -> int:
    report = Report()
    fleet = processes.Fleet(folder, SIZE)
    try:
        await fleet.start_standins(SIZE.upstreams, 2, 0.002)
        await fleet.publish()
        await fleet.start_entries(INSTANCE_COUNT, stop_wait=0.0)
        await fleet.wait_for_partitions(sizes.PARTITION_COUNT)
        async with aiohttp.ClientSession() as session:
            demo = Demo(fleet, session, report)
            await demo.check_examples()
            await demo.wait_for_tokens()
            await demo.check_reads()
            await demo.check_single_execution()
            await demo.check_withdrawal()
            await demo.check_gray_upstream()
    finally:
        await fleet.kill()
    print("answers by status:", dict(sorted(report.status_counts.items())))
    return 1 if report.failed_checks else 0


def main() -> int:
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        status = asyncio.run(run(Path(folder)))
    print(f"{time.monotonic() - started:.1f} s")
    return status


if __name__ == "__main__":
    sys.exit(main())
