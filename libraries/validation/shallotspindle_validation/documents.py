"""Decodes JSON that another process wrote.

Whatever the bytes are, the result is a value or a typed failure. Nesting beyond about
200 levels, numbers of thousands of digits and invalid UTF-8 are failures too.
"""

from dataclasses import dataclass
from typing import Any, TypeVar

import pydantic_core
from expression import Error, Ok, Result
from pydantic import BaseModel, TypeAdapter, ValidationError

from shallotspindle_core.failures import Failure

Value = TypeVar("Value")
Model = TypeVar("Model", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class MalformedDocument(Failure):
    """A document is no JSON, or one of its fields is missing or out of bounds."""


def decode_json(source: str, data: bytes | str) -> Result[Any, MalformedDocument]:
    """Return the value of a JSON text.

    :param source: origin of the text, for the failure.
    """
    try:
        return Ok(pydantic_core.from_json(data, allow_inf_nan=False))
    except ValueError as error:
        return Error(MalformedDocument(source, "not a JSON value", str(error)))


def decode_model(
    model: type[Model], source: str, data: bytes
) -> Result[Model, tuple[MalformedDocument, ...]]:
    """Return the model of a JSON text, or one failure for each invalid field."""
    try:
        return Ok(model.model_validate_json(data))
    except ValidationError as error:
        return Error(convert_errors(source, error))


def decode_with(
    adapter: TypeAdapter[Value], source: str, data: bytes
) -> Result[Value, MalformedDocument]:
    """Return the value of a JSON text that has the adapter's type."""
    try:
        return Ok(adapter.validate_json(data, strict=True))
    except ValidationError as error:
        return Error(convert_errors(source, error)[0])


def decode_lax(
    adapter: TypeAdapter[Value], source: str, data: bytes
) -> Result[Value, MalformedDocument]:
    """Like ``decode_with``, but numbers may be written as text."""
    try:
        return Ok(adapter.validate_json(data))
    except ValidationError as error:
        return Error(convert_errors(source, error)[0])


def check_with(
    adapter: TypeAdapter[Value], source: str, value: Any
) -> Result[Value, MalformedDocument]:
    """Return a decoded JSON value if it has the adapter's type."""
    try:
        return Ok(adapter.validate_python(value))
    except ValidationError as error:
        return Error(convert_errors(source, error)[0])


def convert_errors(
    source: str, error: ValidationError
) -> tuple[MalformedDocument, ...]:
    """Return a failure for each error, with the path of its field."""
    items = error.errors(include_url=False, include_context=False, include_input=False)
    return tuple(
        MalformedDocument(source, item["msg"], ".".join(map(str, item["loc"])))
        for item in items
    )
