"""Replays traces of the specifications on the libraries.

Each step label of a trace is executed on the libraries, those of ownership by its test
harness, so that specification and code can be compared after each step.
"""

from collections import deque
from collections.abc import Callable, Iterator

from shallotspindle_core.identifiers import Instance
from shallotspindle_idempotency import ledger as ledgers
from shallotspindle_idempotency.ledger import RETENTION_SECONDS, ClaimLedger
from shallotspindle_idempotency.messages import AbandonReport, ClaimGrant, ClaimRequest
from shallotspindle_model import expiry, termination
from shallotspindle_model.claims import HOLDERS
from shallotspindle_model.specification import RemovedRules, Specification
from shallotspindle_ownership.harness import SimulatedFleet, WriteDelivery
from shallotspindle_ownership.sessions import CONNECTED_SECONDS, SESSION_TIMEOUT_SECONDS

Trace = list[tuple[str, object]]
PARTITION = 0


def list_traces(specification: Specification, every: int) -> Iterator[Trace]:
    """Yield a shortest trace to every n-th reachable state, in breadth-first order.

    :param every: 1 for the traces to all states.
    """
    no_rules: RemovedRules = frozenset()
    predecessors = {specification.initial: None}
    queue = deque([specification.initial])
    while queue:
        state = queue.popleft()
        for label, successor in specification.list_steps(state, no_rules):
            if successor in predecessors:
                continue
            predecessors[successor] = (label, state)
            queue.append(successor)
            if len(predecessors) % every == 0:
                yield _build_trace(predecessors, successor)


def _build_trace(predecessors: dict, state: object) -> Trace:
    steps = []
    while predecessors[state] is not None:
        label, before = predecessors[state]
        steps.append((label, state))
        state = before
    return steps[::-1]


class FleetReplay:
    """Executes the steps of a specification of ownership on a simulated fleet.

    :param healthy: instances that renew their sessions after every tick and change of
        the store.
    """

    def __init__(
        self, names: tuple[str, ...], tick_seconds: float, healthy: tuple[str, ...]
    ) -> None:
        self.fleet = SimulatedFleet(names)
        self._tick_seconds = tick_seconds
        self._healthy = healthy
        self._delayed_writes: list[str] = []
        for name in names:
            self.fleet.renew(name, WriteDelivery.ACKNOWLEDGED)
        if "S" in names:
            self.fleet.acquire("S", [PARTITION], WriteDelivery.ACKNOWLEDGED)
        self._steps = self._list_steps()

    def apply(self, label: str) -> bool:
        """Execute a step and return whether the library allows it."""
        return self._steps[label]()

    def list_acting(self) -> list[str]:
        return self.fleet.list_acting(PARTITION)

    def _list_steps(self) -> dict[str, Callable[[], bool]]:
        fleet = self.fleet
        steps = {
            "tick": self._tick,
            "store": self._toggle_store,
            "crash": lambda: fleet.kill("S"),
            "unlist": lambda: fleet.unlist("S"),
            "lose message": lambda: bool(fleet.messages) and fleet.lose_message(0),
            "deliver": lambda: bool(fleet.messages) and fleet.deliver_message(0),
            "renew": lambda: fleet.renew("S", WriteDelivery.ACKNOWLEDGED),
            "renew, response lost": lambda: fleet.renew(
                "S", WriteDelivery.RESPONSE_LOST
            ),
            "renew, delayed": lambda: self._run_with_delayed_write(
                "renewal", lambda: fleet.renew("S", WriteDelivery.DELAYED)
            ),
            "renewal takes effect": lambda: self._apply_delayed_write("renewal", "S"),
            "lose renewal": lambda: self._drop_delayed_write("renewal"),
            "read back": lambda: fleet.read_own_session("S"),
            "hand over": lambda: self._hand_over(WriteDelivery.ACKNOWLEDGED),
            "hand over, delayed": lambda: self._run_with_delayed_write(
                "handover", lambda: self._hand_over(WriteDelivery.DELAYED)
            ),
            "handover takes effect": lambda: self._apply_delayed_write(
                "handover", None
            ),
            "hand over without the store": self._hand_over_without_store,
            "U records": lambda: (
                fleet.read_table("U")
                and fleet.record_handovers("U", WriteDelivery.ACKNOWLEDGED)
            ),
            "reclaim": lambda: self._run_with_delayed_write("reclaim", self._reclaim),
            "reclaim takes effect": lambda: self._apply_delayed_write("reclaim", "S"),
            "V reads session": lambda: fleet.observe_session("V", "S"),
            "V takes over": lambda: self._run_with_delayed_write(
                "takeover", lambda: fleet.take_over("V", "S", WriteDelivery.DELAYED)
            ),
            "takeover takes effect": lambda: self._apply_delayed_write("takeover", "V"),
        }
        for name in ("U", "V"):
            steps.update(self._list_race_steps(name))
        return steps

    def _list_race_steps(self, name: str) -> dict[str, Callable[[], bool]]:
        write = f"write of {name}"
        return {
            f"{name} reads table": lambda: self.fleet.read_table(name),
            f"{name} writes, delayed": lambda: self._run_with_delayed_write(
                write, lambda: self._acquire(name)
            ),
            f"{write} takes effect": lambda: self._apply_delayed_write(write, None),
            f"{write} is lost": lambda: self._drop_delayed_write(write),
        }

    def _tick(self) -> bool:
        self.fleet.advance(self._tick_seconds)
        return self._renew_healthy()

    def _toggle_store(self) -> bool:
        self.fleet.is_store_up = not self.fleet.is_store_up
        return self._renew_healthy()

    def _renew_healthy(self) -> bool:
        for name in self._healthy:
            self.fleet.renew(name, WriteDelivery.ACKNOWLEDGED)
        return True

    def _run_with_delayed_write(self, name: str, step: Callable[[], bool]) -> bool:
        """Execute a step and remember the delayed write that it sends, if any."""
        before = len(self.fleet.delayed_writes)
        allowed = step()
        if len(self.fleet.delayed_writes) > before:
            self._delayed_writes.append(name)
        return allowed

    def _apply_delayed_write(self, name: str, reader: str | None) -> bool:
        if name not in self._delayed_writes:
            return False
        index = self._delayed_writes.index(name)
        self._delayed_writes.pop(index)
        self.fleet.apply_delayed_write(index)
        return reader is None or self.fleet.read_table(reader)

    def _drop_delayed_write(self, name: str) -> bool:
        if name not in self._delayed_writes:
            return False
        index = self._delayed_writes.index(name)
        self._delayed_writes.pop(index)
        self.fleet.delayed_writes.pop(index)
        return True

    def _hand_over(self, delivery: WriteDelivery) -> bool:
        self.fleet.read_table("S")
        offered = self.fleet.offer("S", "U", [PARTITION])
        return offered and self.fleet.hand_over("S", "U", delivery)

    def _hand_over_without_store(self) -> bool:
        offered = self.fleet.offer("S", "U", [PARTITION])
        return offered and self.fleet.hand_over_without_store("S", "U")

    def _reclaim(self) -> bool:
        self.fleet.read_table("S")
        return self.fleet.acquire("S", [], WriteDelivery.DELAYED)

    def _acquire(self, name: str) -> bool:
        self.fleet.read_table(name)
        return self.fleet.acquire(name, [PARTITION], WriteDelivery.DELAYED)


