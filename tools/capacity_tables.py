"""Regenerates the tables of docs/CAPACITY.md from the files in measurements/."""

import json
import re
import sys
from collections.abc import Iterable
from pathlib import Path

import slopes
from slopes import CHANGES_PER_DAY, QUANTITIES, SECONDS_PER_DAY, TARGET

from shallotspindle_bench.report import format_table

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs/CAPACITY.md"
CPU_LIMIT_PERCENT = 3.7
MEMORY_LIMIT_MB = 32
TRAFFIC_LIMIT_KB = 2
LATENCY_LIMIT_MS = 4.6
STORE_READS = 2000
# "Several hundred" writes a second, read as 300.
STORE_WRITES = 300
PARTITIONS = 1024
DOMAINS = 8
# An assumption, since the users state no rack size.
RACK_INSTANCES = 20
FAILURES_PER_DAY = 8
REPLACEMENTS_PER_DAY = 2600
RENEWAL_SECONDS = 30
DESIGN_POLLS = 50
DESIGN_WATCHES = 8
ROLLOUT_SECONDS = 5
# Writes of a new incarnation in the design: lease, session and the table.
START_WRITES = 3


def tell(fits: bool) -> str:
    return "yes" if fits else "**no**"


def judge(value: float, error: float, limit: float) -> str:
    """Tell whether a figure is within its limit, its error considered."""
    if value + error <= limit:
        return "yes"
    return "**no**" if value - error > limit else "not shown"


def make_slopes(points: list[dict]) -> str:
    """Return the slope of each quantity over each axis."""
    header = ("quantity", "unit", "base", *(f"per 1,000 {axis}" for axis in TARGET))
    rows = []
    for quantity in QUANTITIES:
        found = (slopes.fit_slope(points, axis, quantity) for axis in TARGET)
        cells = [f"{1000 * slope.value:.{quantity.digits}f}" for slope in found]
        base = slopes.read_base(points, quantity)
        rows.append(
            (quantity.name, quantity.unit, f"{base:.{quantity.digits}f}", *cells)
        )
    return format_table(header, rows)


def make_rates(points: list[dict]) -> str:
    """Return how the cost of a change depends on the number of changes a minute."""
    used = [p for p in points if p["point"]["axis"] == "changes a minute"]
    rows = [
        (
            point["point"]["value"],
            f"{1000 * slopes.read_change_cpu(point):.1f}",
            f"{slopes.read_change_bytes(point) / 1000:.1f}",
            f"{slopes.read_rss(point) / 1e6:.2f}",
        )
        for point in used
    ]
    header = ("changes a minute", "ms a change", "KB a change", "memory, MB")
    return format_table(header, rows)


def list_entry_rows(points: list[dict]) -> Iterable[tuple[object, ...]]:
    """Yield cost, measured parts, limit and verdict for an entry daemon."""
    per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    change_cpu = slopes.compute_total(points, slopes.CHANGE_CPU)
    change_bytes = slopes.compute_total(points, slopes.CHANGE_BYTES)
    cpu_error = slopes.compute_error(points, slopes.CHANGE_CPU) * per_second / 10
    bytes_error = slopes.compute_error(points, slopes.CHANGE_BYTES) * per_second
    for quantity, of_changes, change_error, limit in (
        (slopes.QUIET_CPU, change_cpu * per_second / 10, cpu_error, CPU_LIMIT_PERCENT),
        (slopes.QUIET_BYTES, change_bytes * per_second, bytes_error, TRAFFIC_LIMIT_KB),
        (slopes.RSS, 0.0, 0.0, MEMORY_LIMIT_MB),
    ):
        added = slopes.compute_added(points, quantity)
        control = added + of_changes
        error = slopes.compute_error(points, quantity) + change_error
        yield (
            f"{quantity.name.partition(',')[0]}, {quantity.unit}",
            f"{slopes.read_base(points, quantity):.2f}",
            f"{added:.2f}",
            f"{of_changes:.2f}",
            f"{control:.2f}",
            f"{error:.2f}",
            limit,
            judge(control, error, limit),
        )


def make_entry(points: list[dict]) -> str:
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


def make_roles(points: list[dict]) -> str:
    """Return what the store and the operators' command hold and use."""
    size = slopes.compute_total(points, slopes.BUNDLE)
    chunks = slopes.count_chunks(points)
    seconds = slopes.compute_total(points, slopes.PUBLISH_CPU)
    memory = slopes.compute_total(points, slopes.PUBLISH_RSS)
    change = slopes.compute_total(points, slopes.CHANGE_CPU)
    rows = [
        ("bundle, MB", f"{size:.2f}"),
        ("chunks in the store", chunks),
        ("store, new chunks a day if every chunk changes", CHANGES_PER_DAY * chunks),
        ("each entry daemon, processor time of a change, ms", f"{change:.0f}"),
        ("operators' command, processor time of a change, s", f"{seconds:.1f}"),
        ("operators' command, peak memory, MB", f"{memory:.0f}"),
        ("messages of a change: operators' command, writes", chunks + 1),
        ("messages of a change: each entry daemon, reads", chunks + 1),
    ]
    return format_table(("at the target size", "value"), rows)


