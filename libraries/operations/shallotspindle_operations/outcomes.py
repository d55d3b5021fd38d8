"""Output and exit codes of commands."""

import json as json_format
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from shallotspindle_core.failures import Failure
from shallotspindle_environment.interface import Conflict, OutcomeUnknown
from shallotspindle_operations.changing import ChangeResult, InvalidChange
from shallotspindle_operations.publishing import (
    InvalidManifest,
    RevivedKey,
    VersionConflict,
)


class ExitCode(IntEnum):
    """Exit code of a command."""

    DONE = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a command.

    :param lines: human-readable output.
    :param data: output of ``--json``.
    """

    exit_code: ExitCode
    lines: tuple[str, ...] = ()
    data: dict[str, Any] = field(default_factory=dict)


def choose_exit_code(failure: Failure) -> ExitCode:
    """Return the exit code of a failure."""
    match failure:
        case VersionConflict() | Conflict():
            return ExitCode.CONFLICT
        case OutcomeUnknown():
            return ExitCode.UNKNOWN
        case RevivedKey() | InvalidManifest() | InvalidChange():
            return ExitCode.INVALID
    return ExitCode.FAILED


def describe_failure(failure: Failure) -> dict[str, str]:
    return {
        "type": type(failure).__name__,
        "source": failure.source,
        "message": failure.message,
        "item": failure.item,
    }


def from_failures(failures: Iterable[Failure], code: ExitCode | None = None) -> Outcome:
    """Return the outcome of failures.

    :param code: exit code; None derives it from the first failure.
    """
    failures = tuple(failures)
    code = choose_exit_code(failures[0]) if code is None else code
    described = list(map(describe_failure, failures))
    return Outcome(code, tuple(map(str, failures)), {"failures": described})


def emit(outcome: Outcome, json: bool) -> int:
    """Print an outcome and return its exit code."""
    if json:
        data = {"exit": int(outcome.exit_code), **outcome.data}
        print(json_format.dumps(data, indent=2, ensure_ascii=False))
    else:
        for line in outcome.lines:
            print(line)
    return int(outcome.exit_code)


def describe_change(result: ChangeResult) -> Outcome:
    """Return the outcome of an accepted change."""
    lines = (
        f"bundle {result.version} is accepted, audit record {result.audit_record}",
        *result.change_lines,
    )
    data = {
        "version": result.version,
        "audit": result.audit_record,
        "changes": list(result.change_lines),
    }
    return Outcome(ExitCode.DONE, lines, data)
