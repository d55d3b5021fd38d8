"""JSON form of a request that crashes upstreams, in the store."""

from typing import Annotated

from expression import Error, Ok, Result
from pydantic import Field, ValidationError

from shallotspindle_settings import failures
from shallotspindle_settings.daemon import StrictModel
from shallotspindle_validation.fields import Counter, Fingerprint, Name

CRASH_PREFIX = "/shallotspindle/crashes/"
MAX_UPSTREAMS = 64


class CrashModel(StrictModel):
    """A request that crashed several upstreams.

    :param fingerprint: hash of the request, in hexadecimal.
    :param crashed_at: Unix time of the last crash, in seconds.
    """

    fingerprint: Fingerprint
    upstreams: Annotated[tuple[Name, ...], Field(max_length=MAX_UPSTREAMS)]
    crashed_at: Counter


def build_key(fingerprint: int) -> str:
    """Return the key under which a request is stored."""
    return f"{CRASH_PREFIX}{fingerprint:016x}"


def parse_crash(
    source: str, data: bytes
) -> Result[CrashModel, tuple[failures.SettingsFailure, ...]]:
    """Validate the JSON form of a request that crashes upstreams."""
    try:
        return Ok(CrashModel.model_validate_json(data))
    except ValidationError as error:
        text = data.decode(errors="replace")
        return Error(failures.convert_errors(source, text, error))


def format_crash(
    fingerprint: int, upstreams: tuple[str, ...], crashed_at: int
) -> bytes:
    """Return the JSON form of a request that crashes upstreams.

    :param crashed_at: Unix time of the last crash, in seconds.
    """
    model = CrashModel(
        fingerprint=f"{fingerprint:016x}",
        upstreams=upstreams[:MAX_UPSTREAMS],
        crashed_at=crashed_at,
    )
    return model.model_dump_json().encode()
