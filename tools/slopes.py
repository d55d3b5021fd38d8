"""Fits slopes of the control plane cost to measured points for the target size."""

from collections.abc import Callable
from dataclasses import dataclass
from math import sqrt
from statistics import linear_regression, mean

SECONDS_PER_DAY = 86_400
TARGET_SIZE = {"daemons": 770, "teams": 37_000, "routes": 4_100, "upstreams": 6_300}
CHANGES_PER_DAY = 1_900
STORE_VALUE_BYTES = 500_000


@dataclass(frozen=True, slots=True)
class Quantity:
    """A measured quantity.

    :param read: reads the quantity from a point.
    :param scale: factor that converts the value to ``unit``.
    :param digits: decimals in the tables.
    """

    name: str
    unit: str
    read: Callable[[dict], float]
    scale: float = 1.0
    digits: int = 3


def read_quiet_cpu(point: dict) -> float:
    """Return the used fraction of a core in the window without changes."""
    return point["quiet"]["cpu_seconds"] / point["quiet"]["seconds"]


def read_quiet_bytes(point: dict) -> float:
    """Return the bytes per second without changes, both directions together."""
    return point["quiet"]["transferred_bytes"] / point["quiet"]["seconds"]


def read_rss(point: dict) -> float:
    return point["changing"]["rss_bytes"]


def compute_cost_per_change(point: dict, name: str) -> float:
    """Return how much each change added to a window of equal length without changes."""
    quiet, changing = point["quiet"], point["changing"]
    expected = quiet[name] * changing["seconds"] / quiet["seconds"]
    return (changing[name] - expected) / changing["changes"]


def read_change_cpu(point: dict) -> float:
    return compute_cost_per_change(point, "cpu_seconds")


def read_change_bytes(point: dict) -> float:
    return compute_cost_per_change(point, "transferred_bytes")


def read_publish_cpu(point: dict) -> float:
    changing = point["changing"]
    return changing["publish_cpu_seconds"] / changing["changes"]


def read_publish_rss(point: dict) -> float:
    return point["changing"]["publish_peak_bytes"]


def read_bundle_bytes(point: dict) -> float:
    return point["bundle_bytes"]


QUIET_CPU = Quantity("processor time, quiet", "% of a core", read_quiet_cpu, 100, 4)
QUIET_BYTES = Quantity("traffic, quiet", "KB/s", read_quiet_bytes, 1e-3)
RSS = Quantity("memory", "MB", read_rss, 1e-6, 2)
CHANGE_CPU = Quantity("processor time of a change", "ms", read_change_cpu, 1e3, 1)
CHANGE_BYTES = Quantity("traffic of a change", "KB", read_change_bytes, 1e-3, 1)
PUBLISH_CPU = Quantity("publish, processor time", "s", read_publish_cpu, 1, 2)
PUBLISH_RSS = Quantity("publish, peak memory", "MB", read_publish_rss, 1e-6, 1)
BUNDLE = Quantity("bundle", "MB", read_bundle_bytes, 1e-6, 3)
QUANTITIES = (
    QUIET_CPU,
    QUIET_BYTES,
    RSS,
    CHANGE_CPU,
    CHANGE_BYTES,
    PUBLISH_CPU,
    PUBLISH_RSS,
    BUNDLE,
)


def list_base_points(points: list[dict]) -> list[dict]:
    return [item for item in points if item["point"]["axis"] == "base"]


def read_base(points: list[dict], quantity: Quantity) -> float:
    """Return the mean of a quantity over the base points."""
    return mean(map(quantity.read, list_base_points(points))) * quantity.scale


@dataclass(frozen=True, slots=True)
class Slope:
    """Growth of a quantity per unit of an axis.

    :param value: 0 if it is smaller than twice its standard error.
    :param error: standard error.
    """

    value: float
    error: float


def fit_slope(points: list[dict], axis: str, quantity: Quantity) -> Slope:
    """Fit a line to the points of an axis and the base points."""
    axis_points = [item for item in points if item["point"]["axis"] in (axis, "base")]
    values = [item["point"]["value"] for item in axis_points]
    measured = [quantity.read(item) * quantity.scale for item in axis_points]
    line = linear_regression(values, measured)
    fitted = [line.intercept + line.slope * value for value in values]
    residual_sum = sum((a - b) ** 2 for a, b in zip(measured, fitted, strict=True))
    squared_deviations = sum((value - mean(values)) ** 2 for value in values)
    error = sqrt(residual_sum / (len(axis_points) - 2) / squared_deviations)
    return Slope(line.slope if abs(line.slope) >= 2 * error else 0.0, error)


def compute_added(points: list[dict], quantity: Quantity) -> float:
    """Return how much a quantity grows from the base point to the target size."""
    return sum(
        fit_slope(points, axis, quantity).value * (count - 1)
        for axis, count in TARGET_SIZE.items()
    )


def compute_error(points: list[dict], quantity: Quantity) -> float:
    """Return two standard errors of ``compute_added``."""
    errors = (
        fit_slope(points, axis, quantity).error * (count - 1)
        for axis, count in TARGET_SIZE.items()
    )
    return 2 * sqrt(sum(error**2 for error in errors))


def compute_total(points: list[dict], quantity: Quantity) -> float:
    """Return a quantity at the target size."""
    return read_base(points, quantity) + compute_added(points, quantity)


def count_chunks(points: list[dict]) -> int:
    """Return the number of store values of a bundle of the target size."""
    return -(-int(compute_total(points, BUNDLE) * 1e6) // STORE_VALUE_BYTES)


def read_store_rate(points: list[dict], name: str) -> float:
    """Return the store calls per second of one daemon without changes.

    All points are used, because a single window contains too few calls.
    """
    calls = sum(item["quiet"]["store_calls"][name] for item in points)
    daemon_seconds = sum(i["quiet"]["seconds"] * i["point"]["daemons"] for i in points)
    return calls / daemon_seconds
