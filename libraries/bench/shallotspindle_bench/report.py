"""Reports of results in Markdown, for a person who has a minute."""

from collections.abc import Iterable
from typing import Any

LATENCY_NAMES = ("p50", "p90", "p99", "p99.9", "max")
GROUP_HEADER = ("", "sent", "complete", "not complete", *LATENCY_NAMES)


def format_row(cells: Iterable[object]) -> str:
    return "| " + " | ".join(map(str, cells)) + " |"


def format_table(header: tuple[str, ...], rows: Iterable[Iterable[object]]) -> str:
    """Return a Markdown table."""
    lines = [format_row(header), "|" + "---|" * len(header)]
    return "\n".join([*lines, *map(format_row, rows)])


def format_outcomes(outcomes: dict[str, int]) -> str:
    others = [f"{n} {name}" for name, n in outcomes.items() if name != "complete"]
    return ", ".join(others) or "-"


def list_cells(name: str, group: dict[str, Any]) -> list[object]:
    outcomes = group["outcomes"]
    share = outcomes.get("complete", 0) / max(1, group["sent"])
    latency = [f"{group['latency'][key]:.1f}" for key in LATENCY_NAMES]
    return [name, group["sent"], f"{share:.2%}", format_outcomes(outcomes), *latency]


def format_groups(groups: dict[str, dict[str, Any]]) -> str:
    return format_table(GROUP_HEADER, (list_cells(*item) for item in groups.items()))


def list_findings(result: dict[str, Any]) -> list[str]:
    """Return the sentences that a reader needs first."""
    refused = result["refused_within_rate"]
    total = result["total"]
    repeated = result["repeated"]
    named = ", ".join(f"{name} {n}" for name, n in sorted(refused.items()) if n)
    return [
        f"{total['sent']} requests, p99 {total['latency']['p99']:.1f} ms from the "
        "scheduled moment.",
        f"Service: {result['service']:.2%} complete and on time, weighted by kind.",
        f"Worst-served team: {result['worst_team'] or '-'} "
        f"({result['worst_team_share']:.2%} of its requests within rate).",
        f"Refused within rate: {sum(refused.values())}"
        + (f" ({named})." if named else "."),
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


def list_figures(result: dict[str, Any], name: str) -> list[float]:
    return [*result[name], result[f"{name}_added"], result[f"{name}_ratio"]]


def format_comparison(result: dict[str, Any]) -> str:
    """Return the report of a comparison from its JSON result."""
    first, second = result["first"], result["second"]
    rows = [
        (name, *(f"{value:.2f}" for value in list_figures(result, name)))
        for name in ("p50", "p99")
    ]
    blocks = [
        (
            *(block[name] for name in ("number", "target", "sent", "complete")),
            *(f"{block[name]:.2f}" for name in ("p50", "p99")),
        )
        for block in result["blocks"]
    ]
    medians = format_table(("ms", first, second, "added", "ratio"), rows)
    each = format_table(("block", "target", "sent", "complete", "p50", "p99"), blocks)
    return f"""# {result["scenario"]}, seed {result["seed"]}: {second} against {first}

Medians over the blocks in which all requests were complete; {result["incomplete"]}
requests were not.

{medians}

{each}
"""
