"""Scenario files: load, teams, kinds of request and faults at fixed moments."""

from pathlib import Path
from typing import Annotated, Any, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from shallotspindle_core.failures import Failure

Positive = Annotated[float, Field(gt=0)]
Moment = Annotated[float, Field(ge=0)]


class Model(BaseModel):
    """Base of all models: unknown fields are refused and values are frozen."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Kind(Model):
    """A kind of request.

    :param path: path of the requests; ``{n}`` stands for the number of the request.
    :param weight: share of the requests, relative to the other kinds.
    :param value: weight of the kind in the service objective.
    :param body_bytes: length of the body.
    :param idempotency_key: whether each request carries a key of its own.
    :param deadline: time after which the answer has no value, in seconds.
    """

    name: str
    method: Literal["GET", "POST", "PUT", "DELETE"] = "GET"
    path: str = Field(pattern="^/")
    weight: Positive = 1.0
    value: Positive = 1.0
    body_bytes: int = Field(default=0, ge=0, le=256_000_000)
    idempotency_key: bool = False
    deadline: Positive = 10.0


class Surge(Model):
    """A time in which a team sends a multiple of its rate."""

    start: Moment
    end: Positive
    factor: Positive


class Team(Model):
    """A team and the rate at which it sends.

    :param send_rate: requests a second that are sent.
    :param rate: requests a second that the bundle allows; None for no limit.
    :param burst: burst that the bundle allows, in requests.
    """

    name: str
    key: str
    send_rate: Positive
    rate: Positive | None = None
    burst: Positive = 1.0
    surges: tuple[Surge, ...] = ()


class Fault(Model):
    """A change at a scheduled moment.

    ``upstream`` faults are posted to one stand-in and ``store`` faults to the store;
    ``signal`` sends SIGTERM to the daemon with the number ``instance``.

    :param at: seconds after the start of the measurement.
    """

    at: Moment
    target: Literal["upstream", "store", "signal"]
    upstream: str = ""
    instance: int = Field(default=0, ge=0)
    fields: dict[str, Any] = {}

    @model_validator(mode="after")
    def check_upstream(self) -> "Fault":
        if self.target == "upstream" and not self.upstream:
            raise ValueError("a fault of an upstream names the upstream")
        return self


class Poison(Model):
    """A request whose body holds the crash marker, sent at scheduled moments."""

    at: Moment
    team: str
    path: str = Field(pattern="^/")
    body: str


class Scenario(Model):
    """Load for one run.

    :param duration: length of the run, in seconds.
    :param warmup: requests scheduled before this moment are sent, not counted.
    :param block: length of a block of a comparison, in seconds.
    """

    name: str
    duration: Positive
    warmup: Moment = 0.0
    block: Positive = 5.0
    teams: tuple[Team, ...]
    kinds: tuple[Kind, ...]
    faults: tuple[Fault, ...] = ()
    poison: tuple[Poison, ...] = ()

    @model_validator(mode="after")
    def check_references(self) -> "Scenario":
        if not self.teams or not self.kinds:
            raise ValueError("a scenario has at least one team and one kind")
        names = {team.name for team in self.teams}
        unknown = [item.team for item in self.poison if item.team not in names]
        if unknown:
            raise ValueError(f"unknown teams: {', '.join(unknown)}")
        if len(names) < len(self.teams):
            raise ValueError("two teams have the same name")
        if len({kind.name for kind in self.kinds}) < len(self.kinds):
            raise ValueError("two kinds have the same name")
        return self

    def scale(self, total: float) -> "Scenario":
        """Return the scenario with the sum of the teams' sending rates set.

        :param total: requests a second.
        """
        factor = total / sum(team.send_rate for team in self.teams)
        teams = tuple(
            team.model_copy(update={"send_rate": team.send_rate * factor})
            for team in self.teams
        )
        return self.model_copy(update={"teams": teams})


def parse_scenario(source: str, text: str) -> Result[Scenario, tuple[Failure, ...]]:
    """Parse a scenario, or return all failures of its text."""
    try:
        return Ok(Scenario.model_validate_json(text))
    except ValidationError as error:
        found = (
            Failure(source, item["msg"], ".".join(map(str, item["loc"])))
            for item in error.errors()
        )
        return Error(tuple(found))


def load_scenario(path: Path) -> Result[Scenario, tuple[Failure, ...]]:
    """Read and validate a scenario file."""
    try:
        return parse_scenario(str(path), path.read_text())
    except OSError as error:
        return Error((Failure(str(path), str(error)),))
