"""Failures of JSON files, with the field and the line."""

import json
import re
from dataclasses import dataclass

from pydantic import ValidationError

from shallotspindle_core.failures import Failure

Location = tuple[str | int, ...]

SPACE = re.compile(r"[ \t\r\n,:]*")
SCALAR = re.compile(r'"(?:[^"\\]|\\.)*"|[^\s,:\]}]+')


@dataclass(frozen=True, slots=True)
class SettingsFailure(Failure):
    """A file or one of its fields is not valid."""


def index_values(text: str) -> dict[Location, int]:
    """Return the offset of each value of a valid JSON text by its location.

    The value of a field counts from the start of the field's name.
    """
    offsets: dict[Location, int] = {}
    open_values: list[tuple[Location, bool]] = []
    counts: list[int] = []
    name: str | None = None
    position = SPACE.match(text).end()
    while position < len(text):
        letter = text[position]
        if letter in "]}":
            open_values.pop()
            counts.pop()
            position = SPACE.match(text, position + 1).end()
            continue
        in_object = bool(open_values) and open_values[-1][1]
        scalar = SCALAR.match(text, position)
        if in_object and name is None:
            name = json.loads(scalar.group())
            offsets[(*open_values[-1][0], name)] = position
            position = SPACE.match(text, scalar.end()).end()
            continue
        location: Location = ()
        if in_object:
            location = (*open_values[-1][0], name)
            name = None
        elif open_values:
            location = (*open_values[-1][0], counts[-1])
            counts[-1] += 1
        offsets.setdefault(location, position)
        if letter in "[{":
            open_values.append((location, letter == "{"))
            counts.append(0)
            position = SPACE.match(text, position + 1).end()
        else:
            position = SPACE.match(text, scalar.end()).end()
    return offsets


class Lines:
    """Finds the lines of the values of a JSON text.

    :param text: the text; one that is not valid JSON has line 1 everywhere.
    """

    def __init__(self, text: str) -> None:
        self._text = text
        try:
            json.loads(text)
            self._offsets = index_values(text)
        except ValueError:
            self._offsets = {}

    def find(self, location: Location) -> int:
        """Return the line of a value, or of the innermost one that exists."""
        for length in range(len(location), -1, -1):
            offset = self._offsets.get(location[:length])
            if offset is not None:
                return self._text.count("\n", 0, offset) + 1
        return 1


def find_syntax_line(text: str) -> int:
    """Return the line at which a text stops being JSON."""
    try:
        json.loads(text)
    except json.JSONDecodeError as error:
        return error.lineno
    except ValueError:
        return 1
    return 1


def locate(
    path: str, text: str, found: list[tuple[Location, str]]
) -> tuple[SettingsFailure, ...]:
    """Return failures with the file, the line and the field.

    :param found: location and message of each failure.
    """
    lines = Lines(text)
    return tuple(
        SettingsFailure(
            f"{path}:{lines.find(location)}", message, ".".join(map(str, location))
        )
        for location, message in found
    )


def convert(
    path: str, text: str, error: ValidationError
) -> tuple[SettingsFailure, ...]:
    """Convert the errors of a model, each with its line in the file."""
    items = error.errors(include_url=False)
    if any(item["type"] == "json_invalid" for item in items):
        line = find_syntax_line(text)
        return tuple(SettingsFailure(f"{path}:{line}", item["msg"]) for item in items)
    return locate(path, text, [(item["loc"], item["msg"]) for item in items])
