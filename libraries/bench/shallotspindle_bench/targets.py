"""Addresses of running instances, and the choice between them."""

from pathlib import Path

from expression import Error, Ok, Result
from pydantic import Field, ValidationError

from shallotspindle_bench.scenarios import Model
from shallotspindle_core.failures import Failure


class Instance(Model):
    """One server that takes requests.

    :param callers: ``ip:port`` for requests.
    :param administration: ``ip:port`` of the readiness endpoint, if there is one.
    :param pid: process that gets signals, if it is a daemon of the fleet.
    """

    name: str
    callers: str
    administration: str = ""
    pid: int = 0


class Target(Model):
    """Everything that a run needs to know of a fleet; ``tools/fleet.py`` prints it."""

    name: str = "fleet"
    instances: tuple[Instance, ...] = Field(min_length=1)
    upstreams: dict[str, str] = {}
    store: str = ""


def load_target(path: Path, name: str) -> Result[Target, tuple[Failure, ...]]:
    """Read the addresses of a fleet, as the first line of a file."""
    try:
        line = path.read_text().partition("\n")[0]
        found = Target.model_validate_json(line)
        return Ok(found.model_copy(update={"name": name}))
    except OSError as error:
        return Error((Failure(str(path), str(error)),))
    except ValidationError as error:
        return Error(tuple(Failure(str(path), item["msg"]) for item in error.errors()))


def build_direct(target: Target) -> Target:
    """Return a target that sends to the upstreams of a fleet without its daemons."""
    instances = tuple(
        Instance(name=name, callers=address)
        for name, address in sorted(target.upstreams.items())
    )
    return target.model_copy(update={"name": "direct", "instances": instances})


class Balancer:
    """Round robin over the ready instances, like the balancer of the platform."""

    def __init__(self, instances: tuple[Instance, ...]) -> None:
        self.instances = instances
        self.ready = set(range(len(instances)))
        self._next = 0

    def choose(self) -> Instance:
        """Return the next ready instance, or the next one if none is ready."""
        for _ in self.instances:
            index = self._next
            self._next = (index + 1) % len(self.instances)
            if index in self.ready:
                break
        return self.instances[index]

    def update(self, index: int, ready: bool) -> None:
        """Note whether an instance is ready."""
        if ready:
            self.ready.add(index)
        else:
            self.ready.discard(index)
