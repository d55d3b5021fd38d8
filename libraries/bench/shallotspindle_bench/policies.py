"""Experiment that compares policies of choice and of health.

The decision libraries run unchanged on a simulated clock in front of simulated
upstreams. Runs with the same seed see the same arrivals. Prints JSON.
"""

import json
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from random import Random

from cyclopts import App

from shallotspindle_bench.policies_fleet import Fleet, Setup
from shallotspindle_bench.policies_world import (
    KINDS,
    MEAN_SERVICE_SECONDS,
    Events,
    Fault,
    Request,
    SimulatedUpstream,
)
from shallotspindle_bundles.records import Upstream
from shallotspindle_routing.policies import POLICIES

FAULT_START_SECONDS = 15.0
TIMEOUT_SECONDS = 2.0
UTILISATION = 0.6
LARGE_TEAM_PART = 0.4
EXCESS_FACTOR = 8.0
POLL_SECONDS = 0.25

app = App(name="policies", help="Compare policies of choice and of health.")


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes of one service of a deployment.

    :param delay: delay between failure domains, in seconds.
    """

    domains: int
    upstreams: int
    instances: int
    teams: int
    delay: float


DEPLOYMENTS = {
    "gyngehest-catalogue": Deployment(3, 20, 44, 8, 0.0005),
    "gyngehest-photos": Deployment(3, 6, 44, 8, 0.0005),
    "vandersteen-stock": Deployment(4, 30, 44, 8, 0.001),
    "vandersteen-delivery": Deployment(4, 8, 44, 8, 0.001),
}
SCENARIOS: dict[str, Fault | None] = {
    "healthy": None,
    "gray": Fault(FAULT_START_SECONDS, slowness=8.0),
    "half-answers": Fault(FAULT_START_SECONDS, truncates=0.5),
    "flapping": Fault(FAULT_START_SECONDS, errors=1.0, period=5.0),
    "healthy-to-probes": Fault(FAULT_START_SECONDS, errors=1.0),
    "one-way-cut": None,
    "excess-team": None,
}


@dataclass(frozen=True, slots=True)
class Run:
    """One cell of the experiment."""

    deployment: str
    scenario: str
    policy: str
    health: str
    seed: int
    seconds: float


@dataclass(slots=True)
class Watch:
    """Watches the ejections during a run."""

    bad: str | None
    cut: int | None
    detected: float | None = None
    false_ejections: int = 0
    fleet_wide: int = 0
    _out: dict[int, frozenset[str]] = field(default_factory=dict)
    _wide: frozenset[str] = frozenset()

    def poll(self, fleet: Fleet) -> None:
        """Look at which upstreams each instance uses."""
        now = fleet.events.now
        counts: dict[str, int] = defaultdict(int)
        for number, item in enumerate(fleet.instances):
            used = item.health.find_weights(now).keys()
            out = frozenset(fleet.upstreams) - used
            for name in out:
                counts[name] += 1
            fresh = out - self._out.get(number, frozenset()) - {self.bad}
            self._out[number] = out
            if number != self.cut:
                self.false_ejections += len(fresh)
        half = len(fleet.instances) / 2
        wide = frozenset(name for name, count in counts.items() if count >= half)
        self.fleet_wide += len(wide - self._wide - {self.bad})
        self._wide = wide
        if self.bad in wide and self.detected is None:
            self.detected = now - FAULT_START_SECONDS
        fleet.events.call_later(POLL_SECONDS, lambda: self.poll(fleet))


def build_upstreams(
    deployment: Deployment, events: Events, random: Random, fault: Fault | None
) -> dict[str, SimulatedUpstream]:
    """Create the upstreams; the first one gets the fault."""
    found = {}
    for number in range(deployment.upstreams):
        name = f"u{number:02}"
        domain = f"d{number % deployment.domains}"
        record = Upstream(name, f"10.1.0.{number}:80", domain)
        source = Random(random.random())
        item = SimulatedUpstream(record, events, source, fault if not number else None)
        found[name] = item
    return found


def find_parts(deployment: Deployment) -> dict[str, float]:
    """Return the part of the agreed traffic by team."""
    small = (1 - LARGE_TEAM_PART) / (deployment.teams - 1)
    numbers = range(deployment.teams)
    return {f"t{number}": small if number else LARGE_TEAM_PART for number in numbers}


def plan_requests(
    deployment: Deployment, scenario: str, seconds: float, random: Random
) -> list[Request]:
    """Draw the arrivals; the first team is large, the last may exceed its rate."""
    total = UTILISATION * 2 * deployment.upstreams / MEAN_SERVICE_SECONDS
    requests: list[Request] = []
    for number, part in enumerate(find_parts(deployment).values()):
        rate = total * part
        time = 0.0
        while time < seconds:
            excess = scenario == "excess-team" and number == deployment.teams - 1
            late = time >= FAULT_START_SECONDS
            time += random.expovariate(rate * (EXCESS_FACTOR if excess and late else 1))
            requests.append(
                draw_request(len(requests), number, time, deployment, random)
            )
    return requests


def draw_request(
    number: int, team: int, time: float, deployment: Deployment, random: Random
) -> Request:
    """Draw kind and instance of a request."""
    kind = random.choices(KINDS, [item.part for item in KINDS])[0]
    instance = random.randrange(deployment.instances)
    fingerprint = random.getrandbits(64)
    deadline = time + TIMEOUT_SECONDS
    return Request(number, f"t{team}", kind, instance, time, deadline, fingerprint)


def measure(run: Run) -> dict:
    """Run one cell and return its figures."""
    deployment = DEPLOYMENTS[run.deployment]
    random = Random(f"{run.seed}/{run.deployment}/{run.scenario}")
    events = Events()
    fault = SCENARIOS[run.scenario]
    requests = plan_requests(deployment, run.scenario, run.seconds, random)
    upstreams = build_upstreams(deployment, events, random, fault)
    cut = None
    if run.scenario == "one-way-cut":
        near = [n for n, item in upstreams.items() if item.record.domain == "d0"]
        cut = (1, frozenset(near))
    floor = max(1, round(0.7 * deployment.upstreams))
    parts = find_parts(deployment)
    setup = Setup(
        run.policy, run.health == "naive", floor, deployment.delay, parts, cut
    )
    domains = [f"d{number}" for number in range(deployment.domains)]
    fleet = Fleet(events, upstreams, domains, deployment.instances, random, setup)
    for request in requests:
        arrive = fleet.instances[request.instance].arrive
        events.call_at(request.arrived, lambda r=request, arrive=arrive: arrive(r))
    watch = Watch("u00" if fault else None, cut[0] if cut else None)
    events.call_at(POLL_SECONDS, lambda: watch.poll(fleet))
    events.run(run.seconds + TIMEOUT_SECONDS + 0.1)
    return {
        **asdict(run),
        **summarise(requests, run, deployment),
        "seconds_to_detect": watch.detected,
        "false_ejections": watch.false_ejections,
        "false_ejections_by_half_of_fleet": watch.fleet_wide,
        "peer_messages": fleet.messages,
        "mean_limit": sum(i.dispatcher.concurrency_limit for i in fleet.instances)
        / len(fleet.instances),
    }


def summarise(requests: list[Request], run: Run, deployment: Deployment) -> dict:
    """Reduce the requests from the start of the fault to figures."""
    late = [item for item in requests if item.arrived >= FAULT_START_SECONDS]
    excess = f"t{deployment.teams - 1}" if run.scenario == "excess-team" else ""
    within = [item for item in late if item.team != excess]
    by_team = defaultdict(list)
    for item in within:
        by_team[item.team].append(item)
    latencies = sorted(item.ended - item.arrived for item in within if item.whole)
    return {
        "requests": len(within),
        "worst_team": round(min(weigh_answers(items) for items in by_team.values()), 5),
        "answered": round(weigh_answers(within), 5),
        "refused_within_rate": sum(item.refused for item in within),
        "p50_ms": round(1000 * latencies[len(latencies) // 2], 1),
        "p99_ms": round(1000 * latencies[int(len(latencies) * 0.99)], 1),
        "attempts": round(sum(item.attempts for item in late) / len(late), 4),
        "most_attempts": max(item.attempts for item in late),
    }


def weigh_answers(requests: list[Request]) -> float:
    """Return the part that was answered whole and on time, weighted by kind."""
    total = sum(item.kind.weight for item in requests)
    return sum(item.kind.weight for item in requests if item.whole) / total


def plan_runs(seed: int, seconds: float, names: list[str]) -> list[Run]:
    """Return all policies with the real health, and one with the naive health."""
    variants = [(policy, "shallotspindle") for policy in POLICIES]
    variants.append(("power-of-two", "naive"))
    return [
        Run(deployment, scenario, policy, health, seed, seconds)
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
    """Run the experiment and print one JSON object for each cell.

    :param seconds: simulated time of each cell, in seconds.
    :param scenario: one scenario only.
    :param policy: one policy only.
    :param workers: processes that run cells.
    """
    runs = [
        run
        for run in plan_runs(seed, seconds, list(deployment))
        if scenario in {"", run.scenario} and policy in {"", run.policy}
    ]
    with ProcessPoolExecutor(workers) as pool:
        for figures in pool.map(measure, runs):
            sys.stdout.write(json.dumps(figures) + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    app()
