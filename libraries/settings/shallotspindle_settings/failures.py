"""Failures of JSON files, each with its field and line."""

import json
import re
from dataclasses import dataclass

from pydantic import ValidationError

from shallotspindle_core.failures import Failure

Location = tuple[str | int, ...]

SEPARATOR_PATTERN = re.compile(r"[ \t\r\n,:]*")
SCALAR_PATTERN = re.compile(r'"(?:[^"\\]|\\.)*"|[^\s,:\]}]+')


@dataclass(frozen=True, slots=True)
class SettingsFailure(Failure):
    """A file or one of its fields is invalid."""


def index_value_offsets(text: str) -> dict[Location, int]:
    """Return the offset of each value of a valid JSON text by its location.

    The offset of a field's value is that of the field's name.
    """
    offsets: dict[Location, int] = {}
    open_containers: list[tuple[Location, bool]] = []
    array_lengths: list[int] = []
    name: str | None = None
    position = SEPARATOR_PATTERN.match(text).end()
    while position < len(text):
        character = text[position]
        if character in "]}":
            open_containers.pop()
            array_lengths.pop()
            position = SEPARATOR_PATTERN.match(text, position + 1).end()
            continue
        in_object = bool(open_containers) and open_containers[-1][1]
        scalar = SCALAR_PATTERN.match(text, position)
        if in_object and name is None:
            name = json.loads(scalar.group())
            offsets[(*open_containers[-1][0], name)] = position
            position = SEPARATOR_PATTERN.match(text, scalar.end()).end()
            continue
        location: Location = ()
        if in_object:
            location = (*open_containers[-1][0], name)
            name = None
        elif open_containers:
            location = (*open_containers[-1][0], array_lengths[-1])
            array_lengths[-1] += 1
        offsets.setdefault(location, position)
        if character in "[{":
            open_containers.append((location, character == "{"))
            array_lengths.append(0)
            position = SEPARATOR_PATTERN.match(text, position + 1).end()
        else:
            position = SEPARATOR_PATTERN.match(text, scalar.end()).end()
    return offsets


class LineFinder:
    """Finds the lines of values in a JSON text.

    :param text: JSON text; if it is invalid, all values are reported in line 1.
    """

    def __init__(self, text: str) -> None:
        self._text = text
        try:
            json.loads(text)
            self._offsets = index_value_offsets(text)
        except (ValueError, RecursionError):
            self._offsets = {}

    def find_line(self, location: Location) -> int:
        """Return the line of a value, or else of its innermost existing container."""
        for length in range(len(location), -1, -1):
            offset = self._offsets.get(location[:length])
            if offset is not None:
                return self._text.count("\n", 0, offset) + 1
        return 1


def find_syntax_error_line(text: str) -> int:
    """Return the line of the first JSON syntax error of a text."""
    try:
        json.loads(text)
    except json.JSONDecodeError as error:
        return error.lineno
    except (ValueError, RecursionError):
        return 1
    return 1


def build_failures(
    path: str, text: str, located_messages: list[tuple[Location, str]]
) -> tuple[SettingsFailure, ...]:
    """Return failures that name the file, the line and the field.

    :param located_messages: location and message of each failure.
    """
    line_finder = LineFinder(text)
    return tuple(
        SettingsFailure(
            f"{path}:{line_finder.find_line(location)}",
            message,
            ".".join(map(str, location)),
        )
        for location, message in located_messages
    )


def convert_errors(
    path: str, text: str, error: ValidationError
) -> tuple[SettingsFailure, ...]:
    """Convert the errors of a model to failures with lines of the file."""
    items = error.errors(include_url=False)
    if any(item["type"] == "json_invalid" for item in items):
        line = find_syntax_error_line(text)
        return tuple(SettingsFailure(f"{path}:{line}", item["msg"]) for item in items)
    return build_failures(path, text, [(item["loc"], item["msg"]) for item in items])
