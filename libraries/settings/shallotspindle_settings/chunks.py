"""Stored forms of a bundle: a chunk for each bucket, and the index of the chunks.

Equal buckets have equal encodings, so that a chunk's digest identifies its content.
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
    """Digests of the chunks by section; empty text for a bucket without records."""

    header: tuple[str, ...]
    teams: tuple[str, ...]
    services: tuple[str, ...]
    routes: tuple[str, ...]


TEAMS_ADAPTER = TypeAdapter(tuple[bundle.TeamModel, ...])
SERVICES_ADAPTER = TypeAdapter(tuple[bundle.ServiceModel, ...])
ROUTES_ADAPTER = TypeAdapter(tuple[bundle.RouteModel, ...])

ChunkIndex = Mapping[BucketId, str]
EMPTY_INDEX: ChunkIndex = dict.fromkeys(buckets.BUCKET_IDS, "")


@dataclass(frozen=True, slots=True)
class ChunkFailure(Failure):
    """A stored chunk, index or delta is invalid."""


def encode_canonical_json(data: Any) -> bytes:
    return json.dumps(data, sort_keys=True, separators=(",", ":")).encode()


def encode_bucket(content: BucketContent) -> bytes:
    """Return the chunk of a bucket; empty for a bucket without records."""
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
    """Validate the chunk of a bucket and convert it to records."""
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
            return tuple(map(bundle.build_team, TEAMS_ADAPTER.validate_json(data)))
        case Section.SERVICES:
            return tuple(
                map(bundle.build_service, SERVICES_ADAPTER.validate_json(data))
            )
        case Section.ROUTES:
            return tuple(map(bundle.build_route, ROUTES_ADAPTER.validate_json(data)))


def compute_content_digest(data: bytes) -> str:
    """Return the digest of a chunk; empty for a bucket without records."""
    return manifests.compute_chunk_digest(data) if data else ""


def encode_index(index: ChunkIndex) -> bytes:
    """Encode the digests of all chunks, in the order of their buckets."""
    fields: dict[str, list[str]] = {section: [] for section in Section}
    for bucket_id in buckets.BUCKET_IDS:
        fields[bucket_id.section].append(index[bucket_id])
    return encode_canonical_json(fields)


def decode_index(data: bytes) -> Result[ChunkIndex, ChunkFailure]:
    """Validate the stored form of an index."""
    try:
        model = IndexModel.model_validate_json(data)
    except ValidationError as error:
        return Error(ChunkFailure("index", str(error)))
    counts = {section: len(getattr(model, section)) for section in Section}
    if counts != buckets.BUCKET_COUNTS:
        return Error(ChunkFailure("index", "a section has a wrong number of chunks"))
    return Ok(
        {
            bucket_id: getattr(model, bucket_id.section)[bucket_id.number]
            for bucket_id in buckets.BUCKET_IDS
        }
    )


def build_index(
    content: Bundle,
    base: ChunkIndex = EMPTY_INDEX,
    changed_buckets: frozenset[BucketId] | None = None,
) -> tuple[ChunkIndex, dict[str, bytes]]:
    """Return the index of a bundle and the encoded chunks by digest.

    :param base: index of the bundle before a change.
    :param changed_buckets: buckets that the change affects; None encodes all buckets.
    """
    index, encoded = dict(base), {}
    for bucket_id in buckets.BUCKET_IDS if changed_buckets is None else changed_buckets:
        data = encode_bucket(buckets.get_bucket_content(content, bucket_id))
        index[bucket_id] = compute_content_digest(data)
        if data:
            encoded[index[bucket_id]] = data
    return index, encoded


def find_chunk(content: Bundle, index: ChunkIndex, digest: str) -> bytes:
    """Return the chunk of a bundle, or its index, by digest; empty if there is none.

    Chunks are encoded again for each request of a peer, so that they need no memory.
    """
    if not digest:
        return b""
    for bucket_id, chunk_digest in index.items():
        if chunk_digest == digest:
            return encode_bucket(buckets.get_bucket_content(content, bucket_id))
    data = encode_index(index)
    return data if manifests.compute_chunk_digest(data) == digest else b""


class BundleAssembler:
    """Collects the buckets of a bundle and packs each one as it is added.

    Packing teams immediately keeps the memory of unpacked teams to one bucket.

    :param base: bundle whose buckets are used until they are replaced.
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
        """Replace the content of a bucket by that of a chunk.

        :param data: chunk; empty for a bucket without records.
        :returns: the failure if the chunk is invalid.
        """
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
                f"chunk of {bucket_id.section}",
                "a name is repeated, unsorted or in the wrong bucket",
            )
        self._set_bucket(bucket_id, content.ok)
        return None

    def _flatten(self, groups: dict[int, tuple]) -> tuple:
        return tuple(item for group in groups.values() for item in group)

    def check(self) -> tuple[checks.BundleFailure, ...]:
        """Return all failures of the bundle."""
        return packed_checks.check_bundle(self.build())

    def build(self) -> Bundle:
        """Return the bundle of all buckets."""
        return Bundle(
            version=self._version,
            salt=self._header.salt,
            teams=teams.PackedTeams(tuple(self._teams)),
            services={item.name: item for item in self._flatten(self._services)},
            routes=records.sort_routes(self._flatten(self._routes)),
            withdrawn=frozenset(self._header.withdrawn),
        )


def has_valid_names(bucket_id: BucketId, content: BucketContent) -> bool:
    """Return whether all names belong to the bucket and are sorted and unique."""
    names = [item.name for item in content]
    count = buckets.BUCKET_COUNTS[bucket_id.section]
    return names == sorted(set(names)) and all(
        teams.compute_bucket_number(name, count) == bucket_id.number for name in names
    )


def convert_failures(
    source: str, check_failures: tuple[Failure, ...]
) -> tuple[Failure, ...]:
    """Convert failures of checks to failures that name the bundle."""
    return tuple(
        failures.SettingsFailure(f"{source}: {item.source}", item.message, item.item)
        for item in check_failures
    )
