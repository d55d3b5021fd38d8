"""Load that upstreams report, weighed by the age of the report."""

from dataclasses import dataclass

# Half-life of a report; upstreams finish most requests within tenths of a second.
HALF_LIFE_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream said of itself.

    :param load: requests that it runs or queues, divided by its slots.
    :param at: local time of receipt, in seconds.
    """

    load: float
    at: float


def estimate(report: LoadReport | None, typical: float, now: float) -> float:
    """Return the expected load; an old report tends to the typical load.

    :param typical: mean of the reported loads in the service.
    """
    if report is None:
        return typical
    age = max(0.0, now - report.at)
    trust = 0.5 ** (age / HALF_LIFE_SECONDS)
    return typical + trust * (report.load - typical)