def list_store_rows(points: list[dict]) -> Iterable[tuple[object, ...]]:
    chunks = slopes.count_chunks(points)
    daemons = TARGET["daemons"]
    reads, writes, watches = (
        slopes.read_store_rate(points, name) * daemons
        for name in ("read", "write", "watch")
    )
    renewals = daemons / RENEWAL_SECONDS
    rollout = daemons * chunks / ROLLOUT_SECONDS
    yield ("ordinary, measured", f"{reads:.0f}", f"{writes:.1f}", f"{watches:.0f}")
    yield ("ordinary, design", DESIGN_POLLS, f"{renewals:.1f}", DESIGN_WATCHES)
    yield (
        f"rollout in {ROLLOUT_SECONDS} s, built: every daemon reads every chunk",
        f"{reads + rollout:.0f}",
        f"{(chunks + 1) / ROLLOUT_SECONDS:.1f}",
        0,
    )
    yield (
        "rollout, design: 8 watchers read, peers push deltas",
        f"{DESIGN_POLLS + DESIGN_WATCHES * (chunks + 1) / ROLLOUT_SECONDS:.0f}",
        f"{renewals + (chunks + 1) / ROLLOUT_SECONDS:.1f}",
        DESIGN_WATCHES,
    )
    yield ("after an outage, built: one poll each within 1 s", f"{reads:.0f}", 0, 0)
    yield (
        "after an outage, design: all renew within 30 s",
        DESIGN_POLLS,
        f"{renewals:.1f}",
        DESIGN_WATCHES,
    )
    yield (
        "after an outage, all daemons started afresh within 30 s",
        f"{daemons * (chunks + 1) / RENEWAL_SECONDS + DESIGN_POLLS:.0f}",
        f"{daemons * START_WRITES / RENEWAL_SECONDS:.0f}",
        DESIGN_WATCHES,
    )


def make_store(points: list[dict]) -> str:
    header = ("calls a second", "reads", "writes", "watches held", "fits")
    rows = [
        (*row, tell(float(row[1]) <= STORE_READS and float(row[2]) <= STORE_WRITES))
        for row in list_store_rows(points)
    ]
    return format_table(header, rows)


def make_events(points: list[dict]) -> str:
    """Return what failures and replacements cost, by arithmetic on the design."""
    daemons = TARGET["daemons"]
    chunks = slopes.count_chunks(points)
    share = PARTITIONS / daemons
    domain = daemons // DOMAINS
    lost = FAILURES_PER_DAY / daemons / 24
    day = REPLACEMENTS_PER_DAY / SECONDS_PER_DAY
    rows = [
        (
            f"{FAILURES_PER_DAY} failures a day",
            f"{FAILURES_PER_DAY * share:.0f} partitions taken over a day",
            f"{lost:.2%} of first-seen idempotency keys answered unknown",
        ),
        (
            f"{REPLACEMENTS_PER_DAY:,} replacements a day",
            f"{day * (chunks + 1):.2f} reads and {day * START_WRITES:.2f} writes a "
            f"second; {REPLACEMENTS_PER_DAY * share:,.0f} hand-overs a day",
            "no request, if every hand-over succeeds",
        ),
        (
            f"a rack of {RACK_INSTANCES} instances (assumed size)",
            f"{RACK_INSTANCES * share:.0f} partitions taken over",
            f"{RACK_INSTANCES / daemons:.1%} of new keys for 1 h",
        ),
        (
            f"a failure domain of {domain} instances",
            f"{domain * share:.0f} partitions taken over",
            f"{domain / daemons:.1%} of new keys for 1 h; capacity of {DOMAINS - 1} "
            f"of {DOMAINS} domains",
        ),
        (
            "regions apart for minutes",
            "no write; the table stays",
            "shares and claims whose holder is beyond the cut are refused; a region "
            "with a minority of the domains and no store refuses requests with a key",
        ),
    ]
    return format_table(("event", "control work", "cost for callers"), rows)


def make_latency(daemon: dict) -> str:
    rows = [
        (
            f"{row['rate']:g}",
            *(f"{value:.2f}" for value in (*row["p50"], row["p50_added"])),
            *(f"{value:.2f}" for value in (*row["p99"], row["p99_added"])),
            f"{row['complete']}/{row['sent']}",
            f"{row['cpu_ms_per_request']:.2f}",
            f"{row['machine']['busy_share']:.0%}, {row['machine']['stolen_share']:.0%}",
            tell(row["p99_added"] <= LATENCY_LIMIT_MS),
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
        f"under {LATENCY_LIMIT_MS} ms",
    )
    return format_table(header, rows)


def make_memory(daemon: dict) -> str:
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


def make_tables(control: dict, daemon: dict) -> dict[str, str]:
    points = control["points"]
    return {
        "latency": make_latency(daemon),
        "memory": make_memory(daemon),
        "slopes": make_slopes(points),
        "rates": make_rates(points),
        "entry": make_entry(points),
        "roles": make_roles(points),
        "store": make_store(points),
        "events": make_events(points),
        "commands": f"`{control['command']}` ({len(points)} points, "
        f"{len(slopes.find_bases(points))} of them at the base size) and "
        f"`{daemon['command']}`",
    }


def replace_table(page: str, name: str, text: str) -> str:
    """Put a text between the marker comments of a table.

    :raises ValueError: when the page has no such markers.
    """
    start, end = f"<!-- table {name} -->", f"<!-- end {name} -->"
    pattern = re.compile(f"{re.escape(start)}.*?{re.escape(end)}", re.DOTALL)
    if not pattern.search(page):
        raise ValueError(f"the page has no markers of table {name!r}")
    return pattern.sub(lambda _: f"{start}\n{text}\n{end}", page)


def main() -> int:
    control = json.loads((ROOT / "measurements/control.json").read_text())
    daemon = json.loads((ROOT / "measurements/daemon.json").read_text())
    page = PAGE.read_text()
    for name, text in make_tables(control, daemon).items():
        page = replace_table(page, name, text)
    PAGE.write_text(page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
