"""Codec of messages between instances.

A message is a frozen data class. It is encoded as the msgpack array
``[protocol version, kind, fields...]``. Decoding any bytes returns a message or a typed
failure and never raises. The type of a field may be ``Annotated`` with a ``Constraint``
that bounds its values; only decoding checks it.
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

from shallotspindle_core.bounds import Constraint
from shallotspindle_core.failures import Failure

PROTOCOL_VERSION = 1
# Two adjacent versions run side by side during a rolling upgrade.
MAX_VERSION_DISTANCE = 1
# The protocol version and the kind.
HEADER_FIELD_COUNT = 2

Converter = Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class Malformed(Failure):
    """The bytes do not hold a message of this protocol."""


@dataclass(frozen=True, slots=True)
class UnknownKind(Failure):
    """This version does not know the kind of the message, so it is ignored."""


@dataclass(frozen=True, slots=True)
class UnsupportedVersion(Failure):
    """The protocol version of the sender is more than one away from this one."""


class _Mismatch(Exception):
    """A value does not have the type of its field; caught inside this module."""


@dataclass(frozen=True, slots=True)
class _ClassConverter:
    """Converts instances of a data class to lists of field values and back.

    :param required_count: number of fields without a default. Values beyond the known
        fields are ignored, because a newer version may append fields.
    """

    cls: type
    field_names: tuple[str, ...]
    packers: tuple[Converter, ...]
    unpackers: tuple[Converter, ...]
    required_count: int

    def pack(self, message: Any) -> list[Any]:
        pairs = zip(self.field_names, self.packers, strict=True)
        return [pack(getattr(message, name)) for name, pack in pairs]

    def unpack(self, values: Any) -> Any:
        if type(values) is not list or len(values) < self.required_count:
            raise _Mismatch(self.cls.__name__)
        pairs = zip(self.unpackers, values, strict=False)
        return self.cls(*[unpack(value) for unpack, value in pairs])


def _pass_unchanged(value: Any) -> Any:
    return value


def _build_type_check(cls: type) -> Converter:
    def check(value: Any) -> Any:
        if type(value) is not cls:
            raise _Mismatch(cls.__name__)
        return value

    return check


def _unpack_float(value: Any) -> float:
    if type(value) not in (float, int) or math.isnan(value):
        raise _Mismatch("float")
    return float(value)


def _build_enum_converters(cls: type[enum.Enum]) -> tuple[Converter, Converter]:
    def unpack(value: Any) -> Any:
        try:
            return cls(value)
        except ValueError as error:
            raise _Mismatch(cls.__name__) from error

    return (lambda member: member.value), unpack


def _build_optional_converters(inner_type: Any) -> tuple[Converter, Converter]:
    pack, unpack = _build_converters(inner_type)
    return (
        lambda value: None if value is None else pack(value),
        lambda value: None if value is None else unpack(value),
    )


def _build_sequence_converters(inner_type: Any) -> tuple[Converter, Converter]:
    pack, unpack = _build_converters(inner_type)

    def unpack_all(values: Any) -> tuple[Any, ...]:
        if type(values) is not list:
            raise _Mismatch("tuple")
        return tuple(map(unpack, values))

    return (lambda values: list(map(pack, values))), unpack_all


def _build_fixed_tuple_converters(
    inner_types: tuple[Any, ...],
) -> tuple[Converter, Converter]:
    pairs = [_build_converters(inner_type) for inner_type in inner_types]

    def pack_all(values: Any) -> list[Any]:
        return [pair[0](value) for pair, value in zip(pairs, values, strict=True)]

    def unpack_all(values: Any) -> tuple[Any, ...]:
        if type(values) is not list or len(values) != len(pairs):
            raise _Mismatch("tuple")
        return tuple(pair[1](value) for pair, value in zip(pairs, values, strict=True))

    return pack_all, unpack_all


def _build_tuple_converters(
    inner_types: tuple[Any, ...],
) -> tuple[Converter, Converter]:
    if len(inner_types) == 2 and inner_types[1] is Ellipsis:
        return _build_sequence_converters(inner_types[0])
    return _build_fixed_tuple_converters(inner_types)


def _build_constrained_converters(
    inner_type: Any, constraints: tuple[Constraint, ...]
) -> tuple[Converter, Converter]:
    pack, unpack = _build_converters(inner_type)

    def unpack_and_check(value: Any) -> Any:
        unpacked = unpack(value)
        if not all(constraint.accepts(unpacked) for constraint in constraints):
            raise _Mismatch(f"out of bounds: {constraints}")
        return unpacked

    return pack, unpack_and_check


def _build_type_converters(hint: type) -> tuple[Converter, Converter]:
    if hint is float:
        return _pass_unchanged, _unpack_float
    if hint in (int, str, bytes, bool, types.NoneType):
        return _pass_unchanged, _build_type_check(hint)
    if issubclass(hint, enum.Enum):
        return _build_enum_converters(hint)
    if dataclasses.is_dataclass(hint):
        class_converter = _build_class_converter(hint)
        return class_converter.pack, class_converter.unpack
    raise TypeError(f"messages cannot have fields of type {hint!r}")


def _build_converters(hint: Any) -> tuple[Converter, Converter]:
    if isinstance(hint, typing.NewType):
        return _build_converters(hint.__supertype__)
    origin = typing.get_origin(hint)
    inner_types = typing.get_args(hint)
    if origin is typing.Annotated:
        return _build_constrained_converters(hint.__origin__, hint.__metadata__)
    if origin is tuple:
        return _build_tuple_converters(inner_types)
    if origin in (types.UnionType, typing.Union):
        non_none_types = [
            inner_type for inner_type in inner_types if inner_type is not types.NoneType
        ]
        if len(non_none_types) == 1:
            return _build_optional_converters(non_none_types[0])
    if isinstance(hint, type) and origin is None:
        return _build_type_converters(hint)
    raise TypeError(f"messages cannot have fields of type {hint!r}")


def _has_default(field: dataclasses.Field) -> bool:
    missing = dataclasses.MISSING
    return field.default is not missing or field.default_factory is not missing


def _build_class_converter(cls: type) -> _ClassConverter:
    if not dataclasses.is_dataclass(cls) or not cls.__dataclass_params__.frozen:
        raise TypeError(f"{cls.__name__} is not a frozen data class")
    hints = typing.get_type_hints(cls, include_extras=True)
    fields = dataclasses.fields(cls)
    converters = [_build_converters(hints[field.name]) for field in fields]
    return _ClassConverter(
        cls,
        tuple(field.name for field in fields),
        tuple(pack for pack, _ in converters),
        tuple(unpack for _, unpack in converters),
        sum(not _has_default(field) for field in fields),
    )


def get_kind(cls: type) -> str:
    """Return the kind of a message type.

    It is the attribute ``KIND`` of the class, or the class name in lower case without
    one. A class that is renamed gets a ``KIND`` with its former kind, because the
    previous and the next build run side by side during a rolling upgrade.
    """
    return getattr(cls, "KIND", cls.__name__.lower())


class Codec:
    """Encodes and decodes messages of the given types.

    :param message_types: frozen data classes with distinct kinds.
    :raises TypeError: if a type is not a frozen data class, or a field has a type that
        messages cannot have.
    :raises ValueError: if two types have the same kind.
    """

    def __init__(
        self, message_types: Iterable[type], version: int = PROTOCOL_VERSION
    ) -> None:
        self._version = version
        self._converters: dict[str, _ClassConverter] = {}
        for cls in message_types:
            if get_kind(cls) in self._converters:
                raise ValueError(f"two message types have the kind {get_kind(cls)}")
            self._converters[get_kind(cls)] = _build_class_converter(cls)

    def encode(self, message: Any) -> bytes:
        """Return the bytes of a message.

        :raises KeyError: if the codec was not built with the message's type.
        """
        kind = get_kind(type(message))
        return msgpack.packb(
            [self._version, kind, *self._converters[kind].pack(message)]
        )

    def decode(self, data: bytes) -> Result[Any, Failure]:
        """Return the message that the bytes encode."""
        try:
            values = msgpack.unpackb(data)
        except (
            ValueError,
            TypeError,
            RecursionError,
            msgpack.UnpackException,
        ) as error:
            return Error(Malformed("message", "not a msgpack value", repr(error)))
        if not self._has_header(values):
            return Error(Malformed("message", "the header is missing"))
        version, kind = values[:HEADER_FIELD_COUNT]
        if abs(version - self._version) > MAX_VERSION_DISTANCE:
            item = str(version)
            return Error(
                UnsupportedVersion(
                    "message", "the protocol version is not supported", item
                )
            )
        class_converter = self._converters.get(kind)
        if class_converter is None:
            return Error(UnknownKind("message", "unknown message kind", kind))
        try:
            return Ok(class_converter.unpack(values[HEADER_FIELD_COUNT:]))
        except _Mismatch as error:
            message = f"a field of {kind} has the wrong type or is out of bounds"
            return Error(Malformed("message", message, str(error)))

    @staticmethod
    def _has_header(values: Any) -> bool:
        return (
            type(values) is list
            and len(values) >= HEADER_FIELD_COUNT
            and type(values[0]) is int
            and type(values[1]) is str
        )
