"""Changes of a bundle that have a command of their own, as pure functions."""

from dataclasses import replace

from expression import Error, Ok, Result

from shallotspindle_bundles import teams
from shallotspindle_bundles.records import Bundle, Team
from shallotspindle_core.failures import Failure
from shallotspindle_operations.changing import Failures, InvalidChange


def fail(message: str, item: str) -> Result[Bundle, Failures]:
    failures: tuple[Failure, ...] = (InvalidChange("bundle", message, item),)
    return Error(failures)


def replace_team(bundle: Bundle, team: Team) -> Bundle:
    return replace(bundle, teams=teams.replace_teams(bundle.teams, {team.name: team}))


def give_key(bundle: Bundle, name: str, digest: bytes) -> Result[Bundle, Failures]:
    """Add a key to a team; its other keys keep working."""
    team = bundle.teams.get(name)
    if team is None:
        return fail("there is no such team", name)
    digests = (*team.key_digests, digest)
    return Ok(replace_team(bundle, replace(team, key_digests=digests)))


def withdraw_key(bundle: Bundle, digest: bytes) -> Result[Bundle, Failures]:
    """Remove a key from its team and refuse it from now on."""
    if digest in bundle.withdrawn:
        return fail("the key is withdrawn already", digest.hex()[:12])
    for team in bundle.teams.values():
        if digest in team.key_digests:
            kept = tuple(item for item in team.key_digests if item != digest)
            bundle = replace_team(bundle, replace(team, key_digests=kept))
    return Ok(replace(bundle, withdrawn=bundle.withdrawn | {digest}))


def drain(bundle: Bundle, name: str, draining: bool) -> Result[Bundle, Failures]:
    """Mark an upstream as draining, or as usable again."""
    for service in bundle.services.values():
        for number, upstream in enumerate(service.upstreams):
            if upstream.name != name:
                continue
            if upstream.draining == draining:
                return fail("the upstream is marked so already", name)
            upstreams = list(service.upstreams)
            upstreams[number] = replace(upstream, draining=draining)
            changed = replace(service, upstreams=tuple(upstreams))
            services = {**bundle.services, service.name: changed}
            return Ok(replace(bundle, services=services))
    return fail("there is no such upstream", name)
