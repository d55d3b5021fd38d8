"""Compares two targets in one run, in alternating blocks of the same requests."""

from dataclasses import dataclass
from itertools import groupby
from statistics import median

from shallotspindle_bench import histograms
from shallotspindle_bench.arrivals import Arrival
from shallotspindle_bench.samples import Outcome, Sample


@dataclass(frozen=True, slots=True)
class Block:
    """Figures of one block of one target; latencies in milliseconds."""

    number: int
    target: str
    sent: int
    complete: int
    p50: float
    p99: float


@dataclass(frozen=True, slots=True)
class Comparison:
    """Medians over the blocks, in milliseconds; ratios are second to first.

    :param incomplete: number of requests without a complete response. Blocks with such
        a request are left out of the medians, since slow requests are missing there.
    """

    scenario: str
    seed: int
    first: str
    second: str
    p50: tuple[float, float]
    p99: tuple[float, float]
    p50_added: float
    p99_added: float
    p50_ratio: float
    p99_ratio: float
    incomplete: int
    blocks: list[Block]


def split_blocks(
    schedule: list[Arrival], length: float
) -> list[tuple[float, list[Arrival]]]:
    """Split a schedule into blocks.

    :param length: length of a block, in seconds.
    :returns: the start of each block and its requests.
    """
    numbered_blocks = groupby(
        schedule, key=lambda arrival: int(arrival.scheduled_at / length)
    )
    return [(number * length, list(items)) for number, items in numbered_blocks]


def order_targets(number: int, targets: tuple[str, str]) -> tuple[str, str]:
    """Return the order of the targets in a block, which alternates."""
    return targets if number % 2 == 0 else (targets[1], targets[0])


def summarize_block(number: int, target: str, samples: list[Sample]) -> Block:
    complete = [s.latency for s in samples if s.outcome == Outcome.COMPLETE]
    histogram = histograms.build_histogram(complete)
    return Block(
        number=number,
        target=target,
        sent=len(samples),
        complete=len(complete),
        p50=histograms.get_percentile(histogram, 50),
        p99=histograms.get_percentile(histogram, 99),
    )


def compute_medians(
    blocks: list[Block], targets: tuple[str, str], field_name: str
) -> tuple[float, float]:
    first, second = (
        [getattr(block, field_name) for block in blocks if block.target == target]
        for target in targets
    )
    return (median(first), median(second)) if first and second else (0.0, 0.0)


def compare(
    scenario: str, seed: int, targets: tuple[str, str], blocks: list[Block]
) -> Comparison:
    """Return the medians, differences and ratios of two targets."""
    complete_blocks = [block for block in blocks if block.complete == block.sent]
    p50 = compute_medians(complete_blocks, targets, "p50")
    p99 = compute_medians(complete_blocks, targets, "p99")
    return Comparison(
        scenario=scenario,
        seed=seed,
        first=targets[0],
        second=targets[1],
        p50=p50,
        p99=p99,
        p50_added=round(p50[1] - p50[0], 3),
        p99_added=round(p99[1] - p99[0], 3),
        p50_ratio=round(p50[1] / p50[0], 3) if p50[0] else 0.0,
        p99_ratio=round(p99[1] / p99[0], 3) if p99[0] else 0.0,
        incomplete=sum(block.sent - block.complete for block in blocks),
        blocks=blocks,
    )
