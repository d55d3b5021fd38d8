"""Behaviour of an upstream stand-in, including the faults that can be injected."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Annotated, Any, ClassVar

from pydantic import ConfigDict, Field, TypeAdapter

Seconds = Annotated[float, Field(ge=0, le=3600)]
Count = Annotated[int, Field(ge=0)]
PROBE_PATH = "/_health"


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How an upstream responds; the defaults are those of a healthy upstream.

    The field names are the keys of the JSON object that changes the behaviour.

    :param delay: service time of a request, during which it occupies a slot, in
        seconds.
    :param slow: time added to the service time of each request, in seconds.
    :param late: delay of the response after the slot is released, in seconds.
    :param status: status code of the responses.
    :param truncate: send half of the announced body, then reset the connection.
    :param probes_only: respond normally to probes, but with 500 to all requests.
    :param flap_every: number of requests after which the upstream alternates between
        success and status 500; 0 for no alternation.
    :param shed: reject all requests before they run.
    :param draining: announce that the upstream wants no new requests.
    :param cold_requests: number of first requests that take ``cold_delay`` longer.
    :param cold_delay: time added to the service time during the cold start, in
        seconds.
    :param crash_marker: a request whose body contains this text resets all
        connections; empty for none.
    :param stay_down: whether the upstream stays down after a crash until ``down`` is
        set to false.
    :param down: reset the connection of every request, including probes.
    :param swap_answers: send each request the response of the request before it.
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


BEHAVIOUR_ADAPTER = TypeAdapter(Behaviour)


def update_behaviour(current: Behaviour, fields: Mapping[str, Any]) -> Behaviour:
    """Return a behaviour with some fields changed.

    :raises pydantic.ValidationError: with all invalid and unknown fields.
    """
    return BEHAVIOUR_ADAPTER.validate_python({**asdict(current), **fields})


def is_flapping(behaviour: Behaviour, request_index: int) -> bool:
    """Return whether a request falls into a failing period.

    :param request_index: number of requests before it since the behaviour was set.
    """
    period = behaviour.flap_every
    return period > 0 and (request_index // period) % 2 == 1


def compute_service_time(behaviour: Behaviour, request_index: int) -> float:
    """Return the service time of a request, in seconds.

    :param request_index: number of requests before it since the behaviour was set.
    """
    cold_start_delay = (
        behaviour.cold_delay if request_index < behaviour.cold_requests else 0.0
    )
    return behaviour.delay + behaviour.slow + cold_start_delay


def choose_status(behaviour: Behaviour, request_index: int) -> int:
    """Return the status code of a request that ran.

    :param request_index: number of requests before it since the behaviour was set.
    """
    if behaviour.probes_only or is_flapping(behaviour, request_index):
        return 500
    return behaviour.status
