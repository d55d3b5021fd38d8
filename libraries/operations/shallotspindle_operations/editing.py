"""Bundle edits behind the commands for keys and upstreams, as pure functions."""

from dataclasses import replace

from expression import Error, Ok, Result

from shallotspindle_bundles import teams
from shallotspindle_bundles.records import Bundle, Team
from shallotspindle_core.failures import Failure
from shallotspindle_operations.changing import Failures, InvalidChange


def reject_change(message: str, item: str) -> Result[Bundle, Failures]:
    failures: tuple[Failure, ...] = (InvalidChange("bundle", message, item),)
    return Error(failures)


def replace_team(bundle: Bundle, team: Team) -> Bundle:
    return replace(bundle, teams=teams.replace_teams(bundle.teams, {team.name: team}))


def add_key(bundle: Bundle, name: str, digest: bytes) -> Result[Bundle, Failures]:
    """Add a key to a team; its other keys stay valid."""
    team = bundle.teams.get(name)
    if team is None:
        return reject_change("the team does not exist", name)
    digests = (*team.key_digests, digest)
    return Ok(replace_team(bundle, replace(team, key_digests=digests)))


def withdraw_key(bundle: Bundle, digest: bytes) -> Result[Bundle, Failures]:
    """Remove a key from its team and add it to the withdrawn keys."""
    if digest in bundle.withdrawn:
        return reject_change("the key is already withdrawn", digest.hex()[:12])
    for team in bundle.teams.values():
        if digest in team.key_digests:
            remaining = tuple(item for item in team.key_digests if item != digest)
            bundle = replace_team(bundle, replace(team, key_digests=remaining))
    return Ok(replace(bundle, withdrawn=bundle.withdrawn | {digest}))


def drain(bundle: Bundle, name: str, draining: bool) -> Result[Bundle, Failures]:
    """Set or clear the draining mark of an upstream."""
    for service in bundle.services.values():
        for index, upstream in enumerate(service.upstreams):
            if upstream.name != name:
                continue
            if upstream.draining == draining:
                return reject_change("the upstream is already in this state", name)
            upstreams = list(service.upstreams)
            upstreams[index] = replace(upstream, draining=draining)
            changed = replace(service, upstreams=tuple(upstreams))
            services = {**bundle.services, service.name: changed}
            return Ok(replace(bundle, services=services))
    return reject_change("the upstream does not exist", name)
