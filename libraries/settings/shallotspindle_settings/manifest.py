"""Stored form of a manifest."""

import json

from expression import Error, Ok, Result
from pydantic import ValidationError

from shallotspindle_bundles.manifests import Manifest
from shallotspindle_settings import failures
from shallotspindle_settings.daemon import StrictModel
from shallotspindle_validation.fields import Counter

MANIFEST_KEY = "/shallotspindle/manifest"
CHUNK_PREFIX = "/shallotspindle/chunks/"


class ManifestModel(StrictModel):
    version: Counter
    parent: Counter
    signer: str
    attempt: str
    chunks: tuple[str, ...]
    signature: str


def parse_manifest(
    data: bytes,
) -> Result[Manifest, tuple[failures.SettingsFailure, ...]]:
    """Validate the stored form of a manifest, without verifying its signature."""
    try:
        model = ManifestModel.model_validate_json(data)
        return Ok(
            Manifest(
                **model.model_dump(exclude={"signature"}),
                signature=bytes.fromhex(model.signature),
            )
        )
    except ValidationError as error:
        return Error(
            failures.convert_errors("manifest", data.decode(errors="replace"), error)
        )
    except ValueError as error:
        return Error((failures.SettingsFailure("manifest", str(error), "signature"),))


def format_manifest(manifest: Manifest) -> bytes:
    """Return the stored form of a manifest."""
    fields = {
        "version": manifest.version,
        "parent": manifest.parent,
        "signer": manifest.signer,
        "attempt": manifest.attempt,
        "chunks": manifest.chunks,
        "signature": manifest.signature.hex(),
    }
    return json.dumps(fields, sort_keys=True).encode()