def replay_termination() -> FleetReplay:
    tick_seconds = CONNECTED_SECONDS / termination.CONNECTED_TICKS
    return FleetReplay(("S", "U", "V"), tick_seconds, ("U", "V"))


def replay_expiry() -> FleetReplay:
    return FleetReplay(
        ("S", "U", "V"),
        SESSION_TIMEOUT_SECONDS / expiry.SESSION_TIMEOUT_TICKS,
        ("U", "V"),
    )


def replay_race() -> FleetReplay:
    return FleetReplay(("U", "V"), 0.0, ("U", "V"))


class ClaimsReplay:
    """Executes the steps of the specification of claims on claim ledgers."""

    KEY = b"key"

    def __init__(self) -> None:
        self.now = 0.0
        self.ledgers: dict[str, ClaimLedger] = {"S": ClaimLedger()}
        self._message = None

    def apply(self, label: str) -> bool:
        """Execute a step and return whether the library allows it."""
        holder, verb, *rest = [*label.split(), ""]
        if verb == "grants":
            return self._claim(holder, int(rest[0]))
        if verb == "releases":
            message = AbandonReport(PARTITION, self.KEY, int(rest[0]))
            self.ledgers[holder].abandon(message, self._make_requester(int(rest[0])))
            return True
        return self._apply_other_step(label)

    def _claim(self, holder: str, attempt: int) -> bool:
        if holder not in self.ledgers:
            return False
        message = ClaimRequest(PARTITION, self.KEY, b"body", attempt)
        ledger = self.ledgers[holder]
        return (
            ledger.claim(message, self._make_requester(attempt), self.now)
            == ClaimGrant()
        )

    def _apply_other_step(self, label: str) -> bool:
        match label:
            case "hand over":
                self._message = self.ledgers.pop("S").export(self.now)
            case "crash" | "session times out":
                self.ledgers.pop("S", None)
            case "deliver":
                self.ledgers["U"] = ledgers.restore(self._message, self.now)
            case "V takes over":
                # The other specifications show that at most one instance acts.
                if self.ledgers:
                    return False
                self.ledgers["V"] = ClaimLedger(self.now + RETENTION_SECONDS)
            case "retention period ends":
                self.now += RETENTION_SECONDS
        return True

    def list_granted(self) -> list[bool]:
        """Return for each holder whether it has a granted claim of the key."""
        return [
            name in self.ledgers and self.ledgers[name].has_claim(self.KEY)
            for name in HOLDERS
        ]

    @staticmethod
    def _make_requester(attempt: int) -> Instance:
        return Instance(f"requester {attempt}", f"10.0.0.{attempt}:1", "d")
