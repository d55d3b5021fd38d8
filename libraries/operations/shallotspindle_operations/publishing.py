"""Signs a bundle off and puts it into the store.

The chunks and the delta are written first; the one replacement of the manifest
accepts the bundle. A writer whose answer was lost recognises its own manifest.
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
from shallotspindle_settings import deltas as delta_forms
from shallotspindle_settings.chunks import ChunkIndex

EMPTY = Bundle(0, b"")
# Writing a chunk again has no second effect, so lost answers are tried again.
CHUNK_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class VersionConflict(Failure):
    """Another bundle was accepted first; this one was not."""


@dataclass(frozen=True, slots=True)
class InvalidManifest(Failure):
    """A signed manifest does not belong to the bundle."""


@dataclass(frozen=True, slots=True)
class RevivedKey(Failure):
    """A bundle would let a withdrawn key work again."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The accepted bundle as the store has it.

    :param revision: revision of the manifest; 0 before the first bundle.
    """

    bundle: Bundle = EMPTY
    index: ChunkIndex | None = None
    revision: int = 0
    manifest: Manifest | None = None


@dataclass(frozen=True, slots=True)
class Proposal:
    """A signed bundle that is ready to be written.

    :param chunks: chunks that the accepted bundle does not have, by digest.
    :param delta: stored delta from the accepted bundle.
    :param kept: digests of all chunks of the bundle and of its index.
    """

    manifest: Manifest
    chunks: tuple[tuple[str, bytes], ...]
    delta: bytes
    changes: tuple[Change, ...]
    kept: frozenset[str]


async def read_accepted(store: Store) -> Result[Accepted, Failure]:
    """Read the accepted bundle; its signature is for instances to verify."""
    entry = await store.get(manifest.MANIFEST_KEY)
    if entry.is_error():
        return Error(entry.error)
    if entry.ok.revision == 0:
        return Ok(Accepted())
    parsed = manifest.parse_manifest(entry.ok.data)
    if parsed.is_error():
        return Error(parsed.error[0])
    content = await read_content(store, parsed.ok)
    return content.map(
        lambda found: Accepted(found[0], found[1], entry.ok.revision, parsed.ok)
    )


async def read_version(store: Store) -> Result[int, Failure]:
    """Read the version of the accepted bundle; 0 before the first one."""
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


async def read_content(
    store: Store, found: Manifest
) -> Result[tuple[Bundle, ChunkIndex], Failure]:
    """Read the index and all chunks of a bundle."""
    data = await read_chunk(store, found.chunks[0] if found.chunks else "")
    if data.is_error():
        return Error(data.error)
    index = chunks.decode_index(data.ok)
    if index.is_error():
        return Error(index.error)
    assembly = chunks.BundleAssembler(found.version)
    for place in buckets.BUCKET_IDS:
        chunk = await read_chunk(store, index.ok[place])
        if chunk.is_error():
            return Error(chunk.error)
        failure = assembly.add(place, chunk.ok)
        if failure is not None:
            return Error(failure)
    return Ok((assembly.build(), index.ok))


def check_revival(before: Bundle, after: Bundle) -> RevivedKey | None:
    """Check that no withdrawn key works again, as after an edit of an old file."""
    freed = before.withdrawn - after.withdrawn
    if not freed:
        return None
    for team in after.teams.values():
        if freed.intersection(team.key_digests):
            source = f"bundle {after.version}"
            return RevivedKey(source, "a withdrawn key would work again", team.name)
    return None


def propose(
    accepted: Accepted,
    bundle: Bundle,
    signer: str,
    key: Ed25519PrivateKey,
    attempt: str,
) -> Result[Proposal, VersionConflict | RevivedKey]:
    """Sign a bundle that follows the accepted one.

    :param attempt: random text that marks this write.
    """
    parent = accepted.bundle.version
    if bundle.version != parent + 1:
        return Error(
            VersionConflict(
                f"bundle {bundle.version}",
                "it does not follow the accepted bundle",
                f"accepted is version {parent}",
            )
        )
    revived = check_revival(accepted.bundle, bundle)
    if revived is not None:
        return Error(revived)
    content = encode(accepted, bundle)
    unsigned = Manifest(bundle.version, parent, signer, attempt, (content.name,))
    signed = manifests.sign(unsigned, key)
    return Ok(build_proposal(signed, content))


@dataclass(frozen=True, slots=True)
class Content:
    """Stored form of a bundle; ``name`` is the digest of its index."""

    name: str
    chunks: tuple[tuple[str, bytes], ...]
    delta: bytes
    changes: tuple[Change, ...]
    kept: frozenset[str]


def build_proposal(signed: Manifest, content: Content) -> Proposal:
    """Join a signed manifest with the stored form of its bundle."""
    return Proposal(
        signed, content.chunks, content.delta, content.changes, content.kept
    )


def encode(accepted: Accepted, bundle: Bundle) -> Content:
    """Encode the chunks that differ from the accepted bundle, and the delta."""
    changes = differences.compare(accepted.bundle, bundle)
    if accepted.index is None:
        index, encoded = chunks.build_index(bundle)
    else:
        touched = buckets.list_changed_buckets(changes)
        index, encoded = chunks.build_index(bundle, accepted.index, touched)
    data = chunks.encode_index(index)
    name = manifests.compute_chunk_digest(data)
    kept = frozenset({name, *index.values()})
    dropped = find_dropped(accepted, kept)
    delta = Delta(bundle.version, accepted.bundle.version, changes, dropped)
    written = (*encoded.items(), (name, data))
    return Content(name, written, delta_forms.encode_delta(delta), changes, kept)


def list_names(accepted: Accepted) -> set[str]:
    """Return the digests of all chunks of a bundle and of its index."""
    if accepted.index is None or accepted.manifest is None:
        return set()
    return {*accepted.index.values(), *accepted.manifest.chunks} - {""}


def find_dropped(accepted: Accepted, kept: frozenset[str]) -> tuple[str, ...]:
    """Return the digests of chunks that the next bundle does not have."""
    return tuple(sorted(list_names(accepted) - kept))


def propose_signed(
    accepted: Accepted, bundle: Bundle, signed: Manifest
) -> Result[Proposal, Failure]:
    """Check that a manifest signed before belongs to a bundle that may follow."""
    source = f"bundle {bundle.version}"
    if accepted.bundle.version != signed.parent:
        item = f"accepted is version {accepted.bundle.version}"
        message = "it does not follow the accepted bundle"
        return Error(VersionConflict(source, message, item))
    revived = check_revival(accepted.bundle, bundle)
    if revived is not None:
        return Error(revived)
    content = encode(accepted, bundle)
    if (signed.version, signed.chunks) != (bundle.version, (content.name,)):
        return Error(InvalidManifest(source, "the manifest is of another bundle"))
    return Ok(build_proposal(signed, content))


async def write_chunk(store: Store, chunk: bytes) -> Failure | None:
    """Store a chunk under its digest; one that is there already is the same."""
    key = manifest.CHUNK_PREFIX + manifests.compute_chunk_digest(chunk)
    for _ in range(CHUNK_ATTEMPTS):
        written = await store.replace(key, chunk, 0)
        if written.is_ok() or isinstance(written.error, Conflict):
            return None
        if not isinstance(written.error, OutcomeUnknown):
            return written.error
    # Nothing is accepted before the manifest is written.
    return StoreFailure(key, "the chunk was not written", str(written.error))


async def write_delta(store: Store, proposal: Proposal) -> bytes:
    """Store the delta in its slot; without it instances read the changed chunks.

    It is written before acceptance, because instances ask for it within milliseconds
    after it, and again afterwards if the loser of a race overwrote it. A failure is
    not reported.

    :returns: the stored delta that was overwritten; empty for none.
    """
    slot = deltas.find_storage_slot(proposal.manifest.version)
    key = f"{delta_forms.DELTA_PREFIX}{slot}"
    current = await store.get(key)
    if current.is_error() or current.ok.data == proposal.delta:
        return b""
    await store.replace(key, proposal.delta, current.ok.revision)
    return current.ok.data


async def remove_dropped(store: Store, overwritten: bytes, proposal: Proposal) -> None:
    """Remove the chunks that only bundles of hundreds of versions ago had.

    1,900 changes a day would otherwise leave about 200 MB a day. A failure leaves some
    chunks behind and is not reported.
    """
    delta = delta_forms.decode_delta(overwritten)
    if delta.is_error() or delta.ok.version >= proposal.manifest.version:
        return
    for digest in set(delta.ok.dropped) - proposal.kept:
        key = manifest.CHUNK_PREFIX + digest
        entry = await store.get(key)
        if entry.is_ok() and entry.ok.revision:
            await store.remove(key, entry.ok.revision)


async def publish(
    store: Store, accepted: Accepted, proposal: Proposal
) -> Result[Manifest, Failure]:
    """Make a proposal the accepted bundle.

    :returns: the manifest, ``VersionConflict`` when somebody else was first, or
        ``OutcomeUnknown`` when the store does not tell.
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
        failure = await confirm(store, proposal.manifest, data, failure)
    if failure is not None:
        return Error(failure)
    await write_delta(store, proposal)
    await remove_dropped(store, overwritten, proposal)
    return Ok(proposal.manifest)


