"""Failures of JSON files, with the field and the line."""

from dataclasses import dataclass

from pydantic import ValidationError

from shallotspindle_core.failures import Failure


@dataclass(frozen=True, slots=True)
class SettingsFailure(Failure):
    """A file or one of its fields is not valid."""


def find_line(text: str, location: tuple[str | int, ...]) -> int:
    """Return the line of the first mention of the innermost named field."""
    names = [part for part in location if isinstance(part, str)]
    for name in reversed(names):
        offset = text.find(f'"{name}"')
        if offset >= 0:
            return text.count("\n", 0, offset) + 1
    return 1


def convert(
    path: str, text: str, error: ValidationError
) -> tuple[SettingsFailure, ...]:
    """Convert the errors of a validation."""
    return tuple(
        SettingsFailure(
            f"{path}:{find_line(text, item['loc'])}",
            item["msg"],
            ".".join(map(str, item["loc"])),
        )
        for item in error.errors()
    )
