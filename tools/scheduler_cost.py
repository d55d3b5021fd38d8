"""Measures the cost of a slot request by the number of upstreams of the lender.

    python tools/scheduler_cost.py

Prints the processor time of one slot request including the return of its slot, with
some of the slots in use and with a full queue.
"""

import itertools
import time
from random import Random

from shallotspindle_bench.lending_simulation import (
    DOMAIN,
    SERVICE,
    build_default_scheduler,
    build_known_upstream,
)
from shallotspindle_core.identifiers import UpstreamName
from shallotspindle_lending.records import Outcome, SlotGrant, SlotRequest, SlotReturned
from shallotspindle_lending.scheduler import SlotScheduler

UPSTREAM_COUNTS = (5, 20, 40, 80, 160)
REQUEST_COUNT = 3000
# Load as a ratio of the number of slots; above 1, the other requests are queued.
LOADS = (0.5, 1.5)
ATTEMPT_SECONDS = 0.2


def build_scheduler(count: int) -> SlotScheduler:
    """Return a slot scheduler for upstreams with two slots each."""
    scheduler = build_default_scheduler(Random(1))
    names = [UpstreamName(f"u{number}") for number in range(count)]
    scheduler.update_upstreams(
        {name: build_known_upstream(name, slots=2) for name in names}
    )
    return scheduler


def measure(count: int, load: float) -> float:
    """Return the processor time per slot request, in microseconds."""
    scheduler = build_scheduler(count)
    interval_seconds = ATTEMPT_SECONDS / (load * 2 * count)
    numbers = itertools.count()
    running: list[tuple[float, SlotGrant]] = []
    now = 0.0
    started = time.process_time()
    for _ in range(REQUEST_COUNT):
        now += interval_seconds
        while running and running[0][0] <= now:
            _, grant = running.pop(0)
            returned = SlotReturned(
                grant.number,
                "me",
                SERVICE,
                DOMAIN,
                grant.upstream,
                Outcome.COMPLETE,
                ATTEMPT_SECONDS,
            )
            decisions = scheduler.return_slot(returned, now)
            running += _list_grants(decisions, now)
        number = next(numbers)
        slot_request = SlotRequest(
            number,
            "me",
            SERVICE,
            DOMAIN,
            number % 3 == 0,
            False,
            1,
            1.0,
            0.5,
            0.5,
            number,
        )
        running += _list_grants(scheduler.request_slot(slot_request, now), now)
    return (time.process_time() - started) / REQUEST_COUNT * 1e6


def _list_grants(addressed_decisions, now: float) -> list[tuple[float, SlotGrant]]:
    return [
        (now + ATTEMPT_SECONDS, item.decision)
        for item in addressed_decisions
        if isinstance(item.decision, SlotGrant)
    ]


def main() -> None:
    print("upstreams", *(f"load {load}" for load in LOADS), sep="\t")
    for count in UPSTREAM_COUNTS:
        print(count, *(f"{measure(count, load):.0f} us" for load in LOADS), sep="\t")


if __name__ == "__main__":
    main()
