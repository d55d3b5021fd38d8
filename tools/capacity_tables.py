"""Regenerates the tables of docs/CAPACITY.md from the files in measurements/."""

import json
import re
import sys
from collections.abc import Iterable
from pathlib import Path

import slopes
from slopes import CHANGES_PER_DAY, QUANTITIES, SECONDS_PER_DAY, TARGET_SIZE

from shallotspindle_bench.report import format_table

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs/CAPACITY.md"
MAX_CPU_PERCENT = 3.7
MAX_MEMORY_MB = 32
MAX_TRAFFIC_KB_PER_SECOND = 2
MAX_ADDED_LATENCY_MS = 4.6
MAX_STORE_READS_PER_SECOND = 2000
# The requirement is "several hundred" writes per second, interpreted as 300.
MAX_STORE_WRITES_PER_SECOND = 300
PARTITION_COUNT = 1024
DOMAIN_COUNT = 8
# Assumed, because the requirements state no rack size.
INSTANCES_PER_RACK = 20
FAILURES_PER_DAY = 8
REPLACEMENTS_PER_DAY = 2600
RENEWAL_INTERVAL_SECONDS = 30
# Polls of the store per second, and open watches.
DESIGN_POLL_RATE = 50
DESIGN_WATCHES = 8
ROLLOUT_SECONDS = 5
# A new incarnation of the design writes its lease, its session and the table of
# partitions.
WRITES_PER_START = 3


def format_verdict(fits: bool) -> str:
    return "yes" if fits else "**no**"


def format_verdict_with_error(value: float, error: float, limit: float) -> str:
    """Return whether a value with an error margin is within a limit.

    :param error: half-width of the confidence interval of the value.
    :returns: ``not shown`` if the limit lies within that interval.
    """
    if value + error <= limit:
        return "yes"
    return "**no**" if value - error > limit else "not shown"


def build_slope_table(points: list[dict]) -> str:
    """Return a table of the slope of each quantity along each axis."""
    header = (
        "quantity",
        "unit",
        "base",
        *(f"per 1,000 {axis}" for axis in TARGET_SIZE),
    )
    rows = []
    for quantity in QUANTITIES:
        found = (slopes.fit_slope(points, axis, quantity) for axis in TARGET_SIZE)
        cells = [f"{1000 * slope.value:.{quantity.digits}f}" for slope in found]
        base = slopes.read_base(points, quantity)
        rows.append(
            (quantity.name, quantity.unit, f"{base:.{quantity.digits}f}", *cells)
        )
    return format_table(header, rows)


def build_change_rate_table(points: list[dict]) -> str:
    """Return a table of the cost of a change by the number of changes per minute."""
    rate_points = [p for p in points if p["point"]["axis"] == "changes a minute"]
    rows = [
        (
            point["point"]["value"],
            f"{1000 * slopes.read_change_cpu(point):.1f}",
            f"{slopes.read_change_bytes(point) / 1000:.1f}",
            f"{slopes.read_rss(point) / 1e6:.2f}",
        )
        for point in rate_points
    ]
    header = ("changes a minute", "ms a change", "KB a change", "memory, MB")
    return format_table(header, rows)


def list_entry_rows(points: list[dict]) -> Iterable[tuple[object, ...]]:
    """Yield a row with components, total, limit and verdict per cost of a daemon."""
    per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    change_cpu = slopes.compute_total(points, slopes.CHANGE_CPU)
    change_bytes = slopes.compute_total(points, slopes.CHANGE_BYTES)
    cpu_error = slopes.compute_error(points, slopes.CHANGE_CPU) * per_second / 10
    bytes_error = slopes.compute_error(points, slopes.CHANGE_BYTES) * per_second
    for quantity, cost_of_changes, change_error, limit in (
        (slopes.QUIET_CPU, change_cpu * per_second / 10, cpu_error, MAX_CPU_PERCENT),
        (
            slopes.QUIET_BYTES,
            change_bytes * per_second,
            bytes_error,
            MAX_TRAFFIC_KB_PER_SECOND,
        ),
        (slopes.RSS, 0.0, 0.0, MAX_MEMORY_MB),
    ):
        cost_of_size = slopes.compute_added(points, quantity)
        total_cost = cost_of_size + cost_of_changes
        error = slopes.compute_error(points, quantity) + change_error
        yield (
            f"{quantity.name.partition(',')[0]}, {quantity.unit}",
            f"{slopes.read_base(points, quantity):.2f}",
            f"{cost_of_size:.2f}",
            f"{cost_of_changes:.2f}",
            f"{total_cost:.2f}",
            f"{error:.2f}",
            limit,
            format_verdict_with_error(total_cost, error, limit),
        )


