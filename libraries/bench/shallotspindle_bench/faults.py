"""Injects the faults of a scenario, and reads the execution counts of requests."""

import asyncio
import os
import signal
from collections import Counter
from collections.abc import Iterable

import aiohttp
from expression import Error, Ok, Result

from shallotspindle_bench.arrivals import Arrival
from shallotspindle_bench.scenarios import Fault
from shallotspindle_bench.targets import Target
from shallotspindle_core.failures import Failure


def build_fault_url(fault: Fault, target: Target) -> str:
    """Return the URL of the stand-in that a fault is posted to."""
    if fault.target == "store":
        return f"http://{target.store}/faults"
    return f"http://{target.upstreams[fault.upstream]}/_behaviour"


def describe_missing(fault: Fault, target: Target) -> str:
    """Return what a fault refers to and the target lacks; empty if nothing."""
    match fault.target:
        case "upstream" if fault.upstream not in target.upstreams:
            return f"upstream {fault.upstream}"
        case "store" if not target.store:
            return "the store"
        case "signal" if fault.instance >= len(target.instances):
            return f"instance {fault.instance}"
        case "signal" if not target.instances[fault.instance].pid:
            return f"the process of instance {fault.instance}"
    return ""


def check(faults: Iterable[Fault], target: Target) -> Result[None, tuple[Failure, ...]]:
    """Return a failure for each fault that cannot be injected into a target."""
    missing = tuple(
        Failure(
            target.name,
            "a fault refers to something that the target lacks",
            description,
        )
        for description in (describe_missing(fault, target) for fault in faults)
        if description
    )
    return Error(missing) if missing else Ok(None)


async def apply(fault: Fault, target: Target, session: aiohttp.ClientSession) -> None:
    """Inject one fault.

    :raises aiohttp.ClientError: when the stand-in is unreachable or rejects the fields.
    """
    if fault.target == "signal":
        os.kill(target.instances[fault.instance].pid, signal.SIGTERM)
        return
    async with session.post(
        build_fault_url(fault, target), json=fault.fields
    ) as response:
        response.raise_for_status()


async def apply_all(faults: Iterable[Fault], target: Target) -> None:
    """Inject each fault at its scheduled time, measured from the call."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    async with aiohttp.ClientSession() as session:
        for fault in sorted(faults, key=lambda item: item.at):
            await asyncio.sleep(max(0.0, start + fault.at - loop.time()))
            await apply(fault, target, session)


async def read_execution_counts(target: Target) -> Counter[str]:
    """Return how often each request ran on all upstreams, by marker.

    :raises aiohttp.ClientError: when an upstream does not respond.
    """
    execution_counts: Counter[str] = Counter()
    async with aiohttp.ClientSession() as session:
        for address in target.upstreams.values():
            async with session.get(f"http://{address}/_runs") as response:
                execution_counts.update((await response.json())["runs"])
    return execution_counts


def count_repeated_requests(
    schedule: Iterable[Arrival], execution_counts: Counter[str]
) -> int:
    """Return how many requests with an idempotency key ran more than once."""
    return sum(
        item.idempotency_key != "" and execution_counts[item.marker] > 1
        for item in schedule
    )
