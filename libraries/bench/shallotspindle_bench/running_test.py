from collections import Counter
from contextlib import asynccontextmanager

from aiohttp import web
from aiohttp.test_utils import TestServer

from shallotspindle_bench import running, targets
from shallotspindle_bench.scenarios import Kind, Scenario, Team
from shallotspindle_bench.targets import Instance, Target

MARKER = "X-Request-Marker"
SCENARIO = Scenario(
    name="short",
    duration=0.2,
    block=0.1,
    teams=(Team(name="a", key="k", send_rate=200),),
    kinds=(Kind(name="order", method="POST", path="/o", idempotency_key=True),),
)


@asynccontextmanager
async def run_target(repeat=1):
    """Yield a target whose upstream reports each run ``repeat`` times."""
    runs = Counter()

    async def answer(request):
        marker = request.headers[MARKER]
        runs[marker] += repeat
        return web.Response(headers={MARKER: marker})

    async def answer_runs(request):
        return web.json_response({"runs": runs})

    application = web.Application()
    application.router.add_get("/_runs", answer_runs)
    application.router.add_post("/{path:.*}", answer)
    async with TestServer(application) as server:
        address = f"127.0.0.1:{server.port}"
        instances = (Instance(name="i", callers=address),)
        target = Target(instances=instances, upstreams={"u": address})
        yield target, runs


class TestRun:
    async def test_two_runs_of_a_seed_repeat_no_request(self):
        # Guards against counting the requests of an earlier run as second runs.
        async with run_target() as (target, runs):
            found = [await running.run_scenario(SCENARIO, target, 1) for _ in range(2)]
        assert [item.repeated for item in found] == [0, 0]
        assert sum(item.summary.total.outcomes["complete"] for item in found) == len(
            runs
        )

    async def test_requests_that_ran_twice_are_counted(self):
        async with run_target(repeat=2) as (target, runs):
            found = await running.run_scenario(SCENARIO, target, 1)
        assert found.repeated == len(runs) > 0

    async def test_unreachable_upstreams_keep_the_results(self):
        # Guards against a run whose results are lost with its last upstream.
        async with run_target() as (target, runs):
            lost = target.model_copy(update={"upstreams": {"u": "127.0.0.1:0"}})
            found = await running.run_scenario(SCENARIO, lost, 1)
        assert found.repeated is None
        assert found.summary.total.sent == len(runs)


class TestComparison:
    async def test_both_targets_get_the_same_requests(self):
        async with run_target() as (target, _):
            pair = (targets.build_direct(target), target)
            found = await running.run_comparison(SCENARIO, pair, 1)
        sent = {name: [] for name in ("direct", "fleet")}
        for block in found.blocks:
            sent[block.target].append(block.sent)
        assert sent["direct"] == sent["fleet"]
        assert found.incomplete == 0
