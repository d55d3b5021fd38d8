"""Models of the settings of the entry daemon, and the base class of all models."""

from pathlib import Path
from typing import Annotated, Self

from expression import Error, Ok, Result
from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    field_validator,
    model_validator,
)

from shallotspindle_settings import failures
from shallotspindle_validation.fields import Seconds


class StrictModel(BaseModel):
    """Base of all models: unknown fields are rejected and instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


MAX_MEMORY_MB = 1_000_000_000.0
MAX_DESCRIPTORS = 1_000_000_000
PublicKey = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Url = Annotated[str, Field(pattern=r"^https?://[^\s/]+")]


class Address(StrictModel):
    """A TCP socket.

    :param port: 0 lets the kernel pick one.
    """

    host: str = Field(default="127.0.0.1", min_length=1)
    port: int = Field(default=0, ge=0, le=65535)


class Tls(StrictModel):
    """Certificate of the callers' socket, read again when the files change.

    :param certificate: PEM file with the certificate chain.
    :param private_key: PEM file with the private key.
    """

    certificate: str = Field(min_length=1)
    private_key: str = Field(min_length=1)
    reload_seconds: Annotated[Seconds, Field(gt=0)] = 60.0


class EntrySettings(StrictModel):
    """Settings of one instance.

    :param incarnation: 128 bits in hex that the platform's list gives this run of the
        process; drawn at random without it.
    :param failure_domains: all failure domains of the fleet; an instance that starts
        while the store is away needs answers from a majority of them.
    :param signers: Ed25519 public keys in hex of the persons who may sign off.
    :param fleet_secret: shared secret of the peers' frames in hex, 32 bytes.
    :param memory_mb: memory in MB above which the process is killed; 0 if none is
        stated.
    :param max_descriptors: open descriptors that the process may have; 0 if none is
        stated.
    :param require_request_ids: whether upstreams repeat the id of a request in every
        response, so that one without it is rejected.
    :param stop_wait_seconds: time between readiness false and the end of accepting.
    """

    name: str = Field(min_length=1)
    incarnation: str | None = Field(default=None, pattern=r"^[0-9a-f]{32}$")
    failure_domain: str = Field(min_length=1)
    failure_domains: tuple[str, ...] = ()
    callers: Address = Address()
    tls: Tls | None = None
    administration: Address = Address()
    peers: Address = Address()
    store_url: Url
    instance_list_url: Url
    signers: dict[str, PublicKey]
    fleet_secret: str = Field(pattern=r"^[0-9a-f]{64}$")
    memory_mb: float = Field(default=0.0, ge=0, le=MAX_MEMORY_MB)
    max_descriptors: int = Field(default=0, ge=0, le=MAX_DESCRIPTORS)
    require_request_ids: bool = False
    stop_wait_seconds: Seconds = 5.0
    stop_limit_seconds: Seconds = 60.0

    @field_validator("failure_domains")
    @classmethod
    def check_domains(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        if len(set(value)) != len(value):
            raise ValueError("a failure domain is listed twice")
        return value

    @model_validator(mode="after")
    def check_own_domain(self) -> Self:
        if self.failure_domains and self.failure_domain not in self.failure_domains:
            raise ValueError("failure_domain is not one of failure_domains")
        return self


def load_settings(
    path: Path,
) -> Result[EntrySettings, tuple[failures.SettingsFailure, ...]]:
    """Read and validate the settings of an instance.

    :returns: the settings, or all failures of the file.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Error((failures.SettingsFailure(str(path), str(error)),))
    try:
        return Ok(EntrySettings.model_validate_json(text))
    except ValidationError as error:
        return Error(failures.convert_errors(str(path), text, error))
