"""Estimates the load of an upstream from a report that loses weight with its age."""

from dataclasses import dataclass

# Upstreams finish most requests within tenths of a second, which changes their load.
HALF_LIFE_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream reported with a response.

    :param load: requests that run or wait in the upstream, divided by its slots.
    :param received_at: local time of receipt, in seconds.
    """

    load: float
    received_at: float


def estimate_load(report: LoadReport | None, average_load: float, now: float) -> float:
    """Return the expected load, which moves to the average as the report ages.

    :param average_load: average of the loads reported by upstreams of the service.
    """
    if report is None:
        return average_load
    age = max(0.0, now - report.received_at)
    weight = 0.5 ** (age / HALF_LIFE_SECONDS)
    return average_load + weight * (report.load - average_load)
