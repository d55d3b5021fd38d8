"""Experiment that compares load balancing policies and health detection.

The decision libraries run unchanged on a simulated clock in front of simulated
upstreams. Runs with the same seed have the same arrivals. Prints JSON.
"""

import json
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from random import Random

from cyclopts import App

from shallotspindle_bench.policies_fleet import FleetSettings, SimulatedFleet
from shallotspindle_bench.policies_simulation import (
    KINDS,
    MEAN_SERVICE_SECONDS,
    EventQueue,
    Request,
    SimulatedUpstream,
    UpstreamFault,
)
from shallotspindle_bundles.records import Upstream
from shallotspindle_routing.policies import POLICIES

FAULT_START_SECONDS = 15.0
REQUEST_TIMEOUT_SECONDS = 2.0
UTILISATION = 0.6
LARGE_TEAM_FRACTION = 0.4
EXCESS_FACTOR = 8.0
POLL_INTERVAL_SECONDS = 0.25

app = App(name="policies", help="Compare load balancing policies and health detection.")


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes of one service of a deployment.

    :param cross_domain_delay_seconds: network delay between failure domains.
    """

    domain_count: int
    upstream_count: int
    instance_count: int
    team_count: int
    cross_domain_delay_seconds: float


DEPLOYMENTS = {
    "gyngehest-catalogue": Deployment(3, 20, 44, 8, 0.0005),
    "gyngehest-photos": Deployment(3, 6, 44, 8, 0.0005),
    "vandersteen-stock": Deployment(4, 30, 44, 8, 0.001),
    "vandersteen-delivery": Deployment(4, 8, 44, 8, 0.001),
}
SCENARIOS: dict[str, UpstreamFault | None] = {
    "healthy": None,
    "gray": UpstreamFault(FAULT_START_SECONDS, slowdown_factor=8.0),
    "half-answers": UpstreamFault(FAULT_START_SECONDS, truncation_probability=0.5),
    "flapping": UpstreamFault(
        FAULT_START_SECONDS, error_probability=1.0, period_seconds=5.0
    ),
    "healthy-to-probes": UpstreamFault(FAULT_START_SECONDS, error_probability=1.0),
    "one-way-cut": None,
    "excess-team": None,
}


@dataclass(frozen=True, slots=True)
class ExperimentRun:
    """Parameters of one run of the experiment.

    :param health: ``shallotspindle`` or ``naive``.
    :param seconds: simulated time.
    """

    deployment: str
    scenario: str
    policy: str
    health: str
    seed: int
    seconds: float


@dataclass(slots=True)
class EjectionMonitor:
    """Records the ejections during a run.

    :param faulty_upstream: name of the upstream with a fault, if there is one.
    :param cut_off_instance: index of the instance that cannot reach some upstreams; its
        ejections are justified.
    :param detection_seconds: time from the start of the fault until half of the
        instances have ejected the faulty upstream.
    :param false_ejections: ejections of healthy upstreams by single instances.
    :param fleet_wide_ejections: ejections of healthy upstreams by half of the
        instances.
    """

    faulty_upstream: str | None
    cut_off_instance: int | None
    detection_seconds: float | None = None
    false_ejections: int = 0
    fleet_wide_ejections: int = 0
    _ejected_by_instance: dict[int, frozenset[str]] = field(default_factory=dict)
    _fleet_wide_ejected: frozenset[str] = frozenset()

    def poll(self, fleet: SimulatedFleet) -> None:
        """Compare the upstreams that each instance uses with those of the last poll."""
        now = fleet.events.now
        counts: dict[str, int] = defaultdict(int)
        for number, item in enumerate(fleet.instances):
            used = item.health.find_weights(now).keys()
            ejected = frozenset(fleet.upstreams) - used
            for name in ejected:
                counts[name] += 1
            newly_ejected = (
                ejected
                - self._ejected_by_instance.get(number, frozenset())
                - {self.faulty_upstream}
            )
            self._ejected_by_instance[number] = ejected
            if number != self.cut_off_instance:
                self.false_ejections += len(newly_ejected)
        half = len(fleet.instances) / 2
        fleet_wide_ejected = frozenset(
            name for name, count in counts.items() if count >= half
        )
        self.fleet_wide_ejections += len(
            fleet_wide_ejected - self._fleet_wide_ejected - {self.faulty_upstream}
        )
        self._fleet_wide_ejected = fleet_wide_ejected
        if (
            self.faulty_upstream in fleet_wide_ejected
            and self.detection_seconds is None
        ):
            self.detection_seconds = now - FAULT_START_SECONDS
        fleet.events.call_later(POLL_INTERVAL_SECONDS, lambda: self.poll(fleet))


def build_upstreams(
    deployment: Deployment,
    events: EventQueue,
    random_source: Random,
    fault: UpstreamFault | None,
) -> dict[str, SimulatedUpstream]:
    """Build the upstreams; the first one gets the fault."""
    upstreams = {}
    for number in range(deployment.upstream_count):
        name = f"u{number:02}"
        domain = f"d{number % deployment.domain_count}"
        record = Upstream(name, f"10.1.0.{number}:80", domain)
        upstream_random = Random(random_source.random())
        upstream = SimulatedUpstream(
            record, events, upstream_random, fault if not number else None
        )
        upstreams[name] = upstream
    return upstreams


def get_traffic_fractions(deployment: Deployment) -> dict[str, float]:
    """Return the fraction of the agreed traffic by team."""
    small = (1 - LARGE_TEAM_FRACTION) / (deployment.team_count - 1)
    numbers = range(deployment.team_count)
    return {
        f"t{number}": small if number else LARGE_TEAM_FRACTION for number in numbers
    }


def generate_requests(
    deployment: Deployment, scenario: str, seconds: float, random_source: Random
) -> list[Request]:
    """Draw the arrivals; the first team is large, the last one may exceed its rate."""
    total = UTILISATION * 2 * deployment.upstream_count / MEAN_SERVICE_SECONDS
    requests: list[Request] = []
    for number, traffic_fraction in enumerate(
        get_traffic_fractions(deployment).values()
    ):
        rate = total * traffic_fraction
        time = 0.0
        while time < seconds:
            is_excess = (
                scenario == "excess-team" and number == deployment.team_count - 1
            )
            after_fault = time >= FAULT_START_SECONDS
            time += random_source.expovariate(
                rate * (EXCESS_FACTOR if is_excess and after_fault else 1)
            )
            requests.append(
                draw_request(len(requests), number, time, deployment, random_source)
            )
    return requests


def draw_request(
    number: int, team: int, time: float, deployment: Deployment, random_source: Random
) -> Request:
    """Draw the kind, instance and fingerprint of a request."""
    kind = random_source.choices(KINDS, [item.traffic_fraction for item in KINDS])[0]
    instance = random_source.randrange(deployment.instance_count)
    fingerprint = random_source.getrandbits(64)
    deadline = time + REQUEST_TIMEOUT_SECONDS
    return Request(number, f"t{team}", kind, instance, time, deadline, fingerprint)


def measure_run(run: ExperimentRun) -> dict:
    """Simulate one run and return its figures."""
    deployment = DEPLOYMENTS[run.deployment]
    random_source = Random(f"{run.seed}/{run.deployment}/{run.scenario}")
    events = EventQueue()
    fault = SCENARIOS[run.scenario]
    requests = generate_requests(deployment, run.scenario, run.seconds, random_source)
    upstreams = build_upstreams(deployment, events, random_source, fault)
    unreachable = None
    if run.scenario == "one-way-cut":
        blocked_upstreams = [
            n for n, item in upstreams.items() if item.record.domain == "d0"
        ]
        unreachable = (1, frozenset(blocked_upstreams))
    floor = max(1, round(0.7 * deployment.upstream_count))
    traffic_fractions = get_traffic_fractions(deployment)
    settings = FleetSettings(
        run.policy,
        run.health == "naive",
        floor,
        deployment.cross_domain_delay_seconds,
        traffic_fractions,
        unreachable,
    )
    domains = [f"d{number}" for number in range(deployment.domain_count)]
    fleet = SimulatedFleet(
        events, upstreams, domains, deployment.instance_count, random_source, settings
    )
    for request in requests:
        receive = fleet.instances[request.instance].receive_request
        events.call_at(
            request.arrived_at, lambda r=request, receive=receive: receive(r)
        )
    ejection_monitor = EjectionMonitor(
        "u00" if fault else None, unreachable[0] if unreachable else None
    )
    events.call_at(POLL_INTERVAL_SECONDS, lambda: ejection_monitor.poll(fleet))
    events.run(run.seconds + REQUEST_TIMEOUT_SECONDS + 0.1)
    return {
        **asdict(run),
        **summarize_requests(requests, run, deployment),
        "seconds_to_detect": ejection_monitor.detection_seconds,
        "false_ejections": ejection_monitor.false_ejections,
        "false_ejections_by_half_of_fleet": ejection_monitor.fleet_wide_ejections,
        "peer_messages": fleet.message_count,
        "mean_limit": sum(i.dispatcher.concurrency_limit for i in fleet.instances)
        / len(fleet.instances),
    }


def summarize_requests(
    requests: list[Request], run: ExperimentRun, deployment: Deployment
) -> dict:
    """Return the figures of the requests since the start of the fault."""
    after_fault = [item for item in requests if item.arrived_at >= FAULT_START_SECONDS]
    excess_team = (
        f"t{deployment.team_count - 1}" if run.scenario == "excess-team" else ""
    )
    within_rate = [item for item in after_fault if item.team != excess_team]
    by_team = defaultdict(list)
    for item in within_rate:
        by_team[item.team].append(item)
    latencies = sorted(
        item.ended_at - item.arrived_at for item in within_rate if item.is_complete
    )
    return {
        "requests": len(within_rate),
        "worst_team": round(
            min(compute_weighted_success_ratio(items) for items in by_team.values()), 5
        ),
        "answered": round(compute_weighted_success_ratio(within_rate), 5),
        "refused_within_rate": sum(item.is_refused for item in within_rate),
        "p50_ms": round(1000 * latencies[len(latencies) // 2], 1),
        "p99_ms": round(1000 * latencies[int(len(latencies) * 0.99)], 1),
        "attempts": round(
            sum(item.attempts for item in after_fault) / len(after_fault), 4
        ),
        "most_attempts": max(item.attempts for item in after_fault),
    }


def compute_weighted_success_ratio(requests: list[Request]) -> float:
    """Return the ratio of complete responses in time, weighted by kind."""
    total = sum(item.kind.weight for item in requests)
    return sum(item.kind.weight for item in requests if item.is_complete) / total


def list_runs(seed: int, seconds: float, names: list[str]) -> list[ExperimentRun]:
    """Return the runs: all policies with the real health, one with the naive health."""
    variants = [(policy, "shallotspindle") for policy in POLICIES]
    variants.append(("power-of-two", "naive"))
    return [
        ExperimentRun(deployment, scenario, policy, health, seed, seconds)
        for deployment in names
        for scenario in SCENARIOS
        for policy, health in variants
    ]


@app.default
def compare(
    *,
    seed: int = 1,
    seconds: float = 45.0,
    deployment: tuple[str, ...] = tuple(DEPLOYMENTS),
    scenario: str = "",
    policy: str = "",
    workers: int = 4,
) -> None:
    """Run the experiment and print one JSON object per run.

    :param seconds: simulated time of each run, in seconds.
    :param scenario: run only this scenario.
    :param policy: run only this policy.
    :param workers: number of worker processes.
    """
    runs = [
        run
        for run in list_runs(seed, seconds, list(deployment))
        if scenario in {"", run.scenario} and policy in {"", run.policy}
    ]
    with ProcessPoolExecutor(workers) as pool:
        for figures in pool.map(measure_run, runs):
            sys.stdout.write(json.dumps(figures) + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    app()
