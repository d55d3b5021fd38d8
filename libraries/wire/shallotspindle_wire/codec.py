"""Codec of messages between instances.

A message is a frozen data class and travels as the msgpack array
``[protocol version, kind, fields...]``. Input of any form gives a message or a typed
failure, never an exception.
"""

import dataclasses
import enum
import math
import types
import typing
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgpack
from expression import Error, Ok, Result

from shallotspindle_core.failures import Failure

PROTOCOL_VERSION = 1
# Two adjacent versions run side by side while the fleet is replaced.
VERSION_DISTANCE = 1
HEADER_FIELDS = 2

Converter = Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class Malformed(Failure):
    """The bytes are no message of this protocol."""


@dataclass(frozen=True, slots=True)
class UnknownKind(Failure):
    """The message has a kind that this version does not know; it is ignored."""


@dataclass(frozen=True, slots=True)
class UnsupportedVersion(Failure):
    """The sender's protocol version is more than one away."""


class _Mismatch(Exception):
    """A value does not have the type of its field; never leaves this module."""


@dataclass(frozen=True, slots=True)
class _Shape:
    """How a data class is packed and unpacked."""

    cls: type
    names: tuple[str, ...]
    packers: tuple[Converter, ...]
    unpackers: tuple[Converter, ...]
    required: int

    def pack(self, message: Any) -> list[Any]:
        pairs = zip(self.names, self.packers, strict=True)
        return [pack(getattr(message, name)) for name, pack in pairs]

    def unpack(self, values: Any) -> Any:
        if type(values) is not list or len(values) < self.required:
            raise _Mismatch(self.cls.__name__)
        pairs = zip(self.unpackers, values, strict=False)
        return self.cls(*[unpack(value) for unpack, value in pairs])


def _keep(value: Any) -> Any:
    return value


def _expect(cls: type) -> Converter:
    def check(value: Any) -> Any:
        if type(value) is not cls:
            raise _Mismatch(cls.__name__)
        return value

    return check


def _unpack_float(value: Any) -> float:
    if type(value) not in (float, int) or math.isnan(value):
        raise _Mismatch("float")
    return float(value)


def _build_enum(cls: type[enum.Enum]) -> tuple[Converter, Converter]:
    def unpack(value: Any) -> Any:
        try:
            return cls(value)
        except ValueError as error:
            raise _Mismatch(cls.__name__) from error

    return (lambda member: member.value), unpack


def _build_optional(inner: Any) -> tuple[Converter, Converter]:
    pack, unpack = _build_converters(inner)
    return (
        lambda value: None if value is None else pack(value),
        lambda value: None if value is None else unpack(value),
    )


def _build_sequence(inner: Any) -> tuple[Converter, Converter]:
    pack, unpack = _build_converters(inner)

    def unpack_all(values: Any) -> tuple[Any, ...]:
        if type(values) is not list:
            raise _Mismatch("tuple")
        return tuple(map(unpack, values))

    return (lambda values: list(map(pack, values))), unpack_all


def _build_fixed(inners: tuple[Any, ...]) -> tuple[Converter, Converter]:
    pairs = [_build_converters(inner) for inner in inners]

    def pack_all(values: Any) -> list[Any]:
        return [pair[0](value) for pair, value in zip(pairs, values, strict=True)]

    def unpack_all(values: Any) -> tuple[Any, ...]:
        if type(values) is not list or len(values) != len(pairs):
            raise _Mismatch("tuple")
        return tuple(pair[1](value) for pair, value in zip(pairs, values, strict=True))

    return pack_all, unpack_all


def _build_tuple(inners: tuple[Any, ...]) -> tuple[Converter, Converter]:
    if len(inners) == 2 and inners[1] is Ellipsis:
        return _build_sequence(inners[0])
    return _build_fixed(inners)


