"""What a command prints and how it exits."""

import json as json_format
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from shallotspindle_core.failures import Failure
from shallotspindle_environment.interface import Conflict, OutcomeUnknown
from shallotspindle_operations.changing import Done, InvalidChange
from shallotspindle_operations.publishing import (
    InvalidManifest,
    RevivedKey,
    VersionConflict,
)


class Exit(IntEnum):
    """Exit codes of all commands."""

    DONE = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a command.

    :param lines: what is printed for people.
    :param data: what is printed with ``--json``.
    """

    exit: Exit
    lines: tuple[str, ...] = ()
    data: dict[str, Any] = field(default_factory=dict)


def classify(failure: Failure) -> Exit:
    """Return the exit code of a failure."""
    match failure:
        case VersionConflict() | Conflict():
            return Exit.CONFLICT
        case OutcomeUnknown():
            return Exit.UNKNOWN
        case RevivedKey() | InvalidManifest() | InvalidChange():
            return Exit.INVALID
    return Exit.FAILED


def describe_failure(failure: Failure) -> dict[str, str]:
    return {
        "type": type(failure).__name__,
        "source": failure.source,
        "message": failure.message,
        "item": failure.item,
    }


def fail(failures: Iterable[Failure], code: Exit | None = None) -> Outcome:
    """Return the outcome of failures; the first one decides on the exit code."""
    failures = tuple(failures)
    code = classify(failures[0]) if code is None else code
    described = list(map(describe_failure, failures))
    return Outcome(code, tuple(map(str, failures)), {"failures": described})


def emit(outcome: Outcome, json: bool) -> int:
    """Print an outcome and return its exit code."""
    if json:
        data = {"exit": int(outcome.exit), **outcome.data}
        print(json_format.dumps(data, indent=2, ensure_ascii=False))
    else:
        for line in outcome.lines:
            print(line)
    return int(outcome.exit)


def describe_change(done: Done) -> Outcome:
    """Return the outcome of an accepted change."""
    lines = (
        f"bundle {done.version} is accepted, audit record {done.record}",
        *done.lines,
    )
    data = {
        "version": done.version,
        "audit": done.record,
        "changes": list(done.lines),
    }
    return Outcome(Exit.DONE, lines, data)
