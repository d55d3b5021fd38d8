import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest

from shallotspindle_standins import main
from shallotspindle_standins.upstreams import UpstreamStandin


@asynccontextmanager
async def run_upstream_standin(slots=2):
    """Yield a stand-in and a client session with its base URL."""
    standin = UpstreamStandin("u", slots)
    port = await main.serve_application(standin.build_application())
    async with aiohttp.ClientSession(f"http://127.0.0.1:{port}") as session:
        yield standin, session


async def configure(session, **fields):
    async with session.post("/_behaviour", json=fields) as response:
        assert response.status == 200


async def send(session, marker="m", body=b"", **headers):
    headers = {"X-Request-Marker": marker, **headers}
    async with session.post("/p", data=body, headers=headers) as response:
        text = await response.text()
        return response.status, text, response.headers


async def wait_for_open_requests(session, count):
    while True:
        async with session.get("/_runs") as response:
            if (await response.json())["in_work"] == count:
                return


class TestResponses:
    async def test_executions_are_counted_by_marker(self):
        # Guards against checks for at-most-once execution that miss a second execution.
        async with run_upstream_standin() as (standin, session):
            for marker in ("a", "b", "a"):
                status, text, headers = await send(session, marker, b"12345")
                assert (status, text) == (200, "u POST /p 5\n")
                assert headers["X-Request-Marker"] == marker
            assert standin.execution_counts == {"a": 2, "b": 1}

    async def test_load_counts_waiting_requests_against_the_slots(self):
        # Guards against a reported load that never exceeds 1 while requests wait.
        async with run_upstream_standin(slots=1) as (_, session):
            await configure(session, delay=3600)
            waiting = [asyncio.create_task(send(session)) for _ in range(3)]
            await wait_for_open_requests(session, 3)
            async with session.get("/_health") as response:
                assert response.headers["Upstream-Load"] == "3.000"
            for task in waiting:
                task.cancel()
            await wait_for_open_requests(session, 0)

    async def test_request_that_waits_past_its_timeout_does_not_run(self):
        # Guards against work for a caller that has timed out.
        async with run_upstream_standin(slots=1) as (standin, session):
            await configure(session, delay=3600)
            first = asyncio.create_task(send(session, "first"))
            await wait_for_open_requests(session, 1)
            status, _, headers = await send(
                session, "late", **{"Request-Timeout": "0.01"}
            )
            assert (status, headers["Request-Outcome"]) == (503, "not-run")
            assert "late" not in standin.execution_counts
            first.cancel()


class TestFaults:
    async def test_invalid_fields_are_rejected(self):
        # Guards against a scenario whose misspelt fault is never applied.
        async with run_upstream_standin() as (_, session):
            wrong = {"sed": True, "delay": -1}
            async with session.post("/_behaviour", json=wrong) as response:
                assert response.status == 422
                assert len(await response.json(content_type=None)) == 2

    async def test_truncated_response_is_an_error(self):
        # Guards against a truncated body that looks complete to the caller.
        async with run_upstream_standin() as (_, session):
            await configure(session, truncate=True)
            with pytest.raises(aiohttp.ClientError):
                await send(session)

    async def test_probes_succeed_while_requests_fail(self):
        # Guards against a fault that also fails the probes, which would reveal it.
        async with run_upstream_standin() as (_, session):
            await configure(session, probes_only=True)
            async with session.get("/_health") as response:
                assert response.status == 200
            assert (await send(session))[0] == 500

    async def test_flapping_alternates_between_success_and_failure(self):
        # Guards against periods of the wrong length.
        async with run_upstream_standin() as (_, session):
            await configure(session, flap_every=2)
            statuses = [(await send(session))[0] for _ in range(6)]
            assert statuses == [200, 200, 500, 500, 200, 200]

    async def test_shed_requests_do_not_run(self):
        # Guards against a request that is reported as not run although it ran.
        async with run_upstream_standin() as (standin, session):
            await configure(session, shed=True)
            status, _, headers = await send(session)
            assert (status, headers["Request-Outcome"]) == (503, "not-run")
            assert not standin.execution_counts

    async def test_draining_is_announced_while_requests_still_run(self):
        # Guards against a draining upstream that rejects requests.
        async with run_upstream_standin() as (_, session):
            await configure(session, draining=True)
            status, _, headers = await send(session)
            assert (status, headers["Upstream-Draining"]) == (200, "true")

    @pytest.mark.parametrize(
        "fault", [{"slow": 3600}, {"cold_requests": 1, "cold_delay": 3600}]
    )
    async def test_slow_and_cold_requests_occupy_their_slot(self, fault):
        # Guards against a fault that delays the response without occupying capacity.
        async with run_upstream_standin(slots=1) as (standin, session):
            await configure(session, **fault)
            slow = asyncio.create_task(send(session, "slow"))
            waiting = asyncio.create_task(send(session, "waiting"))
            await wait_for_open_requests(session, 2)
            assert len(standin.execution_counts) == 1
            slow.cancel()
            waiting.cancel()

    async def test_cold_start_ends(self):
        # Guards against a cold start that delays every request.
        async with run_upstream_standin() as (standin, session):
            await configure(session, cold_requests=1, cold_delay=3600)
            cold = asyncio.create_task(send(session, "cold"))
            while "cold" not in standin.execution_counts:
                await asyncio.sleep(0)
            assert (await send(session, "warm"))[0] == 200
            cold.cancel()

    async def test_late_response_does_not_occupy_a_slot(self):
        # Guards against a late response that takes up capacity like a slow request.
        async with run_upstream_standin(slots=1) as (standin, session):
            await configure(session, late=3600)
            late = asyncio.create_task(send(session, "late"))
            while "late" not in standin.execution_counts:
                await asyncio.sleep(0)
            await wait_for_open_requests(session, 0)
            assert not late.done()
            late.cancel()

    async def test_swapped_responses_carry_the_marker_of_another_request(self):
        # Guards against a fault that callers cannot detect by the marker.
        async with run_upstream_standin() as (_, session):
            await send(session, "first")
            await configure(session, swap_answers=True)
            assert (await send(session, "second"))[2]["X-Request-Marker"] == "first"

    async def test_crash_ends_other_requests_and_stays_down(self):
        # Guards against a crash that affects only the request that triggers it.
        async with run_upstream_standin() as (_, session):
            await configure(session, crash_marker="boom", stay_down=True, delay=3600)
            other = asyncio.create_task(send(session, "other"))
            await wait_for_open_requests(session, 1)
            for body in (b"x" * 65530 + b"boom", b"harmless"):
                with pytest.raises(aiohttp.ClientError):
                    await send(session, "crash", body)
            with pytest.raises(aiohttp.ClientError):
                await other
            await configure(session, down=False, delay=0)
            assert (await send(session))[0] == 200
