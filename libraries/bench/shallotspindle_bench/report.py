"""Short Markdown reports of the results of runs and comparisons."""

from collections.abc import Iterable
from typing import Any

LATENCY_KEYS = ("p50", "p90", "p99", "p99.9", "max")
GROUP_HEADER = ("", "sent", "complete", "not complete", *LATENCY_KEYS)


def format_row(cells: Iterable[object]) -> str:
    return "| " + " | ".join(map(str, cells)) + " |"


def format_table(header: tuple[str, ...], rows: Iterable[Iterable[object]]) -> str:
    """Return a Markdown table."""
    lines = [format_row(header), "|" + "---|" * len(header)]
    return "\n".join([*lines, *map(format_row, rows)])


def format_outcomes(outcomes: dict[str, int]) -> str:
    incomplete = [f"{n} {name}" for name, n in outcomes.items() if name != "complete"]
    return ", ".join(incomplete) or "-"


def format_group_cells(name: str, group: dict[str, Any]) -> list[object]:
    outcomes = group["outcomes"]
    complete_ratio = outcomes.get("complete", 0) / max(1, group["sent"])
    latency = [f"{group['latency'][key]:.1f}" for key in LATENCY_KEYS]
    return [
        name,
        group["sent"],
        f"{complete_ratio:.2%}",
        format_outcomes(outcomes),
        *latency,
    ]


def format_groups(groups: dict[str, dict[str, Any]]) -> str:
    return format_table(
        GROUP_HEADER, (format_group_cells(*item) for item in groups.items())
    )


def list_findings(result: dict[str, Any]) -> list[str]:
    """Return the most important results as sentences."""
    refusals = result["refused_within_rate"]
    total = result["total"]
    repeated = result["repeated"]
    refusals_by_team = ", ".join(
        f"{name} {n}" for name, n in sorted(refusals.items()) if n
    )
    return [
        f"{total['sent']} requests, p99 {total['latency']['p99']:.1f} ms from the "
        "scheduled moment.",
        f"Service: {result['service']:.2%} complete and on time, weighted by kind.",
        f"Worst-served team: {result['worst_team'] or '-'} "
        f"({result['worst_team_share']:.2%} of its requests within rate).",
        f"Refused within rate: {sum(refusals.values())}"
        + (f" ({refusals_by_team})." if refusals_by_team else "."),
        "Requests with an idempotency key that ran twice: "
        f"{'the upstreams did not say' if repeated is None else repeated}.",
    ]


def format_report(result: dict[str, Any]) -> str:
    """Return the report of a run from its JSON result."""
    findings = "\n".join(f"- {item}" for item in list_findings(result))
    return f"""# {result["scenario"]}, seed {result["seed"]}, {result["duration"]:g} s

{findings}

Latencies are those of complete answers, in milliseconds.

## Teams

{format_groups(result["teams"])}

![outcomes](outcomes.svg)

## Kinds

{format_groups(result["kinds"])}

## Time

![timeline](timeline.svg)
"""


def list_comparison_values(result: dict[str, Any], name: str) -> list[float]:
    return [*result[name], result[f"{name}_added"], result[f"{name}_ratio"]]


def format_comparison(result: dict[str, Any]) -> str:
    """Return the report of a comparison from its JSON result."""
    first, second = result["first"], result["second"]
    rows = [
        (name, *(f"{value:.2f}" for value in list_comparison_values(result, name)))
        for name in ("p50", "p99")
    ]
    blocks = [
        (
            *(block[name] for name in ("number", "target", "sent", "complete")),
            *(f"{block[name]:.2f}" for name in ("p50", "p99")),
        )
        for block in result["blocks"]
    ]
    median_table = format_table(("ms", first, second, "added", "ratio"), rows)
    block_table = format_table(
        ("block", "target", "sent", "complete", "p50", "p99"), blocks
    )
    return f"""# {result["scenario"]}, seed {result["seed"]}: {second} against {first}

Medians over the blocks in which all requests were complete; {result["incomplete"]}
requests were not.

{median_table}

{block_table}
"""
