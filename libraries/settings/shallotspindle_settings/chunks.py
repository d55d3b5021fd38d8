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
    packed_checks,
    records,
    teams,
)
from shallotspindle_bundles.buckets import (
    BucketContent,
    BucketId,
    BundleHeader,
    Section,
)
from shallotspindle_bundles.records import Bundle
from shallotspindle_core.failures import Failure
from shallotspindle_settings import bundle, failures
from shallotspindle_settings.daemon import StrictModel


class HeaderModel(StrictModel):
    salt: str
    withdrawn: tuple[bundle.Digest, ...] = ()


class IndexModel(StrictModel):
    """Digests of the chunks of each section; empty for a bucket without records."""

    header: tuple[str, ...]
    teams: tuple[str, ...]
    services: tuple[str, ...]
    routes: tuple[str, ...]


TEAMS = TypeAdapter(tuple[bundle.TeamModel, ...])
SERVICES = TypeAdapter(tuple[bundle.ServiceModel, ...])
ROUTES = TypeAdapter(tuple[bundle.RouteModel, ...])

ChunkIndex = Mapping[BucketId, str]
EMPTY_INDEX: ChunkIndex = dict.fromkeys(buckets.BUCKET_IDS, "")


@dataclass(frozen=True, slots=True)
class ChunkFailure(Failure):
    """A chunk, an index or a delta cannot be read."""


def encode_canonical_json(data: Any) -> bytes:
    return json.dumps(data, sort_keys=True, separators=(",", ":")).encode()


def encode_bucket(content: BucketContent) -> bytes:
    """Return the bytes of a bucket; none for a bucket without records."""
    if isinstance(content, BundleHeader):
        withdrawn = [digest.hex() for digest in content.withdrawn]
        return encode_canonical_json(
            {"salt": content.salt.hex(), "withdrawn": withdrawn}
        )
    if not content:
        return b""
    describe = {
        records.Team: bundle.describe_team,
        records.Service: bundle.describe_service,
        records.Route: bundle.describe_route,
    }[type(content[0])]
    return encode_canonical_json(list(map(describe, content)))


def decode_bucket(section: Section, data: bytes) -> Result[BucketContent, ChunkFailure]:
    """Validate the bytes of a bucket."""
    try:
        return Ok(parse_bucket_content(section, data))
    except ValueError as error:
        return Error(ChunkFailure(f"chunk of {section}", str(error)))


def parse_bucket_content(section: Section, data: bytes) -> BucketContent:
    match section:
        case Section.HEADER:
            model = HeaderModel.model_validate_json(data)
            withdrawn = tuple(map(bytes.fromhex, model.withdrawn))
            return BundleHeader(bytes.fromhex(model.salt), withdrawn)
        case Section.TEAMS:
            return tuple(map(bundle.build_team, TEAMS.validate_json(data)))
        case Section.SERVICES:
            return tuple(map(bundle.build_service, SERVICES.validate_json(data)))
        case Section.ROUTES:
            return tuple(map(bundle.build_route, ROUTES.validate_json(data)))


def compute_content_digest(data: bytes) -> str:
    """Return the name of a chunk; empty for a bucket without records."""
    return manifests.compute_chunk_digest(data) if data else ""


def encode_index(index: ChunkIndex) -> bytes:
    """Encode the names of all chunks, by section and bucket."""
    fields: dict[str, list[str]] = {section: [] for section in Section}
    for bucket_id in buckets.BUCKET_IDS:
        fields[bucket_id.section].append(index[bucket_id])
    return encode_canonical_json(fields)


def decode_index(data: bytes) -> Result[ChunkIndex, ChunkFailure]:
    """Validate the bytes of an index."""
    try:
        model = IndexModel.model_validate_json(data)
    except ValidationError as error:
        return Error(ChunkFailure("index", str(error)))
    counts = {section: len(getattr(model, section)) for section in Section}
    if counts != buckets.BUCKET_COUNTS:
        return Error(ChunkFailure("index", "the number of chunks differs"))
    return Ok({p: getattr(model, p.section)[p.number] for p in buckets.BUCKET_IDS})


