"""Scenario files: load, teams, request kinds and faults at scheduled times."""

from pathlib import Path
from typing import Annotated, Any, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from shallotspindle_core.failures import Failure

PositiveFloat = Annotated[float, Field(gt=0)]
NonNegativeFloat = Annotated[float, Field(ge=0)]


class StrictModel(BaseModel):
    """Base of all models: rejects unknown fields; instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class RequestKind(StrictModel):
    """A kind of request.

    :param path: path of the requests; ``{n}`` is replaced by the request number.
    :param weight: relative frequency of the kind among the requests.
    :param value: weight of the kind in the ratio of requests served.
    :param body_bytes: length of the request body.
    :param idempotency_key: whether each request has a unique idempotency key.
    :param deadline: time after which a response counts as late, in seconds.
    """

    name: str
    method: Literal["GET", "POST", "PUT", "DELETE"] = "GET"
    path: str = Field(pattern="^/")
    weight: PositiveFloat = 1.0
    value: PositiveFloat = 1.0
    body_bytes: int = Field(default=0, ge=0, le=256_000_000)
    idempotency_key: bool = False
    deadline: PositiveFloat = 10.0


class Surge(StrictModel):
    """Interval in which a team sends at a multiple of its rate.

    :param start: seconds after the start of the run.
    :param end: seconds after the start of the run.
    """

    start: NonNegativeFloat
    end: PositiveFloat
    factor: PositiveFloat


class Team(StrictModel):
    """A team and the rate at which it sends.

    :param send_rate: requests sent per second.
    :param rate: requests per second that the bundle allows; None for no limit.
    :param burst: burst that the bundle allows, in requests.
    """

    name: str
    key: str
    send_rate: PositiveFloat
    rate: PositiveFloat | None = None
    burst: PositiveFloat = 1.0
    surges: tuple[Surge, ...] = ()


class Fault(StrictModel):
    """A fault that is injected at a scheduled time.

    ``upstream`` faults are posted to one stand-in and ``store`` faults to the store;
    ``signal`` sends SIGTERM to the daemon with the number ``instance``.

    :param at: seconds after the start of the measurement.
    :param fields: JSON object that is posted to the stand-in.
    """

    at: NonNegativeFloat
    target: Literal["upstream", "store", "signal"]
    upstream: str = ""
    instance: int = Field(default=0, ge=0)
    fields: dict[str, Any] = {}

    @model_validator(mode="after")
    def check_upstream(self) -> "Fault":
        if self.target == "upstream" and not self.upstream:
            raise ValueError(
                "a fault with target 'upstream' requires the name of an upstream"
            )
        return self


class PoisonRequest(StrictModel):
    """A request whose body contains the crash marker of the stand-in upstreams.

    :param at: seconds after the start of the run.
    """

    at: NonNegativeFloat
    team: str
    path: str = Field(pattern="^/")
    body: str


class Scenario(StrictModel):
    """Load for one run.

    :param duration: length of the run, in seconds.
    :param warmup: requests scheduled before this time, in seconds, are sent but not
        counted.
    :param block: length of a block of a comparison, in seconds.
    """

    name: str
    duration: PositiveFloat
    warmup: NonNegativeFloat = 0.0
    block: PositiveFloat = 5.0
    teams: tuple[Team, ...]
    kinds: tuple[RequestKind, ...]
    faults: tuple[Fault, ...] = ()
    poison: tuple[PoisonRequest, ...] = ()

    @model_validator(mode="after")
    def check_references(self) -> "Scenario":
        if not self.teams or not self.kinds:
            raise ValueError(
                "a scenario requires at least one team and one request kind"
            )
        names = {team.name for team in self.teams}
        unknown = [item.team for item in self.poison if item.team not in names]
        if unknown:
            raise ValueError(
                f"poison requests name unknown teams: {', '.join(unknown)}"
            )
        if len(names) < len(self.teams):
            raise ValueError("team names are not unique")
        if len({kind.name for kind in self.kinds}) < len(self.kinds):
            raise ValueError("names of request kinds are not unique")
        return self

    def scale(self, total_rate: float) -> "Scenario":
        """Return the scenario with the teams' send rates scaled to a given sum.

        :param total_rate: requests per second of all teams.
        """
        factor = total_rate / sum(team.send_rate for team in self.teams)
        teams = tuple(
            team.model_copy(update={"send_rate": team.send_rate * factor})
            for team in self.teams
        )
        return self.model_copy(update={"teams": teams})


def parse_scenario(source: str, text: str) -> Result[Scenario, tuple[Failure, ...]]:
    """Parse a scenario, or return all failures.

    :param source: file name for the failures.
    """
    try:
        return Ok(Scenario.model_validate_json(text))
    except ValidationError as error:
        failures = (
            Failure(source, item["msg"], ".".join(map(str, item["loc"])))
            for item in error.errors()
        )
        return Error(tuple(failures))


def load_scenario(path: Path) -> Result[Scenario, tuple[Failure, ...]]:
    """Read and validate a scenario file."""
    try:
        return parse_scenario(str(path), path.read_text())
    except OSError as error:
        return Error((Failure(str(path), str(error)),))
