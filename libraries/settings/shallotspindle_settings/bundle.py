"""Bundle files: their models and the conversion to records."""

import json
from pathlib import Path
from typing import Literal

from expression import Error, Ok, Result
from pydantic import Field, ValidationError

from shallotspindle_bundles import records
from shallotspindle_settings import failures
from shallotspindle_settings.daemon import Model


class TeamModel(Model):
    name: str
    rate: float = Field(gt=0)
    burst: float = Field(ge=1)
    key_digests: tuple[str, ...] = ()


class UpstreamModel(Model):
    name: str
    address: str
    failure_domain: str
    slots: int = Field(default=2, ge=1)
    connections: int = Field(default=300, ge=1)
    draining: bool = False


class ServiceModel(Model):
    name: str
    upstreams: tuple[UpstreamModel, ...]
    floor: int = Field(default=1, ge=0)


class RouteModel(Model):
    name: str
    prefix: str = Field(pattern="^/")
    service: str
    host: str = ""
    methods: tuple[str, ...] = ()
    open: bool = False
    idempotent_methods: tuple[str, ...] | None = None
    idempotency_key: Literal["required", "optional"] = "optional"
    team: str = ""
    timeout: float = Field(default=30.0, gt=0)


class BundleModel(Model):
    version: int = Field(ge=1)
    salt: str = Field(pattern=r"^([0-9a-f]{2}){16,}$")
    teams: tuple[TeamModel, ...] = ()
    services: tuple[ServiceModel, ...] = ()
    routes: tuple[RouteModel, ...] = ()
    withdrawn: tuple[str, ...] = ()


def build_service(model: ServiceModel) -> records.Service:
    upstreams = tuple(
        records.Upstream(
            name=item.name,
            address=item.address,
            domain=item.failure_domain,
            slots=item.slots,
            connections=item.connections,
            draining=item.draining,
        )
        for item in model.upstreams
    )
    return records.Service(model.name, upstreams, model.floor)


def build_route(model: RouteModel) -> records.Route:
    fields = model.model_dump(exclude_none=True)
    for name in ("methods", "idempotent_methods"):
        if name in fields:
            fields[name] = frozenset(fields[name])
    return records.Route(**fields)


def build_bundle(model: BundleModel) -> records.Bundle:
    """Convert a validated model to the records that decisions use."""
    teams = (
        records.Team(
            item.name,
            item.rate,
            item.burst,
            tuple(map(bytes.fromhex, item.key_digests)),
        )
        for item in model.teams
    )
    return records.Bundle(
        version=model.version,
        salt=bytes.fromhex(model.salt),
        teams={team.name: team for team in teams},
        services={item.name: build_service(item) for item in model.services},
        routes=tuple(map(build_route, model.routes)),
        withdrawn=frozenset(map(bytes.fromhex, model.withdrawn)),
    )


def parse_bundle(
    source: str, text: str
) -> Result[records.Bundle, tuple[failures.SettingsFailure, ...]]:
    """Parse and validate the JSON text of a bundle.

    :param source: name of the text in failures.
    :returns: the bundle, or all failures of the text.
    """
    try:
        return Ok(build_bundle(BundleModel.model_validate_json(text)))
    except ValidationError as error:
        return Error(failures.convert(source, text, error))


def load_bundle(
    path: Path,
) -> Result[records.Bundle, tuple[failures.SettingsFailure, ...]]:
    """Read a bundle file."""
    try:
        return parse_bundle(str(path), path.read_text())
    except OSError as error:
        return Error((failures.SettingsFailure(str(path), str(error)),))


def format_bundle(model: BundleModel) -> str:
    """Return the canonical text of a bundle, the same for equal bundles."""
    data = model.model_dump(mode="json", exclude_defaults=True)
    return json.dumps(data, sort_keys=True, separators=(",", ":"))
