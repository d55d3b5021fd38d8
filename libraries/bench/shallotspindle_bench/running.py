"""Runs scenarios against targets."""

import asyncio
import secrets
from dataclasses import dataclass

import aiohttp

from shallotspindle_bench import arrivals, comparison, faults, progress, samples
from shallotspindle_bench.client import Client
from shallotspindle_bench.comparison import Block, Comparison
from shallotspindle_bench.samples import Sample, Summary
from shallotspindle_bench.scenarios import Scenario
from shallotspindle_bench.targets import Target


@dataclass(frozen=True, slots=True)
class RunResult:
    """Results of a run.

    :param repeated: requests with an idempotency key that ran more than once; None
        when the upstreams could not be asked.
    """

    summary: Summary
    repeated: int | None


def name_run() -> str:
    """Return a text that no other run has."""
    return secrets.token_hex(4)


async def run_scenario(scenario: Scenario, target: Target, seed: int) -> RunResult:
    """Send the load of a scenario and set its faults."""
    schedule = arrivals.mark(arrivals.build_schedule(scenario, seed), name_run())
    found: list[Sample] = []
    with progress.show(len(schedule), scenario.name) as advance:

        def note(sample: Sample) -> None:
            found.append(sample)
            advance()

        async with Client(target) as client, asyncio.TaskGroup() as group:
            group.create_task(faults.apply_all(scenario.faults, target))
            group.create_task(client.send_all(schedule, 0.0, note))
    repeated = await read_repeated(schedule, target)
    return RunResult(samples.summarize(scenario, seed, found), repeated)


async def read_repeated(schedule: list[arrivals.Arrival], target: Target) -> int | None:
    try:
        return faults.count_repeated(schedule, await faults.read_runs(target))
    except aiohttp.ClientError:
        return None


async def warm_up(
    schedule: list[arrivals.Arrival], seconds: float, clients: dict[str, Client]
) -> None:
    """Send the first requests to each target without counting them."""
    first = [item for item in schedule if item.at < seconds]
    for client in clients.values():
        marked = arrivals.mark(first, name_run())
        await client.send_all(marked, 0.0, lambda sample: None)


async def run_comparison(
    scenario: Scenario, pair: tuple[Target, Target], seed: int
) -> Comparison:
    """Send the same blocks of requests to two targets in turn.

    Faults are not applied, since a fault would last over blocks of both targets.
    """
    schedule = arrivals.build_schedule(scenario, seed)
    names = (pair[0].name, pair[1].name)
    run = name_run()
    blocks: list[Block] = []
    async with Client(pair[0]) as first, Client(pair[1]) as second:
        clients = {names[0]: first, names[1]: second}
        await warm_up(schedule, scenario.warmup, clients)
        with progress.show(2 * len(schedule), scenario.name) as advance:
            split = comparison.split_blocks(schedule, scenario.block)
            for number, (start, items) in enumerate(split):
                for name in comparison.order_targets(number, names):
                    found: list[Sample] = []

                    def note(sample: Sample, found: list[Sample] = found) -> None:
                        found.append(sample)
                        advance()

                    marked = arrivals.mark(items, run)
                    await clients[name].send_all(marked, start, note)
                    blocks.append(comparison.measure_block(number, name, found))
    return comparison.compare(scenario.name, seed, names, blocks)
