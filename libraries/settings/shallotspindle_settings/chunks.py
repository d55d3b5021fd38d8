"""Stored forms of the parts of a bundle: chunks, the index and deltas.

Equal content has equal bytes, so that a chunk's digest names its content.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from shallotspindle_bundles import (
    buckets,
    checks,
    manifests,
    parts,
    records,
    teams,
)
from shallotspindle_bundles.buckets import Content, Header, Place, Section
from shallotspindle_bundles.records import Bundle
from shallotspindle_core.failures import Failure
from shallotspindle_settings import bundle, failures
from shallotspindle_settings.daemon import Model


class HeaderModel(Model):
    salt: str
    withdrawn: tuple[bundle.Digest, ...] = ()


class IndexModel(Model):
    """Digests of the chunks of each section; empty for a bucket without records."""

    header: tuple[str, ...]
    teams: tuple[str, ...]
    services: tuple[str, ...]
    routes: tuple[str, ...]


TEAMS = TypeAdapter(tuple[bundle.TeamModel, ...])
SERVICES = TypeAdapter(tuple[bundle.ServiceModel, ...])
ROUTES = TypeAdapter(tuple[bundle.RouteModel, ...])

Index = Mapping[Place, str]
EMPTY_INDEX: Index = dict.fromkeys(buckets.PLACES, "")


@dataclass(frozen=True, slots=True)
class ChunkFailure(Failure):
    """A chunk, an index or a delta cannot be read."""


def dump(data: Any) -> bytes:
    return json.dumps(data, sort_keys=True, separators=(",", ":")).encode()


def encode_content(content: Content) -> bytes:
    """Return the bytes of a bucket; none for a bucket without records."""
    if isinstance(content, Header):
        withdrawn = [digest.hex() for digest in content.withdrawn]
        return dump({"salt": content.salt.hex(), "withdrawn": withdrawn})
    if not content:
        return b""
    describe = {
        records.Team: bundle.describe_team,
        records.Service: bundle.describe_service,
        records.Route: bundle.describe_route,
    }[type(content[0])]
    return dump(list(map(describe, content)))


def decode_content(section: Section, data: bytes) -> Result[Content, ChunkFailure]:
    """Validate the bytes of a bucket."""
    try:
        return Ok(convert_content(section, data))
    except ValueError as error:
        return Error(ChunkFailure(f"chunk of {section}", str(error)))


def convert_content(section: Section, data: bytes) -> Content:
    match section:
        case Section.HEADER:
            model = HeaderModel.model_validate_json(data)
            withdrawn = tuple(map(bytes.fromhex, model.withdrawn))
            return Header(bytes.fromhex(model.salt), withdrawn)
        case Section.TEAMS:
            return tuple(map(bundle.build_team, TEAMS.validate_json(data)))
        case Section.SERVICES:
            return tuple(map(bundle.build_service, SERVICES.validate_json(data)))
        case Section.ROUTES:
            return tuple(map(bundle.build_route, ROUTES.validate_json(data)))


def digest_content(data: bytes) -> str:
    """Return the name of a chunk; empty for a bucket without records."""
    return manifests.digest_chunk(data) if data else ""


def encode_index(index: Index) -> bytes:
    """Encode the names of all chunks, by section and bucket."""
    fields: dict[str, list[str]] = {section: [] for section in Section}
    for place in buckets.PLACES:
        fields[place.section].append(index[place])
    return dump(fields)


def decode_index(data: bytes) -> Result[Index, ChunkFailure]:
    """Validate the bytes of an index."""
    try:
        model = IndexModel.model_validate_json(data)
    except ValidationError as error:
        return Error(ChunkFailure("index", str(error)))
    counts = {section: len(getattr(model, section)) for section in Section}
    if counts != buckets.COUNTS:
        return Error(ChunkFailure("index", "the number of chunks differs"))
    return Ok({p: getattr(model, p.section)[p.number] for p in buckets.PLACES})


def build_index(
    content: Bundle, base: Index = EMPTY_INDEX, touched: frozenset[Place] | None = None
) -> tuple[Index, dict[str, bytes]]:
    """Return the index of a bundle and the chunks that were encoded, by name.

    :param base: index of the bundle before a change.
    :param touched: buckets that the change touched; None encodes all.
    """
    index, encoded = dict(base), {}
    for place in buckets.PLACES if touched is None else touched:
        data = encode_content(buckets.select(content, place))
        index[place] = digest_content(data)
        if data:
            encoded[index[place]] = data
    return index, encoded


def find_chunk(content: Bundle, index: Index, digest: str) -> bytes:
    """Return the chunk of a bundle, or its index, by digest; empty if it has none.

    Chunks are encoded anew when a peer asks, so that they take no memory.
    """
    if not digest:
        return b""
    for place, name in index.items():
        if name == digest:
            return encode_content(buckets.select(content, place))
    data = encode_index(index)
    return data if manifests.digest_chunk(data) == digest else b""


class Assembly:
    """Collects the buckets of a bundle and packs each one when it arrives.

    Packing at once keeps the memory of the loose records to one bucket.
    """

    def __init__(self, version: int, base: Bundle | None = None) -> None:
        self._version = version
        self._header = Header(b"")
        self._teams = list(teams.EMPTY.buckets)
        self._services: dict[int, tuple] = {}
        self._routes: dict[int, tuple] = {}
        if base is not None:
            for place in buckets.PLACES:
                self._take(place, buckets.select(base, place))

    def _take(self, place: Place, content: Content) -> None:
        match place.section:
            case Section.HEADER:
                self._header = content
            case Section.TEAMS:
                self._teams[place.number] = teams.build_bucket(content)
            case Section.SERVICES:
                self._services[place.number] = content
            case Section.ROUTES:
                self._routes[place.number] = content

    def add(self, place: Place, data: bytes) -> Failure | None:
        """Replace a bucket by the content of a chunk, empty for no records."""
        if not data:
            self._take(place, ())
            return None
        content = decode_content(place.section, data)
        if content.is_error():
            return content.error
        if place.section != Section.HEADER and not is_in_place(place, content.ok):
            return ChunkFailure(
                f"chunk of {place.section}", "misplaced or repeated name"
            )
        self._take(place, content.ok)
        return None

    def _join(self, groups: dict[int, tuple]) -> tuple:
        return tuple(item for group in groups.values() for item in group)

    def check(self) -> tuple[checks.BundleFailure, ...]:
        """Return all failures of the content."""
        return parts.check_all(self.build())

    def build(self) -> Bundle:
        """Put the bundle together from the chunks that were added."""
        return Bundle(
            version=self._version,
            salt=self._header.salt,
            teams=teams.Teams(tuple(self._teams)),
            services={item.name: item for item in self._join(self._services)},
            routes=records.order_routes(self._join(self._routes)),
            withdrawn=frozenset(self._header.withdrawn),
        )


def is_in_place(place: Place, content: Content) -> bool:
    """Return whether the names are in their bucket and in strict order."""
    names = [item.name for item in content]
    count = buckets.COUNTS[place.section]
    return names == sorted(set(names)) and all(
        teams.find_bucket(name, count) == place.number for name in names
    )


def convert_failures(source: str, found: tuple[Failure, ...]) -> tuple[Failure, ...]:
    """Name the bundle in the failures of its checks."""
    return tuple(
        failures.SettingsFailure(f"{source}: {item.source}", item.message, item.item)
        for item in found
    )
