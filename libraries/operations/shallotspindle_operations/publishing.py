"""Signs a bundle and writes it to the store.

The chunks and the delta are written first. Replacing the manifest is the atomic step
that accepts the bundle. If the response to it is lost, the writer recognises its own
manifest by reading it back.
"""

from dataclasses import dataclass

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from expression import Error, Ok, Result

from shallotspindle_bundles import buckets, deltas, differences, manifests
from shallotspindle_bundles.deltas import Delta
from shallotspindle_bundles.differences import Change
from shallotspindle_bundles.manifests import Manifest
from shallotspindle_bundles.records import Bundle
from shallotspindle_core.failures import Failure
from shallotspindle_environment.interface import (
    Conflict,
    OutcomeUnknown,
    Store,
    StoreFailure,
)
from shallotspindle_settings import chunks, manifest
from shallotspindle_settings import deltas as delta_format
from shallotspindle_settings.chunks import ChunkIndex

EMPTY_BUNDLE = Bundle(0, b"")
# Writing a chunk is idempotent, so it is retried after a lost response.
MAX_CHUNK_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class VersionConflict(Failure):
    """Another bundle was accepted first, so this one is rejected."""


@dataclass(frozen=True, slots=True)
class InvalidManifest(Failure):
    """The signed manifest belongs to another bundle."""


@dataclass(frozen=True, slots=True)
class RevivedKey(Failure):
    """The bundle would make a withdrawn key valid again."""


@dataclass(frozen=True, slots=True)
class AcceptedBundle:
    """The accepted bundle as read from the store.

    :param revision: revision of the manifest; 0 before the first bundle.
    """

    bundle: Bundle = EMPTY_BUNDLE
    index: ChunkIndex | None = None
    revision: int = 0
    manifest: Manifest | None = None


@dataclass(frozen=True, slots=True)
class Proposal:
    """A signed bundle that is ready to be written.

    :param chunks: digest and content of the chunks that the accepted bundle does not
        have.
    :param delta: encoded delta from the accepted bundle.
    :param changes: differences from the accepted bundle.
    :param chunk_digests: digests of all chunks of the bundle and of its index.
    """

    manifest: Manifest
    chunks: tuple[tuple[str, bytes], ...]
    delta: bytes
    changes: tuple[Change, ...]
    chunk_digests: frozenset[str]


async def read_accepted(store: Store) -> Result[AcceptedBundle, Failure]:
    """Read the accepted bundle; only instances verify its signature."""
    entry = await store.get(manifest.MANIFEST_KEY)
    if entry.is_error():
        return Error(entry.error)
    if entry.ok.revision == 0:
        return Ok(AcceptedBundle())
    parsed = manifest.parse_manifest(entry.ok.data)
    if parsed.is_error():
        return Error(parsed.error[0])
    content = await read_bundle(store, parsed.ok)
    return content.map(
        lambda loaded: AcceptedBundle(
            loaded[0], loaded[1], entry.ok.revision, parsed.ok
        )
    )


async def read_version(store: Store) -> Result[int, Failure]:
    """Read the version of the accepted bundle; 0 before the first bundle."""
    entry = await store.get(manifest.MANIFEST_KEY)
    if entry.is_error():
        return Error(entry.error)
    if entry.ok.revision == 0:
        return Ok(0)
    parsed = manifest.parse_manifest(entry.ok.data)
    return Error(parsed.error[0]) if parsed.is_error() else Ok(parsed.ok.version)


async def read_chunk(store: Store, digest: str) -> Result[bytes, Failure]:
    """Read a chunk and check its digest."""
    if not digest:
        return Ok(b"")
    entry = await store.get(manifest.CHUNK_PREFIX + digest)
    if entry.is_error():
        return Error(entry.error)
    if manifests.compute_chunk_digest(entry.ok.data) != digest:
        return Error(Failure("store", "a chunk is missing or damaged", digest))
    return Ok(entry.ok.data)


async def read_bundle(
    store: Store, accepted: Manifest
) -> Result[tuple[Bundle, ChunkIndex], Failure]:
    """Read the index and all chunks of a bundle."""
    data = await read_chunk(store, accepted.chunks[0] if accepted.chunks else "")
    if data.is_error():
        return Error(data.error)
    index = chunks.decode_index(data.ok)
    if index.is_error():
        return Error(index.error)
    assembler = chunks.BundleAssembler(accepted.version)
    for bucket_id in buckets.BUCKET_IDS:
        chunk = await read_chunk(store, index.ok[bucket_id])
        if chunk.is_error():
            return Error(chunk.error)
        failure = assembler.add(bucket_id, chunk.ok)
        if failure is not None:
            return Error(failure)
    return Ok((assembler.build(), index.ok))


