"""Measures the cost of the configuration and the registry of a gateway by their size.

    PYTHONPATH=platform python tools/gateway_sizes.py

Prints the processor time and memory of decoding a configuration with teams and routes
and of filling a directory of upstreams, for growing sizes.
"""

import json
import time
import tracemalloc

from shallotspindle_adapter.documents import PlatformDecoder
from shallotspindle_registry.directory import UpstreamDirectory

SIZES = ((8, 8, 30), (1_000, 500, 1_000), (4_000, 2_000, 3_000), (37_000, 4_100, 6_300))


def build_configuration(teams: int, routes: int) -> bytes:
    """Return a configuration document with two keys per team."""
    document = {
        "version": "r1",
        "routes": {
            f"route-{n}": {
                "host": f"host-{n % 50}.example",
                "prefix": f"/p{n}/",
                "kind": "idempotent",
                "service": f"service-{n % 150}",
                "timeout": "800ms",
                "targetLatency": "500ms",
            }
            for n in range(routes)
        },
        "tenants": {
            f"team-{n}": {
                "apiKeys": [f"key-{n}-a-0123456789", f"key-{n}-b-0123456789"],
                "ratePerS": 41,
                "burst": 41,
            }
            for n in range(teams)
        },
    }
    return json.dumps(document).encode()


def build_announcement(number: int) -> bytes:
    """Return the announcement of one upstream."""
    service = f"service-{number % 150}"
    return json.dumps(
        {
            "address": f"10.0.{number // 250}.{number % 250}:8080",
            "info": {"service": service, "zone": "a", "slots": 2, "version": "v1"},
            "status": {"state": "ready", "seq": 1, "coldLeft": "0ms"},
            "born": 1767272569000,
        }
    ).encode()


def measure(build) -> tuple[float, float]:
    """Return the processor seconds of a function and the megabytes of its result.

    Time and memory are measured in separate runs, because ``tracemalloc`` slows the
    code down.
    """
    tracemalloc.start()
    result = build()
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    build()
    seconds = time.process_time() - started
    del result
    return seconds, memory_bytes / 1e6


def main() -> None:
    """Print a line per size."""
    decoder = PlatformDecoder()
    for teams, routes, upstreams in SIZES:
        document = build_configuration(teams, routes)
        announcements = [
            (f"servers/i-{n}", build_announcement(n)) for n in range(upstreams)
        ]

        def fill_directory(announcements=announcements) -> UpstreamDirectory:
            directory = UpstreamDirectory()
            decoded = (
                decoder.decode_announcement(*announcement).ok
                for announcement in announcements
            )
            directory.replace_all(decoded, 0.0)
            return directory

        def decode(document=document):
            return decoder.decode_configuration(document)

        config_seconds, config_megabytes = measure(decode)
        fill_seconds, fill_megabytes = measure(fill_directory)
        print(
            f"teams {teams} routes {routes}: document {len(document) / 1e6:.2f} MB, "
            f"decode {config_seconds:.3f} s, kept {config_megabytes:.2f} MB; "
            f"upstreams {upstreams}: {fill_seconds:.3f} s, {fill_megabytes:.2f} MB"
        )


if __name__ == "__main__":
    main()
