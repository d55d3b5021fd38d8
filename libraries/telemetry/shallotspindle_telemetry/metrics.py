"""Metrics of the daemon in Prometheus' text format.

Labels have bounded values: routes, statuses and kinds of problem come from the
bundle and the code, never from callers.
"""

from aioprometheus import Counter, Gauge, Registry, render


class RequestMetrics:
    """Counts answers and shows the state of the instance."""

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
        self._running = Gauge(
            "shallotspindle_running_requests",
            "Requests in work.",
            registry=self._registry,
        )
        self._peer_bytes = Gauge(
            "shallotspindle_peer_bytes",
            "Bytes exchanged with other instances by direction.",
            registry=self._registry,
        )

    def count_response(self, route: str, status: int, kind: str) -> None:
        """Count one answer."""
        labels = {"route": route, "status": str(status), "problem": kind}
        self._responses.inc(labels)

    def set_state(self, version: int, running: int) -> None:
        """Set the gauges of the instance."""
        self._version.set({}, version)
        self._running.set({}, running)

    def set_peer_traffic(self, sent: int, received: int) -> None:
        """Set the bytes of the peers' traffic since the start."""
        self._peer_bytes.set({"direction": "sent"}, sent)
        self._peer_bytes.set({"direction": "received"}, received)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the text and its headers."""
        return render(self._registry, ["text/plain"])
