from collections import Counter
from contextlib import asynccontextmanager

from aiohttp import web
from aiohttp.test_utils import TestServer

from shallotspindle_bench import running, targets
from shallotspindle_bench.scenarios import RequestKind, Scenario, Team
from shallotspindle_bench.targets import Instance, Target

MARKER = "X-Request-Marker"
SCENARIO = Scenario(
    name="short",
    duration=0.2,
    block=0.1,
    teams=(Team(name="a", key="k", send_rate=200),),
    kinds=(RequestKind(name="order", method="POST", path="/o", idempotency_key=True),),
)


@asynccontextmanager
async def serve_target(execution_count=1):
    """Yield a target whose upstream counts each request ``execution_count`` times."""
    execution_counts = Counter()

    async def handle_request(request):
        marker = request.headers[MARKER]
        execution_counts[marker] += execution_count
        return web.Response(headers={MARKER: marker})

    async def handle_execution_counts(request):
        return web.json_response({"runs": execution_counts})

    application = web.Application()
    application.router.add_get("/_runs", handle_execution_counts)
    application.router.add_post("/{path:.*}", handle_request)
    async with TestServer(application) as server:
        address = f"127.0.0.1:{server.port}"
        instances = (Instance(name="i", callers=address),)
        target = Target(instances=instances, upstreams={"u": address})
        yield target, execution_counts


class TestRun:
    async def test_two_runs_with_a_seed_repeat_no_request(self):
        # Guards against requests of an earlier run that count as repeated.
        async with serve_target() as (target, execution_counts):
            run_results = [
                await running.run_scenario(SCENARIO, target, 1) for _ in range(2)
            ]
        assert [item.repeated_count for item in run_results] == [0, 0]
        assert sum(
            item.summary.total.outcomes["complete"] for item in run_results
        ) == len(execution_counts)

    async def test_requests_that_ran_twice_are_counted(self):
        # Guards against repeated executions that the report does not show.
        async with serve_target(execution_count=2) as (target, execution_counts):
            run_result = await running.run_scenario(SCENARIO, target, 1)
        assert run_result.repeated_count == len(execution_counts) > 0

    async def test_results_are_kept_when_upstreams_are_unreachable(self):
        # Guards against losing the results because the execution counts are missing.
        async with serve_target() as (target, execution_counts):
            unreachable = target.model_copy(update={"upstreams": {"u": "127.0.0.1:0"}})
            run_result = await running.run_scenario(SCENARIO, unreachable, 1)
        assert run_result.repeated_count is None
        assert run_result.summary.total.sent == len(execution_counts)


class TestComparison:
    async def test_both_targets_get_the_same_requests(self):
        # Guards against a comparison of targets under different load.
        async with serve_target() as (target, _):
            target_pair = (targets.build_direct(target), target)
            result = await running.run_comparison(SCENARIO, target_pair, 1)
        sent_counts = {name: [] for name in ("direct", "fleet")}
        for block in result.blocks:
            sent_counts[block.target].append(block.sent)
        assert sent_counts["direct"] == sent_counts["fleet"]
        assert result.incomplete == 0
