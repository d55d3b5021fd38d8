"""Models of bundle files and their conversion to and from records."""

import json
import sys
from pathlib import Path
from typing import Annotated, Any

from expression import Error, Ok, Result
from pydantic import Field, ValidationError

from shallotspindle_bundles import checks, records, teams
from shallotspindle_settings import failures
from shallotspindle_settings.daemon import StrictModel
from shallotspindle_validation.fields import (
    Connections,
    Counter,
    Rate,
    Seconds,
    Slots,
)

Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class TeamModel(StrictModel):
    """A customer of the organisation.

    :param rate: admitted requests a second over the whole fleet.
    :param burst: admitted requests at once over the whole fleet.
    :param key_digests: HMAC-SHA256 digests of the team's keys in hex.
    """

    name: str
    rate: Annotated[Rate, Field(gt=0)]
    burst: Annotated[Rate, Field(ge=1)]
    key_digests: tuple[Digest, ...] = ()


class UpstreamModel(StrictModel):
    """One back end of a service; ``address`` is ``ip:port``."""

    name: str
    address: str
    failure_domain: str
    slots: Slots = 2
    connections: Connections = 300
    draining: bool = False


class ServiceModel(StrictModel):
    """Interchangeable upstreams; ``floor`` of them stay in use."""

    name: str
    upstreams: tuple[UpstreamModel, ...]
    floor: Counter = 1


class RouteModel(StrictModel):
    """Maps requests to a service; ``timeout`` is in seconds."""

    name: str
    prefix: str = Field(pattern="^/")
    service: str
    host: str = ""
    methods: tuple[str, ...] = ()
    open: bool = False
    idempotent_methods: tuple[str, ...] | None = None
    timeout: Annotated[Seconds, Field(gt=0)] = 30.0
    idempotency_key: records.KeyRule = records.KeyRule.OPTIONAL
    team: str | None = None


class BundleModel(StrictModel):
    """Everything that operators sign off in one step.

    :param salt: key of the key digests in hex, 16 bytes or more.
    :param withdrawn: digests of keys that must not be accepted, in hex.
    """

    version: Annotated[Counter, Field(ge=1)]
    salt: str = Field(pattern=r"^([0-9a-f]{2}){16,}$")
    teams: tuple[TeamModel, ...] = ()
    services: tuple[ServiceModel, ...] = ()
    routes: tuple[RouteModel, ...] = ()
    withdrawn: tuple[Digest, ...] = ()


def build_service(model: ServiceModel) -> records.Service:
    upstreams = tuple(
        records.Upstream(
            name=item.name,
            address=item.address,
            domain=sys.intern(item.failure_domain),
            slots=item.slots,
            connections=item.connections,
            draining=item.draining,
        )
        for item in model.upstreams
    )
    return records.Service(model.name, upstreams, model.floor)


DEFAULT_IDEMPOTENT_METHODS = records.Route("", "/", "").idempotent_methods
INTERNED_SETS: dict[frozenset[str], frozenset[str]] = {}


def intern_set(values: tuple[str, ...]) -> frozenset[str]:
    """Return one shared object for equal sets.

    This saves memory, since thousands of routes have the same methods.
    """
    new_set = frozenset(values)
    return INTERNED_SETS.setdefault(new_set, new_set)


def build_route(model: RouteModel) -> records.Route:
    fields = {name: getattr(model, name) for name in RouteModel.model_fields}
    fields["service"] = sys.intern(model.service)
    fields["methods"] = intern_set(model.methods)
    if model.idempotent_methods is None:
        del fields["idempotent_methods"]
    else:
        fields["idempotent_methods"] = intern_set(model.idempotent_methods)
    return records.Route(**fields)


def build_team(model: TeamModel) -> records.Team:
    digests = tuple(map(bytes.fromhex, model.key_digests))
    return records.Team(model.name, model.rate, model.burst, digests)


def build_draft(model: BundleModel) -> records.Draft:
    """Convert a validated model to unchecked records, in the order of the file."""
    return records.Draft(
        version=model.version,
        salt=bytes.fromhex(model.salt),
        teams=tuple(map(build_team, model.teams)),
        services=tuple(map(build_service, model.services)),
        routes=tuple(map(build_route, model.routes)),
        withdrawn=tuple(map(bytes.fromhex, model.withdrawn)),
    )


