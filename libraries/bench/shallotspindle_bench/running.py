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

    :param repeated_count: number of requests with an idempotency key that ran more than
        once; None when an upstream could not be reached.
    """

    summary: Summary
    repeated_count: int | None


def create_run_id() -> str:
    """Return a random identifier of a run."""
    return secrets.token_hex(4)


async def run_scenario(scenario: Scenario, target: Target, seed: int) -> RunResult:
    """Send the load of a scenario and inject its faults."""
    schedule = arrivals.add_run_id(
        arrivals.build_schedule(scenario, seed), create_run_id()
    )
    recorded: list[Sample] = []
    with progress.show(len(schedule), scenario.name) as advance:

        def record_sample(sample: Sample) -> None:
            recorded.append(sample)
            advance()

        async with Client(target) as client, asyncio.TaskGroup() as group:
            group.create_task(faults.apply_all(scenario.faults, target))
            group.create_task(client.send_all(schedule, 0.0, record_sample))
    repeated_count = await read_repeated_count(schedule, target)
    return RunResult(samples.summarize(scenario, seed, recorded), repeated_count)


async def read_repeated_count(
    schedule: list[arrivals.Arrival], target: Target
) -> int | None:
    try:
        return faults.count_repeated_requests(
            schedule, await faults.read_execution_counts(target)
        )
    except aiohttp.ClientError:
        return None


async def warm_up(
    schedule: list[arrivals.Arrival], duration: float, clients: dict[str, Client]
) -> None:
    """Send the first requests to each target without recording them.

    :param duration: length of the warm-up, in seconds.
    """
    warm_up_requests = [item for item in schedule if item.scheduled_at < duration]
    for client in clients.values():
        marked_schedule = arrivals.add_run_id(warm_up_requests, create_run_id())
        await client.send_all(marked_schedule, 0.0, lambda sample: None)


async def run_comparison(
    scenario: Scenario, target_pair: tuple[Target, Target], seed: int
) -> Comparison:
    """Send the same blocks of requests to two targets in alternating order.

    Faults are not injected, since a fault would affect blocks of both targets.
    """
    schedule = arrivals.build_schedule(scenario, seed)
    names = (target_pair[0].name, target_pair[1].name)
    run_id = create_run_id()
    blocks: list[Block] = []
    async with (
        Client(target_pair[0]) as first_client,
        Client(target_pair[1]) as second_client,
    ):
        clients = {names[0]: first_client, names[1]: second_client}
        await warm_up(schedule, scenario.warmup, clients)
        with progress.show(2 * len(schedule), scenario.name) as advance:
            schedule_blocks = comparison.split_blocks(schedule, scenario.block)
            for number, (start, items) in enumerate(schedule_blocks):
                for name in comparison.order_targets(number, names):
                    recorded: list[Sample] = []

                    def record_sample(
                        sample: Sample, recorded: list[Sample] = recorded
                    ) -> None:
                        recorded.append(sample)
                        advance()

                    marked_schedule = arrivals.add_run_id(items, run_id)
                    await clients[name].send_all(marked_schedule, start, record_sample)
                    blocks.append(comparison.summarize_block(number, name, recorded))
    return comparison.compare(scenario.name, seed, names, blocks)
