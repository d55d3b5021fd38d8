"""Work that upstreams still have to do for the attempts that they run."""

from shallotspindle_lending.durations import Durations
from shallotspindle_lending.upstreams import UpstreamState


def estimate_outstanding_work(
    state: UpstreamState, service_durations: Durations, now: float
) -> float:
    """Return the expected remaining time of all attempts of an upstream, in seconds.

    :param service_durations: apply to attempts of routes with too little history.
    """
    return sum(
        (lease.route_durations or service_durations).estimate_rest_seconds(
            now - lease.granted_at
        )
        for lease in state.leases.values()
    )