async def confirm(
    store: Store, signed: Manifest, data: bytes, failure: Failure
) -> Failure | None:
    """Read back and recognise the own write by its attempt identifier.

    :returns: None when the own manifest was accepted.
    """
    found = await store.get(manifest.MANIFEST_KEY)
    if found.is_error():
        return failure
    if found.ok.data == data:
        return None
    if isinstance(failure, OutcomeUnknown):
        return find_outcome(signed, found.ok.data, failure)
    return build_conflict(signed, found.ok.data)


def build_conflict(signed: Manifest, data: bytes) -> VersionConflict:
    """Name the person whose bundle was accepted instead."""
    parsed = manifest.parse_manifest(data)
    item = "no bundle is accepted"
    if parsed.is_ok():
        item = f"version {parsed.ok.version} by {parsed.ok.signer}"
    message = "another bundle was accepted first"
    return VersionConflict(f"bundle {signed.version}", message, item)


def find_outcome(signed: Manifest, data: bytes, failure: Failure) -> Failure:
    """Decide what a lost write did from the manifest that is stored now.

    A parent that is still stored may yet be replaced by a late write, so its outcome
    stays unknown. With the same version by another attempt, this one lost. With a
    later version both are possible.
    """
    parsed = manifest.parse_manifest(data)
    if parsed.is_ok() and parsed.ok.version == signed.version:
        return build_conflict(signed, data)
    return failure
