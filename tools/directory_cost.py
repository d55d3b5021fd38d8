"""Measures the cost of the directory lookup of a request, at the target size.

    python tools/directory_cost.py

Prints the processor time of counting the usable upstreams of a service by failure
domain, while nothing changes and right after a change.
"""

import time
from dataclasses import replace

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_registry.directory import UpstreamDirectory
from shallotspindle_registry.records import AnnouncedState, Announcement

UPSTREAM_COUNT = 6_300
SERVICE_COUNT = 150
FAILURE_DOMAIN_COUNT = 8
LOOKUP_COUNT = 200_000
CHANGE_COUNT = 300
MICROSECONDS_PER_SECOND = 1e6


def build_announcement(number: int) -> Announcement:
    """Return the announcement of one upstream."""
    return Announcement(
        UpstreamName(f"upstream-{number}"),
        get_service_name(number),
        f"10.0.{number // 250}.{number % 250}:8080",
        FailureDomain(f"domain-{number // SERVICE_COUNT % FAILURE_DOMAIN_COUNT}"),
        AnnouncedState.READY,
        2,
        1,
    )


def get_service_name(number: int) -> ServiceName:
    """Return the service of an upstream; all services are of the same size."""
    return ServiceName(f"service-{number % SERVICE_COUNT}")


def build_directory() -> UpstreamDirectory:
    """Return a directory of the target size."""
    directory = UpstreamDirectory()
    directory.replace_all(map(build_announcement, range(UPSTREAM_COUNT)), 0.0)
    return directory


def measure_unchanged(directory: UpstreamDirectory) -> float:
    """Return the time of a lookup while nothing changes, in microseconds."""
    services = [get_service_name(number) for number in range(SERVICE_COUNT)]
    for service in services:
        directory.count_usable_by_domain(service)
    started = time.process_time()
    for number in range(LOOKUP_COUNT):
        directory.count_usable_by_domain(services[number % SERVICE_COUNT])
    return (time.process_time() - started) / LOOKUP_COUNT * MICROSECONDS_PER_SECOND


def measure_changed(directory: UpstreamDirectory) -> float:
    """Return the time of the first lookup after a change, in microseconds."""
    total_seconds = 0.0
    for number in range(CHANGE_COUNT):
        announcement = build_announcement(number)
        directory.apply_announcement(replace(announcement, slots=3), 1.0)
        started = time.process_time()
        directory.count_usable_by_domain(announcement.service)
        total_seconds += time.process_time() - started
    return total_seconds / CHANGE_COUNT * MICROSECONDS_PER_SECOND


def main() -> None:
    directory = build_directory()
    print(f"quiet\t{measure_unchanged(directory):.2f} us")
    print(f"after a change\t{measure_changed(directory):.1f} us")


if __name__ == "__main__":
    main()
