"""Failures of a fleet of real processes on loopback.

Every wait is for a state; ``TEST_TIMEOUT_SECONDS`` only ends a run that hangs.
"""

import asyncio
import json
import signal
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import processes
import pytest
import pytest_asyncio
import sizes

from shallotspindle_membership import freshness

pytestmark = pytest.mark.asyncio(loop_scope="module")

TEST_TIMEOUT_SECONDS = 60
INSTANCES = 4
TAKEOVER_TIMEOUT_SECONDS = 150
MIN_PROVABLE_RENEWALS = 6
HANGING_REQUESTS = 8
# Half of an even share. With it, all of 120 keys miss a given instance only once in
# 10 million runs.
MIN_SPREAD_PARTITIONS = sizes.PARTITION_COUNT // INSTANCES // 2
SIZE = sizes.Size(teams=6, services=(("catalogue", 3), ("deposits", 2)))
KEY = "key-team-1"


class FleetClient:
    """Sends requests to the instances of a fleet as a caller."""

    def __init__(self, fleet: processes.Fleet, session: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self.session = session

    async def send(
        self, entry: processes.Entry, path: str, key: str = KEY, deposit: str = ""
    ) -> tuple[int, dict | str]:
        """Send a read request, or a deposit with an idempotency key."""
        headers = {"Authorization": f"Bearer {key}"}
        if deposit:
            headers |= {"Idempotency-Key": deposit, "X-Request-Marker": deposit}
        async with self.session.request(
            "POST" if deposit else "GET",
            f"http://127.0.0.1:{entry.callers}{path}",
            headers=headers,
            data=b"50 EUR" if deposit else None,
        ) as response:
            text = await response.text()
            is_problem = response.content_type == "application/problem+json"
            return response.status, json.loads(text) if is_problem else text

    async def send_until(
        self, entry: processes.Entry, status: int, path: str, key: str = KEY
    ) -> None:
        """Send a read request again until its response has a status."""
        while (await self.send(entry, path, key))[0] != status:
            await asyncio.sleep(0.05)

    async def retry_deposit_until_success(
        self, entry: processes.Entry, name: str
    ) -> int:
        """Retry a deposit until its response is 200; return the number of attempts."""
        attempts = 1
        while (await self.send(entry, "/deposits/1", deposit=name))[0] != 200:
            attempts += 1
            await asyncio.sleep(0.05)
        return attempts

    async def get_state(self, entry: processes.Entry) -> dict:
        return await self.fleet.call("GET", f"{entry.administration}/state")

    async def await_even_ownership(self) -> None:
        """Wait until all partitions are held and every instance holds many of them."""
        async with asyncio.timeout(TAKEOVER_TIMEOUT_SECONDS):
            while True:
                entries = self.fleet.entries
                states = [await self.get_state(entry) for entry in entries]
                counts = [state["partitions"] for state in states]
                if (
                    min(counts) >= MIN_SPREAD_PARTITIONS
                    and sum(counts) == sizes.PARTITION_COUNT
                ):
                    return
                await asyncio.sleep(0.05)

    async def await_peers(self, entry: processes.Entry, count: int) -> None:
        """Wait until an instance reports a number of usable peers."""
        while (await self.get_state(entry))["peers"] != count:
            await asyncio.sleep(0.05)


@asynccontextmanager
async def run_fleet(folder: Path, instances: int, **stop: float):
    """Yield a fleet that holds all partitions; kill its processes at the end."""
    fleet = processes.Fleet(folder, SIZE)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await fleet.start_standins(SIZE.upstreams, 2, 0.002)
            await fleet.publish()
            await fleet.start_entries(instances, **stop)
            await fleet.wait_for_partitions(sizes.PARTITION_COUNT)
        yield fleet
    finally:
        await fleet.kill()


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def client(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    async with (
        run_fleet(folder, INSTANCES, stop_wait=1.0) as fleet,
        aiohttp.ClientSession() as session,
    ):
        client = FleetClient(fleet, session)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            for number in range(1, SIZE.teams + 1):
                for entry in fleet.entries:
                    key = f"key-team-{number}"
                    await client.send_until(entry, 200, "/catalogue/1", key)
                    await client.await_peers(entry, INSTANCES - 1)
        yield client


class TestWithdrawal:
    async def test_withdrawn_key_is_refused_on_an_open_connection(self, client):
        # Guards against accepting a withdrawn key until its connection closes.
        first, last = client.fleet.entries[0], client.fleet.entries[-1]
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            keep_alive_client = FleetClient(client.fleet, session)
            assert (await keep_alive_client.send(last, "/catalogue/1", "key-team-2"))[
                0
            ] == 200
            await client.fleet.withdraw("key-team-2", first)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await keep_alive_client.send_until(
                    last, 401, "/catalogue/1", "key-team-2"
                )

    async def test_withdrawal_reaches_peers_while_the_store_is_unavailable(
        self, client
    ):
        # Guards against withdrawals that depend on the store.
        first, last = client.fleet.entries[0], client.fleet.entries[-1]
        await client.fleet.set_store_faults(down=True)
        try:
            await client.fleet.withdraw("key-team-3", first)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await client.send_until(last, 401, "/catalogue/1", "key-team-3")
            assert (await client.send(last, "/catalogue/1"))[0] == 200
        finally:
            await client.fleet.set_store_faults(down=False)

    async def test_paused_instance_does_not_accept_a_key_withdrawn_meanwhile(
        self, client
    ):
        # Guards against a paused instance that continues with its outdated keys.
        first, paused = client.fleet.entries[0], client.fleet.entries[-1]
        paused.process.send_signal(signal.SIGSTOP)
        try:
            pending_request = asyncio.create_task(
                client.send(paused, "/catalogue/1", "key-team-4")
            )
            await client.fleet.withdraw("key-team-4", first)
            # A request may be accepted after a pause shorter than the maximum fresh
            # age; a longer wait only makes the check stricter.
            await asyncio.sleep(freshness.MAX_FRESH_AGE_SECONDS + 1)
        finally:
            paused.process.send_signal(signal.SIGCONT)
        status, problem = await pending_request
        assert status in (401, 503)
        assert problem["outcome"] == "not-run"
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await client.await_peers(first, INSTANCES - 1)


class TestDeposits:
    async def test_deposit_sent_to_all_instances_at_once_runs_once(self, client):
        # Guards against a request that runs twice, such as a deposit charged twice.
        for number in range(20):
            name = f"at-once-{number}"
            responses = await asyncio.gather(
                *(
                    client.send(entry, "/deposits/1", deposit=name)
                    for entry in client.fleet.entries
                )
            )
            assert 200 in [status for status, _ in responses]
            assert await client.fleet.count_runs(name) == 1

    async def test_deposits_run_once_while_the_store_is_away(self, client):
        # Guards against deposits that fail or run twice while the store is unavailable.
        await client.fleet.set_store_faults(down=True)
        try:
            for number in range(20):
                name = f"store-away-{number}"
                entries = client.fleet.entries
                first = await client.send(
                    entries[number % INSTANCES], "/deposits/1", deposit=name
                )
                second = await client.send(
                    entries[(number + 1) % INSTANCES], "/deposits/1", deposit=name
                )
                assert first == (200, second[1])
                assert await client.fleet.count_runs(name) == 1
        finally:
            await client.fleet.set_store_faults(down=False)

    async def test_paused_holder_delays_deposits_and_runs_none_twice(self, client):
        # Guards against a second grant by another instance: a paused holder still owns
        # its partitions.
        await client.await_even_ownership()
        first, paused = client.fleet.entries[0], client.fleet.entries[1]
        paused.process.send_signal(signal.SIGSTOP)
        names = [f"paused-{number}" for number in range(120)]
        try:
            responses = await asyncio.gather(
                *(client.send(first, "/deposits/1", deposit=n) for n in names)
            )
        finally:
            paused.process.send_signal(signal.SIGCONT)
        refused = [problem for status, problem in responses if status != 200]
        assert refused
        assert all(problem["outcome"] == "unknown" for problem in refused)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            for name in names:
                await client.retry_deposit_until_success(first, name)
                assert await client.fleet.count_runs(name) == 1


class TestGracefulShutdown:
    async def test_rolling_restart_fails_no_request(self, client):
        # Guards against requests that fail because of graceful shutdowns.
        failures, is_running = [], True
        stopping = set()

        async def load(number: int) -> None:
            while is_running:
                entries = [e for e in client.fleet.entries if e.name not in stopping]
                entry = entries[number % len(entries)]
                if not await processes.ask_ready(entry.administration):
                    stopping.add(entry.name)
                    continue
                try:
                    response = await client.send(entry, "/catalogue/1")
                except aiohttp.ClientError as error:
                    response = (0, repr(error))
                if response[0] != 200:
                    failures.append((entry.name, *response))

        tasks = [asyncio.create_task(load(number)) for number in range(8)]
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            for entry in list(client.fleet.entries):
                await client.fleet.restart(entry)
                stopping.discard(entry.name)
                for other in client.fleet.entries:
                    await client.await_peers(other, INSTANCES - 1)
        is_running = False
        await asyncio.gather(*tasks)
        assert failures == []

    async def test_shutdown_with_hanging_upstreams_ends_in_time_with_responses(
        self, tmp_path
    ):
        # Guards against a process that waits for requests beyond its limit, and against
        # connections that it closes without a response.
        async with (
            run_fleet(tmp_path, 2, stop_wait=0.1, stop_limit=1.0) as fleet,
            aiohttp.ClientSession() as session,
        ):
            client, entry = FleetClient(fleet, session), fleet.entries[0]
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await client.send_until(entry, 200, "/catalogue/1")
                await fleet.set_behaviour(delay=3600)
                requests = [
                    asyncio.create_task(
                        client.send(entry, "/deposits/1", deposit=f"stop-{number}")
                    )
                    for number in range(HANGING_REQUESTS)
                ]
                while (await client.get_state(entry))["running"] < HANGING_REQUESTS:
                    await asyncio.sleep(0.05)
                entry.process.terminate()
                await entry.process.wait()
                statuses = {status for status, _ in await asyncio.gather(*requests)}
        assert statuses <= {503, 504}


class TestCrash:
    async def test_deposit_of_a_killed_instance_does_not_run_again(self, client):
        # Guards against a second run by the remaining instances.
        await client.await_even_ownership()
        first, killed = client.fleet.entries[0], client.fleet.entries[-1]
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            # By then, other instances have read an older renewal counter, which they
            # need to prove that the session expired.
            while (await client.get_state(killed))["renewals"] < MIN_PROVABLE_RENEWALS:
                await asyncio.sleep(0.2)
        names = [f"killed-{number}" for number in range(12)]
        for name in names:
            await client.retry_deposit_until_success(killed, name)
        killed.process.send_signal(signal.SIGKILL)
        await killed.process.wait()
        for name in names:
            status, problem = await client.send(first, "/deposits/1", deposit=name)
            assert status != 200
            assert problem["outcome"] in ("unknown", "completed")
            assert await client.fleet.count_runs(name) == 1

    async def test_partitions_of_a_killed_instance_are_taken_over(self, client):
        # Depends on the kill in the previous test. The instance's removal from the
        # platform's list proves that it ended.
        killed = client.fleet.entries[-1]
        remaining = client.fleet.entries[:-1]
        partition_counts = [
            (await client.get_state(entry))["partitions"] for entry in remaining
        ]
        assert sum(partition_counts) < sizes.PARTITION_COUNT
        await client.fleet.remove(killed)
        async with asyncio.timeout(TAKEOVER_TIMEOUT_SECONDS):
            await client.fleet.wait_for_partitions(sizes.PARTITION_COUNT)
