"""How an upstream stand-in behaves, and the faults that can be set."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Annotated, Any, ClassVar

from pydantic import ConfigDict, Field, TypeAdapter

Seconds = Annotated[float, Field(ge=0, le=3600)]
Count = Annotated[int, Field(ge=0)]
PROBE_PATH = "/_health"


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How an upstream answers; the defaults are those of a healthy one.

    :param delay: service time of a request in its slot, in seconds.
    :param slow: time added to each service time, in seconds.
    :param late: time between the end of the work and the answer, in seconds.
    :param status: status of the answers.
    :param truncate: send half of the announced body and reset the connection.
    :param probes_only: answer probes well and all requests with 500.
    :param flap_every: fail every second run of this many requests; 0 for none.
    :param shed: refuse all requests before they run.
    :param draining: announce that no new work is wanted.
    :param cold_requests: requests that still take ``cold_delay`` longer.
    :param cold_delay: time added while cold, in seconds.
    :param crash_marker: a request whose body holds this text ends all connections.
    :param stay_down: stay down after a crash until ``down`` is set to false.
    :param down: reset the connection of every request, probes included.
    :param swap_answers: answer each request with the answer of the one before it.
    """

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid")

    delay: Seconds = 0.0
    slow: Seconds = 0.0
    late: Seconds = 0.0
    status: Annotated[int, Field(ge=200, le=599)] = 200
    truncate: bool = False
    probes_only: bool = False
    flap_every: Count = 0
    shed: bool = False
    draining: bool = False
    cold_requests: Count = 0
    cold_delay: Seconds = 0.0
    crash_marker: str = ""
    stay_down: bool = False
    down: bool = False
    swap_answers: bool = False


ADAPTER = TypeAdapter(Behaviour)


def change(current: Behaviour, fields: Mapping[str, Any]) -> Behaviour:
    """Return the behaviour with some fields changed.

    :raises pydantic.ValidationError: with all wrong or unknown fields.
    """
    return ADAPTER.validate_python({**asdict(current), **fields})


def is_flapping(behaviour: Behaviour, number: int) -> bool:
    """Tell whether a request falls into a failing run.

    :param number: requests that came before it.
    """
    every = behaviour.flap_every
    return every > 0 and (number // every) % 2 == 1


def compute_work(behaviour: Behaviour, number: int) -> float:
    """Return the service time of a request, in seconds.

    :param number: requests that came since the behaviour was set.
    """
    cold = behaviour.cold_delay if number < behaviour.cold_requests else 0.0
    return behaviour.delay + behaviour.slow + cold


def choose_status(behaviour: Behaviour, number: int) -> int:
    """Return the status of a request that ran.

    :param number: requests that came since the behaviour was set.
    """
    if behaviour.probes_only or is_flapping(behaviour, number):
        return 500
    return behaviour.status
