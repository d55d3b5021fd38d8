"""Settings of the entry daemon, validated at the border."""

from pathlib import Path

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from shallotspindle_settings import failures


class Model(BaseModel):
    """Base of all models: unknown fields are refused and values are frozen."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Address(Model):
    """A TCP socket.

    :param port: 0 lets the kernel pick one.
    """

    host: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=65535)


class TlsFiles(Model):
    """Certificate chain and private key in PEM files."""

    certificate: Path
    private_key: Path


class EntrySettings(Model):
    """Settings of one instance.

    :param signers: Ed25519 public keys in hex of the persons who may sign off.
    :param fleet_secret: shared secret of the peers' frames in hex, 32 bytes.
    :param stop_wait_seconds: time between readiness false and the end of accepting.
    """

    name: str
    failure_domain: str
    callers: Address = Address()
    administration: Address = Address()
    peers: Address = Address()
    tls: TlsFiles | None = None
    store_url: str
    instance_list_url: str
    signers: dict[str, str]
    fleet_secret: str = Field(pattern=r"^[0-9a-f]{64}$")
    stop_wait_seconds: float = Field(default=5.0, ge=0)
    stop_limit_seconds: float = Field(default=60.0, ge=0)


def load_settings(
    path: Path,
) -> Result[EntrySettings, tuple[failures.SettingsFailure, ...]]:
    """Read and validate the settings of an instance.

    :returns: the settings, or all failures of the file.
    """
    try:
        text = path.read_text()
    except OSError as error:
        return Error((failures.SettingsFailure(str(path), str(error)),))
    try:
        return Ok(EntrySettings.model_validate_json(text))
    except ValidationError as error:
        return Error(failures.convert(str(path), text, error))
