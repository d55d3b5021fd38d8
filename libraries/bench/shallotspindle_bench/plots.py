"""Plots of a run as SVG; equal results give equal bytes."""

import io
from typing import Any

import matplotlib
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure

SIZE_INCHES = (8, 3)
# Fixed identifiers and no date keep the files equal between runs.
STYLE = {"svg.hashsalt": "shallotspindle", "svg.fonttype": "none"}


def render(figure: Figure) -> str:
    FigureCanvasSVG(figure)
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    return buffer.getvalue()


def draw_timeline(timeline: list[dict[str, float]]) -> str:
    """Return a plot of the latency and the incomplete requests of each second."""
    with matplotlib.rc_context(STYLE):
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
    """Return stacked bars of the outcomes of each group."""
    with matplotlib.rc_context(STYLE):
        figure = Figure(figsize=SIZE_INCHES, layout="tight")
        axes = figure.subplots()
        names = list(groups)
        left = [0] * len(names)
        outcomes = sorted(
            {key for group in groups.values() for key in group["outcomes"]}
        )
        for outcome in outcomes:
            counts = [groups[name]["outcomes"].get(outcome, 0) for name in names]
            axes.barh(names, counts, left=left, label=outcome)
            left = [a + b for a, b in zip(left, counts, strict=True)]
        axes.set_xlabel("requests")
        axes.legend(loc="upper right")
        return render(figure)
