"""Measures what a request asks of the directory of upstreams, at the target's size.

    python tools/directory_cost.py

Prints the processor time of counting the upstreams of a service by failure domain,
while nothing changes and right after a change.
"""

import time
from dataclasses import replace

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_registry.directory import UpstreamDirectory
from shallotspindle_registry.records import AnnouncedState, Announcement

UPSTREAMS = 6_300
SERVICES = 150
DOMAINS = 8
QUESTIONS = 200_000
CHANGES = 300
MICROSECONDS = 1e6


def announce(number: int) -> Announcement:
    """Return the announcement of one upstream."""
    return Announcement(
        UpstreamName(f"upstream-{number}"),
        name_service(number),
        f"10.0.{number // 250}.{number % 250}:8080",
        FailureDomain(f"domain-{number // SERVICES % DOMAINS}"),
        AnnouncedState.READY,
        2,
        1,
    )


def name_service(number: int) -> ServiceName:
    """Return the service of an upstream; all services have the same size."""
    return ServiceName(f"service-{number % SERVICES}")


def build_directory() -> UpstreamDirectory:
    """Return a directory of the target's size."""
    directory = UpstreamDirectory()
    directory.replace_all(map(announce, range(UPSTREAMS)), 0.0)
    return directory


def measure_quiet(directory: UpstreamDirectory) -> float:
    """Return microseconds of a question while nothing changes."""
    services = [name_service(number) for number in range(SERVICES)]
    for service in services:
        directory.count_usable_by_domain(service)
    started = time.process_time()
    for number in range(QUESTIONS):
        directory.count_usable_by_domain(services[number % SERVICES])
    return (time.process_time() - started) / QUESTIONS * MICROSECONDS


def measure_changed(directory: UpstreamDirectory) -> float:
    """Return microseconds of the first question about a service after a change."""
    spent = 0.0
    for number in range(CHANGES):
        found = announce(number)
        directory.apply_announcement(replace(found, slots=3), 1.0)
        started = time.process_time()
        directory.count_usable_by_domain(found.service)
        spent += time.process_time() - started
    return spent / CHANGES * MICROSECONDS


def main() -> None:
    directory = build_directory()
    print(f"quiet\t{measure_quiet(directory):.2f} us")
    print(f"after a change\t{measure_changed(directory):.1f} us")


if __name__ == "__main__":
    main()