def _build_class(hint: type) -> tuple[Converter, Converter]:
    if hint is float:
        return _keep, _unpack_float
    if hint in (int, str, bytes, bool, types.NoneType):
        return _keep, _expect(hint)
    if issubclass(hint, enum.Enum):
        return _build_enum(hint)
    if dataclasses.is_dataclass(hint):
        shape = _build_shape(hint)
        return shape.pack, shape.unpack
    raise TypeError(f"messages cannot have fields of type {hint!r}")


def _build_converters(hint: Any) -> tuple[Converter, Converter]:
    if isinstance(hint, typing.NewType):
        return _build_converters(hint.__supertype__)
    origin = typing.get_origin(hint)
    inners = typing.get_args(hint)
    if origin is tuple:
        return _build_tuple(inners)
    if origin in (types.UnionType, typing.Union):
        others = [inner for inner in inners if inner is not types.NoneType]
        if len(others) == 1:
            return _build_optional(others[0])
    if isinstance(hint, type) and origin is None:
        return _build_class(hint)
    raise TypeError(f"messages cannot have fields of type {hint!r}")


def _has_default(field: dataclasses.Field) -> bool:
    missing = dataclasses.MISSING
    return field.default is not missing or field.default_factory is not missing


def _build_shape(cls: type) -> _Shape:
    if not dataclasses.is_dataclass(cls) or not cls.__dataclass_params__.frozen:
        raise TypeError(f"{cls.__name__} is not a frozen data class")
    hints = typing.get_type_hints(cls)
    fields = dataclasses.fields(cls)
    converters = [_build_converters(hints[field.name]) for field in fields]
    return _Shape(
        cls,
        tuple(field.name for field in fields),
        tuple(pack for pack, _ in converters),
        tuple(unpack for _, unpack in converters),
        sum(not _has_default(field) for field in fields),
    )


def name_kind(cls: type) -> str:
    """Return the kind of a message type.

    It is the class's ``KIND`` where there is one, and otherwise its name in lower case.
    A class that is renamed gets a ``KIND`` with its former kind, since neighbouring
    builds run side by side while the fleet is replaced.
    """
    return getattr(cls, "KIND", cls.__name__.lower())


class Codec:
    """Packs and unpacks the message types that it was built from.

    :param message_types: frozen data classes with distinct names.
    :raises TypeError: if a field has a type that messages cannot have.
    :raises ValueError: if two types have the same kind.
    """

    def __init__(
        self, message_types: Iterable[type], version: int = PROTOCOL_VERSION
    ) -> None:
        self._version = version
        self._shapes: dict[str, _Shape] = {}
        for cls in message_types:
            if name_kind(cls) in self._shapes:
                raise ValueError(f"two message types have the kind {name_kind(cls)}")
            self._shapes[name_kind(cls)] = _build_shape(cls)

    def encode(self, message: Any) -> bytes:
        """Return the bytes of a message.

        :raises KeyError: if the codec was not built with the message's type.
        """
        kind = name_kind(type(message))
        return msgpack.packb([self._version, kind, *self._shapes[kind].pack(message)])

    def decode(self, data: bytes) -> Result[Any, Failure]:
        """Return the message that the bytes stand for."""
        try:
            values = msgpack.unpackb(data)
        except (
            ValueError,
            TypeError,
            RecursionError,
            msgpack.UnpackException,
        ) as error:
            return Error(Malformed("message", "no msgpack value", repr(error)))
        if not self._has_header(values):
            return Error(Malformed("message", "the header is missing"))
        version, kind = values[:HEADER_FIELDS]
        if abs(version - self._version) > VERSION_DISTANCE:
            item = str(version)
            return Error(UnsupportedVersion("message", "the version is too far", item))
        shape = self._shapes.get(kind)
        if shape is None:
            return Error(UnknownKind("message", "the kind is not known", kind))
        try:
            return Ok(shape.unpack(values[HEADER_FIELDS:]))
        except _Mismatch as error:
            message = f"a field of {kind} has the wrong type"
            return Error(Malformed("message", message, str(error)))

    @staticmethod
    def _has_header(values: Any) -> bool:
        return (
            type(values) is list
            and len(values) >= HEADER_FIELDS
            and type(values[0]) is int
            and type(values[1]) is str
        )