def build_index(
    content: Bundle,
    base: ChunkIndex = EMPTY_INDEX,
    changed_buckets: frozenset[BucketId] | None = None,
) -> tuple[ChunkIndex, dict[str, bytes]]:
    """Return the index of a bundle and the chunks that were encoded, by name.

    :param base: index of the bundle before a change.
    :param touched: buckets that the change touched; None encodes all.
    """
    index, encoded = dict(base), {}
    for bucket_id in buckets.BUCKET_IDS if changed_buckets is None else changed_buckets:
        data = encode_bucket(buckets.get_bucket_content(content, bucket_id))
        index[bucket_id] = compute_content_digest(data)
        if data:
            encoded[index[bucket_id]] = data
    return index, encoded


def find_chunk(content: Bundle, index: ChunkIndex, digest: str) -> bytes:
    """Return the chunk of a bundle, or its index, by digest; empty if it has none.

    Chunks are encoded anew when a peer asks, so that they take no memory.
    """
    if not digest:
        return b""
    for bucket_id, name in index.items():
        if name == digest:
            return encode_bucket(buckets.get_bucket_content(content, bucket_id))
    data = encode_index(index)
    return data if manifests.compute_chunk_digest(data) == digest else b""


class BundleAssembler:
    """Collects the buckets of a bundle and packs each one when it arrives.

    Packing at once keeps the memory of the loose records to one bucket.
    """

    def __init__(self, version: int, base: Bundle | None = None) -> None:
        self._version = version
        self._header = BundleHeader(b"")
        self._teams = list(teams.NO_TEAMS.buckets)
        self._services: dict[int, tuple] = {}
        self._routes: dict[int, tuple] = {}
        if base is not None:
            for bucket_id in buckets.BUCKET_IDS:
                self._set_bucket(bucket_id, buckets.get_bucket_content(base, bucket_id))

    def _set_bucket(self, bucket_id: BucketId, content: BucketContent) -> None:
        match bucket_id.section:
            case Section.HEADER:
                self._header = content
            case Section.TEAMS:
                self._teams[bucket_id.number] = teams.build_bucket(content)
            case Section.SERVICES:
                self._services[bucket_id.number] = content
            case Section.ROUTES:
                self._routes[bucket_id.number] = content

    def add(self, bucket_id: BucketId, data: bytes) -> Failure | None:
        """Replace a bucket by the content of a chunk, empty for no records."""
        if not data:
            self._set_bucket(bucket_id, ())
            return None
        content = decode_bucket(bucket_id.section, data)
        if content.is_error():
            return content.error
        if bucket_id.section != Section.HEADER and not has_valid_names(
            bucket_id, content.ok
        ):
            return ChunkFailure(
                f"chunk of {bucket_id.section}", "misplaced or repeated name"
            )
        self._set_bucket(bucket_id, content.ok)
        return None

    def _flatten(self, groups: dict[int, tuple]) -> tuple:
        return tuple(item for group in groups.values() for item in group)

    def check(self) -> tuple[checks.BundleFailure, ...]:
        """Return all failures of the content."""
        return packed_checks.check_bundle(self.build())

    def build(self) -> Bundle:
        """Put the bundle together from the chunks that were added."""
        return Bundle(
            version=self._version,
            salt=self._header.salt,
            teams=teams.PackedTeams(tuple(self._teams)),
            services={item.name: item for item in self._flatten(self._services)},
            routes=records.sort_routes(self._flatten(self._routes)),
            withdrawn=frozenset(self._header.withdrawn),
        )


def has_valid_names(bucket_id: BucketId, content: BucketContent) -> bool:
    """Return whether the names are in their bucket and in strict order."""
    names = [item.name for item in content]
    count = buckets.BUCKET_COUNTS[bucket_id.section]
    return names == sorted(set(names)) and all(
        teams.compute_bucket_number(name, count) == bucket_id.number for name in names
    )


def convert_failures(source: str, found: tuple[Failure, ...]) -> tuple[Failure, ...]:
    """Name the bundle in the failures of its checks."""
    return tuple(
        failures.SettingsFailure(f"{source}: {item.source}", item.message, item.item)
        for item in found
    )