def build_entry_table(points: list[dict]) -> str:
    header = (
        "per entry daemon",
        "base",
        "added by size",
        "added by changes",
        "control",
        "± 2 standard errors",
        "limit",
        "fits without peers",
    )
    return format_table(header, list_entry_rows(points))


def build_role_table(points: list[dict]) -> str:
    """Return a table of what a bundle costs the store, a daemon and the operators."""
    bundle_megabytes = slopes.compute_total(points, slopes.BUNDLE)
    chunks = slopes.count_chunks(points)
    publish_seconds = slopes.compute_total(points, slopes.PUBLISH_CPU)
    publish_megabytes = slopes.compute_total(points, slopes.PUBLISH_RSS)
    change_milliseconds = slopes.compute_total(points, slopes.CHANGE_CPU)
    rows = [
        ("bundle, MB", f"{bundle_megabytes:.2f}"),
        ("chunks in the store", chunks),
        ("store, new chunks a day if every chunk changes", CHANGES_PER_DAY * chunks),
        (
            "each entry daemon, processor time of a change, ms",
            f"{change_milliseconds:.0f}",
        ),
        ("operators' command, processor time of a change, s", f"{publish_seconds:.1f}"),
        ("operators' command, peak memory, MB", f"{publish_megabytes:.0f}"),
        ("messages of a change: operators' command, writes", chunks + 1),
        ("messages of a change: each entry daemon, reads", chunks + 1),
    ]
    return format_table(("at the target size", "value"), rows)


def list_store_rows(points: list[dict]) -> Iterable[tuple[object, ...]]:
    chunks = slopes.count_chunks(points)
    daemons = TARGET_SIZE["daemons"]
    reads, writes, watches = (
        slopes.read_store_rate(points, name) * daemons
        for name in ("read", "write", "watch")
    )
    renewals = daemons / RENEWAL_INTERVAL_SECONDS
    rollout = daemons * chunks / ROLLOUT_SECONDS
    yield ("ordinary, measured", f"{reads:.0f}", f"{writes:.1f}", f"{watches:.0f}")
    yield (
        "ordinary, design",
        DESIGN_POLL_RATE,
        f"{renewals:.1f}",
        DESIGN_WATCHES,
    )
    yield (
        f"rollout in {ROLLOUT_SECONDS} s, built: every daemon reads every chunk",
        f"{reads + rollout:.0f}",
        f"{(chunks + 1) / ROLLOUT_SECONDS:.1f}",
        0,
    )
    yield (
        "rollout, design: 8 watchers read, peers push deltas",
        f"{DESIGN_POLL_RATE + DESIGN_WATCHES * (chunks + 1) / ROLLOUT_SECONDS:.0f}",
        f"{renewals + (chunks + 1) / ROLLOUT_SECONDS:.1f}",
        DESIGN_WATCHES,
    )
    yield ("after an outage, built: one poll each within 1 s", f"{reads:.0f}", 0, 0)
    yield (
        "after an outage, design: all renew within 30 s",
        DESIGN_POLL_RATE,
        f"{renewals:.1f}",
        DESIGN_WATCHES,
    )
    yield (
        "after an outage, all daemons started afresh within 30 s",
        f"{daemons * (chunks + 1) / RENEWAL_INTERVAL_SECONDS + DESIGN_POLL_RATE:.0f}",
        f"{daemons * WRITES_PER_START / RENEWAL_INTERVAL_SECONDS:.0f}",
        DESIGN_WATCHES,
    )


def build_store_table(points: list[dict]) -> str:
    header = ("calls a second", "reads", "writes", "watches held", "fits")
    rows = [
        (
            *row,
            format_verdict(
                float(row[1]) <= MAX_STORE_READS_PER_SECOND
                and float(row[2]) <= MAX_STORE_WRITES_PER_SECOND
            ),
        )
        for row in list_store_rows(points)
    ]
    return format_table(header, rows)


