"""Stored form of deltas.

A delta has only the records after the change. An instance that applies it already has
the records before the change.
"""

import json
from typing import Any

from expression import Error, Ok, Result
from pydantic import ValidationError

from shallotspindle_bundles import differences, records
from shallotspindle_bundles.deltas import Delta
from shallotspindle_bundles.differences import Change
from shallotspindle_settings import bundle
from shallotspindle_settings.chunks import ChunkFailure, encode_canonical_json
from shallotspindle_settings.daemon import StrictModel
from shallotspindle_validation.fields import Counter

DELTA_PREFIX = "/shallotspindle/deltas/"


class ServiceChangeModel(StrictModel):
    name: str
    floor: Counter | None = None


class UpstreamChangeModel(StrictModel):
    service: str
    name: str
    after: bundle.UpstreamModel | None = None


class RouteChangeModel(StrictModel):
    name: str
    after: bundle.RouteModel | None = None


class TeamChangeModel(StrictModel):
    name: str
    after: bundle.TeamModel | None = None


class WithdrawnChangeModel(StrictModel):
    added: tuple[bundle.Digest, ...] = ()
    removed: tuple[bundle.Digest, ...] = ()


class DeltaModel(StrictModel):
    version: Counter
    parent: Counter
    salt: str | None = None
    services: tuple[ServiceChangeModel, ...] = ()
    upstreams: tuple[UpstreamChangeModel, ...] = ()
    routes: tuple[RouteChangeModel, ...] = ()
    teams: tuple[TeamChangeModel, ...] = ()
    withdrawn: WithdrawnChangeModel | None = None
    dropped: tuple[bundle.Digest, ...] = ()


def describe_change(change: Change) -> tuple[str, Any]:
    """Return the name of the change's field in ``DeltaModel``, and its value."""
    match change:
        case differences.TeamChange(name=name, after=after):
            value = {"name": name, "after": after and bundle.describe_team(after)}
            return "teams", value
        case differences.RouteChange(name=name, after=after):
            value = {"name": name, "after": after and bundle.describe_route(after)}
            return "routes", value
        case differences.ServiceChange(name=name, after=after):
            return "services", {"name": name, "floor": after.floor if after else None}
        case differences.UpstreamChange(service=service, name=name, after=after):
            value = {"service": service, "name": name, "after": None}
            if after is not None:
                service_record = records.Service(service, (after,))
                value["after"] = bundle.describe_service(service_record)["upstreams"][0]
            return "upstreams", value
        case differences.SaltChange(after=after):
            return "salt", after.hex()
        case differences.WithdrawnChange(added=added, removed=removed):
            value = {
                "added": [digest.hex() for digest in added],
                "removed": [digest.hex() for digest in removed],
            }
            return "withdrawn", value


def encode_delta(delta: Delta) -> bytes:
    """Return the stored form of a delta."""
    fields: dict[str, Any] = {"version": delta.version, "parent": delta.parent}
    if delta.dropped:
        fields["dropped"] = delta.dropped
    for name, value in map(describe_change, delta.changes):
        if name in {"salt", "withdrawn"}:
            fields[name] = value
        else:
            fields.setdefault(name, []).append(value)
    return encode_canonical_json(fields)


def decode_delta(data: bytes) -> Result[Delta, ChunkFailure]:
    """Validate the stored form of a delta and convert it to records."""
    try:
        model = DeltaModel.model_validate_json(data)
        changes = tuple(build_changes(model))
        return Ok(Delta(model.version, model.parent, changes, model.dropped))
    except (ValidationError, ValueError, json.JSONDecodeError) as error:
        return Error(ChunkFailure("delta", str(error)))


def build_changes(model: DeltaModel) -> list[Change]:
    """Return the changes in the order in which they are applied."""
    changes: list[Change] = []
    if model.salt is not None:
        changes.append(differences.SaltChange(b"", bytes.fromhex(model.salt)))
    for item in model.services:
        after = None
        if item.floor is not None:
            after = records.Service(item.name, (), item.floor)
        changes.append(differences.ServiceChange(item.name, None, after))
    for item in model.upstreams:
        after = None
        if item.after is not None:
            service_model = bundle.ServiceModel(
                name=item.service, upstreams=(item.after,)
            )
            after = bundle.build_service(service_model).upstreams[0]
        changes.append(differences.UpstreamChange(item.service, item.name, None, after))
    for item in model.routes:
        after = bundle.build_route(item.after) if item.after else None
        changes.append(differences.RouteChange(item.name, None, after))
    for item in model.teams:
        after = bundle.build_team(item.after) if item.after else None
        changes.append(differences.TeamChange(item.name, None, after))
    if model.withdrawn is not None:
        added = tuple(map(bytes.fromhex, model.withdrawn.added))
        removed = tuple(map(bytes.fromhex, model.withdrawn.removed))
        changes.append(differences.WithdrawnChange(added, removed))
    return changes