def find_revived_key(before: Bundle, after: Bundle) -> RevivedKey | None:
    """Return a failure if a withdrawn key would become valid again.

    This happens if an operator edits an old bundle file.
    """
    no_longer_withdrawn = before.withdrawn - after.withdrawn
    if not no_longer_withdrawn:
        return None
    for team in after.teams.values():
        if no_longer_withdrawn.intersection(team.key_digests):
            source = f"bundle {after.version}"
            return RevivedKey(
                source, "a withdrawn key would become valid again", team.name
            )
    return None


def propose(
    accepted: AcceptedBundle,
    bundle: Bundle,
    signer: str,
    key: Ed25519PrivateKey,
    attempt: str,
) -> Result[Proposal, VersionConflict | RevivedKey]:
    """Sign a bundle that follows the accepted one.

    :param signer: name of the person who signs.
    :param attempt: random identifier of this publication.
    """
    parent = accepted.bundle.version
    if bundle.version != parent + 1:
        return Error(
            VersionConflict(
                f"bundle {bundle.version}",
                "the bundle does not follow the accepted bundle",
                f"accepted is version {parent}",
            )
        )
    revived_key = find_revived_key(accepted.bundle, bundle)
    if revived_key is not None:
        return Error(revived_key)
    content = encode_bundle(accepted, bundle)
    unsigned = Manifest(
        bundle.version, parent, signer, attempt, (content.index_digest,)
    )
    signed = manifests.sign(unsigned, key)
    return Ok(build_proposal(signed, content))


@dataclass(frozen=True, slots=True)
class EncodedBundle:
    """Encoded form of a bundle.

    :param index_digest: digest of the bundle's index.
    :param chunks: digest and content of the chunks that the accepted bundle does not
        have.
    :param delta: encoded delta from the accepted bundle.
    :param changes: differences from the accepted bundle.
    :param chunk_digests: digests of all chunks of the bundle and of its index.
    """

    index_digest: str
    chunks: tuple[tuple[str, bytes], ...]
    delta: bytes
    changes: tuple[Change, ...]
    chunk_digests: frozenset[str]


def build_proposal(signed: Manifest, content: EncodedBundle) -> Proposal:
    """Combine a signed manifest with the encoded form of its bundle."""
    return Proposal(
        signed, content.chunks, content.delta, content.changes, content.chunk_digests
    )


def encode_bundle(accepted: AcceptedBundle, bundle: Bundle) -> EncodedBundle:
    """Encode the delta and the chunks that differ from the accepted bundle."""
    changes = differences.compare(accepted.bundle, bundle)
    if accepted.index is None:
        index, encoded = chunks.build_index(bundle)
    else:
        changed_buckets = buckets.list_changed_buckets(changes)
        index, encoded = chunks.build_index(bundle, accepted.index, changed_buckets)
    data = chunks.encode_index(index)
    index_digest = manifests.compute_chunk_digest(data)
    chunk_digests = frozenset({index_digest, *index.values()})
    dropped = find_dropped_chunks(accepted, chunk_digests)
    delta = Delta(bundle.version, accepted.bundle.version, changes, dropped)
    new_chunks = (*encoded.items(), (index_digest, data))
    return EncodedBundle(
        index_digest,
        new_chunks,
        delta_format.encode_delta(delta),
        changes,
        chunk_digests,
    )


def list_chunk_digests(accepted: AcceptedBundle) -> set[str]:
    """Return the digests of all chunks of the accepted bundle and of its index."""
    if accepted.index is None or accepted.manifest is None:
        return set()
    return {*accepted.index.values(), *accepted.manifest.chunks} - {""}


def find_dropped_chunks(
    accepted: AcceptedBundle, chunk_digests: frozenset[str]
) -> tuple[str, ...]:
    """Return the digests of the chunks that the next bundle does not have."""
    return tuple(sorted(list_chunk_digests(accepted) - chunk_digests))


def propose_signed(
    accepted: AcceptedBundle, bundle: Bundle, signed: Manifest
) -> Result[Proposal, Failure]:
    """Check that a signed manifest belongs to a bundle that may be accepted next."""
    source = f"bundle {bundle.version}"
    if accepted.bundle.version != signed.parent:
        item = f"accepted is version {accepted.bundle.version}"
        message = "the bundle does not follow the accepted bundle"
        return Error(VersionConflict(source, message, item))
    revived_key = find_revived_key(accepted.bundle, bundle)
    if revived_key is not None:
        return Error(revived_key)
    content = encode_bundle(accepted, bundle)
    if (signed.version, signed.chunks) != (bundle.version, (content.index_digest,)):
        return Error(
            InvalidManifest(source, "the manifest was signed for another bundle")
        )
    return Ok(build_proposal(signed, content))


