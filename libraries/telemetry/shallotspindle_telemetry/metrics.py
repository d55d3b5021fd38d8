"""Metrics of the entry daemon in the Prometheus text format.

The number of label values is bounded: routes, statuses and kinds of problems come from
the bundle and the code, never from callers.
"""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Registry, render


class RequestMetrics:
    """Counts responses and exports the state of the instance."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._responses = Counter(
            "shallotspindle_answers_total",
            "Answers to callers by route, status and kind of problem.",
            registry=self._registry,
        )
        self._version = Gauge(
            "shallotspindle_bundle_version",
            "Version of the bundle in force.",
            registry=self._registry,
        )
        self._rejected = Gauge(
            "shallotspindle_bundle_rejected",
            "Whether the accepted bundle is invalid here; an older one is in force.",
            registry=self._registry,
        )
        self._running = Gauge(
            "shallotspindle_running_requests",
            "Requests in work.",
            registry=self._registry,
        )
        self._unexpected_errors = Counter(
            "shallotspindle_unexpected_errors_total",
            "Unexpected errors by what was being handled; each is a fault to report.",
            registry=self._registry,
        )
        self._peer_bytes = Gauge(
            "shallotspindle_peer_bytes",
            "Bytes exchanged with other instances by direction.",
            registry=self._registry,
        )

    def count_response(self, route: str, status: int, kind: str) -> None:
        """Count one response.

        :param kind: kind of problem; empty for a response without one.
        """
        labels = {"route": route, "status": str(status), "problem": kind}
        self._responses.inc(labels)

    def set_state(self, version: int, running: int) -> None:
        """Set the gauges of the bundle version and of the running requests."""
        self._version.set({}, version)
        self._running.set({}, running)

    def set_rejected(self, is_rejected: bool) -> None:
        """Set the gauge that tells whether the accepted bundle was rejected."""
        self._rejected.set({}, int(is_rejected))

    def set_peer_traffic(self, sent_bytes: int, received_bytes: int) -> None:
        """Set the numbers of bytes exchanged with peers since the start."""
        self._peer_bytes.set({"direction": "sent"}, sent_bytes)
        self._peer_bytes.set({"direction": "received"}, received_bytes)

    def set_unexpected_errors(self, counts: Mapping[str, int]) -> None:
        """Set the numbers of unexpected errors since the start, by kind."""
        for kind, count in counts.items():
            self._unexpected_errors.set({"kind": kind}, count)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics as text, and the headers of the HTTP response."""
        return render(self._registry, ["text/plain"])
