"""Addresses of a running fleet, and the load balancer of the load generator."""

from pathlib import Path

from expression import Error, Ok, Result
from pydantic import Field, ValidationError

from shallotspindle_bench.scenarios import StrictModel
from shallotspindle_core.failures import Failure


class Instance(StrictModel):
    """One server that accepts requests.

    :param callers: ``ip:port`` for requests of callers.
    :param administration: ``ip:port`` of the readiness endpoint; empty if there is
        none.
    :param pid: process that receives signals; 0 if it is not a daemon of the fleet.
    """

    name: str
    callers: str
    administration: str = ""
    pid: int = 0


class Target(StrictModel):
    """Addresses of a fleet, as ``tools/fleet.py`` prints them.

    :param upstreams: ``ip:port`` of each upstream, by name.
    :param store: ``ip:port`` of the stand-in of the store; empty if there is none.
    """

    name: str = "fleet"
    instances: tuple[Instance, ...] = Field(min_length=1)
    upstreams: dict[str, str] = {}
    store: str = ""


def load_target(path: Path, name: str) -> Result[Target, tuple[Failure, ...]]:
    """Read the addresses of a fleet from the first line of a file."""
    try:
        line = path.read_text().partition("\n")[0]
        target = Target.model_validate_json(line)
        return Ok(target.model_copy(update={"name": name}))
    except OSError as error:
        return Error((Failure(str(path), str(error)),))
    except ValidationError as error:
        return Error(tuple(Failure(str(path), item["msg"]) for item in error.errors()))


def build_direct(target: Target) -> Target:
    """Return a target that sends to the upstreams of a fleet directly."""
    instances = tuple(
        Instance(name=name, callers=address)
        for name, address in sorted(target.upstreams.items())
    )
    return target.model_copy(update={"name": "direct", "instances": instances})


class Balancer:
    """Round robin over the ready instances, like the load balancer in production."""

    def __init__(self, instances: tuple[Instance, ...]) -> None:
        self.instances = instances
        self.ready_indexes = set(range(len(instances)))
        self._next = 0

    def choose(self) -> Instance:
        """Return the next ready instance, or simply the next one if none is ready."""
        for _ in self.instances:
            index = self._next
            self._next = (index + 1) % len(self.instances)
            if index in self.ready_indexes:
                break
        return self.instances[index]

    def update(self, index: int, is_ready: bool) -> None:
        """Record whether an instance is ready."""
        if is_ready:
            self.ready_indexes.add(index)
        else:
            self.ready_indexes.discard(index)