def build_bundle(model: BundleModel) -> records.Bundle:
    """Convert a validated and checked model to records."""
    draft = build_draft(model)
    return records.Bundle(
        version=draft.version,
        salt=draft.salt,
        teams=teams.build_teams(draft.teams),
        services={service.name: service for service in draft.services},
        routes=records.sort_routes(draft.routes),
        withdrawn=frozenset(draft.withdrawn),
    )


def parse_model(
    source: str, text: str
) -> Result[BundleModel, tuple[failures.SettingsFailure, ...]]:
    """Parse the JSON text of a bundle, validate it and run all checks.

    :param source: name of the text in failures.
    :returns: the model, or all failures of the text.
    """
    try:
        model = BundleModel.model_validate_json(text)
    except ValidationError as error:
        return Error(failures.convert_errors(source, text, error))
    check_failures = checks.check_draft(build_draft(model))
    if not check_failures:
        return Ok(model)
    located_messages = [
        (item.path, f"{item.message} ({item.item})" if item.item else item.message)
        for item in check_failures
    ]
    return Error(failures.build_failures(source, text, located_messages))


def parse_bundle(
    source: str, text: str
) -> Result[records.Bundle, tuple[failures.SettingsFailure, ...]]:
    """Parse, validate and check the JSON text of a bundle."""
    return parse_model(source, text).map(build_bundle)


def load_model(
    path: Path,
) -> Result[BundleModel, tuple[failures.SettingsFailure, ...]]:
    """Read, validate and check a bundle file."""
    try:
        return parse_model(str(path), path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        return Error((failures.SettingsFailure(str(path), str(error)),))


def load_bundle(
    path: Path,
) -> Result[records.Bundle, tuple[failures.SettingsFailure, ...]]:
    """Read, validate and check a bundle file and convert it to records."""
    return load_model(path).map(build_bundle)


def describe_service(service: records.Service) -> dict[str, Any]:
    """Return the fields of the model of a service."""
    return {
        "name": service.name,
        "floor": service.floor,
        "upstreams": [
            {
                "name": item.name,
                "address": item.address,
                "failure_domain": item.domain,
                "slots": item.slots,
                "connections": item.connections,
                "draining": item.draining,
            }
            for item in service.upstreams
        ],
    }


def describe_route(route: records.Route) -> dict[str, Any]:
    """Return the fields of the model of a route."""
    fields = {name: getattr(route, name) for name in RouteModel.model_fields}
    fields["methods"] = sorted(route.methods)
    if route.idempotent_methods == DEFAULT_IDEMPOTENT_METHODS:
        del fields["idempotent_methods"]
    else:
        fields["idempotent_methods"] = sorted(route.idempotent_methods)
    return fields


def describe_team(team: records.Team) -> dict[str, Any]:
    """Return the fields of the model of a team."""
    return {
        "name": team.name,
        "rate": team.rate,
        "burst": team.burst,
        "key_digests": [digest.hex() for digest in team.key_digests],
    }


def describe_bundle(bundle: records.Bundle) -> BundleModel:
    """Convert records to the model of a file, sorted by name."""
    services = sorted(bundle.services.values(), key=lambda item: item.name)
    routes = sorted(bundle.routes, key=lambda item: item.name)
    fields = {
        "version": bundle.version,
        "salt": bundle.salt.hex(),
        "teams": [describe_team(bundle.teams[name]) for name in sorted(bundle.teams)],
        "services": list(map(describe_service, services)),
        "routes": list(map(describe_route, routes)),
        "withdrawn": sorted(digest.hex() for digest in bundle.withdrawn),
    }
    return BundleModel.model_validate(fields)


def format_bundle(model: BundleModel) -> str:
    """Return the text of a bundle file; equal bundles have equal texts."""
    data = model.model_dump(mode="json", exclude_defaults=True)
    return json.dumps(data, indent=2, sort_keys=True, ensure_ascii=False) + "\n"
