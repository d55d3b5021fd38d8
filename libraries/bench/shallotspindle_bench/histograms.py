"""HDR histograms of latencies, counted in microseconds."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def build_histogram(seconds: Iterable[float] = ()) -> HdrHistogram:
    """Return a histogram of latencies given in seconds."""
    histogram = HdrHistogram(
        LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
    )
    for item in seconds:
        histogram.record_value(round(item * 1e6))
    return histogram


def read_percentile(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds."""
    return histogram.get_value_at_percentile(percentile) / 1000


def summarize(histogram: HdrHistogram) -> dict[str, float]:
    """Return the usual percentiles and the maximum, in milliseconds."""
    found = {f"p{p:g}": read_percentile(histogram, p) for p in PERCENTILES}
    return {**found, "max": histogram.get_max_value() / 1000}