def build_event_table(points: list[dict]) -> str:
    """Return a table of the cost of failures and replacements.

    The values are computed from the design, not measured.
    """
    daemons = TARGET_SIZE["daemons"]
    chunks = slopes.count_chunks(points)
    partitions_per_daemon = PARTITION_COUNT / daemons
    daemons_per_domain = daemons // DOMAIN_COUNT
    hourly_loss_ratio = FAILURES_PER_DAY / daemons / 24
    replacement_rate = REPLACEMENTS_PER_DAY / SECONDS_PER_DAY
    rows = [
        (
            f"{FAILURES_PER_DAY} failures a day",
            f"{FAILURES_PER_DAY * partitions_per_daemon:.0f} partitions taken over "
            "a day",
            f"{hourly_loss_ratio:.2%} of first-seen idempotency keys answered unknown",
        ),
        (
            f"{REPLACEMENTS_PER_DAY:,} replacements a day",
            f"{replacement_rate * (chunks + 1):.2f} reads and "
            f"{replacement_rate * WRITES_PER_START:.2f} writes a second; "
            f"{REPLACEMENTS_PER_DAY * partitions_per_daemon:,.0f} hand-overs a day",
            "no request, if every hand-over succeeds",
        ),
        (
            f"a rack of {INSTANCES_PER_RACK} instances (assumed size)",
            f"{INSTANCES_PER_RACK * partitions_per_daemon:.0f} partitions taken over",
            f"{INSTANCES_PER_RACK / daemons:.1%} of new keys for 1 h",
        ),
        (
            f"a failure domain of {daemons_per_domain} instances",
            f"{daemons_per_domain * partitions_per_daemon:.0f} partitions taken over",
            f"{daemons_per_domain / daemons:.1%} of new keys for 1 h; capacity of "
            f"{DOMAIN_COUNT - 1} of {DOMAIN_COUNT} domains",
        ),
        (
            "regions apart for minutes",
            "no write; the table stays",
            "shares and claims whose holder is beyond the cut are refused; a region "
            "with a minority of the domains and no store refuses requests with a key",
        ),
    ]
    return format_table(("event", "control work", "cost for callers"), rows)


def build_latency_table(daemon: dict) -> str:
    rows = [
        (
            f"{row['rate']:g}",
            *(f"{value:.2f}" for value in (*row["p50"], row["p50_added"])),
            *(f"{value:.2f}" for value in (*row["p99"], row["p99_added"])),
            f"{row['complete']}/{row['sent']}",
            f"{row['cpu_ms_per_request']:.2f}",
            f"{row['machine']['busy_share']:.0%}, {row['machine']['stolen_share']:.0%}",
            format_verdict(row["p99_added"] <= MAX_ADDED_LATENCY_MS),
        )
        for row in daemon["rates"]
    ]
    header = (
        "requests a second",
        "p50 direct",
        "p50 proxied",
        "p50 added",
        "p99 direct",
        "p99 proxied",
        "p99 added",
        "complete",
        "processor ms a request",
        "machine busy, stolen",
        f"under {MAX_ADDED_LATENCY_MS} ms",
    )
    return format_table(header, rows)


def build_memory_table(daemon: dict) -> str:
    upload = daemon["upload"]
    rows = [
        ("daemon at its start, MB", f"{daemon['rss_at_start'] / 1e6:.1f}"),
        (
            f"idle caller connection (of {daemon['idle']['connections']}) with the "
            "upstream connection that it opened, KB",
            f"{daemon['idle']['bytes_each'] / 1e3:.1f}",
        ),
        (
            f"streaming upload, KB (of {daemon['streams']['streams']} at once)",
            f"{daemon['streams']['bytes_each'] / 1e3:.0f}",
        ),
        (
            f"one upload of {upload['bytes'] / 1e6:.0f} MB (status "
            f"{upload['status']}, {upload['upstream_received']} bytes at the "
            "upstream), peak MB added",
            f"{upload['added_peak_bytes'] / 1e6:.2f}",
        ),
    ]
    return format_table(("memory of the daemon", "value"), rows)


def build_tables(control: dict, daemon: dict) -> dict[str, str]:
    points = control["points"]
    return {
        "latency": build_latency_table(daemon),
        "memory": build_memory_table(daemon),
        "slopes": build_slope_table(points),
        "rates": build_change_rate_table(points),
        "entry": build_entry_table(points),
        "roles": build_role_table(points),
        "store": build_store_table(points),
        "events": build_event_table(points),
        "commands": f"`{control['command']}` ({len(points)} points, "
        f"{len(slopes.list_base_points(points))} of them at the base size) and "
        f"`{daemon['command']}`",
    }


def replace_table(page: str, name: str, text: str) -> str:
    """Replace the text between the marker comments of a table.

    :raises ValueError: if the page does not contain these markers.
    """
    start, end = f"<!-- table {name} -->", f"<!-- end {name} -->"
    pattern = re.compile(f"{re.escape(start)}.*?{re.escape(end)}", re.DOTALL)
    if not pattern.search(page):
        raise ValueError(f"the page has no marker comments for table {name!r}")
    return pattern.sub(lambda _: f"{start}\n{text}\n{end}", page)


def main() -> int:
    control = json.loads((ROOT / "measurements/control.json").read_text())
    daemon = json.loads((ROOT / "measurements/daemon.json").read_text())
    page = PAGE.read_text()
    for name, text in build_tables(control, daemon).items():
        page = replace_table(page, name, text)
    PAGE.write_text(page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
