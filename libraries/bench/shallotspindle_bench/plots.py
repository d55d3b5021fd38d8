"""Plots of a run as SVG; equal results give identical files."""

import io
from typing import Any

import matplotlib
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure

SIZE_INCHES = (8, 3)
# With a fixed salt for identifiers and no date, equal results give identical files.
SVG_SETTINGS = {"svg.hashsalt": "shallotspindle", "svg.fonttype": "none"}


def render(figure: Figure) -> str:
    FigureCanvasSVG(figure)
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    return buffer.getvalue()


def draw_timeline(timeline: list[dict[str, float]]) -> str:
    """Return a plot of latencies and incomplete requests per second of the run."""
    with matplotlib.rc_context(SVG_SETTINGS):
        figure = Figure(figsize=SIZE_INCHES, layout="tight")
        axes = figure.subplots()
        seconds = [row["second"] for row in timeline]
        for name in ("p50", "p99"):
            axes.plot(seconds, [row[name] for row in timeline], label=f"{name} (ms)")
        axes.bar(
            seconds,
            [row["incomplete"] for row in timeline],
            color="lightgrey",
            label="not complete (requests)",
        )
        axes.set_xlabel("seconds")
        axes.legend(loc="upper right")
        return render(figure)


def draw_outcomes(groups: dict[str, dict[str, Any]]) -> str:
    """Return a stacked bar chart of the outcomes of each group."""
    with matplotlib.rc_context(SVG_SETTINGS):
        figure = Figure(figsize=SIZE_INCHES, layout="tight")
        axes = figure.subplots()
        names = list(groups)
        bar_starts = [0] * len(names)
        outcomes = sorted(
            {key for group in groups.values() for key in group["outcomes"]}
        )
        for outcome in outcomes:
            counts = [groups[name]["outcomes"].get(outcome, 0) for name in names]
            axes.barh(names, counts, left=bar_starts, label=outcome)
            bar_starts = [a + b for a, b in zip(bar_starts, counts, strict=True)]
        axes.set_xlabel("requests")
        axes.legend(loc="upper right")
        return render(figure)