async def write_chunk(store: Store, chunk: bytes) -> Failure | None:
    """Store a chunk under its digest; an existing chunk has the same content."""
    key = manifest.CHUNK_PREFIX + manifests.compute_chunk_digest(chunk)
    for _ in range(MAX_CHUNK_ATTEMPTS):
        written = await store.replace(key, chunk, 0)
        if written.is_ok() or isinstance(written.error, Conflict):
            return None
        if not isinstance(written.error, OutcomeUnknown):
            return written.error
    # The manifest is not written yet, so the bundle is certainly not accepted.
    return StoreFailure(key, "the chunk was not written", str(written.error))


async def write_delta(store: Store, proposal: Proposal) -> bytes:
    """Store the delta in its slot.

    The delta is written before the manifest, because instances read it within
    milliseconds after the bundle is accepted. It is written again afterwards in case
    another writer that lost the race overwrote it. A failure is not reported, since
    instances without the delta read the changed chunks.

    :returns: the delta that was overwritten; empty for none.
    """
    slot = deltas.find_storage_slot(proposal.manifest.version)
    key = f"{delta_format.DELTA_PREFIX}{slot}"
    current = await store.get(key)
    if current.is_error() or current.ok.data == proposal.delta:
        return b""
    await store.replace(key, proposal.delta, current.ok.revision)
    return current.ok.data


async def remove_unused_chunks(
    store: Store, overwritten: bytes, proposal: Proposal
) -> None:
    """Remove the chunks that only bundles of hundreds of versions ago had.

    At 1,900 changes a day, obsolete chunks would otherwise take up about 200 MB more
    each day. A failure leaves some chunks in the store and is not reported.

    :param overwritten: the delta that the new one replaced in its slot.
    """
    delta = delta_format.decode_delta(overwritten)
    if delta.is_error() or delta.ok.version >= proposal.manifest.version:
        return
    for digest in set(delta.ok.dropped) - proposal.chunk_digests:
        key = manifest.CHUNK_PREFIX + digest
        entry = await store.get(key)
        if entry.is_ok() and entry.ok.revision:
            await store.remove(key, entry.ok.revision)


async def publish(
    store: Store, accepted: AcceptedBundle, proposal: Proposal
) -> Result[Manifest, Failure]:
    """Make a proposal the accepted bundle.

    :returns: the manifest; ``VersionConflict`` if another bundle was accepted first;
        ``OutcomeUnknown`` if the store does not report the outcome.
    """
    for _, chunk in proposal.chunks:
        failure = await write_chunk(store, chunk)
        if failure is not None:
            return Error(failure)
    overwritten = await write_delta(store, proposal)
    data = manifest.format_manifest(proposal.manifest)
    written = await store.replace(manifest.MANIFEST_KEY, data, accepted.revision)
    failure = written.error if written.is_error() else None
    if isinstance(failure, OutcomeUnknown | Conflict):
        failure = await confirm_write(store, proposal.manifest, data, failure)
    if failure is not None:
        return Error(failure)
    await write_delta(store, proposal)
    await remove_unused_chunks(store, overwritten, proposal)
    return Ok(proposal.manifest)


async def confirm_write(
    store: Store, signed: Manifest, data: bytes, failure: Failure
) -> Failure | None:
    """Read the manifest back to find out whether the write took effect.

    The attempt identifier makes each write distinguishable.

    :param failure: failure that the write returned.
    :returns: None if the manifest was accepted.
    """
    stored = await store.get(manifest.MANIFEST_KEY)
    if stored.is_error():
        return failure
    if stored.ok.data == data:
        return None
    if isinstance(failure, OutcomeUnknown):
        return resolve_unknown_outcome(signed, stored.ok.data, failure)
    return build_conflict(signed, stored.ok.data)


def build_conflict(signed: Manifest, data: bytes) -> VersionConflict:
    """Return a conflict that names the signer of the accepted bundle."""
    parsed = manifest.parse_manifest(data)
    item = "no bundle is accepted"
    if parsed.is_ok():
        item = f"version {parsed.ok.version} by {parsed.ok.signer}"
    message = "another bundle was accepted first"
    return VersionConflict(f"bundle {signed.version}", message, item)


def resolve_unknown_outcome(signed: Manifest, data: bytes, failure: Failure) -> Failure:
    """Derive the outcome of a write without a response from the stored manifest.

    If the parent is still stored, a delayed write may still replace it, so the outcome
    stays unknown. If another attempt has stored the same version, this write was
    rejected. If a later version is stored, both outcomes are possible.
    """
    parsed = manifest.parse_manifest(data)
    if parsed.is_ok() and parsed.ok.version == signed.version:
        return build_conflict(signed, data)
    return failure
