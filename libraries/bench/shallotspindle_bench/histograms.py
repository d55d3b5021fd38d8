"""HDR histograms of latencies, recorded in microseconds."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

MIN_LATENCY_MICROSECONDS = 1
MAX_LATENCY_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def build_histogram(latencies: Iterable[float] = ()) -> HdrHistogram:
    """Return a histogram of latencies given in seconds."""
    histogram = HdrHistogram(
        MIN_LATENCY_MICROSECONDS, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
    )
    for latency in latencies:
        histogram.record_value(round(latency * 1e6))
    return histogram


def get_percentile(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds."""
    return histogram.get_value_at_percentile(percentile) / 1000


def summarize(histogram: HdrHistogram) -> dict[str, float]:
    """Return the percentiles of ``PERCENTILES`` and the maximum, in milliseconds."""
    percentiles = {f"p{p:g}": get_percentile(histogram, p) for p in PERCENTILES}
    return {**percentiles, "max": histogram.get_max_value() / 1000}
